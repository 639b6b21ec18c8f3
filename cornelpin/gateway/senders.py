"""Whose datagrams are taken for those of other entries, and at what cost.

The addresses of entries are listed in the store or in the settings. An entry that has
just started may not be listed here yet, or not while the store is down, so unlisted
addresses are heard as well, within a part of the memory.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornelpin.http1.memory import MemoryBudget

USE = "unlisted_senders"
"""Name of this use of the memory."""
MEMORY_SHARE = 0.1
"""Part of the budget for what unlisted addresses say."""
MEMORY_FACTOR = 40
"""Memory of a message by its size, if it consists of many short names and numbers."""
MESSAGE_BYTES = 64
"""Size that a message counts beside its own, for the peer that it may create."""
LISTING_INTERVAL_S = 10.0
"""Shortest time between two listings of the entries for the sake of unlisted ones."""


class Senders:
    """The listed addresses of entries, and what others cost.

    What an address says is charged until it is listed. It may be kept for as long as
    the process runs, so it is not released when the sender is silent.

    Args:
        memory: The memory of the process.

    Attributes:
        dropped: Number of messages dropped for want of memory.
    """

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._limit = MEMORY_SHARE * memory.limit
        self._listed: set[str] = set()
        # Memory of what each unlisted address has said.
        self._charged: dict[str, int] = {}
        self._used = 0
        self._listed_at = float("-inf")
        self._dropped_at_listing = 0
        self.dropped = 0

    def admit(self, ip: str, size: int) -> bool:
        """Returns whether a message is heard; charges it if its sender is not listed.

        Args:
            ip: Address of the sender.
            size: Size of the message in bytes.
        """
        if ip in self._listed:
            return True
        cost = MEMORY_FACTOR * (size + MESSAGE_BYTES)
        if self._used + cost > self._limit or not self._memory.try_reserve(USE, cost):
            self.dropped += 1
            return False
        self._used += cost
        self._charged[ip] = self._charged.get(ip, 0) + cost
        return True

    @property
    def listing_due(self) -> bool:
        """Whether the entries are to be listed, since unlisted addresses cost much."""
        if time.monotonic() < self._listed_at + LISTING_INTERVAL_S:
            return False
        dropped = self.dropped > self._dropped_at_listing
        return dropped or self._used > self._limit / 2

    def begin_listing(self) -> None:
        """Called before the entries are listed."""
        self._listed_at = time.monotonic()
        self._dropped_at_listing = self.dropped

    def add(self, addresses: Iterable[str]) -> None:
        """Adds listed addresses; what they have said is no longer charged."""
        for ip in addresses:
            self._listed.add(ip)
            charged = self._charged.pop(ip, 0)
            self._used -= charged
            self._memory.charge(USE, -charged)
