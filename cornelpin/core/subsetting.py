"""Choice of the sides that an entry is linked to.

Each entry keeps links to a bounded, deterministic subset of the backend servers of a
route, so that its links and the cost of a decision stay flat as the fleet grows.
"""

from __future__ import annotations

import bisect
import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

SUBSET_SIZE = 24
MAX_LINKS_ALL_ROUTES = 96
MIN_SUBSET_SIZE = 2
COVERING_ENTRIES = 2
OWN_DATA_CENTRE_SHARE = 0.5
RENDEZVOUS_WEIGHT_BYTES = 8


def rendezvous_weight(entry: str, server: str) -> int:
    """Returns the rendezvous weight of a backend server for an entry."""
    text = f"{entry}\0{server}".encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=RENDEZVOUS_WEIGHT_BYTES).digest()
    )


def subset_size(routes: int) -> int:
    """Returns the places for each route, so that those of all stay bounded."""
    return max(
        MIN_SUBSET_SIZE, min(SUBSET_SIZE, MAX_LINKS_ALL_ROUTES // max(1, routes))
    )


def subset(
    entry: str,
    data_centre: str,
    servers: Mapping[str, str],
    *,
    size: int = SUBSET_SIZE,
) -> list[str]:
    """Returns the backend servers of one route that an entry is linked to.

    Half of the places go to the entry's own data centre, the rest to any by their
    weight, so that a lost data centre leaves links. A change of one backend server
    changes at most one place.

    Args:
        entry: Name of the entry.
        data_centre: Data centre of the entry.
        servers: Data centre of each backend server of the route.
        size: Number of places.
    """
    if len(servers) <= size:
        return sorted(servers)
    own = (name for name, centre in servers.items() if centre == data_centre)
    chosen = highest_weighted(entry, own, int(size * OWN_DATA_CENTRE_SHARE))
    others = (name for name in servers if name not in chosen)
    return sorted([*chosen, *highest_weighted(entry, others, size - len(chosen))])


def coverage_subset(
    entry: str, entries: Iterable[str], servers: Iterable[str]
) -> list[str]:
    """Returns the backend servers that an entry is linked to besides its subset.

    Subsets leave out some backend servers by chance where there are few entries, so
    each one is also linked to the entries that follow it on a ring of hashes.
    """
    ring = sorted((rendezvous_weight("", name), name) for name in entries)
    followers = min(COVERING_ENTRIES, len(ring))
    chosen = []
    for server in servers:
        start = bisect.bisect(ring, (rendezvous_weight("", server), ""))
        following = [ring[(start + i) % len(ring)][1] for i in range(followers)]
        if entry in following:
            chosen.append(server)
    return chosen


def highest_weighted(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the names with the highest rendezvous weights, the highest first."""
    return heapq.nlargest(count, names, key=lambda name: rendezvous_weight(key, name))
