"""Placement of one request: a direct grant or reservations at several sides."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cornelpin.core.reservations import risk_window_s
from cornelpin.daemon.messages import Grant, Reserve
from cornelpin.daemon.preferences import AFFINITY_WAIT_STEPS, affinity_wait_s
from cornelpin.daemon.ticket_table import SessionEnded

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.tickets import Request, Ticket
    from cornelpin.daemon.links import Link
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.preferences import Preferences
    from cornelpin.daemon.process import Process

RESERVATIONS = 3
MIN_AFFINITY_WAIT_S = 0.001


class NoServer(Exception):
    """The route has no backend server."""


class Placement:
    """Chooses the sides that one waiting request is placed at."""

    def __init__(
        self,
        process: Process,
        ticket: Ticket,
        candidates: Callable[[str], list[Link]],
        choose_version: Callable[[Ticket, list[Link]], None],
        must_run_alone: Callable[[Request], bool],
        preferences: Preferences,
        wait_s: float,
    ) -> None:
        self._process = process
        self._ticket = ticket
        self._req = ticket.req
        self._candidates = candidates
        self._choose_version = choose_version
        self._runs_alone = must_run_alone
        self._preferences = preferences
        self.shed_by: set[Link] = set()
        self.refused_by: set[Link] = set()
        self._began = time.monotonic()
        self._wait_s = wait_s
        self.wait_until = self._began + wait_s

    def place(self, *, direct: bool = False) -> None:
        """Grants directly to an idle side or reserves at several."""
        if not self._ticket.waiting:
            return
        links = self._candidates(self._req.route)
        if not links:
            raise NoServer
        usable = [link for link in links if link.usable and link not in self.shed_by]
        self._choose_version(self._ticket, usable)
        version = self._ticket.version
        usable = [link for link in usable if not link.lacks_version(version)]
        usable = self._willing(usable)
        alone = self._runs_alone(self._req)
        if not alone:
            usable = self._bound(usable)
        stored = self._req.keep
        if direct and not alone and not stored and self._grant_direct(usable):
            return
        wanted = len(usable) if self._at_risk() else RESERVATIONS
        wanted = 1 if alone else wanted
        held = len(self._ticket.reserved())
        room = wanted - held
        free = [link for link in usable if link not in self._ticket.reserved()]
        if room <= 0 or not free:
            return
        chosen = self._preferences.rank_links(self._req, free)[:room]
        for rank, link in enumerate(chosen, start=held):
            if self._ticket.reserve(link):
                link.send(self._reserve_message(rank))

    def _willing(self, usable: list[Link]) -> list[Link]:
        """Returns the sides that did not refuse a grant, or all if each one did.

        A side whose backend server is gone has free slots and is soon first again.
        """
        return [link for link in usable if link not in self.refused_by] or usable

    def _bound(self, usable: list[Link]) -> list[Link]:
        """Returns the sides to wait for: at first those that hold the prefix."""
        waited_s = time.monotonic() - self._began
        step = int(waited_s / max(affinity_wait_s(self._wait_s), MIN_AFFINITY_WAIT_S))
        if step >= AFFINITY_WAIT_STEPS:
            return usable
        return self._preferences.prefix_holders(self._req, usable, more=step) or usable

    def _at_risk(self) -> bool:
        """Whether the request asks every side, ahead of tiers that are shed first."""
        left_s = self.wait_until - time.monotonic()
        return left_s < risk_window_s(self._wait_s)

    def _grant_direct(self, links: list[Link]) -> bool:
        idle = [link for link in links if link.idle_slots > 0]
        if not idle:
            return False
        link = self._preferences.choose_idle(self._req, idle, links)
        peer = link.peer
        if peer is None or not self._ticket.grant(link, peer.incarnation):
            return False
        link.direct += 1
        self.send_grant(link, peer, direct=True)
        return True

    def send_grant(self, link: Link, peer: Peer, *, direct: bool) -> None:
        """Sends a request to the side that it was just granted to."""
        self._preferences.record_grant(self._req, link)
        self._process.ring.record(
            "request.granted", request=self._req.request_id, detail=link.name
        )
        peer.send(grant_message(self._ticket, direct=direct))
        if link.peer is not peer:
            # The session ended meanwhile; its loss may have been announced before
            # this grant was visible.
            self._ticket.events.put((SessionEnded(), link))

    def _reserve_message(self, rank: int) -> Reserve:
        req = self._req
        return Reserve(
            request_id=req.request_id,
            route=req.route,
            version=self._ticket.version,
            tier=req.tier,
            workspace=req.workspace,
            cost=req.cost,
            wait_s=max(0.0, self.wait_until - time.monotonic()),
            waited_s=time.monotonic() - self._began,
            fingerprint=req.fingerprint,
            rank=rank,
        )


def grant_message(ticket: Ticket, *, direct: bool) -> Grant:
    """Builds the message that gives a request to a side."""
    req = ticket.req
    return Grant(
        request_id=req.request_id,
        direct=direct,
        route=req.route,
        version=ticket.version,
        tier=req.tier,
        workspace=req.workspace,
        cost=req.cost,
        method=req.method,
        path=req.path,
        headers=dict(req.headers),
        body=req.body,
        fingerprint=req.fingerprint,
        keep=req.keep,
        attempt=ticket.attempt,
    )
