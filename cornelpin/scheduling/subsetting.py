"""Deterministic subset of a service's servers that one entry uses.

A service may have thousands of servers, and comparing all of them for each request
would cost more processor time than the request itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelpin.core.subsetting import subset

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.scheduling.servers import BackendServer

SUBSET_SIZE = 32
"""Servers of one service that an entry uses: selecting among them takes under 1 ms. A
server is used by entries * SUBSET_SIZE / servers entries on average; there should be
several, so that it does not depend on a single one."""


class ServerSubsets:
    """Bounded subsets of servers, stable while the server list does not change.

    Args:
        entry: Name of this entry's host.
        data_centre: Data centre of this entry.
    """

    def __init__(self, entry: str, data_centre: str) -> None:
        self._entry = entry
        self._data_centre = data_centre
        self._chosen: dict[str, tuple[frozenset[str], frozenset[str]]] = {}

    def of_service(
        self, service: str, servers: Mapping[str, BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers of a service that this entry uses."""
        candidates = [s for s in servers.values() if s.service == service]
        if len(candidates) <= SUBSET_SIZE:
            return candidates
        ids = frozenset(server.id for server in candidates)
        cached_ids, chosen = self._chosen.get(service, (frozenset(), frozenset()))
        if cached_ids != ids:
            data_centres = {server.id: server.data_centre for server in candidates}
            selected = subset(
                self._entry, self._data_centre, data_centres, size=SUBSET_SIZE
            )
            chosen = frozenset(selected)
            self._chosen[service] = (ids, chosen)
        return [server for server in candidates if server.id in chosen]
