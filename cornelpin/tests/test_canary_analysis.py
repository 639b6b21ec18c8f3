"""Canary analysis of moves compared with fixed thresholds, on the same streams.

Guards against missed faults that show only on some of the runs, and against rollback of
good versions because of noise.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from benchmarks.judgement import BAD, Event, Fault, judge, judge_naively, stream

GOOD_SEEDS = range(1000, 1024)


@pytest.mark.parametrize("seed", [0, 4, 5, 6, 7, 9])
def test_good_runs_do_not_hide_a_version_slow_on_one_kind_of_work(seed):
    assert judge(stream(seed, BAD["slow_on_one_kind"])).taken_back


def test_good_versions_are_never_rolled_back():
    results = [judge(stream(seed, Fault())) for seed in GOOD_SEEDS]
    naive = [judge_naively(stream(seed, Fault())) for seed in GOOD_SEEDS]
    assert sum(result.taken_back for result in results) == 0
    assert sum(result.taken_back for result in naive) > 0


@pytest.mark.parametrize("seed", [2000, 2001])
@pytest.mark.parametrize("kind", sorted(BAD))
def test_bad_versions_are_always_rolled_back(kind, seed):
    assert judge(stream(seed, BAD[kind])).taken_back


@pytest.mark.parametrize("seed", [5, 26, 48, 56])
def test_runs_at_low_load_do_not_hide_a_version_slow_under_load(seed):
    assert judge(stream(seed, BAD["slow_under_load"])).taken_back


def count_new_runs(events: Iterator[Event]) -> int:
    """Counts the runs that the new version gets in a move by fixed steps."""
    return sum(event.is_new for event in events)


@pytest.mark.parametrize("seed", range(3000, 3004))
@pytest.mark.parametrize("kind", ["good", *sorted(BAD)])
def test_bad_versions_get_fewer_runs_than_in_a_move_by_fixed_steps(kind, seed):
    """A good version gets no more runs than there, a bad one fewer."""
    fault = BAD.get(kind, Fault())
    judged = judge(stream(seed, fault))
    naive = count_new_runs(stream(seed, fault))
    assert judged.taken_back is (kind != "good")
    assert judged.runs < naive if judged.taken_back else judged.runs <= naive
