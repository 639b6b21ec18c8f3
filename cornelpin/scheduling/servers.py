"""Backend servers as the platform lists them, and how long that list is believed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

RETURN_S = 2.2
"""Time after the store's return in which a server that lapsed may register again.
The platform's page says about two seconds."""
OUTAGE_MEMORY_S = 5.0
"""Time after an outage in which a vanished entry may be due to the outage: three
heartbeats of 1.2 s and a margin."""
KEEP_SHARE = 0.5
"""Part of the platform's drain bound for which a vanished server is still used: it
serves on for the whole bound, and its entry may only have lapsed."""
LAPSE_SHARE = 0.5
"""Part of a service that vanishes together only if the store lost its entries."""
LAPSE_WINDOW_S = 1.0
"""Time within which entries that lapse in an outage vanish."""


@attrs.frozen
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        id: Id of the server.
        service: Service that it belongs to.
        address: Host and port.
        data_centre: Where it runs.
        version: Version of its software.
        slots: Requests that it runs at once.
        leaving: Whether it takes no further requests.
        started_ms: Start of this incarnation, Unix ms; zero if not told.
        cold_s: Time for which it stays slow after its start, as of its last entry.
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
        """Identity that a restart under the same id changes."""
        return self.id, self.started_ms


@attrs.define
class _Vanished:
    server: BackendServer
    at: float
    until: float


class ServerList:
    """The list of backend servers, patient with entries lost in a store outage.

    Load pattern: the store returns after an outage and every entry has lapsed; dropping
    them at once would leave no server for two seconds.

    Args:
        drain_s: Time for which the platform lets a leaving server be used.
    """

    def __init__(self, drain_s: float = 2.0) -> None:
        self._keep_s = KEEP_SHARE * drain_s
        self._listed: dict[str, BackendServer] = {}
        self._vanished: dict[str, _Vanished] = {}
        self._replaced: dict[str, BackendServer] = {}
        self._outage_ended = float("-inf")

    def outage_ended(self, now: float) -> None:
        """Notes that the store answers again after it did not."""
        self._outage_ended = now

    def replace(self, servers: Iterable[BackendServer], now: float) -> None:
        """Takes a whole list."""
        listed = {server.id: server for server in servers}
        for missing in self._listed.keys() - listed.keys():
            self.remove(missing, now)
        for server in listed.values():
            self.put(server)

    def put(self, server: BackendServer) -> None:
        """Takes a new or changed entry."""
        self._listed[server.id] = server
        self._vanished.pop(server.id, None)

    def remove(self, server_id: str, now: float) -> None:
        """Takes the end of an entry; it may have lapsed and is kept for a while."""
        server = self._listed.pop(server_id, None)
        if server is None or server.leaving:
            return
        until = now + self._keep_s
        if now - self._outage_ended < OUTAGE_MEMORY_S:
            until = max(until, self._outage_ended + RETURN_S)
        self._vanished[server_id] = _Vanished(server, now, until)
        self._keep_lapsed(server.service, now)

    def _keep_lapsed(self, service: str, now: float) -> None:
        """Keeps servers that vanished together, as after an outage not noticed here."""
        together = [
            v
            for v in self._vanished.values()
            if v.server.service == service and now - v.at < LAPSE_WINDOW_S
        ]
        listed = sum(1 for s in self._listed.values() if s.service == service)
        if len(together) < 2 or len(together) < LAPSE_SHARE * (listed + len(together)):
            return
        first = min(v.at for v in together)
        for vanished in together:
            vanished.until = max(vanished.until, first + RETURN_S)

    def mark_replaced(self, server: BackendServer) -> None:
        """Takes a server's own word that this incarnation is not at its address."""
        self._replaced[server.id] = server

    def all(self, now: float) -> dict[str, BackendServer]:
        """Returns the believed servers by id, leaving ones included."""
        for server_id, vanished in list(self._vanished.items()):
            if vanished.until <= now:
                del self._vanished[server_id]
        servers = {i: v.server for i, v in self._vanished.items()} | self._listed
        for server_id, gone in list(self._replaced.items()):
            if servers.get(server_id) == gone:
                del servers[server_id]
            else:
                del self._replaced[server_id]
        return servers
