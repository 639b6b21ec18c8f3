"""Prefix affinity: which backend servers hold the prefix of a prompt.

Engines publish their cache events late and with gaps, so an entry goes by its own
grants: whoever got a prompt last holds its prefix. For a prefix it has not seen it
falls back on rendezvous hashing, so that entries agree without a message.
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

BLOCK_BYTES = 256
MAX_BLOCKS = 32
DIGEST_BYTES = 12
MAX_DIGESTS = 20_000
HOLDERS = 2
WEIGHT_RANGE = 256**RENDEZVOUS_WEIGHT_BYTES


def prefix_digests(workspace: str, text: bytes) -> tuple[str, ...]:
    """Returns chained digests of a prompt's leading blocks, shortest first.

    Digests are bound to the workspace, so that nobody learns of another's prompts
    from where a request runs.
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
    """The backend servers that were granted each prefix last, bounded by count."""

    def __init__(self, limit: int = MAX_DIGESTS) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._holders: collections.OrderedDict[str, tuple[str, ...]]
        self._holders = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def note(self, digests: Sequence[str], server: str) -> None:
        """Notes that a server has got a prompt with these prefixes."""
        with self._lock:
            for digest in digests:
                others = [s for s in self._holders.pop(digest, ()) if s != server]
                self._holders[digest] = (server, *others[: HOLDERS - 1])
            while len(self._holders) > self._limit:
                self._holders.popitem(last=False)

    def cached_bytes(self, digests: Sequence[str]) -> dict[str, int]:
        """Returns the bytes of a prompt's prefix that each server should hold."""
        held: dict[str, int] = {}
        with self._lock:
            for count, digest in enumerate(digests, start=1):
                holders = self._holders.get(digest)
                if holders is None:
                    break
                for server in holders:
                    held[server] = count * BLOCK_BYTES
        return held


def preferred_servers(
    digests: Sequence[str], capacities: Mapping[str, float]
) -> list[str]:
    """Returns the servers in the order in which all entries take to a new prefix.

    Each server comes first for a share of the prefixes that follows its capacity.

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
