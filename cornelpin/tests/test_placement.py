"""Placement of one waiting request."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from cornelpin.core.tickets import Request, Ticket
from cornelpin.daemon.endpoints import Endpoint
from cornelpin.daemon.links import Link
from cornelpin.daemon.messages import Heartbeat
from cornelpin.daemon.placement import Placement
from cornelpin.daemon.preferences import Preferences

WAIT_S = 1000.0


def link_to(name: str, *, busy: int) -> Link:
    link = Link(name, Endpoint("", ""))
    link.set_session(
        SimpleNamespace(
            name=name,
            incarnation="",
            last_ping_at=None,
            last_received_at=0.0,
            send=[].append,
        )
    )
    link.on_state(Heartbeat(1, False, 8, 8 - busy, 0, [], 0.01))
    return link


@pytest.mark.parametrize("alone", [True, False])
def test_a_request_goes_last_to_the_sides_that_refused_its_grant(alone: bool) -> None:
    dead, busy = link_to("dead", busy=0), link_to("busy", busy=7)
    request = Request(
        request_id="r-1",
        route="furnace",
        kind="model",
        tier="question",
        workspace="w",
        cost=100,
        method="POST",
        path="/v1/completions",
        headers={},
        body=b"",
        deadline=WAIT_S,
        max_wait_s=WAIT_S,
    )
    ticket = Ticket(request)
    placement = Placement(
        SimpleNamespace(),
        ticket,
        lambda route: [dead, busy],
        lambda ticket, links: None,
        lambda request: alone,
        Preferences(),
        WAIT_S,
    )
    placement.refused_by.add(dead)
    placement.place()
    assert ticket.reserved() == {busy}
    ticket.release(busy)
    placement.refused_by.add(busy)
    placement.place()
    assert dead in ticket.reserved()
