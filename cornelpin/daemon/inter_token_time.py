"""Measures the time between the parts of answers at one backend server."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornelpin.daemon.runs import Run

# Weight of the latest answer in the moving average.
LATEST_WEIGHT = 0.1
MIN_PARTS = 4


class InterTokenTime:
    """Moving average of the seconds between tokens, over answered runs."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.seconds = 0.0

    def observe(self, run: Run) -> None:
        """Takes an answered run; short answers say too little."""
        if (
            run.first_part_at is None
            or run.ended_at is None
            or run.part_count < MIN_PARTS
        ):
            return
        latest = (run.ended_at - run.first_part_at) / (run.part_count - 1)
        with self._lock:
            if self.seconds:
                latest = self.seconds + LATEST_WEIGHT * (latest - self.seconds)
            self.seconds = latest
