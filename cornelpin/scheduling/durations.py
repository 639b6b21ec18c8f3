"""How long the requests of each route take, from their arrival to their end.

Load pattern: an entry that is to stop soon still gets requests, some of which may take
longer than it will run.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs

DECAY = 0.9
"""Weight of the old value in the moving averages."""
DEVIATIONS = 3.0
"""Mean deviations above the mean within which nearly all requests end."""
MAX_ROUTES = 5_000
"""Routes with measured durations; the one recorded least recently is dropped."""


@attrs.define
class _Duration:
    """Moving averages of a route's durations and of their deviation, seconds."""

    mean_s: float
    deviation_s: float


class RouteDurations:
    """Measured durations of the requests of each route at one entry."""

    def __init__(self) -> None:
        self._durations: OrderedDict[str, _Duration] = OrderedDict()

    def record(self, route: str, took_s: float) -> None:
        """Records the duration of an answered request in seconds."""
        duration = self._durations.get(route)
        if duration is None:
            self._durations[route] = _Duration(took_s, took_s / 2)
            if len(self._durations) > MAX_ROUTES:
                self._durations.popitem(last=False)
            return
        self._durations.move_to_end(route)
        deviation_s = abs(took_s - duration.mean_s)
        duration.deviation_s += (1 - DECAY) * (deviation_s - duration.deviation_s)
        duration.mean_s += (1 - DECAY) * (took_s - duration.mean_s)

    def upper_s(self, route: str) -> float | None:
        """Returns the time within which nearly all requests of a route end, seconds.

        None if none has been measured.
        """
        duration = self._durations.get(route)
        if duration is None:
            return None
        return duration.mean_s + DEVIATIONS * duration.deviation_s
