"""The replayed loads on one limited server, shared among simulated entries."""

from __future__ import annotations

import attrs
import pytest

from benchmarks.limits.network import Faults
from benchmarks.limits.replay import LATE, LOADS, WINDOW_S, Load, replay

MAX_FACTOR, MAX_EXTRA = 1.5, 5.0
"""What the platform's rule tolerates: this multiple of a limit and these further
requests."""

CASES = [
    # Load, smallest part of the limit that is used.
    (LOADS["even"], 0.9),
    (LOADS["at one entry"], 0.9),
    (LOADS["late, lost reports"], 0.5),
    (LOADS["restarts"], 0.9),
    (LOADS["cut in halves"], 0.8),
    (LOADS["two cut off"], 0.8),
    (LOADS["68 entries, 0.5/s"], 0.8),
    (attrs.evolve(LOADS["68, 0.5/s, late"], duration_s=20.0), 0.2),
    (attrs.evolve(LOADS["68, 0.5/s, 400 asked"], duration_s=10.0), 0.8),
    (Load(6, 60.0, duration_s=20.0), 0.9),
    (Load(3, 0.1, demand=20.0, duration_s=60.0), 0.8),
]


@pytest.mark.parametrize(("load", "least"), CASES)
def test_one_issuer_keeps_a_limit_and_uses_it(load: Load, least: float) -> None:
    result = replay(load, "one issuer")
    assert result.most_requests <= MAX_FACTOR * load.limit_per_s * WINDOW_S + MAX_EXTRA
    assert result.used >= least


def test_limit_is_not_exceeded_while_all_hear_each_other() -> None:
    for seed in range(5):
        load = attrs.evolve(LOADS["even"], duration_s=20.0)
        result = replay(load, "one issuer", seed)
        # What had accumulated: one, and a burst of 0.2 s.
        assert result.most_requests <= load.limit_per_s * (WINDOW_S + 0.2) + 1


def test_messages_do_not_grow_with_the_demand() -> None:
    calm = replay(
        attrs.evolve(LOADS["68 entries, 0.5/s"], duration_s=10.0), "one issuer"
    )
    busy = replay(
        attrs.evolve(LOADS["68, 0.5/s, 400 asked"], duration_s=10.0), "one issuer"
    )
    # Each entry asks once a second, and gets one reply.
    assert busy.messages_per_s <= 2.2 * 68
    assert calm.messages_per_s <= busy.messages_per_s


@pytest.mark.parametrize("cut_share", [0.2, 0.34, 0.5, 0.9])
def test_parts_of_a_partition_keep_the_limit_together(cut_share: float) -> None:
    faults = Faults(cut=(5.0, 14.0), cut_share=cut_share)
    load = Load(6, 10.0, faults=faults, duration_s=14.0)
    result = replay(load, "one issuer")
    # 1.5 s pass until each part knows that it has lost the other.
    assert result.most_requests <= load.limit_per_s * (WINDOW_S + 1.5) + 3
    assert result.used >= 0.7


def test_messages_that_are_late_and_lost_leave_the_limit_kept() -> None:
    for seed in range(5):
        load = Load(6, 1.8, faults=LATE, duration_s=20.0)
        result = replay(load, "one issuer", seed)
        assert result.most_requests <= MAX_FACTOR * 1.8 * WINDOW_S + MAX_EXTRA
