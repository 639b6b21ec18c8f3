"""Callers in hand who wait for a record, so that a planned stop waits for them."""

from __future__ import annotations

import threading


class Waiters:
    """Counts the callers by the owner id or request that they wait for."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: set[str] = set()

    def __len__(self) -> int:
        return len(self._waiting)

    def enter(self, name: str) -> None:
        """Adds a caller."""
        with self._lock:
            self._waiting.add(name)

    def leave(self, name: str) -> None:
        """Removes a caller."""
        with self._lock:
            self._waiting.discard(name)
