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

from cornelpin.core.judgement import Tally

# A new version is slow when it takes this many times as long.
SLOW_FACTOR = 1.6
MIN_DEVIATION = 0.25
MAX_DEVIATION = 1.0
MAX_SCORE = 4.0
MAD_TO_DEVIATION = 1.4826
WINDOW_S = 30.0
SETTLE_S = 1.0
EXPIRE_S = 20.0
MIN_BASELINE = 5
MIN_PARTS = 4
MAX_SAMPLES = 2000
LOAD_CLASS_RUNS = 4


@attrs.frozen
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


def size_class(cost: int) -> int:
    """Returns the class of an estimated cost in tokens."""
    return max(0, cost).bit_length() // 2


def load_class(running: int) -> int:
    """Returns the class of the number of runs on a server."""
    return running // LOAD_CLASS_RUNS


class Comparison:
    """Tallies the runs of two versions at one server; safe for use by threads."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._old: collections.deque[Sample] = collections.deque(maxlen=MAX_SAMPLES)
        self._pending: list[Sample] = []
        self._tallies: dict[str, Tally] = {}

    def add_old(self, sample: Sample) -> None:
        """Takes a run of the old version."""
        with self._lock:
            self._count(sample.tier, old_runs=1, old_failures=int(sample.failed))
            if not sample.failed:
                self._old.append(sample)

    def add_new(self, sample: Sample) -> None:
        """Takes a run of the new version."""
        with self._lock:
            self._count(sample.tier, new_runs=1, new_failures=int(sample.failed))
            if not sample.failed:
                self._pending.append(sample)

    def tallies(self) -> list[Tally]:
        """Compares the settled runs and returns the cumulative tallies."""
        with self._lock:
            now = self._clock()
            waiting = []
            for sample in self._pending:
                if now - sample.at < SETTLE_S or not self._judge(sample):
                    waiting.append(sample)
            self._pending = [s for s in waiting if now - s.at < EXPIRE_S]
            return list(self._tallies.values())

    def _count(self, tier: str, **changes: float) -> None:
        before = self._tallies.get(tier, Tally(tier))
        changed = {name: getattr(before, name) + by for name, by in changes.items()}
        self._tallies[tier] = attrs.evolve(before, **changed)

    def _judge(self, sample: Sample) -> bool:
        like = self._like(sample)
        if len(like) < MIN_BASELINE:
            return False
        slow = _ratio(sample.token_s, [s.token_s for s in like])
        first = _ratio(sample.first_s, [s.first_s for s in like])
        self._count(sample.tier, timed=1, slow=slow, slow_first=first)
        return True

    def _like(self, sample: Sample) -> list[Sample]:
        """Returns the closest old runs: fewer demands when there are too few."""
        near = [s for s in self._old if abs(s.at - sample.at) < WINDOW_S]
        same_size = [s for s in near if s.size_class == sample.size_class]
        same_tier = [s for s in same_size if s.tier == sample.tier]
        same_load = [s for s in same_tier if s.load_class == sample.load_class]
        for like in (same_load, same_tier, same_size):
            if len(like) >= MIN_BASELINE:
                return like
        return []


def _ratio(value: float, baseline: list[float]) -> float:
    """Returns the log likelihood ratio of a slowed run against a like one."""
    logs = [math.log(other) for other in baseline if other > 0]
    if value <= 0 or len(logs) < MIN_BASELINE:
        return 0.0
    middle = statistics.median(logs)
    spread = statistics.median(abs(x - middle) for x in logs) * MAD_TO_DEVIATION
    deviation = min(MAX_DEVIATION, max(MIN_DEVIATION, spread))
    shift = math.log(SLOW_FACTOR)
    score = (math.log(value) - middle) / deviation
    score = max(-MAX_SCORE, min(MAX_SCORE, score))
    effect = shift / deviation
    return effect * (score - effect / 2)
