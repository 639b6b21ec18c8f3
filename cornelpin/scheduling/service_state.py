"""State of one service at one entry: its queue, and estimates over its servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.speed import PRIOR_GAP_S

if TYPE_CHECKING:
    from cornelpin.scheduling.admission import AdmissionControl
    from cornelpin.scheduling.hedging import Hedging
    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.request_queue import RequestQueue

PRIOR_HOLD_S = 0.5
"""Initial mean time for which a request of a service holds a slot."""
DECAY = 0.95
"""Weight of the old value in the moving averages."""
PRIOR_OUTPUT_TOKENS = 200.0
"""Initial mean output of a route's requests, in tokens."""
PRIOR_FIRST_S = 0.03
"""Initial mean response time of a service: the time from the send to the first event
of a stream, or to the whole response if it is not streamed."""
PRIOR_COLD_SLOWDOWN = 2.0
"""Initial factor on the times of a service's cold servers."""
RENEW_S = 2.0
"""Time without the end of a stream after which one runs whatever is expected of it."""
MAX_COLD_SLOWDOWN = 10.0
"""Upper bound of that factor."""


def _blend(old: float, sample: float) -> float:
    return DECAY * old + (1 - DECAY) * sample


@attrs.define
class ServiceState:
    """State of one service at this entry.

    Attributes:
        queue: Its queued requests.
        admission: Decides which requests may queue.
        hold_s: Mean time for which a request holds a slot, seconds.
        first_s: Mean response time, seconds.
        gap_s: Mean gap between two events of a stream, seconds.
        mean_output: Mean output tokens by route name.
        free_share: Share of its slots that were free after the last grant.
        cold_slowdown: Mean factor on the response times of its cold servers.
        hedging: Decides when its requests are hedged.
        renewed_at: Monotonic time at which a stream last ended here, or began to renew
            the estimates.
    """

    queue: RequestQueue
    admission: AdmissionControl
    hedging: Hedging
    hold_s: float = PRIOR_HOLD_S
    first_s: float = PRIOR_FIRST_S
    gap_s: float = PRIOR_GAP_S
    mean_output: dict[str, float] = attrs.field(factory=dict)
    free_share: float = 1.0
    cold_slowdown: float = PRIOR_COLD_SLOWDOWN
    renewed_at: float = float("-inf")

    def typical_tokens(self, route: str) -> float:
        """Returns the mean output tokens of a route, by its name."""
        return self.mean_output.get(route, PRIOR_OUTPUT_TOKENS)

    def knows_output(self, route: str) -> bool:
        """Returns whether streams of a route have shown how long they are."""
        return route in self.mean_output

    def run_s(self, job: Job) -> float:
        """Returns the expected duration of a run of a job, seconds."""
        if not job.stream:
            return self.first_s
        return self.first_s + job.output_tokens / job.event_tokens * self.gap_s

    def record_response(self, took_s: float) -> None:
        """Records a response time in seconds."""
        self.first_s = _blend(self.first_s, took_s)

    def record_cold_response(self, factor: float) -> None:
        """Records a cold server's response time as a multiple of that of a warm one."""
        factor = min(MAX_COLD_SLOWDOWN, max(1.0, factor))
        self.cold_slowdown = _blend(self.cold_slowdown, factor)

    def renews_estimates(self, now: float) -> bool:
        """Returns whether a stream should run whatever is expected of it.

        If none ran, nothing would show that the estimates are wrong.
        """
        if now - self.renewed_at < RENEW_S:
            return False
        self.renewed_at = now
        return True

    def record_output(self, job: Job, events: int, now: float) -> None:
        """Updates the mean output of a route, given the events of a complete stream."""
        self.renewed_at = now
        tokens = float(events * job.event_tokens)
        old = self.mean_output.get(job.route.name, tokens)
        self.mean_output[job.route.name] = _blend(old, tokens)

    def record_hold(self, held_s: float, gap_s: float) -> None:
        """Records for how long a request held a slot, and the gap of its server."""
        self.hold_s = _blend(self.hold_s, held_s)
        self.gap_s = _blend(self.gap_s, gap_s)
