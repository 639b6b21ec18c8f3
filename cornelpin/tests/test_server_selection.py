"""Server selection for one request."""

from __future__ import annotations

import attrs
import pytest

from cornelpin.scheduling.routing import Route, RouteKind
from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.server_selection import (
    Candidate,
    finish_probability,
    rank_candidates,
    success_probability,
)
from cornelpin.scheduling.speed import SpeedEstimate
from cornelpin.tests.scheduling_harness import (
    STREAM,
    make_job,
    make_server,
)

NOW = 100.0


def make_candidate(name: str, **fields: object) -> Candidate:
    defaults = {
        "server": make_server(name),
        "speed": SpeedEstimate(),
        "health": ServerHealth(),
    }
    return Candidate(**(defaults | fields))  # type: ignore[arg-type]


def failing_health() -> ServerHealth:
    health = ServerHealth()
    for _ in range(10):
        health.failed()
    return health


def crashed_health() -> ServerHealth:
    health = ServerHealth()
    health.unreachable(NOW)
    return health


def silent_health() -> ServerHealth:
    health = ServerHealth()
    health.sent("x", NOW - 2, 0.05)
    return health


SLOW = SpeedEstimate(s_per_token=5e-5, gap_s=0.1)
WORSE = [
    ("fuller", {"running": 1}),
    ("reading a long prompt", {"pending_tokens": 20_000}),
    ("slower", {"speed": SLOW}),
    ("grey", {"health": failing_health()}),
    ("crashed", {"health": crashed_health()}),
    ("silent", {"health": silent_health()}),
    ("elsewhere", {"remote": True}),
    ("not connected", {"connected": False}),
    ("tried before", {"server": make_server("tried")}),
]


@pytest.mark.parametrize("worse", [row[1] for row in WORSE], ids=[r[0] for r in WORSE])
def test_better_server_is_ranked_first(worse: dict) -> None:
    job = make_job(avoid={"tried"})
    good, bad = make_candidate("z-good"), make_candidate("a-bad", **worse)
    assert rank_candidates(job, [bad, good], NOW)[0] is good
    assert rank_candidates(job, [bad], NOW) == [bad], "the last one is always tried"


UNSAFE = attrs.evolve(STREAM, kind=RouteKind.UNSAFE)
AGAIN = attrs.evolve(STREAM, resumable=True)
UNPROVEN = [
    # Route, time of arrival, whether a run has failed, whether the proven server is
    # full; the servers that it may get.
    ("may run again", AGAIN, NOW, False, False, ["a-failed", "z-proven"]),
    ("may run again, other full", AGAIN, NOW, False, True, ["a-failed"]),
    ("may not", UNSAFE, NOW, False, False, ["z-proven"]),
    ("may not, other full", UNSAFE, NOW, False, True, []),
    ("may not, late, other full", UNSAFE, NOW - 2, False, True, ["a-failed"]),
    ("second run", AGAIN, NOW, True, False, ["z-proven"]),
    ("second run, late, other full", AGAIN, NOW - 2, True, True, []),
]


@pytest.mark.parametrize(
    ("route", "arrived", "run_failed", "full", "expected"),
    [row[1:] for row in UNPROVEN],
    ids=[row[0] for row in UNPROVEN],
)
def test_only_jobs_that_may_run_again_try_out_a_server(
    route: Route, arrived: float, run_failed: bool, full: bool, expected: list[str]
) -> None:
    """Load: a server, or all of a data centre, that was lost and still looks idle."""
    proven = make_candidate("z-proven", running=2 if full else 1)
    failed = make_candidate("a-failed", unproven=True)
    job = make_job(route=route, arrived=arrived, run_failed=run_failed)
    ranked = rank_candidates(job, [proven, failed], NOW)
    assert [c.server.id for c in ranked] == expected
    assert rank_candidates(job, [failed], NOW) == [failed]


def test_server_is_unproven_from_an_ejection_to_a_complete_response() -> None:
    health = ServerHealth()
    assert not health.unproven
    health.unreachable(NOW)
    assert health.unproven
    health.failed()
    assert health.unproven
    health.succeeded()
    assert not health.unproven


LOCAL_OR_REMOTE = [
    ("a short prompt stays near", 600, 0.0, "near"),
    ("a long prompt goes where it starts in time", 20_000, 0.0, "far"),
    ("so does one with little time left", 3_000, 0.6, "far"),
]


@pytest.mark.parametrize(
    ("tokens", "waited_s", "wanted"),
    [row[1:] for row in LOCAL_OR_REMOTE],
    ids=[row[0] for row in LOCAL_OR_REMOTE],
)
def test_slow_local_server_is_used_while_first_event_is_on_time(
    tokens: int, waited_s: float, wanted: str
) -> None:
    near = make_candidate("near", speed=SpeedEstimate(s_per_token=3e-5))
    far = make_candidate("far", speed=SpeedEstimate(s_per_token=6e-6), remote=True)
    job = make_job(prompt_tokens=tokens, arrived=NOW - waited_s)
    assert rank_candidates(job, [near, far], NOW)[0].server.id == wanted


def test_long_streams_avoid_server_with_late_events() -> None:
    pausing = SpeedEstimate()
    for number in range(400):
        pausing.record_gap(0.5 if number % 20 == 0 else 0.05, max_gap_s=0.4)
    bad, good = make_candidate("bad", speed=pausing), make_candidate("good", running=1)
    assert rank_candidates(make_job(hinted_tokens=600), [bad, good], NOW)[0] is good
    assert success_probability(make_job(hinted_tokens=600), bad, NOW) < 0.2
    assert success_probability(make_job(hinted_tokens=6), bad, NOW) > 0.9


@pytest.mark.parametrize(
    ("left_s", "low", "high"), [(30.0, 0.95, 1.0), (1.25, 0.4, 0.6), (0.3, 0.0, 0.05)]
)
def test_probability_that_output_ends_before_deadline(
    left_s: float, low: float, high: float
) -> None:
    job = make_job(hinted_tokens=300, deadline=NOW + left_s)
    assert low <= finish_probability(job, make_candidate("one"), NOW) <= high


def test_long_output_goes_to_server_that_meets_deadline() -> None:
    near, fast = make_candidate("near", speed=SLOW), make_candidate("fast", running=1)
    long = make_job(hinted_tokens=3000, max_output_tokens=4000)
    assert rank_candidates(long, [near, fast], NOW)[0] is fast


def test_long_prompt_avoids_server_with_running_streams() -> None:
    stalled = make_candidate(
        "stalled", running=1, speed=SpeedEstimate(s_per_token=1e-5)
    )
    idle = make_candidate("idle", speed=SpeedEstimate(s_per_token=1.2e-5))
    assert (
        rank_candidates(make_job(prompt_tokens=50_000), [stalled, idle], NOW)[0] is idle
    )
