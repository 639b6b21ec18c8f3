"""Baseline for a side's queue: first in, first out, without tiers or workspaces."""

from __future__ import annotations

import collections
from collections.abc import Callable

from cornelpin.core.reservations import Reservation


class NaiveQueue:
    """Serves in order of arrival; a full queue rejects the newest."""

    def __init__(self, *, capacity: int, clock: Callable[[], float]) -> None:
        self._capacity = capacity
        self._clock = clock
        self._queued: collections.deque[Reservation] = collections.deque()

    def place(self, res: Reservation) -> list[Reservation]:
        """Adds a reservation; returns those rejected."""
        if len(self._queued) == self._capacity:
            return [res]
        self._queued.append(res)
        return []

    def take_next(self, share_left, *, may_exceed) -> Reservation | None:
        """Removes and returns the oldest reservation."""
        return self._queued.popleft() if self._queued else None

    def expired(self) -> list[Reservation]:
        """Removes and returns the reservations whose wait is over."""
        now = self._clock()
        expired = [res for res in self._queued if now - res.placed_at > res.wait_s]
        for res in expired:
            self._queued.remove(res)
        return expired
