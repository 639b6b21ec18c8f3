"""Limits the rate of an entry's writes to the object store."""

from __future__ import annotations

import threading
import time


class WriteBudget:
    """Limits the write rate of one entry, with bursts.

    Changes that arrive while a write is delayed join its batch.
    """

    def __init__(self, writes_per_s: float, burst: float) -> None:
        self._lock = threading.Lock()
        self._interval_s = 1.0 / writes_per_s
        self._burst_s = burst / writes_per_s
        self._next_at = 0.0

    def reserve(self) -> float:
        """Reserves one write; returns the delay before it in seconds."""
        now = time.monotonic()
        with self._lock:
            start = max(self._next_at, now - self._burst_s)
            self._next_at = start + self._interval_s
            return max(0.0, start - now)
