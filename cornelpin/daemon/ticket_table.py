"""The requests that an entry holds, and what it tells them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.verdict import Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.tickets import Ticket
    from cornelpin.daemon.links import Link

DEFAULT_RETRY_AFTER_S = 1.0


@attrs.frozen
class Lost:
    """The session of a link has ended."""


@attrs.frozen
class Evicted:
    """The entry sheds this waiting request to make room for another."""


class TicketTable:
    """All requests that this entry holds."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._tickets: dict[str, Ticket] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def admit(self, ticket: Ticket, shed_order: Callable[[str], int]) -> None:
        """Adds a ticket, evicting a waiting one of a lower tier if full.

        Raises:
            Refusal: If no lower tier's request waits here.
        """
        with self._lock:
            if len(self._tickets) >= self._limit:
                self._make_room(ticket, shed_order)
            self._tickets[ticket.req.request_id] = ticket

    def _make_room(self, ticket: Ticket, shed_order: Callable[[str], int]) -> None:
        mine = shed_order(ticket.req.tier)
        waiting = [
            t
            for t in self._tickets.values()
            if t.waiting and not t.req.keep and shed_order(t.req.tier) < mine
        ]
        for victim in sorted(waiting, key=lambda t: shed_order(t.req.tier)):
            if victim.evict():
                del self._tickets[victim.req.request_id]
                victim.events.put((Evicted(), None))
                return
        raise Refusal(
            Reason.SHED,
            detail="this entry holds as many requests as it may",
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )

    def find(self, request_id: str) -> Ticket | None:
        """Returns a ticket by request id."""
        return self._tickets.get(request_id)

    def remove(self, request_id: str) -> None:
        """Removes a ticket."""
        with self._lock:
            self._tickets.pop(request_id, None)

    def links(self) -> set[Link]:
        """Returns the links that carry requests or reservations."""
        with self._lock:
            tickets = list(self._tickets.values())
        found = {link for ticket in tickets for link in ticket.reserved()}
        found.update(ticket.holder for ticket in tickets if ticket.holder is not None)
        return found

    def tell_lost(self, link: Link) -> None:
        """Tells the tickets that use a link that its session has ended."""
        with self._lock:
            tickets = list(self._tickets.values())
        for ticket in tickets:
            if ticket.holder is link or link in ticket.reserved():
                ticket.events.put((Lost(), link))
