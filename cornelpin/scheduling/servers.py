"""Backend servers listed by the platform's store, kept through store outages.

Servers register in the store with a TTL. In an outage their registrations expire
although they are still running, so a server is used for a bounded time after its
registration was removed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

REREGISTER_S = 2.2
"""Time after a store outage within which a server whose registration expired registers
again, seconds: about two, as specified by the platform."""
KEEP_DRAIN_SHARE = 0.5
"""Part of the platform's drain time for which a removed server is still used: it serves
for the whole drain time, and its registration may merely have expired."""
EXPIRED_SHARE = 0.5
"""Share of a service's servers whose removal together may mean that the store lost
their registrations. The others serve while fewer are missing."""
NOTICE_S = 0.3
"""Time that may pass from a removal until this entry has noticed it, and from its
decision to use a server until the request arrives there."""
EXPIRY_WINDOW_S = 1.0
"""Time within which the registrations that expire in an outage are removed."""
MAX_LEAVING = 10_000
"""Leaving incarnations remembered: twice the servers of the largest deployment."""


@attrs.frozen
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        id: Id of the server.
        service: Service of the server.
        address: Host and port.
        data_centre: Data centre in which it runs.
        version: Version of its software, moved by roll-outs; empty if not given.
        slots: Requests that it runs at once.
        leaving: Whether it is draining and accepts no further requests.
        started_ms: Start of this incarnation, Unix time in ms; zero if not given.
        cold_s: Remaining warm-up time in seconds, as of its last registration.
    """

    id: str
    service: str
    address: tuple[str, int]
    data_centre: str
    version: str = ""
    slots: int = 1
    leaving: bool = False
    started_ms: int = 0
    cold_s: float = 0.0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of this incarnation; a restart under the same id changes it."""
        return self.id, self.started_ms


@attrs.define
class _Removed:
    """A server whose registration was removed.

    Attributes:
        server: The server.
        noticed_at: Monotonic time at which the registration was missing.
        removed_at: Earliest monotonic time at which it may have been removed.
        used_until: Monotonic time until which the server is used.
    """

    server: BackendServer
    noticed_at: float
    removed_at: float
    used_until: float


class ServerList:
    """List of backend servers that keeps those lost in a store outage for a while.

    After an outage every registration has expired, and dropping the servers at once
    would leave none for two seconds.

    Args:
        drain_s: Time for which a draining server may still be used, seconds.
    """

    def __init__(self, drain_s: float = 2.0) -> None:
        self._drain_s = drain_s
        self._keep_s = KEEP_DRAIN_SHARE * drain_s
        self._listed: dict[str, BackendServer] = {}
        self._removed: dict[str, _Removed] = {}
        self._replaced: dict[str, BackendServer] = {}
        # Incarnations that said themselves that they leave, the oldest first.
        self._leaving: dict[tuple[str, int], None] = {}
        self._outage_ended = float("-inf")

    def outage_ended(self, now: float) -> None:
        """Records that the store responds again after an outage."""
        self._outage_ended = now

    def replace(
        self,
        servers: Iterable[BackendServer],
        now: float,
        current_at: float | None = None,
    ) -> None:
        """Replaces the whole list.

        Args:
            servers: The servers that are registered.
            now: Monotonic time in seconds.
            current_at: Monotonic time until which the list so far was current; None if
                it was until now. Missing servers may have left since then.
        """
        listed = {server.id: server for server in servers}
        removed_at = now if current_at is None else min(now, current_at)
        for missing in self._listed.keys() - listed.keys():
            self._remove(missing, now, removed_at)
        for server in listed.values():
            self.put(server)

    def put(self, server: BackendServer) -> None:
        """Adds or updates a server.

        An incarnation that is known to leave does not come back, although a stale or
        restored store may list it as ready.
        """
        if server.leaving:
            self._remember_leaving(server.incarnation)
        elif server.incarnation in self._leaving:
            server = attrs.evolve(server, leaving=True)
        self._listed[server.id] = server
        self._removed.pop(server.id, None)

    def remove(self, server_id: str, now: float) -> None:
        """Handles a removed registration; the server is still used for a while."""
        self._remove(server_id, now, now)

    def _remove(self, server_id: str, now: float, removed_at: float) -> None:
        server = self._listed.pop(server_id, None)
        if server is None or server.leaving:
            return
        self._removed[server_id] = _Removed(
            server, now, removed_at, removed_at + self._keep_s
        )
        self._keep_expired(server.service, now)

    def _keep_expired(self, service: str, now: float) -> None:
        """Keeps most servers of a service longer if they were removed together.

        The store may have lost their registrations. Without a known outage they may as
        well have left, so they are used within their drain time only.
        """
        together = [
            v
            for v in self._removed.values()
            if v.server.service == service and now - v.noticed_at < EXPIRY_WINDOW_S
        ]
        listed = sum(1 for s in self._listed.values() if s.service == service)
        if len(together) < EXPIRED_SHARE * (listed + len(together)):
            return
        if listed and len(together) < 2:
            return
        after_outage = self._outage_ended + REREGISTER_S
        for removed in together:
            drained = removed.removed_at + self._drain_s - NOTICE_S
            again = removed.removed_at + REREGISTER_S
            removed.used_until = max(
                removed.used_until, after_outage, min(again, drained)
            )

    def mark_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Records that an incarnation leaves; returns whether that is new.

        The server, or an entry that it told, knows it before the store does.
        """
        if incarnation in self._leaving:
            return False
        self._remember_leaving(incarnation)
        listed = self._listed.get(incarnation[0])
        if listed is not None and listed.incarnation == incarnation:
            self._listed[listed.id] = attrs.evolve(listed, leaving=True)
        removed = self._removed.get(incarnation[0])
        if removed is not None and removed.server.incarnation == incarnation:
            del self._removed[incarnation[0]]
        return True

    def is_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Returns whether an incarnation is known to leave."""
        return incarnation in self._leaving

    def is_superseded(self, incarnation: tuple[str, int]) -> bool:
        """Returns whether another incarnation is registered under the same id."""
        listed = self._listed.get(incarnation[0])
        return listed is not None and listed.incarnation != incarnation

    def known_leaving(self) -> list[tuple[str, int]]:
        """Returns the registered incarnations that are known to leave."""
        return [s.incarnation for s in self._listed.values() if s.leaving]

    def _remember_leaving(self, incarnation: tuple[str, int]) -> None:
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]

    def mark_replaced(self, server: BackendServer) -> None:
        """Drops an incarnation because the server at its address reported another one.

        It is dropped until its registration changes.
        """
        self._replaced[server.id] = server

    def is_usable(self, server: BackendServer, now: float) -> bool:
        """Returns whether an incarnation is believed to run and does not leave."""
        if self._replaced.get(server.id) == server:
            return False
        listed = self._listed.get(server.id)
        if listed is not None:
            return listed.incarnation == server.incarnation and not listed.leaving
        removed = self._removed.get(server.id)
        return (
            removed is not None
            and removed.server.incarnation == server.incarnation
            and now < removed.used_until
        )

    def get(self, server_id: str) -> BackendServer | None:
        """Returns a server by its id if it is registered, or was until recently."""
        removed = self._removed.get(server_id)
        return self._listed.get(server_id) or (removed.server if removed else None)

    def all(self, now: float) -> dict[str, BackendServer]:
        """Returns the servers believed to be running, draining ones included, by id."""
        for server_id, removed in list(self._removed.items()):
            if removed.used_until <= now:
                del self._removed[server_id]
        servers = {i: v.server for i, v in self._removed.items()} | self._listed
        for server_id, replaced in list(self._replaced.items()):
            if servers.get(server_id) == replaced:
                del servers[server_id]
            else:
                del self._replaced[server_id]
        return servers
