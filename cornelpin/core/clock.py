"""Hybrid logical clock: timestamps that order events across all processes."""

from __future__ import annotations

import threading
import time

LOGICAL_BITS = 16
_LOGICAL_MASK = (1 << LOGICAL_BITS) - 1


class HybridClock:
    """Issues 64-bit timestamps: wall time in milliseconds and a logical counter."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last = 0

    def now(self) -> int:
        """Returns a timestamp greater than all issued or observed before."""
        wall = int(time.time() * 1000) << LOGICAL_BITS
        with self._lock:
            self._last = max(wall, self._last + 1)
            return self._last

    def observe(self, stamp: int) -> None:
        """Advances the clock to a timestamp received from another process."""
        with self._lock:
            self._last = max(self._last, stamp)


def wall_seconds(stamp: int) -> float:
    """Returns the wall time of a timestamp in seconds since the epoch."""
    return (stamp >> LOGICAL_BITS) / 1000


def logical_part(stamp: int) -> int:
    """Returns the logical counter of a timestamp."""
    return stamp & _LOGICAL_MASK
