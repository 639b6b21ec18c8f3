"""Like-for-like comparison of run times on one backend server.

Each run of the new version is compared with runs of the old version on the same server
that ended at about the same time and have the same size class. As long as enough runs
remain, they are narrowed to those of the same tier and then of the same load class.
"""

from __future__ import annotations

import collections
import math
import statistics
import threading
import time
from collections.abc import Callable

import attrs

from cornelpin.core.canary_analysis import Tally

# The hypothetical slow version takes this many times as long.
SLOW_FACTOR = 2.0
# Added to both times of a comparison, so that differences much shorter than this have
# little weight: a new version starts with an empty prefix cache.
FIRST_FLOOR_S = 0.2
TOKEN_FLOOR_S = 0.002
# Bounds of the estimated standard deviation of the logarithms of the times.
MIN_DEVIATION = 0.3
MAX_DEVIATION = 1.0
# Largest distance of a run from the baseline that counts, in standard deviations.
MAX_SCORE = 4.0
# Fraction of slow runs if a regression affects one kind of request only.
SOME_SHARE = 0.2
# Upper bound of the log likelihood ratio if only SOME_SHARE of the runs are slow.
# Limits the weight of a single run: a few runs of a good version are slow by chance.
MAX_MIXTURE_RATIO = 3.0
# Median absolute deviation to standard deviation, for a normal distribution.
MAD_TO_DEVIATION = 1.4826
# Variance of a median of n values, in units of their variance over n.
MEDIAN_VARIANCE = math.pi / 2
# A run is compared this long after its end, when similar runs that ended later are
# known.
SETTLE_S = 2.0
# Largest distance between the ends of compared runs; the wider window is tried if the
# narrow one holds too few similar runs.
BASELINE_WINDOWS_S = (SETTLE_S, 5.0)
# Age at which a run that could not be compared is dropped.
EXPIRE_S = 6.0
# Fewest runs in a baseline.
MIN_BASELINE = 3
# Fewest parts (stream events) of a response from which a time per token is measured.
MIN_PARTS = 3
# Most runs of the old version that are kept.
MAX_SAMPLES = 500
RUNS_PER_LOAD_CLASS = 4


@attrs.frozen(eq=False)
class Sample:
    """One ended run.

    Attributes:
        tier: Name of the tier.
        size_class: Class of the estimated cost, see :func:`size_class`.
        load_class: Class of the concurrent runs on the server, see :func:`load_class`.
        at: Monotonic time of the run's end in seconds.
        failed: Whether it failed.
        token_s: Time per token in seconds, 0 if not measured.
        first_s: Time to the first part of the response in seconds, 0 if not measured.
    """

    tier: str
    size_class: int
    load_class: int
    at: float
    failed: bool
    token_s: float = 0.0
    first_s: float = 0.0


@attrs.frozen
class Ratios:
    """Log likelihood ratios of a slow run against a normal one.

    Attributes:
        token: Ratio by the time per token.
        first: Ratio by the time to the first part.
    """

    token: float
    first: float


def size_class(cost: int) -> int:
    """Returns the class of an estimated cost in tokens; each spans a factor of four."""
    return max(0, cost).bit_length() // 2


def load_class(running: int) -> int:
    """Returns the class of a number of concurrent runs on a server."""
    return running // RUNS_PER_LOAD_CLASS


class RunComparison:
    """Tallies the runs of two versions on one server; thread-safe."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._old: collections.deque[Sample] = collections.deque(maxlen=MAX_SAMPLES)
        self._pending: list[Sample] = []
        self._tallies: dict[tuple[str, int], Tally] = {}

    def add_old(self, sample: Sample) -> None:
        """Adds a run of the old version."""
        with self._lock:
            self._count(sample, old_runs=1, old_failures=int(sample.failed))
            if not sample.failed:
                self._old.append(sample)

    def add_new(self, sample: Sample) -> None:
        """Adds a run of the new version."""
        with self._lock:
            self._count(sample, new_runs=1, new_failures=int(sample.failed))
            if not sample.failed:
                self._pending.append(sample)

    def tallies(self) -> list[Tally]:
        """Compares the settled runs and returns the cumulative tallies."""
        with self._lock:
            now = self._clock()
            settled = [s for s in self._pending if now - s.at >= SETTLE_S]
            compared = {s: ratios for s in settled if (ratios := self._compare(s))}
            # Runs that end together on one server are not independent, so together
            # they have the weight of one.
            for sample, ratios in compared.items():
                self._count(
                    sample,
                    timed=int(sample.token_s > 0),
                    slow=ratios.token / len(compared),
                    slow_first=ratios.first / len(compared),
                    slow_some=_mixture_ratio(ratios.token) / len(compared),
                    slow_first_some=_mixture_ratio(ratios.first) / len(compared),
                )
            self._pending = [
                s for s in self._pending if s not in compared and now - s.at < EXPIRE_S
            ]
            return list(self._tallies.values())

    def _count(self, sample: Sample, **changes: float) -> None:
        key = (sample.tier, sample.load_class)
        empty = Tally(sample.tier, load_class=sample.load_class)
        before = self._tallies.get(key, empty)
        changed = {name: getattr(before, name) + by for name, by in changes.items()}
        self._tallies[key] = attrs.evolve(before, **changed)

    def _compare(self, sample: Sample) -> Ratios | None:
        """Compares a run with similar old runs before and after it.

        The lower of the two ratios counts: whatever slows a server slows both versions
        and may begin or end at any time, so a run that is slow against only one of the
        two baselines is no evidence. Returns None if there are too few similar runs.
        """
        for window_s in BASELINE_WINDOWS_S:
            near = [s for s in self._old if abs(s.at - sample.at) <= window_s]
            before = _similar(sample, [s for s in near if s.at <= sample.at])
            after = _similar(sample, [s for s in near if s.at > sample.at])
            if before and after:
                return _lower(_ratios(sample, before), _ratios(sample, after))
        return None


def _similar(sample: Sample, others: list[Sample]) -> list[Sample]:
    """Returns the runs of the same size class, tier and load class as a run.

    Narrows by one class after the other, and returns the narrowest set of at least
    ``MIN_BASELINE`` runs, or none.
    """
    found: list[Sample] = []
    for field in ("size_class", "tier", "load_class"):
        wanted = getattr(sample, field)
        others = [s for s in others if getattr(s, field) == wanted]
        if len(others) >= MIN_BASELINE:
            found = others
    return found


def _ratios(sample: Sample, baseline: list[Sample]) -> Ratios:
    return Ratios(
        token=_ratio(sample.token_s, [s.token_s for s in baseline], TOKEN_FLOOR_S),
        first=_ratio(sample.first_s, [s.first_s for s in baseline], FIRST_FLOOR_S),
    )


def _lower(one: Ratios, other: Ratios) -> Ratios:
    return Ratios(min(one.token, other.token), min(one.first, other.first))


def _mixture_ratio(ratio: float) -> float:
    """Returns the log likelihood ratio if only ``SOME_SHARE`` of the runs are slow."""
    mixed = math.log(1 - SOME_SHARE + SOME_SHARE * math.exp(ratio))
    return min(MAX_MIXTURE_RATIO, mixed)


def _ratio(value: float, baseline: list[float], floor_s: float) -> float:
    """Returns the log likelihood ratio of a slow run against one like the baseline."""
    logs = [math.log(other + floor_s) for other in baseline if other > 0]
    if value <= 0 or len(logs) < MIN_BASELINE:
        return 0.0
    middle = statistics.median(logs)
    measured = statistics.median(abs(x - middle) for x in logs) * MAD_TO_DEVIATION
    deviation = min(MAX_DEVIATION, max(MIN_DEVIATION, measured))
    deviation *= math.sqrt(1 + MEDIAN_VARIANCE / len(logs))
    shift = math.log(SLOW_FACTOR)
    score = (math.log(value + floor_s) - middle) / deviation
    score = max(-MAX_SCORE, min(MAX_SCORE, score))
    # Log likelihood ratio of two normal distributions of equal deviation whose means
    # are `effect` deviations apart.
    effect = shift / deviation
    return effect * (score - effect / 2)
