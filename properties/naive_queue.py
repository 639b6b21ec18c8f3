"""The naive version of a side's queue: by age, without tiers or workspaces."""

from __future__ import annotations

import collections
from collections.abc import Callable

from cornelpin.core.reservations import Reservation


class NaiveQueue:
    """Serves in order of arrival; a full queue turns the newest away."""

    def __init__(self, *, capacity: int, clock: Callable[[], float]) -> None:
        self._capacity = capacity
        self._clock = clock
        self._waiting: collections.deque[Reservation] = collections.deque()

    def place(self, res: Reservation) -> list[Reservation]:
        """Adds a reservation; returns those turned away."""
        if len(self._waiting) == self._capacity:
            return [res]
        self._waiting.append(res)
        return []

    def take_next(self, share_left, *, may_exceed) -> Reservation | None:
        """Removes and returns the oldest reservation."""
        return self._waiting.popleft() if self._waiting else None

    def expired(self) -> list[Reservation]:
        """Removes and returns the reservations that have waited too long."""
        now = self._clock()
        late = [res for res in self._waiting if now - res.placed_at > res.wait_s]
        for res in late:
            self._waiting.remove(res)
        return late
