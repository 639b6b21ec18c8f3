"""Tests that compare the runs of a new version with those of the old one.

A bad version fails a share of its runs or is several times slower, at once or later, on
one route or on all. The tests are cumulative sums of log likelihood ratios that restart
at zero (CUSUM, Page's test), so that a late fault is found as fast as an early one.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.canary_analysis import failure_ratio

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cornelpin.scheduling.servers import BackendServer

BASE_BAD_RATE = 0.05
"""Share of failed and of slow runs expected of any version: runs on the slowest servers
sometimes count as slow."""
PRIOR_RUNS = 20
"""Weight of ``BASE_BAD_RATE`` in the estimate of the old version's bad-run rate, in
runs."""
FAILURE_INCREASES = (0.15, 0.4)
"""Increases of the rate of failed runs that are tested for: a fault on one of several
routes, and one on all."""
SLOW_INCREASE = 0.3
"""Increase of the rate of slow runs that is tested for."""
SERVER_GROUPS = 8
"""Number of groups into which the servers of the new version are divided, so that one
slow server is not taken for a slow version. Counts by group stay few in a large
fleet."""
MIN_SLOW_RUNS = 2
"""Fewest slow runs with which a group counts as slow."""
SLOW_GROUPS = 2
"""Fewest slow groups of a slow version, if so many have runs."""
SLOW_GROUPS_SHARE = 0.5
"""Least share of a slow version's runs in slow groups: a good one may have some servers
that are slower than the old ones."""
OLD_GROUP = "old"
"""Name of the group of all servers of old versions."""


def server_group(server: BackendServer) -> str:
    """Returns the group of a server of the new version."""
    return str(zlib.crc32(server.id.encode()) % SERVER_GROUPS)


@attrs.define
class FailureTest:
    """CUSUM test (Page's test) on the rate of failed runs, of all routes or of one.

    Attributes:
        seen: The four counts of ``Counts.runs`` at the last update.
        sums: Cumulative log likelihood ratio, by tested increase of the rate.
    """

    seen: list[int] = attrs.field(factory=lambda: [0, 0, 0, 0])
    sums: dict[float, float] = attrs.field(factory=dict)

    def update(self, total: Sequence[int]) -> None:
        """Adds the runs since the last update, given four counts as in ``Counts.runs``.

        Runs of the new version are tested against the rate of the old ones.
        """
        # Columns: runs of old versions, bad ones, runs of the new version, bad ones.
        runs, bad = total[2] - self.seen[2], total[3] - self.seen[3]
        self.seen = list(total)
        base = _base_rate(total[0], total[1])
        for increase in FAILURE_INCREASES:
            if base + increase >= 1:
                continue
            log_ratio = failure_ratio(runs, bad, base, base + increase)
            self.sums[increase] = max(0.0, self.sums.get(increase, 0.0) + log_ratio)

    @property
    def score(self) -> float:
        """Largest cumulative log likelihood ratio."""
        return max(self.sums.values(), default=0.0)


@attrs.define
class SlownessTest:
    """CUSUM test on the rate of slow runs, of all routes or of one.

    Servers of one version differ in speed. A version is slow if most of its runs since
    the sum was last zero are in groups of servers that are.

    Attributes:
        seen: Runs and slow ones by group at the last update.
        since: Those at the time when the sum was last zero.
        sum: Cumulative log likelihood ratio.
        base: Estimated rate of slow runs of the old version.
    """

    seen: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    since: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    sum: float = 0.0
    base: float = 1.0

    def update(self, counts: Mapping[str, Sequence[int]]) -> None:
        """Adds the runs since the last update, given runs and slow ones by group."""
        self.base = _base_rate(*counts.get(OLD_GROUP, (0, 0)))
        if self.base + SLOW_INCREASE >= 1:
            return
        new = {g: (c[0], c[1]) for g, c in counts.items() if g != OLD_GROUP}
        runs = sum(c[0] for c in new.values()) - sum(c[0] for c in self.seen.values())
        slow = sum(c[1] for c in new.values()) - sum(c[1] for c in self.seen.values())
        self.seen = new
        log_ratio = failure_ratio(runs, slow, self.base, self.base + SLOW_INCREASE)
        self.sum = max(0.0, self.sum + log_ratio)
        if not self.sum:
            self.since = new

    def alarms(self, threshold: float) -> bool:
        """Returns whether the sum reaches a threshold and most groups are slow."""
        return self.sum >= threshold and self._most_are_slow()

    def _most_are_slow(self) -> bool:
        """Returns whether several groups are slow, and most runs are in them."""
        total = in_slow_groups = groups = slow_groups = 0
        for group, (runs, slow) in self.seen.items():
            runs_before, slow_before = self.since.get(group, (0, 0))
            runs, slow = runs - runs_before, slow - slow_before
            total += runs
            groups += runs >= MIN_SLOW_RUNS
            if slow >= MIN_SLOW_RUNS and slow > runs * (self.base + SLOW_INCREASE / 2):
                slow_groups += 1
                in_slow_groups += runs
        return (
            slow_groups >= min(SLOW_GROUPS, groups)
            and in_slow_groups >= SLOW_GROUPS_SHARE * total
        )


def _base_rate(runs: int, bad: int) -> float:
    """Returns the estimated rate of bad runs of the old version."""
    prior = BASE_BAD_RATE * PRIOR_RUNS
    return max(BASE_BAD_RATE, (bad + prior) / (runs + PRIOR_RUNS))
