"""Kinds of requests and how well each has been served of late.

Load pattern: for seconds more comes than the servers can run. A kind is the requests of
one rank and one band of sizes; none may fall far behind the best served one.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cornelpin.scheduling.jobs import Job

MEMORY_S = 6.0
"""Half-life of the shares served: about as long as a burst."""
RELATIVE_FLOOR = 0.6
"""Part of the best served kind's share below which a kind is moved ahead; the platform
asks for half of it."""
MAX_BOOST = 8.0
"""Largest factor by which a kind under its floor is moved ahead: some more than a step
of route priorities."""
BOOST_POWER = 2.0
"""Power of a kind's shortfall by which it is moved ahead, so that one just under its
floor does not put all others back."""
MIN_SHARE = 0.01
"""Least share that a shortfall is reckoned by."""
SIZES = ".sizes"
"""End of the names under which sizes are told beside the counts of kinds."""
TINY_WEIGHT = 1e-6
MIN_OFFERED = 3.0
"""Requests of late below which a kind's share says nothing."""
SHARES_FRESH_S = 0.1
"""Time for which computed shares are used again: they move by parts of a second."""
MEAN_MEMORY = 0.98
"""Part of an old mean that one request leaves."""
BAND_QUANTILES = (0.7, 0.9)
"""Bands of sizes, as the platform looks at them: the largest tenth, the fifth below."""
SAMPLES_AT_ONCE = 10
"""Requests after which an entry reckons its own bounds anew."""
SAMPLES = 120
"""Sizes by which the bounds of the bands are reckoned at one entry: a dozen in the
largest band."""


@attrs.define
class RequestClass:
    """Running figures of one rank and band.

    Attributes:
        offered: Requests of late.
        served: Those of them that got a slot in time.
    """

    offered: float = 0.0
    served: float = 0.0
    at: float = 0.0

    def offer(self, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self.offered += 1

    def serve(self, now: float, part: float) -> None:
        """Counts a slot, late ones as a part."""
        self._decay(now)
        self.served += part

    def counts(self, now: float) -> list[float]:
        """Returns requests and slots of late."""
        self._decay(now)
        return [round(self.offered, 2), round(self.served, 2)]

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / MEMORY_S)
        self.offered *= factor
        self.served *= factor
        self.at = now


@attrs.define
class _Sizes:
    """Mean cost and size of a rank, and the bounds of its bands.

    Attributes:
        size: Mean size.
        cost: Mean cost.
        bounds: Sizes above which the bands begin.
        samples: Sizes of late.
        weight: Requests of late that these figures stand for.
    """

    size: float = 0.0
    cost: float = 0.0
    bounds: list[float] = attrs.field(factory=lambda: [0.0] * len(BAND_QUANTILES))
    samples: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES))
    weight: RequestClass = attrs.field(factory=RequestClass)

    def take(self, job: Job, now: float) -> None:
        """Takes a request of the rank."""
        self.weight.offer(now)
        self.samples.append(job.size)
        seen = len(self.samples)
        memory = min(MEAN_MEMORY, (seen - 1) / seen)
        self.size = memory * self.size + (1 - memory) * job.size
        self.cost = memory * self.cost + (1 - memory) * job.cost
        if seen < SAMPLES_AT_ONCE or seen % SAMPLES_AT_ONCE == 0:
            self.bound()

    def bound(self) -> None:
        """Reckons the bounds of the bands anew."""
        ordered = sorted(self.samples)
        middle = ordered[(len(ordered) - 1) // 2]
        bounds = [ordered[int(q * len(ordered))] for q in BAND_QUANTILES]
        # Where most sizes are alike there is no larger band.
        self.bounds = [bound if bound > middle else 0.0 for bound in bounds]

    def band(self, job: Job) -> int:
        return sum(1 for bound in self.bounds if 0 < bound <= job.size)

    def export(self, now: float) -> list[float]:
        """Returns weighted figures, which can be added to those of other entries."""
        self.bound()
        weight = self.weight.counts(now)[0]
        figures = [1.0, self.size, self.cost, *self.bounds]
        return [round(weight * figure, 2) for figure in figures]


def _sizes_of(sums: Sequence[float]) -> _Sizes:
    """Returns sizes out of added weighted figures."""
    weight, size, cost, *bounds = sums
    weight = max(weight, TINY_WEIGHT)
    return _Sizes(size / weight, cost / weight, [bound / weight for bound in bounds])


class RequestClasses:
    """All kinds of one service, as served here and at the other entries."""

    def __init__(self) -> None:
        self._sizes: dict[tuple[int, int], _Sizes] = {}
        self._kinds: dict[str, RequestClass] = {}
        self._others: dict[str, dict[str, RequestClass]] = {}
        self._other_sizes: dict[str, dict[str, list[float]]] = {}
        self._common: dict[tuple[int, int], _Sizes] = {}
        self._shares: dict[str, float] = {}
        self._shares_at = float("-inf")

    def offer(self, job: Job, now: float) -> None:
        """Counts a request that asks for a slot, one that came again not anew."""
        if job.is_client_retry:
            return
        self._sizes.setdefault(job.rank, _Sizes()).take(job, now)
        self._kinds.setdefault(self._name(job), RequestClass()).offer(now)

    def serve(self, job: Job, now: float, part: float) -> None:
        """Counts a slot given, a late one as a part of one."""
        self._kinds.setdefault(self._name(job), RequestClass()).serve(now, part)

    def export(self, now: float) -> dict[str, list[float]]:
        """Returns this entry's counts for the others: offered, served, and sizes."""
        told = {name: kind.counts(now) for name, kind in self._kinds.items()}
        for rank, sizes in self._sizes.items():
            told[_sizes_name(rank)] = sizes.export(now)
        return told

    def merge_from(
        self, entry: str, counts: Mapping[str, Sequence[float]], now: float
    ) -> None:
        """Takes another entry's counts."""
        self._others[entry] = {
            name: RequestClass(float(figures[0]), float(figures[1]), now)
            for name, figures in counts.items()
            if not name.endswith(SIZES)
        }
        self._other_sizes[entry] = {
            name: [float(figure) for figure in figures]
            for name, figures in counts.items()
            if name.endswith(SIZES)
        }

    def boost(self, job: Job, now: float) -> float:
        """Returns the factor by which a job is moved ahead as its kind falls behind."""
        self._refresh(now)
        share = self._shares.get(self._name(job))
        if share is None:
            return 1.0
        floor = RELATIVE_FLOOR * max(self._shares.values())
        if share >= floor:
            return 1.0
        return min(MAX_BOOST, (floor / max(share, MIN_SHARE)) ** BOOST_POWER)

    def _refresh(self, now: float) -> None:
        """Joins anew what this entry and the others have counted."""
        if now - self._shares_at <= SHARES_FRESH_S:
            return
        self._shares, self._shares_at = self._all_shares(now), now
        for rank, own in self._sizes.items():
            sums = own.export(now)
            for told in self._other_sizes.values():
                other = told.get(_sizes_name(rank))
                if other is not None and len(other) == len(sums):
                    sums = [a + b for a, b in zip(sums, other, strict=True)]
            if sums[0] > 0:
                self._common[rank] = _sizes_of(sums)

    def _sizes_for(self, job: Job) -> _Sizes | None:
        """Returns the figures of a job's rank, of all entries if they are known."""
        return self._common.get(job.rank) or self._sizes.get(job.rank)

    def _all_shares(self, now: float) -> dict[str, float]:
        """Returns the share served of late of each kind that says something."""
        sums: dict[str, list[float]] = {}
        for kinds in (self._kinds, *self._others.values()):
            for name, kind in kinds.items():
                total = sums.setdefault(name, [0.0, 0.0])
                offered, served = kind.counts(now)
                total[0] += offered
                total[1] += served
        return {
            name: min(1.0, served / offered)
            for name, (offered, served) in sums.items()
            if offered >= MIN_OFFERED
        }

    def worth(self, job: Job) -> float:
        """Returns a job's worth for a mean one of its rank."""
        sizes = self._sizes_for(job)
        return 0.3 + 0.7 * (job.size / sizes.size if sizes and sizes.size else 1.0)

    def mean_cost(self, job: Job) -> float:
        """Returns the mean cost of a job's rank."""
        sizes = self._sizes_for(job)
        return sizes.cost if sizes is not None and sizes.cost else job.cost

    def _name(self, job: Job) -> str:
        sizes = self._sizes_for(job)
        band = sizes.band(job) if sizes is not None else 0
        workspace, route = job.rank
        return f"{workspace}.{route}.{band}"


def _sizes_name(rank: tuple[int, int]) -> str:
    return f"{rank[0]}.{rank[1]}{SIZES}"
