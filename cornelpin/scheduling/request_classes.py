"""Request classes and the share of each that was served recently.

A class is the requests of one priority rank and one size band. Under overload the
queue boosts a class whose share falls far behind that of the best served class.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cornelpin.scheduling.jobs import Job

SHARE_HALF_LIFE_S = 6.0
"""Half-life of the counts from which the served shares are computed, seconds: about as
long as a burst."""
RELATIVE_FLOOR = 0.6
"""Part of the best served rank's share below which a rank is boosted: the urgent goes
first, but no kind of caller is left without service."""
BAND_FLOOR = 0.9
"""Part of a rank's share below which one of its size bands is boosted, so that the
shortest requests do not take the place of all long ones."""
MAX_BOOST = 8.0
"""Largest boost of a rank under its floor: more than one step of route priorities."""
MAX_BAND_BOOST = 8.0
"""Largest boost of a size band under its floor, in addition to that of its rank."""
BOOST_POWER = 2.0
"""Exponent that turns the ratio of a class's floor to its share into its boost, so that
a class just under its floor does not set back all others."""
MIN_SHARE = 0.01
"""Lower bound of a share in the boost, against division by zero."""
SIZES_SUFFIX = ".sizes"
"""Suffix of a rank's name under which its sizes are exported besides class counts."""
GRANTED_SUFFIX = ".granted"
"""Suffix of a class's name under which its count of granted slots is exported."""
TINY_WEIGHT = 1e-6
"""Lower bound of a sum of weights, against division by zero."""
MIN_OFFERED = 3.0
"""Decayed number of requests below which a class's share is ignored."""
SHARES_TTL_S = 0.1
"""TTL of the computed shares and merged sizes, seconds."""
MEAN_DECAY = 0.98
"""Weight of the old value in the moving averages of size and cost."""
BAND_QUANTILES = (0.7, 0.9)
"""Quantiles of size at which the second and the third band begin. The platform's
specification distinguishes the largest tenth and the fifth below it."""
BOUNDS_REFRESH_SAMPLES = 10
"""Number of requests between two computations of the band bounds. The first requests
each cause one, because few sizes are known. So does each request once ``MAX_SAMPLES``
sizes are kept, because their number, by which requests are counted, then stays a
multiple of this one. An export causes one, too."""
MAX_SAMPLES = 120
"""Number of recent sizes from which an entry computes its band bounds: a dozen of them
are in the largest band."""


@attrs.define
class DecayedCounts:
    """Decayed counts of requests and of granted slots.

    Attributes:
        offered: Decayed number of requests.
        served: Decayed number of granted slots, late ones counted in part.
        at: Monotonic time up to which the counts are decayed.
        granted: Decayed number of granted slots, each counted in full.
    """

    offered: float = 0.0
    served: float = 0.0
    at: float = 0.0
    granted: float = 0.0

    def offer(self, now: float) -> None:
        """Counts a request."""
        self._decay(now)
        self.offered += 1

    def serve(self, now: float, part: float) -> None:
        """Counts a granted slot; ``part`` is below 1 if the response will be late."""
        self._decay(now)
        self.served += part
        self.granted += 1

    def counts(self, now: float) -> list[float]:
        """Returns the decayed ``offered``, ``served`` and ``granted``."""
        self._decay(now)
        return [round(n, 2) for n in (self.offered, self.served, self.granted)]

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / SHARE_HALF_LIFE_S)
        self.offered *= factor
        self.served *= factor
        self.granted *= factor
        self.at = now


@attrs.define
class _Sizes:
    """Mean cost and size of a rank's requests, and the bounds of its size bands.

    Attributes:
        size: Mean size.
        cost: Mean cost.
        bounds: Sizes at which the second and third band begin; 0.0 for a band that does
            not exist. A zero is averaged like any other bound when entries' figures
            are merged, which lowers the merged bound.
        samples: Recent sizes.
        requests: Decayed counts of the rank's requests, the weight of these figures;
            granted slots are not counted.
    """

    size: float = 0.0
    cost: float = 0.0
    bounds: list[float] = attrs.field(factory=lambda: [0.0] * len(BAND_QUANTILES))
    samples: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    requests: DecayedCounts = attrs.field(factory=DecayedCounts)

    def record(self, job: Job, now: float) -> None:
        """Records a request of the rank."""
        self.requests.offer(now)
        self.samples.append(job.size)
        seen = len(self.samples)
        decay = min(MEAN_DECAY, (seen - 1) / seen)
        self.size = decay * self.size + (1 - decay) * job.size
        self.cost = decay * self.cost + (1 - decay) * job.cost
        if seen < BOUNDS_REFRESH_SAMPLES or seen % BOUNDS_REFRESH_SAMPLES == 0:
            self.update_bounds()

    def update_bounds(self) -> None:
        """Recomputes the bounds of the bands."""
        ordered = sorted(self.samples)
        middle = ordered[(len(ordered) - 1) // 2]
        bounds = [ordered[int(q * len(ordered))] for q in BAND_QUANTILES]
        # If most sizes are equal, the larger bands do not exist.
        self.bounds = [bound if bound > middle else 0.0 for bound in bounds]

    def band(self, job: Job) -> int:
        """Returns the size band of a job; zero holds the smallest ones."""
        return sum(1 for bound in self.bounds if 0 < bound <= job.size)

    def export(self, now: float) -> list[float]:
        """Returns the weight and the weighted figures, which peers can sum."""
        self.update_bounds()
        weight = self.requests.counts(now)[0]
        figures = [1.0, self.size, self.cost, *self.bounds]
        return [round(weight * figure, 2) for figure in figures]


def _sizes_of(sums: Sequence[float]) -> _Sizes:
    """Returns the mean figures, given the sums of several entries' exported ones."""
    weight, size, cost, *bounds = sums
    weight = max(weight, TINY_WEIGHT)
    return _Sizes(size / weight, cost / weight, [bound / weight for bound in bounds])


class RequestClasses:
    """Request classes of one service, with the counts of this entry and its peers."""

    def __init__(self) -> None:
        self._sizes: dict[tuple[int, int], _Sizes] = {}
        self._classes: dict[str, DecayedCounts] = {}
        self._peers: dict[str, dict[str, DecayedCounts]] = {}
        self._peer_sizes: dict[str, dict[str, list[float]]] = {}
        self._merged_sizes: dict[tuple[int, int], _Sizes] = {}
        self._rank_shares: dict[str, float] = {}
        self._band_shares: dict[str, float] = {}
        self._own_share = 1.0
        self._shares_at = float("-inf")

    def offer(self, job: Job, now: float) -> None:
        """Counts a request for a slot; client retries are not counted again."""
        if job.is_client_retry:
            return
        self._sizes.setdefault(job.rank, _Sizes()).record(job, now)
        self._classes.setdefault(self._name(job), DecayedCounts()).offer(now)

    def serve(self, job: Job, now: float, part: float) -> None:
        """Counts a granted slot; ``part`` is below 1 if the response will be late."""
        self._classes.setdefault(self._name(job), DecayedCounts()).serve(now, part)

    def export(self, now: float) -> dict[str, list[float]]:
        """Returns this entry's figures for its peers, by name.

        A class's name has its ``offered`` and ``served`` counts, and with
        ``GRANTED_SUFFIX`` its ``granted`` count and a zero, because entries of earlier
        builds expect two counts; a rank's name with ``SIZES_SUFFIX`` has its weighted
        sizes.
        """
        exported: dict[str, list[float]] = {}
        for name, request_class in self._classes.items():
            offered, served, granted = request_class.counts(now)
            exported[name] = [offered, served]
            exported[name + GRANTED_SUFFIX] = [granted, 0.0]
        for rank, sizes in self._sizes.items():
            exported[_sizes_name(rank)] = sizes.export(now)
        return exported

    def merge_from(
        self, entry: str, exported: Mapping[str, Sequence[float]], now: float
    ) -> None:
        """Stores the latest figures exported by another entry."""
        counts: dict[str, DecayedCounts] = {}
        for name, figures in exported.items():
            if name.endswith((SIZES_SUFFIX, GRANTED_SUFFIX)):
                continue
            offered, served = float(figures[0]), float(figures[1])
            granted = exported.get(name + GRANTED_SUFFIX, [served])[0]
            counts[name] = DecayedCounts(offered, served, now, float(granted))
        self._peers[entry] = counts
        self._peer_sizes[entry] = {
            name: [float(figure) for figure in figures]
            for name, figures in exported.items()
            if name.endswith(SIZES_SUFFIX)
        }

    def own_share(self, now: float) -> float:
        """Returns the part of all entries' recent requests that arrived at this one."""
        self._refresh(now)
        return self._own_share

    def boost(self, job: Job, now: float) -> float:
        """Returns the factor on a job's score if its class is underserved."""
        self._refresh(now)
        rank, band = _rank_name(job.rank), self._name(job)
        best_rank = max(self._rank_shares.values(), default=0.0)
        rank_boost = _boost(self._rank_shares.get(rank), RELATIVE_FLOOR * best_rank)
        band_boost = _boost(
            self._band_shares.get(band), BAND_FLOOR * self._band_shares.get(rank, 0.0)
        )
        return min(MAX_BOOST, rank_boost) * min(MAX_BAND_BOOST, band_boost)

    def _refresh(self, now: float) -> None:
        """Recomputes shares and sizes from the figures of all entries, once per TTL."""
        if now - self._shares_at <= SHARES_TTL_S:
            return
        self._update_shares(now)
        for rank, own in self._sizes.items():
            sums = own.export(now)
            for received in self._peer_sizes.values():
                other = received.get(_sizes_name(rank))
                if other is not None and len(other) == len(sums):
                    sums = [a + b for a, b in zip(sums, other, strict=True)]
            if sums[0] > 0:
                self._merged_sizes[rank] = _sizes_of(sums)

    def _sizes_for(self, job: Job) -> _Sizes | None:
        """Returns the sizes of a job's rank, merged over all entries if available."""
        return self._merged_sizes.get(job.rank) or self._sizes.get(job.rank)

    def _update_shares(self, now: float) -> None:
        """Recomputes the shares of ranks and bands that have enough requests."""
        ranks: dict[str, list[float]] = {}
        bands: dict[str, list[float]] = {}
        own = total = 0.0
        for classes in (self._classes, *self._peers.values()):
            for name, request_class in classes.items():
                offered, served, granted = request_class.counts(now)
                total += offered
                if classes is self._classes:
                    own += offered
                rank = name.rsplit(".", 1)[0]
                _add(ranks, rank, offered, served)
                _add(bands, rank, offered, granted)
                _add(bands, name, offered, granted)
        self._rank_shares, self._band_shares = _shares(ranks), _shares(bands)
        self._own_share = own / total if own else 1.0
        self._shares_at = now

    def relative_value(self, job: Job) -> float:
        """Returns a job's value relative to a mean job of its rank.

        The platform specifies a fixed part of 0.3 and a part of 0.7 in proportion to
        the size.
        """
        sizes = self._sizes_for(job)
        return 0.3 + 0.7 * (job.size / sizes.size if sizes and sizes.size else 1.0)

    def mean_cost(self, job: Job) -> float:
        """Returns the mean cost of a job's rank."""
        sizes = self._sizes_for(job)
        return sizes.cost if sizes is not None and sizes.cost else job.cost

    def _name(self, job: Job) -> str:
        """Returns the name of a job's class: its two priorities and its size band."""
        sizes = self._sizes_for(job)
        band = sizes.band(job) if sizes is not None else 0
        workspace, route = job.rank
        return f"{workspace}.{route}.{band}"


def _sizes_name(rank: tuple[int, int]) -> str:
    return _rank_name(rank) + SIZES_SUFFIX


def _rank_name(rank: tuple[int, int]) -> str:
    return f"{rank[0]}.{rank[1]}"


def _add(sums: dict[str, list[float]], name: str, offered: float, got: float) -> None:
    total = sums.setdefault(name, [0.0, 0.0])
    total[0] += offered
    total[1] += got


def _shares(sums: Mapping[str, Sequence[float]]) -> dict[str, float]:
    return {
        name: min(1.0, got / offered)
        for name, (offered, got) in sums.items()
        if offered >= MIN_OFFERED
    }


def _boost(share: float | None, floor: float) -> float:
    """Returns the factor on the scores of a class with a share, given its floor."""
    if share is None or share >= floor:
        return 1.0
    return (floor / max(share, MIN_SHARE)) ** BOOST_POWER
