"""Table of the requests that an entry holds; limits them and sends them events."""

from __future__ import annotations

import collections
import random
import threading
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.execution import Reason, Refusal
from cornelpin.core.limits import over_limit
from cornelpin.daemon.messages import NotRun, Withdraw
from cornelpin.http1.request_shares import RequestShares

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.core.tickets import Ticket
    from cornelpin.daemon.links import Link

DEFAULT_RETRY_AFTER_S = 1.0
UNLIMITED_CONNECTIONS = 1_000_000
"""Number of connections that limits nothing."""
SHARE_RETRY_S = (0.5, 1.5)
"""Range of Retry-After, in seconds, for a request over its share of the connections.
The random value spreads the retries."""
# Share of the limits kept free for higher tiers, scaled by the fraction of the tiers
# that are higher.
HEADROOM_SHARE = 0.2


@attrs.frozen
class SessionEnded:
    """Event: the session of a link has ended."""


@attrs.frozen
class Evicted:
    """Event: the entry sheds this waiting request to make room for another."""


@attrs.frozen
class TicketLimits:
    """Limits of what an entry holds.

    Attributes:
        count: Maximum number of requests.
        body_bytes: Maximum size of their bodies in bytes.
        connections: Number of connections of callers, of which requests hold one each.
    """

    count: int
    body_bytes: int = 256 * 1024 * 1024
    connections: int = UNLIMITED_CONNECTIONS


def _holds_connection(ticket: Ticket) -> bool:
    """Whether a caller waits for the response on a connection to this entry."""
    return not (ticket.req.durable or ticket.adopted)


def _group(ticket: Ticket) -> tuple[str, str]:
    return ticket.req.route, ticket.req.workspace


class TicketTable:
    """All requests that this entry holds, by request id; thread-safe.

    Tiers are ordered by shed order: a lower tier is shed first.

    Args:
        limits: Limits of the table.
        shed_orders: Returns the shed order of each tier.
    """

    def __init__(
        self, limits: TicketLimits, shed_orders: Callable[[], Mapping[str, int]]
    ) -> None:
        self._limits = limits
        self._shed_orders = shed_orders
        self._lock = threading.Lock()
        self._tickets: dict[str, Ticket] = {}
        self._body_bytes = 0
        self._by_workspace: collections.Counter[str] = collections.Counter()
        self._shares = RequestShares(limits.connections)

    def __len__(self) -> int:
        return len(self._tickets)

    def admit(self, ticket: Ticket, concurrent: int | None = None) -> None:
        """Adds a ticket, evicting waiting ones of lower tiers if there is no room.

        Args:
            ticket: The ticket.
            concurrent: Maximum number of tickets of its workspace, None for no limit.

        Raises:
            Refusal: If the workspace is over its limit, the table is full and no
                request of a lower tier waits, or its route and workspace hold their
                share of the connections.
        """
        orders = self._shed_orders()
        workspace = ticket.req.workspace
        with self._lock:
            if concurrent is not None and self._by_workspace[workspace] >= concurrent:
                raise over_limit(workspace, DEFAULT_RETRY_AFTER_S)
            self._share(ticket)
            try:
                while not self._fits(ticket, orders):
                    self._make_room(ticket, orders)
            except Refusal:
                self._release_share(ticket)
                raise
            self._tickets[ticket.req.request_id] = ticket
            self._body_bytes += len(ticket.req.body)
            self._by_workspace[workspace] += 1

    def _share(self, ticket: Ticket) -> None:
        if _holds_connection(ticket) and not self._shares.admit(*_group(ticket)):
            raise Refusal(
                Reason.SHED,
                detail="requests like this hold too many connections",
                retry_after_s=random.uniform(*SHARE_RETRY_S),
            )

    def _release_share(self, ticket: Ticket) -> None:
        if _holds_connection(ticket):
            self._shares.release(*_group(ticket))

    def _fits(self, ticket: Ticket, orders: Mapping[str, int]) -> bool:
        """Whether a ticket leaves the headroom for higher tiers free."""
        mine = orders.get(ticket.req.tier, -1)
        higher = sum(order > mine for order in orders.values())
        share = 1.0 - HEADROOM_SHARE * higher / max(1, len(orders))
        body_bytes = self._body_bytes + len(ticket.req.body)
        return (
            len(self._tickets) + 1 <= max(1, share * self._limits.count)
            and body_bytes <= share * self._limits.body_bytes
        )

    def _make_room(self, ticket: Ticket, orders: Mapping[str, int]) -> None:
        """Evicts a waiting ticket of the lowest tier below that of the new ticket.

        Durable requests are not evicted.

        Raises:
            Refusal: If there is none.
        """
        mine = orders.get(ticket.req.tier, -1)
        waiting = [
            t
            for t in self._tickets.values()
            if t.waiting and not t.req.durable and orders.get(t.req.tier, -1) < mine
        ]
        for victim in sorted(waiting, key=lambda t: orders.get(t.req.tier, -1)):
            if victim.close_if_waiting():
                self._drop(victim.req.request_id)
                victim.events.put((Evicted(), None))
                return
        raise Refusal(
            Reason.SHED,
            detail="this entry holds as many requests as it may",
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )

    def _drop(self, request_id: str) -> None:
        ticket = self._tickets.pop(request_id, None)
        if ticket is not None:
            self._body_bytes -= len(ticket.req.body)
            self._by_workspace[ticket.req.workspace] -= 1
            self._release_share(ticket)

    def find(self, request_id: str) -> Ticket | None:
        """Returns a ticket by request id."""
        return self._tickets.get(request_id)

    def remove(self, request_id: str) -> None:
        """Removes a ticket."""
        with self._lock:
            self._drop(request_id)

    def links(self) -> set[Link]:
        """Returns the links that carry requests or reservations."""
        with self._lock:
            tickets = list(self._tickets.values())
        found = {link for ticket in tickets for link in ticket.reserved()}
        found.update(ticket.holder for ticket in tickets if ticket.holder is not None)
        return found

    def notify_retired(self, link: Link) -> None:
        """Withdraws the reservations at a link and notifies their tickets.

        Called when the link is retired, that is, gets no new requests. The tickets get
        the same event as from a refusal by a draining side.
        """
        with self._lock:
            tickets = list(self._tickets.values())
        for ticket in tickets:
            if link in ticket.reserved():
                request_id = ticket.req.request_id
                link.send(Withdraw(request_id))
                refusal = NotRun(request_id, Reason.LEAVING.value, "")
                ticket.events.put((refusal, link))

    def notify_session_ended(self, link: Link) -> None:
        """Notifies the tickets that use a link that its session has ended."""
        with self._lock:
            tickets = list(self._tickets.values())
        for ticket in tickets:
            if ticket.holder is link or link in ticket.reserved():
                ticket.events.put((SessionEnded(), link))
