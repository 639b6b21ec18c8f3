"""Delayed load figures, as a monitoring system reports them.

Load is the utilisation of the engine here; the loading of versions is in
``versions.py``.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

SAMPLE_INTERVAL_S = 0.05


class LaggedLoad:
    """Samples the load and reports it with a delay.

    Args:
        sample: Returns the current load.
        lag_s: Delay in seconds.
        is_hung: Whether sampling is suspended by the ``hang`` fault.
    """

    def __init__(
        self,
        sample: Callable[[], dict[str, Any]],
        lag_s: float,
        is_hung: Callable[[], bool],
    ) -> None:
        self._sample = sample
        self._lag_s = lag_s
        self._is_hung = is_hung
        self._lock = threading.Lock()
        self._samples = deque([(time.monotonic(), sample())])

    def start(self) -> None:
        """Starts sampling in a daemon thread."""
        threading.Thread(target=self._loop, daemon=True).start()

    def read(self) -> dict[str, Any]:
        """Returns the newest sample that is at least ``lag_s`` old, else the oldest."""
        until_s = time.monotonic() - self._lag_s
        with self._lock:
            while len(self._samples) > 1 and self._samples[1][0] <= until_s:
                self._samples.popleft()
            return self._samples[0][1]

    def _loop(self) -> None:
        while True:
            time.sleep(SAMPLE_INTERVAL_S)
            if self._is_hung():
                continue
            load = self._sample()
            with self._lock:
                self._samples.append((time.monotonic(), load))
            # Drops the samples that no later read can return.
            self.read()
