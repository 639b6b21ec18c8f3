"""Load patterns replayed against emulated engines by the gateway's own scheduler.

The bounds guard against a change of the scheduler that loses value under bursts,
crashes or overload, or that refuses requests as not run after they have run.
"""

from __future__ import annotations

import attrs
import pytest

from benchmarks.replay.patterns import PATTERNS, Crash
from benchmarks.replay.replay import Result, bound, play

DURATION_S = 12.0
SEEDS = (1, 2)

# Pattern and lower bounds: earned share, gain over the forwarder, and share in time of
# the kind with the lowest such share. ``worst`` of a result is another figure.
ROWS = [
    ("calm", 0.97, 0.0, 0.97),
    ("burst", 0.83, 0.05, 0.60),
    ("long_prompts", 0.85, 0.05, 0.70),
    ("crash_in_burst", 0.80, 0.03, 0.55),
    ("servers_lost", 0.65, 0.10, 0.50),
    ("long_overload", 0.50, 0.15, 0.35),
    ("long_answers", 0.75, 0.20, 0.25),
]


def results(name: str, system: str) -> list[Result]:
    pattern = attrs.evolve(PATTERNS[name](), duration_s=DURATION_S)
    return [play(pattern, system, seed) for seed in SEEDS]


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


@pytest.mark.parametrize(("name", "least", "gain", "worst"), ROWS)
def test_load_pattern_earns_its_share(
    name: str, least: float, gain: float, worst: float
) -> None:
    served = results(name, "gateway")
    forwarded = results(name, "forwarder")
    earned = mean([r.earned for r in served])
    assert earned >= least
    assert earned >= mean([r.earned for r in forwarded]) + gain
    kinds = served[0].in_time
    assert min(mean([r.in_time[kind] for r in served]) for kind in kinds) >= worst
    assert sum(r.false_refusals for r in served) == 0


LIMITED_ROWS = [
    # Pattern, least part of the limits that is used, least earned share, and the least
    # share of refusals that come early.
    ("two_limited", 0.7, 0.92, 0.7),
    ("all_limited", 0.9, 0.68, 0.9),
]


@pytest.mark.parametrize(("name", "used", "earned", "early"), LIMITED_ROWS)
def test_limits_of_servers_are_kept_and_used(
    name: str, used: float, earned: float, early: float
) -> None:
    pattern = PATTERNS[name]()
    served = [play(pattern, "gateway", seed) for seed in SEEDS]
    least = min(limit.per_s for limit in pattern.limits)
    # Beyond the limit: a permit that had accumulated, a burst of 0.2 s, and requests
    # on their way when the window begins.
    tolerance = (2.0 + 0.2 * least) / (4.0 * least)
    assert max(r.over_limit for r in served) <= 1.0 + tolerance
    assert mean([r.limits_used for r in served]) >= used
    assert mean([r.earned for r in served]) >= earned
    assert mean([r.refused_early for r in served]) >= early
    assert sum(r.false_refusals for r in served) == 0


COLD_ROWS = [
    # Pattern, least part of what cold servers take that is used, and least earned
    # share. With one cold server the others have room.
    ("one_cold", 0.0, 0.98),
    ("half_cold", 0.8, 0.85),
    ("all_cold", 0.8, 0.80),
]


@pytest.mark.parametrize(("name", "used", "earned"), COLD_ROWS)
def test_cold_servers_get_what_they_take(name: str, used: float, earned: float) -> None:
    pattern = PATTERNS[name]()
    cold = pattern.cold_start
    assert cold is not None
    served = [play(pattern, "gateway", seed) for seed in SEEDS]
    # Those of a second, one that had accumulated, and a burst of 0.2 s.
    assert max(r.cold_per_s for r in served) <= cold.per_s + 1 + 0.2 * cold.per_s
    assert mean([r.cold_used for r in served]) >= used
    assert mean([r.earned for r in served]) >= earned
    assert sum(r.false_refusals for r in served) == 0


def test_servers_with_limits_serve_more_than_none() -> None:
    """Limits of two servers cost less than their loss would."""
    limited = PATTERNS["two_limited"]()
    crashes = tuple(Crash(v.start_s, v.duration_s, v.server) for v in limited.limits)
    lost = attrs.evolve(limited, limits=(), crashes=crashes)
    gains = [
        play(limited, "gateway", seed).earned - play(lost, "gateway", seed).earned
        for seed in SEEDS
    ]
    assert mean(gains) > 0.02


def test_overloaded_callers_know_at_once_that_they_are_not_served() -> None:
    """Nine of ten refusals come within a quarter of the objective.

    Before requests were refused by a forecast, one of twenty did, and 0.81 of the
    requests were served.
    """
    served = [play(PATTERNS["long_answers"](), "gateway", seed) for seed in range(3)]
    assert mean([r.refused_early for r in served]) >= 0.9
    assert mean([r.served for r in served]) >= 0.81


def test_replay_is_deterministic_for_a_seed() -> None:
    pattern = attrs.evolve(PATTERNS["burst"](), duration_s=8.0)
    assert play(pattern, "gateway", 3) == play(pattern, "gateway", 3)
    assert play(pattern, "gateway", 3) != play(pattern, "gateway", 4)


def test_bound_is_a_share() -> None:
    for name in PATTERNS:
        pattern = PATTERNS[name]()
        assert 0 < bound(pattern, 1) <= 1


def test_unknown_system_is_rejected_by_name() -> None:
    with pytest.raises(ValueError, match="nobody"):
        play(PATTERNS["calm"](), "nobody", 1)
