"""Sequential canary analysis: compares a new version with the old one on similar work.

Failures and slowness each have cumulative sums of log likelihood ratios that restart at
zero (CUSUM, Page's test), so that a regression that sets in late is detected as fast as
one present from the start. There are sums for all runs, for each tier and for each load
class, so that good runs of other tiers or at low load do not outweigh bad ones. All
sums together raise a false alarm at most once in ``1 / ALPHA`` runs on average: the
threshold of a sum rises with their number. A version is accepted once it has had so
many runs that, if its failure rate had risen by more than tolerated, at least one
failure would have been seen with probability ``1 - BETA``.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

# Upper bound of the mean rate of false alarms per run.
ALPHA = 1e-5
# Probability that no failure is seen before a version is accepted, if its failure rate
# has risen by more than tolerated.
BETA = 0.05
# Lower bound of the old version's estimated failure rate, so that a single failure has
# a bounded weight.
MIN_FAILURE_RATE = 0.01
# Weight of that rate in the estimate, in runs of the old version.
PRIOR_RUNS = 100
# Hypothetical regressions of the failure rate, each with a sum of its own: a rise by
# the tolerated amount, and severe rates as fractions of all runs.
TOLERATED_RISE = "failures above the tolerated rise"
SEVERE_FAILURE_RATES = {"failures at 0.3": 0.3, "failures at 0.6": 0.6}
# Fraction of the alarm threshold above which a version is suspicious.
SUSPICION_THRESHOLD_SHARE = 0.4
MIN_TIMED_RUNS = 6


@attrs.frozen
class Tally:
    """Cumulative counts of one side for one tier and load class.

    Its fields are sent between processes by position.

    Attributes:
        tier: Name of the tier.
        old_runs: Ended runs of the old version.
        old_failures: Failed runs among ``old_runs``.
        new_runs: Ended runs of the new version.
        new_failures: Failed runs among ``new_runs``.
        timed: Runs of the new version whose time per token was compared.
        slow: Sum of log likelihood ratios for a longer time per token.
        slow_first: The same for the time to the first part (stream event or chunk) of
            the response.
        slow_some: As ``slow``, for the hypothesis that only
            ``run_comparison.SOME_SHARE`` of the runs take longer.
        slow_first_some: As ``slow_first``, for that hypothesis.
        load_class: Concurrent runs on the server, in steps of
            ``run_comparison.RUNS_PER_LOAD_CLASS``.
    """

    tier: str
    old_runs: int = 0
    old_failures: int = 0
    new_runs: int = 0
    new_failures: int = 0
    timed: int = 0
    slow: float = 0.0
    slow_first: float = 0.0
    slow_some: float = 0.0
    slow_first_some: float = 0.0
    load_class: int = 0

    def minus(self, other: Tally) -> Tally:
        """Returns the difference of two cumulative tallies."""
        values = {
            name: getattr(self, name) - getattr(other, name) for name in _COUNTERS
        }
        return attrs.evolve(self, **values)

    def plus(self, other: Tally) -> Tally:
        """Returns the sum of two tallies."""
        values = {
            name: getattr(self, name) + getattr(other, name) for name in _COUNTERS
        }
        return attrs.evolve(self, **values)


_KEY_FIELDS = ("tier", "load_class")
_COUNTERS = tuple(f.name for f in attrs.fields(Tally) if f.name not in _KEY_FIELDS)


@attrs.frozen
class Group:
    """Runs that share cumulative sums: all, those of one tier or of one load class.

    Attributes:
        tier: Name of the tier, or an empty string for all.
        load_class: Load class as in :class:`Tally`, None for all.
    """

    tier: str = ""
    load_class: int | None = None

    def __str__(self) -> str:
        """Returns where a regression occurs, as a suffix to its description."""
        if self.load_class is not None:
            return f" at load class {self.load_class}"
        return f" on tier {self.tier}" if self.tier else ""


@attrs.frozen
class _TallyKey:
    """Key of one cumulative tally: its source, tier and load class."""

    name: str
    tier: str
    load_class: int


@attrs.frozen
class _Latest:
    """The latest tally with a key and the incarnation of the source that sent it."""

    incarnation: str
    tally: Tally


@attrs.define
class _Sums:
    """Cumulative sums of one group of runs.

    Attributes:
        total: All counts of the group.
        values: Sum of log likelihood ratios by hypothetical regression.
    """

    total: Tally
    values: dict[str, float] = attrs.field(factory=dict)

    def add(self, regression: str, ratio: float) -> None:
        self.values[regression] = max(0.0, self.values.get(regression, 0.0) + ratio)


@attrs.frozen
class Assessment:
    """Result of the analysis so far.

    Attributes:
        bad: Whether a regression of the new version was detected.
        accepted: Whether enough runs were analysed that a regression would have been
            detected; may be true of a bad version, too.
        suspicious: Whether the new version's share of traffic should not grow yet.
        reason: Description of the most likely regression, for operators.
        runs: Analysed runs of the new version.
    """

    bad: bool
    accepted: bool
    suspicious: bool
    reason: str
    runs: int


class CanaryAnalysis:
    """Analyses one attempt of a move from the tallies of many sides.

    Args:
        max_bad_share: Tolerated increase of the failure rate.
    """

    def __init__(self, max_bad_share: float) -> None:
        self._rise = max(max_bad_share, MIN_FAILURE_RATE)
        self._latest: dict[_TallyKey, _Latest] = {}
        self._sums: dict[Group, _Sums] = {}
        self._detected = ""

    def add_tallies(
        self, source: str, incarnation: str, tallies: Iterable[Tally]
    ) -> None:
        """Adds cumulative tallies; duplicate and reordered ones have no effect.

        Args:
            source: Name of the side that sent them.
            incarnation: Incarnation of the side; its counts restart with each one.
            tallies: The tallies, one for each tier and load class.
        """
        for tally in tallies:
            key = _TallyKey(source, tally.tier, tally.load_class)
            known = self._latest.get(key)
            if known is None or known.incarnation != incarnation:
                before = Tally(tally.tier, load_class=tally.load_class)
            else:
                before = known.tally
            if tally.new_runs + tally.old_runs < before.new_runs + before.old_runs:
                continue
            self._latest[key] = _Latest(incarnation, tally)
            change = tally.minus(before)
            self._add(Group(), change)
            self._add(Group(tier=tally.tier), change)
            self._add(Group(load_class=tally.load_class), change)

    def assess(self) -> Assessment:
        """Assesses the new version; once bad, it stays bad."""
        scores = [
            (value, group, regression)
            for group, sums in self._sums.items()
            for regression, value in sums.values.items()
        ]
        score, group, regression = max(
            scores, key=lambda scored: scored[0], default=(0.0, Group(), "")
        )
        threshold = math.log(max(1, len(scores)) / ALPHA)
        if score >= threshold and not self._detected:
            self._detected = self._describe(group, regression)
        total = self._total(Group())
        return Assessment(
            bad=bool(self._detected),
            accepted=self._accepted(total),
            suspicious=score >= SUSPICION_THRESHOLD_SHARE * threshold,
            reason=self._detected
            or (self._describe(group, regression) if score else ""),
            runs=total.new_runs,
        )

    def _total(self, group: Group) -> Tally:
        sums = self._sums.get(group)
        return sums.total if sums is not None else Tally(group.tier)

    def _accepted(self, total: Tally) -> bool:
        # Number of runs that include a failure with probability 1 - BETA if the rate
        # has risen by the tolerated amount; a rise of more than 0.5 counts as 0.5.
        needed = math.log(BETA) / math.log(1 - min(0.5, self._rise))
        return total.new_runs >= needed and total.timed >= MIN_TIMED_RUNS

    def _add(self, group: Group, change: Tally) -> None:
        sums = self._sums.setdefault(group, _Sums(Tally(group.tier)))
        sums.total = sums.total.plus(change)
        base = failure_rate(sums.total.old_runs, sums.total.old_failures)
        rates = {TOLERATED_RISE: base + self._rise} | SEVERE_FAILURE_RATES
        for regression, rate in rates.items():
            if rate <= base or rate >= 1:
                continue
            ratio = failure_ratio(change.new_runs, change.new_failures, base, rate)
            sums.add(regression, ratio)
        sums.add("time per token", change.slow)
        sums.add("time to the first part", change.slow_first)
        sums.add("time per token of some runs", change.slow_some)
        sums.add("time to the first part of some runs", change.slow_first_some)

    def _describe(self, group: Group, regression: str) -> str:
        total = self._total(group)
        where = str(group)
        if regression.startswith("failures"):
            return (
                f"{total.new_failures} of {total.new_runs} runs failed{where}, "
                f"with the old version {total.old_failures} of {total.old_runs}"
            )
        return f"longer {regression}{where} than the old version on like work"


def failure_rate(runs: int, failures: int) -> float:
    """Returns the old version's estimated failure rate, at least the lower bound."""
    prior = MIN_FAILURE_RATE * PRIOR_RUNS
    return max(MIN_FAILURE_RATE, (failures + prior) / (runs + PRIOR_RUNS))


def failure_ratio(runs: int, failures: int, base: float, rate: float) -> float:
    """Returns the log likelihood ratio of two hypothetical failure rates.

    It is above 0 if the failures among the runs are likelier at ``rate`` than at
    ``base``.
    """
    return failures * math.log(rate / base) + (runs - failures) * math.log(
        (1 - rate) / (1 - base)
    )


def tallies_of(rows: Iterable[Mapping | list]) -> list[Tally]:
    """Builds tallies from the rows of a message, each the list of a tally's fields."""
    return [Tally(*row) for row in rows]
