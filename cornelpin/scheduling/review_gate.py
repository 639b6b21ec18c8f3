"""Decides when queued requests may be reviewed.

Answers pauses of the whole process, such as a starved processor or a garbage
collection. After one, the timers run before the responses that arrived in the meantime
are handled: slots that have come free still count as taken, and the queue seems not to
have moved.
"""

from __future__ import annotations

import math

MAX_DELAY_S = 0.005
"""Delay of a tick above which the process counts as paused. Every pause that is longer
than a tick's interval and this delay is noticed."""
RECOVERY_STEPS = 10
RECOVERY_STEP_S = 0.001
"""Steps of the event loop after a pause in which the responses that arrived meanwhile
are handled, and the shortest duration of each. A response takes a few steps, each as
long as the responses of all connections need."""


class ReviewGate:
    """Postpones reviews from an overdue tick until the next tick.

    Args:
        interval_s: Interval of the ticks in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        # Monotonic time of the next tick. The start of the process counts as a pause.
        self._due_at = -math.inf

    def tick(self, now: float) -> None:
        """Records a tick at a monotonic time in seconds."""
        self._due_at = now + self._interval_s

    def is_open(self, now: float) -> bool:
        """Returns whether requests may be reviewed at a monotonic time in seconds."""
        return now <= self._due_at + MAX_DELAY_S
