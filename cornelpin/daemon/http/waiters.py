"""Tracks callers that wait for a record, so that a planned stop waits for them."""

from __future__ import annotations

import threading


class Waiters:
    """Set of waiting callers.

    A caller with an idempotency key is identified by the owner id of its record
    (``keyed.py``), one of a durable request by its request id (``durable.py``). Both
    are random and unique per HTTP request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: set[str] = set()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, name: str) -> None:
        """Adds a caller."""
        with self._lock:
            self._waiting.add(name)

    def remove(self, name: str) -> None:
        """Removes a caller."""
        with self._lock:
            self._waiting.discard(name)
