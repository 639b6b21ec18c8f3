"""Priority queue of one service at an entry.

Under overload up to twice as many requests arrive as the servers can run. The queue
serves those of most value per cost and starves no class.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from cornelpin.scheduling.request_classes import RequestClasses
from cornelpin.scheduling.valuation import Valuation

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cornelpin.scheduling.jobs import Job

SCORE_SCALE = 1e4
"""Factor that keeps scores near one, because messages carry them rounded."""
MIN_VALUE_PER_COST = 0.25
MAX_VALUE_PER_COST = 8.0
"""Bounds of a job's value per cost, relative to a mean job of its rank: requests of
high cost are served later but not starved."""


class RequestQueue:
    """Requests of one service that wait at this entry for a slot.

    Args:
        valuation: Relative values of responses.
    """

    def __init__(self, valuation: Valuation | None = None) -> None:
        self._valuation = valuation or Valuation()
        # Score of each queued job as of the last ``ordered``; 0.0 if queued since then.
        self._scores: dict[Job, float] = {}
        self.classes = RequestClasses()

    def __len__(self) -> int:
        return len(self._scores)

    def __iter__(self) -> Iterator[Job]:
        return iter(list(self._scores))

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
        self.classes.serve(job, now, self._valuation.late if late else 1.0)

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
        score = SCORE_SCALE * self._valuation.rank_weight(job.rank) * value / cost
        if now + first_s > job.objective:
            if not job.is_client_retry:
                return score * self._valuation.late
            score *= self._valuation.late_retry
        return score * self.classes.boost(job, now)

    def ahead(
        self, score: float, peer_scores: Sequence[float], without: Job | None = None
    ) -> int:
        """Returns how many requests at all entries are served before one of a score.

        Jobs added here since the last ``ordered`` have no score yet and do not count.

        Args:
            score: The score.
            peer_scores: Scores of jobs queued at other entries, ascending.
            without: A job queued here that is left out.
        """
        here = sum(
            1
            for job, other in self._scores.items()
            if other >= score and job is not without
        )
        return here + len(peer_scores) - bisect.bisect_left(peer_scores, score)
