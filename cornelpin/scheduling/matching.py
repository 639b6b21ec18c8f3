"""Matching of queued requests with free slots of servers that differ.

Answers overload of unlike servers: the request with the highest score may be too late
on the slow server that has a free slot, while another one is not.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from cornelpin.scheduling.permit_demand import after_peers
from cornelpin.scheduling.server_selection import (
    finish_probability,
    rank_candidates,
    should_wait,
    success_probability,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.server_selection import Candidate


def best_pair(
    jobs: Sequence[Job],
    candidates: Sequence[Candidate],
    peer_scores: Sequence[float],
    free: int,
    now: float,
    *,
    score: Callable[[Job], float],
    late_value: float,
) -> tuple[Job, Candidate] | None:
    """Returns the job of highest expected value for a free slot, and its server.

    Args:
        jobs: Queued jobs to compare, by descending score.
        candidates: Servers of the service.
        peer_scores: Scores of the jobs queued at other entries, ascending.
        free: Number of free slots.
        now: Monotonic time in seconds.
        score: Returns the queue score of a job.
        late_value: Value of a late response relative to a timely one.
    """
    best, best_value = None, 0.0
    contested = len(jobs) + len(peer_scores) > 1
    limited = [c for c in candidates if c.limited]
    for job in jobs:
        value = score(job)
        # Each request of a peer with a higher score is assumed to take one free slot
        # first, at the best server left.
        ahead = len(peer_scores) - bisect.bisect_right(peer_scores, value)
        # The expected value of a job is at most its score, and scores descend.
        if value <= best_value:
            break
        # Permits are for this entry alone, whatever waits at others.
        open_to_job = candidates if ahead < free else limited
        if not open_to_job:
            break
        ranked = rank_candidates(job, open_to_job, now, contested=contested)
        if not ranked:
            continue
        chosen = after_peers(ranked, ahead)
        if should_wait(job, chosen, candidates, now):
            continue
        # The score contains the factor for lateness from the expected response time
        # before the objective on. Until the objective, the probability applies as well.
        if now <= job.objective:
            probability = success_probability(job, chosen, now)
            value *= probability + late_value * (1.0 - probability)
        value *= finish_probability(job, chosen, now)
        if value > best_value:
            best, best_value = (job, chosen), value
    return best
