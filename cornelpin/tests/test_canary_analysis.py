"""Canary analysis of moves compared with fixed thresholds, on the same streams.

Guards against missed faults that show only on some of the runs, and against rollback of
good versions because of noise.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from benchmarks.judgement import (
    BAD_VERSIONS,
    EndedRun,
    Fault,
    analyse,
    apply_thresholds,
    synthetic_runs,
)

GOOD_SEEDS = range(1000, 1024)


# A sample of the seeds 0 to 9, all of which end in a rollback.
@pytest.mark.parametrize("seed", [0, 4, 5, 6, 7, 9])
def test_good_runs_do_not_hide_a_version_slow_on_one_kind_of_work(seed):
    assert analyse(synthetic_runs(seed, BAD_VERSIONS["slow_on_one_kind"])).rolled_back


def test_good_versions_are_never_rolled_back():
    results = [analyse(synthetic_runs(seed, Fault())) for seed in GOOD_SEEDS]
    naive = [apply_thresholds(synthetic_runs(seed, Fault())) for seed in GOOD_SEEDS]
    assert sum(result.rolled_back for result in results) == 0
    assert sum(result.rolled_back for result in naive) > 0


@pytest.mark.parametrize("seed", [2000, 2001])
@pytest.mark.parametrize("kind", sorted(BAD_VERSIONS))
def test_bad_versions_are_always_rolled_back(kind, seed):
    assert analyse(synthetic_runs(seed, BAD_VERSIONS[kind])).rolled_back


# A sample of the seeds 0 to 59, all of which end in a rollback.
@pytest.mark.parametrize("seed", [5, 26, 48, 56])
def test_runs_at_low_load_do_not_hide_a_version_slow_under_load(seed):
    assert analyse(synthetic_runs(seed, BAD_VERSIONS["slow_under_load"])).rolled_back


def count_new_runs(events: Iterator[EndedRun]) -> int:
    """Counts the runs that the new version gets in a move by fixed steps."""
    return sum(event.is_new for event in events)


@pytest.mark.parametrize("seed", range(3000, 3004))
@pytest.mark.parametrize("kind", ["good", *sorted(BAD_VERSIONS)])
def test_bad_versions_get_fewer_runs_than_in_a_move_by_fixed_steps(kind, seed):
    """A good version gets no more runs than in such a move, a bad one fewer."""
    fault = BAD_VERSIONS.get(kind, Fault())
    judged = analyse(synthetic_runs(seed, fault))
    naive = count_new_runs(synthetic_runs(seed, fault))
    assert judged.rolled_back is (kind != "good")
    assert judged.runs < naive if judged.rolled_back else judged.runs <= naive
