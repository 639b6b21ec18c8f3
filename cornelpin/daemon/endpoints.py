"""Selects the processes that an entry keeps links to, with their addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.subsetting import coverage_subset, subset, subset_size

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.core.config import Config
    from cornelpin.daemon.settings import Settings


@attrs.frozen
class Endpoint:
    """Address at which a process listens for peers.

    Attributes:
        address: Address and port as ``ip:port``.
        data_centre: Data centre of its host.
    """

    address: str
    data_centre: str


def side_endpoints(config: Config, name: str, data_centre: str) -> dict[str, Endpoint]:
    """Returns the sides that an entry is linked to, by backend server.

    They are a bounded subset of each route's backend servers and of those without a
    route, and the backend servers that a hash ring assigns to this entry.
    """
    endpoints = _endpoints(config, config.backend_servers)
    routed = [set(route.backend_servers) for route in config.routes.values()]
    pools = [*routed, set(endpoints).difference(*routed)]
    chosen: set[str] = set()
    size = subset_size(len(routed))
    for pool in pools:
        data_centres = {s: endpoints[s].data_centre for s in pool if s in endpoints}
        chosen.update(subset(name, data_centre, data_centres, size=size))
    chosen.update(coverage_subset(name, config.entries, endpoints))
    return {server: endpoints[server] for server in sorted(chosen)}


def neighbour_endpoints(config: Config, name: str) -> dict[str, Endpoint]:
    """Returns the entries that an entry keeps links to.

    The entries form a ring in order of their names. Each one is linked to those at
    distances 1, 2, 4 and so on, so that both the links of an entry and the hops to any
    other entry grow with the logarithm of the number of entries.
    """
    ring = sorted(config.entries)
    if name not in ring:
        return {}
    start = ring.index(name)
    distances = [1 << power for power in reversed(range(len(ring).bit_length()))]
    chosen = [ring[(start + d) % len(ring)] for d in distances if d < len(ring)]
    return _endpoints(config, {n: config.entries[n] for n in chosen})


def seed_endpoints(settings: Settings) -> dict[str, Endpoint]:
    """Returns the entries to connect to before a configuration is known."""
    own = f"{settings.address}:{settings.peer_port}"
    return {
        f"seed-{seed}": Endpoint(seed, "") for seed in settings.seeds if seed != own
    }


def _endpoints(config: Config, listed: Mapping[str, Any]) -> dict[str, Endpoint]:
    found = {}
    for name, item in listed.items():
        host = config.hosts.get(item.host)
        if host is not None:
            address = f"{host.address}:{item.peer_port}"
            found[name] = Endpoint(address, host.data_centre)
    return found
