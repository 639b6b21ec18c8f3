"""Like-for-like comparison of run times at one backend server.

Each run of the new version is compared with runs of the old version on the same
server, of the same tier, size class and load, that ended at about the same time.
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

# A new version is slow when it takes this many times as long.
SLOW_FACTOR = 2.0
# Shorter differences do not count: a new version starts with an empty prefix cache.
FIRST_FLOOR_S = 0.2
TOKEN_FLOOR_S = 0.002
MIN_DEVIATION = 0.3
MAX_DEVIATION = 1.0
MAX_SCORE = 4.0
# Share of the runs that are slowed when a fault shows on one kind of work only.
SOME_SHARE = 0.2
# Bounds the weight of a single run, as a few sound ones are slow by chance.
MAX_SOME_RATIO = 3.0
MAD_TO_DEVIATION = 1.4826
# Variance of a median of n values, in units of their variance over n.
MEDIAN_VARIANCE = math.pi / 2
SETTLE_S = 2.0
NEAR_S = (SETTLE_S, 5.0)
EXPIRE_S = 6.0
MIN_BASELINE = 3
MIN_PARTS = 3
MAX_SAMPLES = 500
LOAD_CLASS_RUNS = 4


@attrs.frozen(eq=False)
class Sample:
    """One ended run.

    Attributes:
        tier: Name of the tier.
        size_class: Logarithm of the estimated cost.
        load_class: Class of the number of runs on the server.
        at: Monotonic time of its end in seconds.
        failed: Whether it failed.
        token_s: Time per token in seconds, 0 if not measured.
        first_s: Time to the first part in seconds, 0 if not measured.
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
    """Log likelihood ratios of a run for being slowed."""

    token: float
    first: float


def size_class(cost: int) -> int:
    """Returns the class of an estimated cost in tokens."""
    return max(0, cost).bit_length() // 2


def load_class(running: int) -> int:
    """Returns the class of the number of runs on a server."""
    return running // LOAD_CLASS_RUNS


class RunComparison:
    """Tallies the runs of two versions at one server; safe for use by threads."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._old: collections.deque[Sample] = collections.deque(maxlen=MAX_SAMPLES)
        self._pending: list[Sample] = []
        self._tallies: dict[tuple[str, int], Tally] = {}

    def add_old(self, sample: Sample) -> None:
        """Takes a run of the old version."""
        with self._lock:
            self._count(sample, old_runs=1, old_failures=int(sample.failed))
            if not sample.failed:
                self._old.append(sample)

    def add_new(self, sample: Sample) -> None:
        """Takes a run of the new version."""
        with self._lock:
            self._count(sample, new_runs=1, new_failures=int(sample.failed))
            if not sample.failed:
                self._pending.append(sample)

    def tallies(self) -> list[Tally]:
        """Compares the settled runs and returns the cumulative tallies."""
        with self._lock:
            now = self._clock()
            settled = [s for s in self._pending if now - s.at >= SETTLE_S]
            judged = {s: ratios for s in settled if (ratios := self._compare(s))}
            # What happens to a server at one time happens to all its runs, so runs
            # judged together count as one.
            for sample, ratios in judged.items():
                self._count(
                    sample,
                    timed=int(sample.token_s > 0),
                    slow=ratios.token / len(judged),
                    slow_first=ratios.first / len(judged),
                    slow_some=_of_some(ratios.token) / len(judged),
                    slow_first_some=_of_some(ratios.first) / len(judged),
                )
            self._pending = [
                s for s in self._pending if s not in judged and now - s.at < EXPIRE_S
            ]
            return list(self._tallies.values())

    def _count(self, sample: Sample, **changes: float) -> None:
        cell = (sample.tier, sample.load_class)
        empty = Tally(sample.tier, load_class=sample.load_class)
        before = self._tallies.get(cell, empty)
        changed = {name: getattr(before, name) + by for name, by in changes.items()}
        self._tallies[cell] = attrs.evolve(before, **changed)

    def _compare(self, sample: Sample) -> Ratios | None:
        """Compares a run with like ones before and after it; the milder one counts.

        What slows a server slows both versions, and may begin or end at any time.
        """
        for near_s in NEAR_S:
            near = [s for s in self._old if abs(s.at - sample.at) <= near_s]
            before = _like(sample, [s for s in near if s.at <= sample.at])
            after = _like(sample, [s for s in near if s.at > sample.at])
            if before and after:
                return _milder(_ratios(sample, before), _ratios(sample, after))
        return None


def _like(sample: Sample, others: list[Sample]) -> list[Sample]:
    """Returns those that are as like as there are enough of; none if too few."""
    found: list[Sample] = []
    for field in ("size_class", "tier", "load_class"):
        wanted = getattr(sample, field)
        others = [s for s in others if getattr(s, field) == wanted]
        if len(others) >= MIN_BASELINE:
            found = others
    return found


def _ratios(sample: Sample, like: list[Sample]) -> Ratios:
    return Ratios(
        token=_ratio(sample.token_s, [s.token_s for s in like], TOKEN_FLOOR_S),
        first=_ratio(sample.first_s, [s.first_s for s in like], FIRST_FLOOR_S),
    )


def _milder(one: Ratios, other: Ratios) -> Ratios:
    return Ratios(min(one.token, other.token), min(one.first, other.first))


def _of_some(ratio: float) -> float:
    """Returns the log likelihood ratio if only some of the runs are slowed."""
    mixed = math.log(1 - SOME_SHARE + SOME_SHARE * math.exp(ratio))
    return min(MAX_SOME_RATIO, mixed)


def _ratio(value: float, baseline: list[float], floor_s: float) -> float:
    """Returns the log likelihood ratio of a slowed run against a like one."""
    logs = [math.log(other + floor_s) for other in baseline if other > 0]
    if value <= 0 or len(logs) < MIN_BASELINE:
        return 0.0
    middle = statistics.median(logs)
    spread = statistics.median(abs(x - middle) for x in logs) * MAD_TO_DEVIATION
    deviation = min(MAX_DEVIATION, max(MIN_DEVIATION, spread))
    deviation *= math.sqrt(1 + MEDIAN_VARIANCE / len(logs))
    shift = math.log(SLOW_FACTOR)
    score = (math.log(value + floor_s) - middle) / deviation
    score = max(-MAX_SCORE, min(MAX_SCORE, score))
    effect = shift / deviation
    return effect * (score - effect / 2)
