"""Departure rate of a queue, measured over a sliding window."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S = 4.0


class DepartureRate:
    """Counts departures within a sliding window; not thread-safe."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._departures: collections.deque[float] = collections.deque()

    def record_departure(self) -> None:
        """Records one departure."""
        self._departures.append(self._clock())

    def per_s(self) -> float:
        """Returns the departures per second over the window."""
        self._drop_expired()
        return len(self._departures) / WINDOW_S

    def _drop_expired(self) -> None:
        oldest = self._clock() - WINDOW_S
        while self._departures and self._departures[0] < oldest:
            self._departures.popleft()
