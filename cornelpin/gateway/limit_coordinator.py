"""Keeps all entries together within the rates that servers take.

These are the limits that servers name, and those of cold servers. Connects the
decisions (``scheduling.server_limits``, ``scheduling.restrictions``,
``scheduling.permits``) to the messages between entries. The issuer of a server's
permits is the live entry with the highest rendezvous weight, in the server's data
centre if any entry is live there.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Protocol

from cornelpin.core.subsetting import highest_weighted
from cornelpin.gateway import logs
from cornelpin.gateway.limit_log import LimitLog
from cornelpin.gateway.permit_messages import (
    Ask,
    ask_message,
    read_asks,
    read_replies,
    read_unused,
    reply_message,
    unused_message,
)
from cornelpin.scheduling.permits import PermitHolder, PermitIssuer
from cornelpin.scheduling.restrictions import ColdServers
from cornelpin.scheduling.server_limits import ServerLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

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
        cold: Cold servers as known here.
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
        self.cold = ColdServers()
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
        if info.cold_s and self.cold.learn(server.incarnation, info.cold_s, now):
            self._log_cold([server], "its response", now)
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

    def register(self, server: BackendServer) -> None:
        """Records a server's registration, which says whether it is cold."""
        now = self._clock()
        if self.cold.register(server, now):
            self._log_cold([server], "its registration", now)

    def suspect(
        self, servers: Iterable[BackendServer], reason: str, *, from_s: float = 0.0
    ) -> None:
        """Treats servers as cold that may have turned cold without notice.

        Args:
            servers: The servers.
            reason: Why, for the log.
            from_s: Seconds until they may be used again at the earliest.
        """
        now = self._clock()
        self._log_cold(self.cold.suspect(servers, now, from_s=from_s), reason, now)

    def _log_cold(
        self, servers: Iterable[BackendServer], source: str, now: float
    ) -> None:
        for server in servers:
            limit_per_s = self.cold.rate_per_s(server, now)
            if limit_per_s is None:
                continue
            logs.event(
                "server.cold",
                server=server.id,
                for_s=round(self.cold.left_s(server.incarnation, now), 2),
                limit_per_s=limit_per_s,
                source=source,
            )

    def forget(self, alive: set[Incarnation], now: float) -> None:
        """Drops what is known of servers that are gone or have no limit any more.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        self.limits.forget(alive, now)
        for server_id, _ in self.cold.expire(now):
            logs.event("server.warm", server=server_id)
        restricted = self.limits.incarnations() | self.cold.incarnations()
        self._holder.forget(restricted)
        for incarnation in self._issuers.keys() - restricted:
            del self._issuers[incarnation]

    # What the dispatcher asks.

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Returns a server's limit in requests per second; None if it has none.

        It is the one that the server names or, if lower, that of a cold server.
        """
        named = self.limits.limit_per_s(server)
        if not self.cold:
            return named
        cold = self.cold.rate_per_s(server, self._clock())
        return min((rate for rate in (named, cold) if rate is not None), default=None)

    def cold_rate_per_s(self, server: BackendServer) -> float | None:
        """Returns a cold server's limit; None if it is warm or has none while cold."""
        if not self.cold:
            return None
        return self.cold.rate_per_s(server, self._clock())

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
        known = None
        if self.limits.limit_per_s(server) is not None:
            known = self.limits.packed(server.incarnation, now)
        cold_s = self.cold.left_s(server.incarnation, now)
        self._transport.send_permits(issuer, ask_message(Ask(request, known, cold_s)))

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
        for ask in read_asks(message):
            incarnation = ask.request.incarnation
            if ask.known is not None:
                self.merge({"limits": [ask.known]})
            self.cold.learn(incarnation, ask.cold_s, now)
            # Another entry may still issue these permits, or issue them already.
            if self.issuer_of(incarnation, now) == self._transport.host:
                self._issue(host, ask.request, now)
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
        incarnation = request.incarnation
        if self._known_limit(incarnation) is None:
            return
        known = self.limits.get(incarnation)
        learned_at = self.cold.since(incarnation)
        if known is not None and known.limit_per_s is not None:
            learned_at = max(learned_at, known.learned_at)
        replies = self._issuer.request(
            host,
            request,
            self._rate(incarnation),
            since=max(learned_at, self._members_since),
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

    def _known_limit(self, incarnation: Incarnation) -> float | None:
        """Returns the limit of an incarnation, listed or not; None if it has none."""
        server = self._server(incarnation[0])
        if server is not None and server.incarnation == incarnation:
            return self.limit_per_s(server)
        known = self.limits.get(incarnation)
        return known.limit_per_s if known is not None else None

    def _limit(self, incarnation: Incarnation) -> float:
        return self._known_limit(incarnation) or ZERO_LIMIT_PER_S

    def _rate(self, incarnation: Incarnation) -> float:
        """Returns the rate that the entries heard may use together."""
        return self._limit(incarnation) * self._fleet.sure_fraction

    def _issued_rate(self, incarnation: Incarnation) -> float | None:
        """Returns the rate of the permits issued here; None if none are."""
        if self._known_limit(incarnation) is None:
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
