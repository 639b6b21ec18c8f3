"""Choice of a server for one request, with the load pattern that each answers."""

from __future__ import annotations

import pytest

from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.server_selection import (
    Candidate,
    finish_probability,
    rank,
    success_probability,
)
from cornelpin.scheduling.speed import SpeedEstimate
from cornelpin.tests.scheduling_harness import (
    make_job,
    make_server,
)

NOW = 100.0


def candidate(name: str, **fields: object) -> Candidate:
    usual = {
        "server": make_server(name),
        "speed": SpeedEstimate(),
        "health": ServerHealth(),
    }
    return Candidate(**(usual | fields))  # type: ignore[arg-type]


def failing() -> ServerHealth:
    standing = ServerHealth()
    for _ in range(10):
        standing.failed()
    return standing


def crashed() -> ServerHealth:
    standing = ServerHealth()
    standing.unreachable(NOW)
    return standing


def silent() -> ServerHealth:
    standing = ServerHealth()
    standing.sent("x", NOW - 2, 0.05)
    return standing


SLOW = SpeedEstimate(s_per_token=5e-5, gap_s=0.1)
WORSE = [
    ("fuller", {"running": 1}),
    ("reading a long prompt", {"unread_tokens": 20_000}),
    ("slower", {"speed": SLOW}),
    ("grey", {"health": failing()}),
    ("crashed", {"health": crashed()}),
    ("silent", {"health": silent()}),
    ("elsewhere", {"remote": True}),
    ("not connected", {"connected": False}),
    ("tried before", {"server": make_server("tried")}),
]


@pytest.mark.parametrize("worse", [row[1] for row in WORSE], ids=[r[0] for r in WORSE])
def test_the_better_server_is_chosen(worse: dict) -> None:
    asked = make_job(avoid={"tried"})
    good, bad = candidate("z-good"), candidate("a-bad", **worse)
    assert rank(asked, [bad, good], NOW)[0] is good
    assert rank(asked, [bad], NOW) == [bad], "the last one is always tried"


NEAR_OR_FAR = [
    ("a short prompt stays near", 600, 0.0, "near"),
    ("a long prompt goes where it starts in time", 20_000, 0.0, "far"),
    ("so does one with little time left", 3_000, 0.6, "far"),
]


@pytest.mark.parametrize(
    ("tokens", "waited_s", "wanted"),
    [row[1:] for row in NEAR_OR_FAR],
    ids=[row[0] for row in NEAR_OR_FAR],
)
def test_a_slow_server_nearby_is_used_while_that_costs_the_caller_nothing(
    tokens: int, waited_s: float, wanted: str
) -> None:
    near = candidate("near", speed=SpeedEstimate(s_per_token=3e-5))
    far = candidate("far", speed=SpeedEstimate(s_per_token=6e-6), remote=True)
    asked = make_job(prompt_tokens=tokens, arrived=NOW - waited_s)
    assert rank(asked, [near, far], NOW)[0].server.id == wanted


def test_long_streams_avoid_a_server_that_pauses() -> None:
    pausing = SpeedEstimate()
    for number in range(400):
        pausing.record_gap(0.5 if number % 20 == 0 else 0.05, longest_s=0.4)
    bad, good = candidate("bad", speed=pausing), candidate("good", running=1)
    assert rank(make_job(hinted_tokens=600), [bad, good], NOW)[0] is good
    assert success_probability(make_job(hinted_tokens=600), bad, NOW) < 0.2
    assert success_probability(make_job(hinted_tokens=6), bad, NOW) > 0.9


@pytest.mark.parametrize(
    ("left_s", "low", "high"), [(30.0, 0.95, 1.0), (1.25, 0.4, 0.6), (0.3, 0.0, 0.05)]
)
def test_the_chance_of_an_output_to_end_in_time(
    left_s: float, low: float, high: float
) -> None:
    asked = make_job(hinted_tokens=300, deadline=NOW + left_s)
    assert low <= finish_probability(asked, candidate("one"), NOW) <= high


def test_a_long_output_goes_where_it_ends_in_time() -> None:
    near, fast = candidate("near", speed=SLOW), candidate("fast", running=1)
    long = make_job(hinted_tokens=3000, max_output_tokens=4000)
    assert rank(long, [near, fast], NOW)[0] is fast


def test_a_long_prompt_stays_away_from_running_streams_it_would_stall() -> None:
    stalled = candidate("stalled", running=1, speed=SpeedEstimate(s_per_token=1e-5))
    idle = candidate("idle", speed=SpeedEstimate(s_per_token=1.2e-5))
    assert rank(make_job(prompt_tokens=50_000), [stalled, idle], NOW)[0] is idle
