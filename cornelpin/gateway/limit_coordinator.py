"""Keeps all entries together within the limits that servers name.

Connects the decisions (``scheduling.server_limits``, ``scheduling.permits``) to the
messages between entries. The issuer of a server's permits is the live entry with the
highest rendezvous weight, in the server's data centre if any entry is live there.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Protocol

from cornelpin.core.subsetting import highest_weighted
from cornelpin.gateway.limit_log import LimitLog
from cornelpin.gateway.permit_messages import (
    ask_message,
    read_asks,
    read_replies,
    read_unused,
    reply_message,
    unused_message,
)
from cornelpin.scheduling.permits import PermitHolder, PermitIssuer
from cornelpin.scheduling.server_limits import ServerLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.gateway.permit_messages import Message
    from cornelpin.platform import ResponseInfo
    from cornelpin.scheduling.permits import PermitReply, PermitRequest
    from cornelpin.scheduling.quota import FleetView
    from cornelpin.scheduling.server_limits import Incarnation
    from cornelpin.scheduling.servers import BackendServer

MEMBERS_TTL_S = 0.1
"""Time for which the list of live entries is cached."""
ZERO_LIMIT_PER_S = 0.1
"""Rate of requests to a server that names a limit of zero: only a response shows that
the limit has ended."""
URGENT_DECREASE = 0.5
"""Factor by which a limit decreases at least for the other entries to be told at
once."""


class Transport(Protocol):
    """Messages to the other entries."""

    host: str

    def live_hosts(self) -> Mapping[str, str]:
        """Returns the data centre of each live entry, this one included."""

    def fleet_view(self) -> FleetView:
        """Returns the numbers of live and known entries."""

    def send_permits(self, host: str, message: Message) -> None:
        """Sends a message about permits to one entry."""


class LimitCoordinator:
    """This entry's part in keeping the limits of servers.

    Args:
        transport: Messages to the other entries.
        server: Returns a listed server by its id; None if there is none.
        flush: Called to tell the other entries of a limit at once.
        on_change: Called after a change that the next update to them carries.
        clock: Returns the monotonic time in seconds.

    Attributes:
        limits: Limits as known here.
        on_permits: Called when permits have arrived.
        invalid: Number of responses with an invalid limit.
    """

    def __init__(
        self,
        transport: Transport,
        server: Callable[[str], BackendServer | None],
        *,
        flush: Callable[[], None],
        on_change: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._server = server
        self._flush = flush
        self._on_change = on_change
        self.limits = ServerLimits()
        self.on_permits: Callable[[], None] = lambda: None
        self.invalid = 0
        self._log = LimitLog()
        self._issuer = PermitIssuer()
        self._holder = PermitHolder()
        self._members: dict[str, str] = {}
        self._fleet = transport.fleet_view()
        self._members_at = float("-inf")
        self._members_since = self._clock()
        self._issuers: dict[Incarnation, str] = {}

    # What responses and peers say.

    def observe(
        self, server: BackendServer, info: ResponseInfo, sent_at: float
    ) -> None:
        """Records what a response says about its server's limit.

        Args:
            server: The server.
            info: Decoded headers of the response.
            sent_at: Monotonic time at which the request was sent.
        """
        now = self._clock()
        if info.bad_limit:
            self.invalid += 1
            self._log.invalid(server.id, info.bad_limit, now)
            if info.limit_per_s is None:
                return
        before = self.limits.limit_per_s(server)
        changed = self.limits.observe(
            server.incarnation, info.limit_per_s, sent_at=sent_at, now=now
        )
        if changed:
            after = self.limits.limit_per_s(server)
            self._log.changed(server.id, before, after, source="its response", now=now)
            self._tell(before, after)
        elif info.limit_per_s is None and before is not None:
            self._on_change()

    def _tell(self, before: float | None, after: float | None) -> None:
        """Tells the other entries of a changed limit."""
        urgent = after is not None and (
            before is None or after < URGENT_DECREASE * before
        )
        if urgent:
            self._flush()
        else:
            self._on_change()

    def merge(self, message: Mapping[str, Any]) -> None:
        """Merges what another entry's message says about limits."""
        now = self._clock()
        received = message["limits"]
        before = {
            (server_id, started_ms): known.limit_per_s
            for server_id, started_ms, *_ in received
            if (known := self.limits.get((server_id, started_ms))) is not None
        }
        changed = self.limits.merge(received, now)
        for incarnation in changed:
            known = self.limits.get(incarnation)
            self._log.changed(
                incarnation[0],
                before.get(incarnation),
                known.limit_per_s if known is not None else None,
                source="a peer",
                now=now,
            )

    def forget(self, alive: set[Incarnation], now: float) -> None:
        """Drops what is known of servers that are gone or have no limit any more.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        self.limits.forget(alive, now)
        self._holder.forget(self.limits.incarnations())
        for incarnation in self._issuers.keys() - self.limits.incarnations():
            del self._issuers[incarnation]

    # What the dispatcher asks.

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Returns a server's limit in requests per second; None if it has none."""
        return self.limits.limit_per_s(server)

    def permits(self, server: BackendServer, now: float) -> int:
        """Returns the requests that may be sent to a server with a limit now."""
        self._refresh_members(now)
        incarnation = server.incarnation
        share = self._limit(incarnation) / self._fleet.all_entries
        return self._holder.available(incarnation, share, now)

    def may_ask(self, server: BackendServer, now: float) -> bool:
        """Returns whether permits of a server may be asked for."""
        return self._holder.may_ask(server.incarnation, now)

    def ask(self, server: BackendServer, count: int, score: float, now: float) -> None:
        """Asks for permits of a server; ``on_permits`` is called when they arrive."""
        request = self._holder.ask(server.incarnation, count, score, now)
        issuer = self.issuer_of(server.incarnation, now)
        if issuer == self._transport.host:
            self._issue(issuer, request, now)
            return
        known = self.limits.packed(server.incarnation, now)
        self._transport.send_permits(issuer, ask_message(request, known))

    def take(self, server: BackendServer, now: float) -> None:
        """Uses a permit for a send."""
        self._holder.take(server.incarnation, now)

    def known_rate(self, server: BackendServer, now: float) -> tuple[float, float]:
        """Returns the rate of all entries as last reported, and the report's age."""
        return self._holder.known_rate(server.incarnation, now)

    # Messages about permits.

    def receive(self, host: str, message: Mapping[str, Any]) -> None:
        """Handles a message about permits of another entry."""
        now = self._clock()
        for request, known in read_asks(message):
            self.merge({"limits": [known]})
            # Another entry may still issue these permits, or issue them already.
            if self.issuer_of(request.incarnation, now) == self._transport.host:
                self._issue(host, request, now)
        for reply in read_replies(message):
            self._accept(reply, now)
        for incarnation, count in read_unused(message):
            self._issuer.put_back(host, incarnation, count)

    def tick(self) -> None:
        """Issues accumulated permits, and gives unused ones back."""
        now = self._clock()
        for host, reply in self._issuer.replies_due(now, self._issued_rate):
            self._reply(host, reply, now)
        for incarnation, count in self._holder.expire(now):
            issuer = self.issuer_of(incarnation, now)
            if issuer == self._transport.host:
                self._issuer.put_back(issuer, incarnation, count)
            else:
                message = unused_message(incarnation, count)
                self._transport.send_permits(issuer, message)

    def _issue(self, host: str, request: PermitRequest, now: float) -> None:
        known = self.limits.get(request.incarnation)
        if known is None or known.limit_per_s is None:
            return
        replies = self._issuer.request(
            host,
            request,
            self._rate(request.incarnation),
            since=max(known.learned_at, self._members_since),
            now=now,
        )
        for receiver, reply in replies:
            self._reply(receiver, reply, now)

    def _reply(self, host: str, reply: PermitReply, now: float) -> None:
        if host == self._transport.host:
            self._accept(reply, now)
            return
        self._transport.send_permits(host, reply_message(reply))

    def _accept(self, reply: PermitReply, now: float) -> None:
        if self._holder.receive(reply, now):
            self.on_permits()

    # Rates and members.

    def _limit(self, incarnation: Incarnation) -> float:
        known = self.limits.get(incarnation)
        if known is None or known.limit_per_s is None:
            return ZERO_LIMIT_PER_S
        return known.limit_per_s or ZERO_LIMIT_PER_S

    def _rate(self, incarnation: Incarnation) -> float:
        """Returns the rate that the entries heard may use together."""
        return self._limit(incarnation) * self._fleet.sure_fraction

    def _issued_rate(self, incarnation: Incarnation) -> float | None:
        """Returns the rate of the permits issued here; None if none are."""
        known = self.limits.get(incarnation)
        if known is None or known.limit_per_s is None:
            return None
        if self.issuer_of(incarnation, self._clock()) != self._transport.host:
            return None
        return self._rate(incarnation)

    def issuer_of(self, incarnation: Incarnation, now: float) -> str:
        """Returns the entry that issues the permits of a server."""
        self._refresh_members(now)
        issuer = self._issuers.get(incarnation)
        if issuer is None:
            server = self._server(incarnation[0])
            near = [
                host
                for host, data_centre in self._members.items()
                if server is not None and data_centre == server.data_centre
            ]
            (issuer,) = highest_weighted(incarnation[0], near or self._members, 1)
            if server is not None:
                self._issuers[incarnation] = issuer
        return issuer

    def _refresh_members(self, now: float) -> None:
        """Updates the list of live entries if it is too old."""
        if now - self._members_at < MEMBERS_TTL_S:
            return
        self._fleet = self._transport.fleet_view()
        members = dict(self._transport.live_hosts())
        self._members_at = now
        if members != self._members:
            self._members = members
            self._members_since = now
            self._issuers.clear()
