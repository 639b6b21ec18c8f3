"""Prefix affinity: estimates which backend servers have a prompt's prefix in cache.

Backend servers publish their cache events late and with gaps, so an entry relies on its
own grants: the servers that received a prompt last should have its prefix. For an
unseen prefix it uses rendezvous hashing, so that entries agree without a message.
"""

from __future__ import annotations

import collections
import hashlib
import math
import threading
from typing import TYPE_CHECKING

from cornelpin.core.subsetting import RENDEZVOUS_WEIGHT_BYTES, rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Prefixes are compared in whole blocks of this size, up to MAX_BLOCKS of them.
BLOCK_BYTES = 256
MAX_BLOCKS = 32
DIGEST_BYTES = 12
MAX_DIGESTS = 20_000
# Servers remembered for each prefix, the latest first.
SERVERS_PER_PREFIX = 2
WEIGHT_RANGE = 256**RENDEZVOUS_WEIGHT_BYTES


def prefix_digests(workspace: str, text: bytes) -> tuple[str, ...]:
    """Returns chained digests of a prompt's leading blocks, shortest first.

    The workspace's name seeds the chain: otherwise the choice of the server would
    reveal to a caller that another workspace has sent the same prompt.
    """
    blocks = min(MAX_BLOCKS, len(text) // BLOCK_BYTES)
    digests = []
    state = workspace.encode()
    for index in range(blocks):
        block = text[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        state = hashlib.blake2b(state + block, digest_size=DIGEST_BYTES).digest()
        digests.append(state.hex())
    return tuple(digests)


class PrefixTable:
    """LRU table of the backend servers to which each prefix was last granted.

    Args:
        limit: Maximum number of digests.
    """

    def __init__(self, limit: int = MAX_DIGESTS) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._servers: collections.OrderedDict[str, tuple[str, ...]]
        self._servers = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._servers)

    def note(self, digests: Sequence[str], server: str) -> None:
        """Records that a prompt with these prefixes was granted to a server."""
        with self._lock:
            for digest in digests:
                others = [s for s in self._servers.pop(digest, ()) if s != server]
                self._servers[digest] = (server, *others[: SERVERS_PER_PREFIX - 1])
            while len(self._servers) > self._limit:
                self._servers.popitem(last=False)

    def cached_bytes(self, digests: Sequence[str]) -> dict[str, int]:
        """Returns the prefix bytes of a prompt that each server should have cached."""
        cached: dict[str, int] = {}
        with self._lock:
            for count, digest in enumerate(digests, start=1):
                servers = self._servers.get(digest)
                if servers is None:
                    break
                for server in servers:
                    cached[server] = count * BLOCK_BYTES
        return cached


def preferred_servers(
    digests: Sequence[str], capacities: Mapping[str, float]
) -> list[str]:
    """Returns the servers in the order in which all entries prefer them for a prefix.

    Uses weighted rendezvous hashing: each server comes first for a share of the
    prefixes proportional to its capacity. Only the first block counts, so that prompts
    with a common beginning prefer the same servers.

    Args:
        digests: Chained digests of a prompt's leading blocks.
        capacities: Relative capacity of each server.
    """
    if not digests:
        return []

    def score(server: str) -> float:
        draw = (rendezvous_weight(digests[0], server) + 0.5) / WEIGHT_RANGE
        return -capacities[server] / math.log(draw)

    return sorted(capacities, key=score, reverse=True)
