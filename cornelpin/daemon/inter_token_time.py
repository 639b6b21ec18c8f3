"""Measures a backend server's time between tokens, by which entries rank servers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornelpin.daemon.runs import Run

# Weight of the latest response in the moving average.
LATEST_WEIGHT = 0.1
# Responses of fewer parts give too imprecise a time.
MIN_PARTS = 4


class InterTokenTime:
    """Exponential moving average of the seconds between tokens of completed runs.

    Attributes:
        seconds: The average, zero before the first measurement.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.seconds = 0.0

    def observe(self, run: Run) -> None:
        """Adds a completed run."""
        if (
            run.first_part_at is None
            or run.ended_at is None
            or run.part_count < MIN_PARTS
        ):
            return
        # Each part of a stream holds about one token.
        token_s = (run.ended_at - run.first_part_at) / (run.part_count - 1)
        with self._lock:
            if self.seconds:
                token_s = self.seconds + LATEST_WEIGHT * (token_s - self.seconds)
            self.seconds = token_s
