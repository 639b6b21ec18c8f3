"""Order of the requests that wait at an entry, and when one is given up.

Load pattern: for some seconds up to twice as much comes as the servers can run. What is
served should be what is worth most for its engine time, nobody starved, and nothing is
held that will not be served in time worth having.
"""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.jobs import LATE_WORTH, RETURNED_WORTH, Job
from cornelpin.scheduling.request_classes import RequestClasses

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

KEY_SCALE = 1e4
"""Factor that keeps keys near one; they are rounded in messages."""
MIN_SIZE_FACTOR = 0.5
MAX_SIZE_FACTOR = 2.0
"""Bounds of a job's worth for its cost against the mean of its rank, so that large
requests are put back but not starved."""
PATIENCE_SHARE = 0.15
"""Part of a request's time that it waits at most, so that a client that is refused has
time to come back."""
RETRY_SHARES = (0.15, 0.32)
"""Bounds of Retry-After under overload, as parts of the time that a client has left: a
burst lasts for seconds, and clients wait for up to a third of their time."""
MIN_RETRY_S = 0.2
"""Shortest Retry-After under load."""


@attrs.frozen
class ServiceLoad:
    """What is known of a service when a request comes or waits.

    Attributes:
        slots: Slots of all usable servers.
        free: Free ones among them.
        hold_s: Mean time for which a request holds a slot.
        first_s: Expected time from a send to the first event.
    """

    slots: int
    free: int
    hold_s: float
    first_s: float

    def wait_s(self, ahead: int) -> float:
        """Returns the expected wait behind a number of requests.

        It is zero without any server: one may come back at any moment.
        """
        if ahead < self.free or not self.slots:
            return 0.0
        return (ahead - self.free + 1) * self.hold_s / max(1, self.slots)


class RequestQueue:
    """The requests of one service that wait at this entry."""

    def __init__(self, rng: Callable[[], float] = random.random) -> None:
        self._jobs: dict[Job, float] = {}
        self.kinds = RequestClasses()
        self._rng = rng

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job: Job) -> bool:
        return job in self._jobs

    def offer(self, job: Job, now: float) -> None:
        """Counts a request that asks for a slot, whether or not it may wait."""
        self.kinds.offer(job, now)

    def add(self, job: Job, now: float) -> None:
        """Takes a job in."""
        job.queued_since = now
        self._jobs[job] = 0.0

    def take(self, job: Job, now: float, first_s: float) -> None:
        """Takes a job out to be sent."""
        del self._jobs[job]
        late = now + first_s > job.objective
        self.kinds.serve(job, now, LATE_WORTH if late else 1.0)

    def remove(self, job: Job) -> None:
        """Takes a job out that ends unserved."""
        self._jobs.pop(job, None)

    def ordered(self, now: float, first_s: float) -> list[Job]:
        """Returns the jobs, the one to be served next first.

        Args:
            now: Monotonic time in seconds.
            first_s: Expected time from a send to the first event.
        """
        for job in self._jobs:
            self._jobs[job] = self.key(job, now, first_s)
        return sorted(self._jobs, key=lambda job: (-self._jobs[job], job.arrived))

    def keys(self) -> list[float]:
        """Returns the keys of the last ordering, the highest first."""
        return sorted(self._jobs.values(), reverse=True)

    def key(self, job: Job, now: float, first_s: float) -> float:
        """Returns what serving a job now is worth for its engine time."""
        worth = self.kinds.worth(job)
        mean_cost = self.kinds.mean_cost(job)
        cost = max(worth * mean_cost / MAX_SIZE_FACTOR, job.cost)
        cost = min(worth * mean_cost / MIN_SIZE_FACTOR, cost)
        key = KEY_SCALE * job.urgency * worth / cost
        if now + first_s > job.objective:
            if not job.is_client_retry:
                return key * LATE_WORTH
            key *= RETURNED_WORTH
        return key * self.kinds.boost(job, now)

    def unservable(self, now: float, first_s: float) -> list[Job]:
        """Returns the jobs that can no longer be served in time worth having."""
        return [job for job in self._jobs if now >= queue_deadline(job, first_s)]

    def ahead(
        self, job: Job, load: ServiceLoad, peer_keys: Sequence[float], now: float
    ) -> int:
        """Returns how many requests go before a new job, here and at other entries.

        Args:
            job: A job that has not been added yet.
            load: What is known of the service.
            peer_keys: Keys of jobs that wait at other entries, ascending.
            now: Monotonic time in seconds.
        """
        key = self.key(job, now, load.first_s)
        here = sum(1 for other in self._jobs.values() if other >= key)
        return here + len(peer_keys) - bisect.bisect_left(peer_keys, key)

    def verdict(
        self, job: Job, load: ServiceLoad, ahead: int, now: float
    ) -> float | None:
        """Decides whether a new job may wait behind a number of others.

        Returns:
            None if it may wait, else seconds after which to come back.
        """
        wait_s = load.wait_s(ahead)
        if now + wait_s < queue_deadline(job, load.first_s):
            return None
        return max(wait_s, self.retry_after(job, now))

    def retry_after(self, job: Job, now: float) -> float:
        """Returns a spread time after which a refused client should come back."""
        least, most = RETRY_SHARES
        share = least + (most - least) * self._rng()
        return max(MIN_RETRY_S, share * (job.deadline - now))


def queue_deadline(job: Job, first_s: float) -> float:
    """Returns the monotonic time at which a waiting job is refused."""
    patience_s = PATIENCE_SHARE * (job.deadline - job.queued_since)
    return min(job.queued_since + patience_s, job.abandoned_at - 2 * first_s)
