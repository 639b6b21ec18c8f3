"""Priority queue of one service at an entry, with admission control.

Under overload up to twice as many requests arrive as the servers can run. The queue
serves those of most value per cost, starves no class, and refuses early what could not
be served in time.
"""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.jobs import LATE_RETRY_VALUE, LATE_VALUE, Job
from cornelpin.scheduling.request_classes import RequestClasses

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SCORE_SCALE = 1e4
"""Factor that keeps scores near one, because messages carry them rounded."""
MIN_VALUE_PER_COST = 0.5
MAX_VALUE_PER_COST = 2.0
"""Bounds of a job's value per cost, relative to a mean job of its rank: requests of
high cost are served later but not starved."""
MAX_QUEUED_SHARE = 0.15
"""Longest wait in the queue, as a part of the time from queueing to the deadline. Then
the request is refused, so that its client has time left to retry."""
RETRY_SHARES = (0.15, 0.32)
"""Range of the random Retry-After, as parts of the time to the deadline: long enough
for a burst of several seconds to end, and below a third, the longest that clients
wait."""
MIN_RETRY_S = 0.2
"""Shortest Retry-After of a refused request, seconds."""


@attrs.frozen
class ServiceLoad:
    """Load of a service when a request arrives or slots are granted.

    Attributes:
        slots: Slots of all usable servers.
        free: Free slots among them.
        hold_s: Mean time for which a request holds a slot, seconds.
        first_s: Expected response time, seconds: from a send to the first event of a
            stream, or to the whole response if it is not streamed.
    """

    slots: int
    free: int
    hold_s: float
    first_s: float

    def wait_s(self, ahead: int) -> float:
        """Returns the expected wait for a slot behind other requests, seconds.

        Without any server it is zero, because one may become usable at any moment.
        """
        if ahead < self.free or not self.slots:
            return 0.0
        return (ahead - self.free + 1) * self.hold_s / max(1, self.slots)


class RequestQueue:
    """Requests of one service that wait at this entry for a slot."""

    def __init__(self, rng: Callable[[], float] = random.random) -> None:
        # Score of each queued job as of the last ``ordered``; 0.0 if queued since then.
        self._scores: dict[Job, float] = {}
        self.classes = RequestClasses()
        self._rng = rng

    def __len__(self) -> int:
        return len(self._scores)

    def __contains__(self, job: Job) -> bool:
        return job in self._scores

    def count_request(self, job: Job, now: float) -> None:
        """Counts a request in its class, whether or not it is admitted."""
        self.classes.offer(job, now)

    def add(self, job: Job, now: float) -> None:
        """Adds a job to the queue."""
        job.queued_since = now
        self._scores[job] = 0.0

    def pop(self, job: Job, now: float, first_s: float) -> None:
        """Removes a job that is granted a slot."""
        del self._scores[job]
        late = now + first_s > job.objective
        self.classes.serve(job, now, LATE_VALUE if late else 1.0)

    def remove(self, job: Job) -> None:
        """Removes a job that ends without a slot."""
        self._scores.pop(job, None)

    def ordered(self, now: float, first_s: float) -> list[Job]:
        """Updates the scores and returns the jobs, the next one to be served first.

        Args:
            now: Monotonic time in seconds.
            first_s: Expected response time, seconds.
        """
        for job in self._scores:
            self._scores[job] = self.score(job, now, first_s)
        return sorted(self._scores, key=lambda job: (-self._scores[job], job.arrived))

    def scores(self) -> list[float]:
        """Returns the scores as of the last ``ordered``, the highest first."""
        return sorted(self._scores.values(), reverse=True)

    def score(self, job: Job, now: float, first_s: float) -> float:
        """Returns the value per cost of serving a job now.

        A late job scores less; only a late client retry keeps the boost of its class.
        """
        value = self.classes.relative_value(job)
        mean_cost = self.classes.mean_cost(job)
        # Adjusts the cost so that ``value * mean_cost / cost`` is within the bounds.
        cost = max(value * mean_cost / MAX_VALUE_PER_COST, job.cost)
        cost = min(value * mean_cost / MIN_VALUE_PER_COST, cost)
        score = SCORE_SCALE * job.rank_weight * value / cost
        if now + first_s > job.objective:
            if not job.is_client_retry:
                return score * LATE_VALUE
            score *= LATE_RETRY_VALUE
        return score * self.classes.boost(job, now)

    def unservable(self, now: float, first_s: float) -> list[Job]:
        """Returns the jobs past their queue deadline (``queue_deadline``)."""
        return [job for job in self._scores if now >= queue_deadline(job, first_s)]

    def ahead(
        self, job: Job, load: ServiceLoad, peer_scores: Sequence[float], now: float
    ) -> int:
        """Returns how many requests at all entries are served before a new job.

        Jobs added here since the last ``ordered`` have no score yet and do not count.

        Args:
            job: Job that has not been added yet.
            load: Load of the service.
            peer_scores: Scores of jobs queued at other entries, ascending.
            now: Monotonic time in seconds.
        """
        score = self.score(job, now, load.first_s)
        here = sum(1 for other in self._scores.values() if other >= score)
        return here + len(peer_scores) - bisect.bisect_left(peer_scores, score)

    def retry_after_if_refused(
        self, job: Job, load: ServiceLoad, ahead: int, now: float
    ) -> float | None:
        """Decides whether a new job is admitted behind a number of others.

        Args:
            job: Job that has not been added yet.
            load: Load of the service.
            ahead: Number of requests to be served before it, at all entries.
            now: Monotonic time in seconds.

        Returns:
            None if it is admitted, else the Retry-After in seconds.
        """
        wait_s = load.wait_s(ahead)
        if now + wait_s < queue_deadline(job, load.first_s):
            return None
        return max(wait_s, self.retry_after(job, now))

    def retry_after(self, job: Job, now: float) -> float:
        """Returns a randomised Retry-After for a refused client, seconds."""
        least, most = RETRY_SHARES
        share = least + (most - least) * self._rng()
        return max(MIN_RETRY_S, share * (job.deadline - now))


def queue_deadline(job: Job, first_s: float) -> float:
    """Returns the monotonic time at which a queued job is refused.

    That is when it has waited for ``MAX_QUEUED_SHARE`` of the time to its deadline, or,
    if earlier, two expected response times before its client disconnects.

    Args:
        job: The queued job.
        first_s: Expected response time, seconds.
    """
    max_queued_s = MAX_QUEUED_SHARE * (job.deadline - job.queued_since)
    return min(job.queued_since + max_queued_s, job.abandoned_at - 2 * first_s)
