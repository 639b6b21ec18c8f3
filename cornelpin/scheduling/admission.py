"""Admission control: tells a caller on arrival whether a slot will come free in time.

Answers bursts of several seconds in which more requests arrive than the servers can
run. A caller that will not be served learns it at once, together with the time at which
to come back, instead of after seconds in the queue.
"""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.jobs import Review

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.scheduling.jobs import Job

ADMISSION_WINDOW_S = 1.5
"""Time over which admissions are counted: a part of a burst, and long enough for dozens
of requests per entry."""
MAX_ADMITTED = 400
"""Admissions kept; at a higher rate the window is shorter."""
MIN_DRAIN_SHARE = 0.1
"""Lower bound of the rate at which a queue drains, as a part of the rate at which slots
come free: even while more urgent requests take all slots, gaps between them remain."""
EARLY_REFUSAL_FACTOR = 0.97
LATE_REFUSAL_FACTOR = 1.3
"""Factors on the safety margin after an early refusal and after a late one. They
balance when nine of ten refusals are early."""
MARGIN_RANGE = (0.3, 2.0)
"""Range of the safety margin, a factor on a forecast wait. Below 1 a request may be
admitted although its slot is expected too late, as most waits are below the mean."""
REVIEW_SHARE = 0.15
"""Part of its objective after which a queued request is reviewed for the first time:
the queue has shown by then how fast it moves, and its caller has hardly waited. Also
the interval of the reviews after the objective is missed."""
EARLY_STRICTNESS = 4.0
"""Factor on the safety margin in the first review."""
MIN_HOLD_S = 1e-3
"""Lower bound of the time for which a request holds a slot, against division by
zero."""
MIN_RELEASE_RATE = 1e-3
"""Lower bound of the slots that come free per second, likewise."""
MIN_OWN_SHARE = 1e-3
"""Lower bound of the part of all requests that reach this entry, likewise."""
MIN_RETRY_S = 0.2
"""Shortest Retry-After of a refused request, seconds."""
MAX_RETRY_S = 30.0
"""Longest Retry-After for a server's limit, seconds: limits end without notice."""
RETRY_SHARES = (0.21, 0.32)
"""Range of the random Retry-After, as parts of the time to the deadline: below a third,
the longest that clients wait, and wide enough that the callers of one burst do not
return together."""
RUN_MARGIN = 1.5
"""Multiple of the expected duration of a run that a Retry-After leaves for it."""


@attrs.frozen
class ServiceLoad:
    """Load of a service when a request arrives or slots are granted.

    Attributes:
        slots: Slots of all usable servers.
        free: Free slots among them.
        hold_s: Mean time for which a request holds a slot, seconds.
        limited_slots: Slots of servers with limits, among all.
        limited_per_s: Requests per second that these servers take.
        queued: Requests queued at all entries, as far as their scores are known here.
    """

    slots: int
    free: int
    hold_s: float
    limited_slots: int = 0
    limited_per_s: float = 0.0
    queued: int = 0

    @property
    def contested(self) -> bool:
        """Whether other requests wait for the slots."""
        return self.queued > 0

    @property
    def release_rate(self) -> float:
        """Slots that come free per second while all that may be used are taken."""
        unlimited = self.slots - self.limited_slots
        rate = unlimited / max(self.hold_s, MIN_HOLD_S) + self.limited_per_s
        return max(rate, MIN_RELEASE_RATE)


@attrs.frozen
class Forecast:
    """What an arriving request can expect.

    Attributes:
        ahead: Requests that are served before it, at all entries.
        wait_s: Expected wait for a slot, seconds.
    """

    ahead: int
    wait_s: float


class AdmissionControl:
    """Forecasts waits at one entry for one service, and decides who may queue.

    The wait is that of a priority queue: the requests ahead, divided by the rate at
    which slots come free less the rate at which requests of higher scores are admitted.
    A safety margin on it corrects itself: it grows when an admitted request has to be
    refused after all.

    Args:
        rng: Source of randomness.

    Attributes:
        margin: The safety margin.
    """

    def __init__(self, rng: Callable[[], float] = random.random) -> None:
        self._rng = rng
        # Monotonic time and score of each recently admitted request.
        self._admitted: deque[tuple[float, float]] = deque(maxlen=MAX_ADMITTED)
        self.margin = MARGIN_RANGE[0]

    def record_admission(self, score: float, now: float) -> None:
        """Counts a request that is queued."""
        self._admitted.append((now, score))

    def forecast(
        self, score: float, ahead: int, load: ServiceLoad, own_share: float, now: float
    ) -> Forecast:
        """Returns the forecast for a request.

        Without any server the wait is zero, because one may become usable at any
        moment.

        Args:
            score: Its queue score.
            ahead: Queued requests of higher scores at all entries.
            load: Load of the service.
            own_share: Part of all entries' requests that arrive at this one.
            now: Monotonic time in seconds.
        """
        if ahead < load.free or not load.slots:
            return Forecast(ahead, 0.0)
        passing = self._rate_above(score, now) / max(own_share, MIN_OWN_SHARE)
        drain = max(load.release_rate - passing, MIN_DRAIN_SHARE * load.release_rate)
        return Forecast(ahead, (ahead - load.free + 1) / drain)

    def _rate_above(self, score: float, now: float) -> float:
        """Returns the admissions per second here of requests with higher scores."""
        while self._admitted and now - self._admitted[0][0] > ADMISSION_WINDOW_S:
            self._admitted.popleft()
        window_s = ADMISSION_WINDOW_S
        if len(self._admitted) == MAX_ADMITTED:
            window_s = max(MIN_HOLD_S, now - self._admitted[0][0])
        return sum(1 for _, other in self._admitted if other > score) / window_s

    def admits(
        self, forecast: Forecast, until: float, now: float, *, strictness: float = 1.0
    ) -> bool:
        """Returns whether a slot is expected to come free by a monotonic time.

        Args:
            forecast: The forecast.
            until: The monotonic time.
            now: Monotonic time in seconds.
            strictness: Factor on the safety margin.
        """
        return now + strictness * self.margin * forecast.wait_s <= until

    def retry_after_s(self, job: Job, run_s: float, now: float) -> float:
        """Returns the Retry-After of a refused request, seconds.

        A client that returns during the same burst is refused again and has less time
        left, so returns are spread over the later part of the time for which clients
        wait at all. A request with a long answer returns sooner, because it needs its
        time to run.

        Args:
            job: The request.
            run_s: Expected duration of its run, seconds.
            now: Monotonic time in seconds.
        """
        least, most = RETRY_SHARES
        share = least + (most - least) * self._rng()
        left_s = job.deadline - now
        return max(MIN_RETRY_S, min(share * left_s, left_s - RUN_MARGIN * run_s))

    def refused_early(self) -> None:
        """Records a refusal on arrival or soon after."""
        self._scale_margin(EARLY_REFUSAL_FACTOR)

    def refused_late(self) -> None:
        """Records the refusal of a request that has waited."""
        self._scale_margin(LATE_REFUSAL_FACTOR)

    def _scale_margin(self, factor: float) -> None:
        least, most = MARGIN_RANGE
        self.margin = min(most, max(least, self.margin * factor))


def latest_start(job: Job, first_s: float) -> float:
    """Returns the monotonic time until which a slot is of use to a job.

    That is two expected response times before its client disconnects.
    """
    return job.abandoned_at - 2 * first_s


def due_review(job: Job, now: float, first_s: float) -> Review | None:
    """Returns the review of a queued job that is due, if any."""
    if now >= latest_start(job, first_s):
        return Review.EXPIRED
    if job.run_failed:
        return None
    waited_s = now - job.queued_since
    if (
        waited_s > REVIEW_SHARE * job.route.objective_s
        and job.reviewed_at < job.queued_since
    ):
        return Review.EARLY
    # Client retries are late from the start and were admitted as such.
    if (
        now > job.objective - first_s
        and now - job.reviewed_at > REVIEW_SHARE * job.route.objective_s
        and not job.is_client_retry
    ):
        return Review.LATE
    return None


def prospects(job: Job, now: float, first_s: float) -> list[tuple[float, float]]:
    """Returns the ways in which a job may still be served: in time, or late.

    A first attempt whose response could not be in time is not queued for a late one:
    its caller can come back when there is room. One that has become late in the queue
    may stay for it.

    Returns:
        For each way a monotonic time at which its queue score is to be taken, and the
        time by which a slot has to come free for it.
    """
    in_time = job.objective - first_s
    late = latest_start(job, first_s)
    ways = [(now, min(in_time, late))] if now <= in_time else []
    if job.is_client_retry or not ways:
        ways.append((max(now, job.objective), late))
    return ways
