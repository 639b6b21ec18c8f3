"""Which servers of a service one entry uses.

Load pattern: a service of thousands of servers; a placement that looks at all of them
costs more than the request is worth.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelpin.core.choice import subset

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.scheduling.servers import BackendServer

SUBSET_SIZE = 32
"""Servers of one service that an entry uses: a placement among them costs under 1 ms,
and several entries share each server."""


class ServerSubsets:
    """Bounded subsets of servers, the same while the list does not change.

    Args:
        entry: Name of this entry's host.
        data_centre: Where it is.
    """

    def __init__(self, entry: str, data_centre: str) -> None:
        self._entry = entry
        self._data_centre = data_centre
        self._chosen: dict[str, tuple[frozenset[str], frozenset[str]]] = {}

    def of_service(
        self, service: str, servers: Mapping[str, BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers of a service that this entry uses."""
        all_of_it = [s for s in servers.values() if s.service == service]
        if len(all_of_it) <= SUBSET_SIZE:
            return all_of_it
        ids = frozenset(server.id for server in all_of_it)
        known, chosen = self._chosen.get(service, (frozenset(), frozenset()))
        if known != ids:
            places = {server.id: server.data_centre for server in all_of_it}
            picked = subset(self._entry, self._data_centre, places, size=SUBSET_SIZE)
            chosen = frozenset(picked)
            self._chosen[service] = (ids, chosen)
        return [server for server in all_of_it if server.id in chosen]
