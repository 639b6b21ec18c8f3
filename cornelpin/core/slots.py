"""Slots of one backend server, with a share for each tier."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class SlotTable:
    """Counts the requests running on one backend server; not thread-safe."""

    def __init__(self, total: int) -> None:
        self.total = total
        self._held: dict[str, int] = {}

    @property
    def used(self) -> int:
        """Number of slots in use."""
        return sum(self._held.values())

    @property
    def free(self) -> int:
        """Number of free slots."""
        return max(0, self.total - self.used)

    def allows(self, tier: str, slot_share: float) -> bool:
        """Whether one more request of a tier may start now."""
        if self.free == 0:
            return False
        limit = max(1, math.floor(slot_share * self.total))
        return self._held.get(tier, 0) < limit

    def acquire(self, tier: str) -> Callable[[], None]:
        """Takes a slot and returns the function that gives it back, once."""
        self._held[tier] = self._held.get(tier, 0) + 1
        held = [tier]

        def release() -> None:
            if held:
                self._held[held.pop()] -= 1

        return release
