"""Placement of one request: a direct grant to a side or reservations at several.

A request goes to the servers that hold its prompt's prefix first, and to further ones
the longer it waits.
"""

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

# Number of sides at which a request is reserved until it is at risk.
DEFAULT_RESERVATIONS = 3
# Avoids a division by zero if the request may not wait.
MIN_AFFINITY_WAIT_S = 0.001


class NoServer(Exception):
    """The route has no backend server."""


class Placement:
    """Chooses the sides at which one waiting request is placed.

    Args:
        process: The process.
        ticket: Ticket of the request.
        candidates: Returns the links of a route.
        choose_version: Sets the version of a ticket to one available at the links.
        must_run_alone: Whether the content of a request is suspected of crashing
            backend servers.
        preferences: The entry's preferences among links.
        wait_s: Maximum seconds that the request may wait for a slot.

    Attributes:
        shed_by: Sides that shed a reservation of the request.
        refused_by: Sides that refused a grant because their backend server was
            unreachable or does not serve the version.
        wait_until: Monotonic time in seconds at which the wait ends.
    """

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
        self._must_run_alone = must_run_alone
        self._preferences = preferences
        self.shed_by: set[Link] = set()
        self.refused_by: set[Link] = set()
        self._started_at = time.monotonic()
        self._wait_s = wait_s
        self.wait_until = self._started_at + wait_s

    def place(self, *, direct: bool = False) -> None:
        """Grants the request to an idle side or makes reservations at several.

        Args:
            direct: Whether a grant without a reservation is allowed.

        Raises:
            NoServer: If the route has no backend server.
        """
        if not self._ticket.waiting:
            return
        links = self._candidates(self._req.route)
        if not links:
            raise NoServer
        usable = [link for link in links if link.usable and link not in self.shed_by]
        self._choose_version(self._ticket, usable)
        version = self._ticket.version
        usable = [link for link in usable if not link.lacks_version(version)]
        usable = self._not_refused(usable)
        alone = self._must_run_alone(self._req)
        if not alone:
            usable = self._apply_affinity(usable)
        durable = self._req.durable
        if direct and not alone and not durable and self._grant_direct(usable):
            return
        limit = len(usable) if self._at_risk() else DEFAULT_RESERVATIONS
        limit = 1 if alone else limit
        reserved = len(self._ticket.reserved())
        missing = limit - reserved
        unreserved = [link for link in usable if link not in self._ticket.reserved()]
        if missing <= 0 or not unreserved:
            return
        chosen = self._preferences.rank_links(self._req, unreserved)[:missing]
        for rank, link in enumerate(chosen, start=reserved):
            if self._ticket.reserve(link):
                link.send(self._reserve_message(rank))

    def _not_refused(self, usable: list[Link]) -> list[Link]:
        """Returns the sides that did not refuse a grant, or all if each of them did.

        A side whose backend server is unreachable has free slots and would otherwise
        soon rank first again.
        """
        return [link for link in usable if link not in self.refused_by] or usable

    def _apply_affinity(self, usable: list[Link]) -> list[Link]:
        """Returns the sides that hold the prefix, and more as the wait grows."""
        waited_s = time.monotonic() - self._started_at
        step = int(waited_s / max(affinity_wait_s(self._wait_s), MIN_AFFINITY_WAIT_S))
        if step >= AFFINITY_WAIT_STEPS:
            return usable
        return self._preferences.prefix_holders(self._req, usable, more=step) or usable

    def _at_risk(self) -> bool:
        """Whether the wait is nearly over, so that all usable sides get a reservation.

        Not done earlier: while a side holds a reservation at risk, it gives no slot to
        a tier of a lower shed order.
        """
        remaining_s = self.wait_until - time.monotonic()
        return remaining_s < risk_window_s(self._wait_s)

    def _grant_direct(self, links: list[Link]) -> bool:
        """Grants the request to an idle side, if there is one."""
        idle = [link for link in links if link.idle_slots > 0]
        if not idle:
            return False
        link = self._preferences.choose_idle(self._req, idle, links)
        peer = link.peer
        if peer is None or not self._ticket.grant(link, peer.incarnation):
            return False
        link.direct_grants += 1
        self.send_grant(link, peer, direct=True)
        return True

    def send_grant(self, link: Link, peer: Peer, *, direct: bool) -> None:
        """Sends the grant to the side that the ticket was just granted to."""
        self._preferences.record_grant(self._req, link)
        self._process.ring.record(
            "request.granted", request=self._req.request_id, detail=link.name
        )
        peer.send(grant_message(self._ticket, direct=direct))
        if link.peer is not peer:
            # The session has ended. SessionEnded goes only to tickets that hold a grant
            # or reservation at that time, so it may have missed this one.
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
            waited_s=time.monotonic() - self._started_at,
            fingerprint=req.fingerprint,
            rank=rank,
        )


def grant_message(ticket: Ticket, *, direct: bool) -> Grant:
    """Builds the message that grants a request to a side."""
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
        keep=req.durable,
        attempt=ticket.attempt,
    )
