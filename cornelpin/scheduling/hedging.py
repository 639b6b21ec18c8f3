"""Hedged requests: a second send while the first server is slower than usual.

Answers a few slow responses among many fast ones: a neighbour that slows a server down,
a grey server, a long tail of work. Under overload it adds nothing.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cornelpin.scheduling.jobs import Job

MIN_SAMPLES = 20
"""Responses of a route that are measured before any of its requests is hedged."""
MAX_SAMPLES = 200
"""Last responses that are kept: the quantile follows the load within seconds."""
MIN_DELAY_S = 0.005
"""Shortest delay of a second send: several round trips."""
MAX_SHARE = 0.2
"""Largest share of the requests that may be hedged."""
RETRY_BUDGET_PART = 0.5
"""Part of the retry budget that hedges may use up. Retries of failed requests may use
all of it, so they go first."""
MIN_FREE_SHARE = 0.25
"""Share of a service's slots that are free at least when a request is hedged."""

NO_SAMPLES = "few samples"
BUSY = "requests wait, or few slots are free"
NO_SERVER = "no other sound server is free"
NO_BUDGET = "the limit is reached"
OVER_QUOTA = "the workspace is at its limit"
"""Reasons for which a slow request is not hedged, for the log and the metrics."""


def _check_share(instance: object, attribute: object, value: float) -> None:
    if not 0.0 <= value <= MAX_SHARE:
        raise ValueError(f"expected a number from 0 to {MAX_SHARE}, found {value!r}")


@attrs.frozen
class HedgingPolicy:
    """Which part of the requests may be hedged.

    Attributes:
        share: Hedges per request of a service, over all entries together. Zero turns
            hedging off.
        streams: Whether resumable streams are hedged, too. A second prompt slows the
            streams of its server down.
        routes_off: Names of the routes of which no request is hedged.
        workspaces_off: Names of such workspaces.
    """

    share: float = attrs.field(default=0.0, validator=_check_share)
    streams: bool = False
    routes_off: frozenset[str] = frozenset()
    workspaces_off: frozenset[str] = frozenset()

    def allows(self, job: Job) -> bool:
        """Returns whether a job is of a kind that is hedged."""
        if job.stream and not self.streams:
            return False
        left_out = job.workspace and job.workspace in self.workspaces_off
        return not left_out and job.route.name not in self.routes_off


class Hedging:
    """Decides when the requests of one service at this entry are hedged.

    Each request earns a part of a hedge. An entry that starts has earned none, and what
    is earned beyond one hedge is lost, so all entries together never exceed the share,
    also across restarts and partitions.

    Args:
        policy: The policy.
    """

    def __init__(self, policy: HedgingPolicy) -> None:
        self._share = policy.share
        self._earned = 0.0
        # Response times as multiples of the expected ones, by route name.
        self._ratios: dict[str, deque[float]] = {}

    @property
    def enabled(self) -> bool:
        """Whether any request is hedged."""
        return self._share > 0.0

    def note_request(self) -> None:
        """Counts a request of the service."""
        self._earned = min(1.0, self._earned + self._share)

    def record_response(self, route: str, took_s: float, expected_s: float) -> None:
        """Records a response time and what was expected, in seconds."""
        ratios = self._ratios.setdefault(route, deque(maxlen=MAX_SAMPLES))
        ratios.append(took_s / max(expected_s, MIN_DELAY_S))

    def delay_s(self, route: str, expected_s: float) -> float | None:
        """Returns the time from a send after which it is slow, seconds.

        As many responses take longer as may be hedged. None with too few samples.

        Args:
            route: Name of the route.
            expected_s: Expected response time of the server, seconds.
        """
        ratios = self._ratios.get(route, ())
        if not self.enabled or len(ratios) < MIN_SAMPLES:
            return None
        ordered = sorted(ratios)
        ratio = ordered[min(len(ordered) - 1, int((1.0 - self._share) * len(ordered)))]
        return max(MIN_DELAY_S, ratio * expected_s)

    def take(self) -> bool:
        """Takes a hedge; returns False if none has been earned."""
        if self._earned < 1.0:
            return False
        self._earned -= 1.0
        return True
