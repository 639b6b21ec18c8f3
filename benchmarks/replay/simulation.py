"""The clock of a replay."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Simulation:
    """Simulated clock, in seconds, with a queue of scheduled callbacks."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Does something later."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), act))

    def run(self, until: float) -> None:
        """Lets time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until
