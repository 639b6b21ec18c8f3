"""Spreads the writes of an entry to the object store over time."""

from __future__ import annotations

import threading
import time


class WriteBudget:
    """Spreads the writes of one entry over time; batches grow meanwhile."""

    def __init__(self, writes_per_s: float, burst: float) -> None:
        self._lock = threading.Lock()
        self._interval_s = 1.0 / writes_per_s
        self._slack_s = burst / writes_per_s
        self._next_at = 0.0

    def reserve(self) -> float:
        """Reserves one write; returns the seconds to wait before it."""
        now = time.monotonic()
        with self._lock:
            start = max(self._next_at, now - self._slack_s)
            self._next_at = start + self._interval_s
            return max(0.0, start - now)
