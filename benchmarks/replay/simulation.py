"""The discrete-event clock of a replay."""

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
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls a function after a delay of simulated time."""
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._sequence), callback)
        )

    def run_until(self, until: float) -> None:
        """Runs all callbacks that are due until a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until
