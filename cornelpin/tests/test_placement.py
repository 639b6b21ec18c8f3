"""Placement of one waiting request at the sides."""

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


def make_link(name: str, *, busy: int) -> Link:
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
    # Fields: number, leaving, slots, free, waiting, versions, token_s.
    link.on_state(Heartbeat(1, False, 8, 8 - busy, 0, [], 0.01))
    return link


@pytest.mark.parametrize("alone", [True, False])
def test_sides_that_refused_the_grant_get_the_request_last(alone: bool) -> None:
    """A side whose backend server is down has free slots and must not rank first."""
    down, busy = make_link("down", busy=0), make_link("busy", busy=7)
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
        lambda route: [down, busy],  # candidates
        lambda ticket, links: None,  # choose_version
        lambda request: alone,  # must_run_alone: a suspected content
        Preferences(),
        WAIT_S,
    )
    placement.refused_by.add(down)
    placement.place()
    assert ticket.reserved() == {busy}
    ticket.release(busy)
    placement.refused_by.add(busy)
    placement.place()
    assert down in ticket.reserved()
