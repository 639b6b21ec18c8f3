"""Notices that the host was suspended, which the monotonic clock does not count."""

from __future__ import annotations

import time

MIN_SUSPENSION_S = 0.1
"""Shorter times are not reported: ages of this size make no difference."""


class SuspensionDetector:
    """Compares the clock that runs on during a suspension with the monotonic one."""

    def __init__(self) -> None:
        self._offset_s = _offset_s()

    def check(self) -> float:
        """Returns the seconds for which the host was suspended since the last check."""
        before, self._offset_s = self._offset_s, _offset_s()
        suspended_s = self._offset_s - before
        return suspended_s if suspended_s >= MIN_SUSPENSION_S else 0.0


def _offset_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
