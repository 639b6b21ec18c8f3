"""Deterministic subsetting of the sides that an entry is linked to.

Each entry keeps links to a bounded subset of a route's backend servers, so that its
number of links and the cost of a decision do not grow with the fleet.
"""

from __future__ import annotations

import bisect
import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Links of an entry to the backend servers of one route, and of all routes.
SUBSET_SIZE = 24
MAX_LINKS_ALL_ROUTES = 96
MIN_SUBSET_SIZE = 2
# Entries linked to each backend server whether or not it is in their subset.
COVERING_ENTRIES = 2
# Fraction of the links of a subset within the entry's own data centre.
LOCAL_SHARE = 0.5
RENDEZVOUS_WEIGHT_BYTES = 8


def rendezvous_weight(key: str, candidate: str) -> int:
    """Returns the weight of a candidate for a key in rendezvous hashing."""
    text = f"{key}\0{candidate}".encode()
    return int.from_bytes(
        hashlib.blake2b(text, digest_size=RENDEZVOUS_WEIGHT_BYTES).digest()
    )


def subset_size(routes: int) -> int:
    """Returns the number of links per route that bounds an entry's links in total."""
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

    Half of the links go to the entry's own data centre, the others to the servers
    with the highest weights regardless of data centre, so that some links survive the
    loss of a data centre. Adding or removing one backend server changes at most one
    link.

    Args:
        entry: Name of the entry.
        data_centre: Data centre of the entry.
        servers: Data centre of each backend server of the route.
        size: Maximum number of links.
    """
    if len(servers) <= size:
        return sorted(servers)
    own = (name for name, centre in servers.items() if centre == data_centre)
    chosen = highest_weighted(entry, own, int(size * LOCAL_SHARE))
    others = (name for name in servers if name not in chosen)
    return sorted([*chosen, *highest_weighted(entry, others, size - len(chosen))])


def coverage_subset(
    entry: str, entries: Iterable[str], servers: Iterable[str]
) -> list[str]:
    """Returns the backend servers that an entry is linked to besides its subset.

    With few entries, some backend servers are in no entry's subset by chance. So each
    server is also linked to the ``COVERING_ENTRIES`` that follow it on a hash ring.
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
    """Returns the names with the highest rendezvous weights, in descending order."""
    return heapq.nlargest(count, names, key=lambda name: rendezvous_weight(key, name))
