"""Slots borrowed between tiers: limited by recent use of the others and the total."""

from __future__ import annotations

import pytest

from cornelpin.core.slots import PEAK_WINDOW_S, SlotTable

SHARE = 0.5


class FakeClock:
    now = 100.0

    def __call__(self):
        return self.now


def acquire_all(slots, tier, share):
    acquired = 0
    while slots.allows(tier, share):
        slots.acquire(tier)
        acquired += 1
    return acquired


@pytest.mark.parametrize(
    ("total", "others", "idle_s", "expected"),
    [
        (8, 0, 0.0, 6),
        (8, 1, 0.0, 6),
        (8, 3, 0.0, 5),
        (8, 6, 0.0, 4),
        (8, 6, 1.1 * PEAK_WINDOW_S, 6),
        (4, 0, 0.0, 3),
        (1, 0, 0.0, 1),
    ],
)
def test_tier_borrows_slots_that_others_have_not_used_recently(
    total, others, idle_s, expected
):
    clock = FakeClock()
    slots = SlotTable(total, clock=clock)
    for release in [slots.acquire("question") for _ in range(others)]:
        release()
    clock.now += idle_s
    assert acquire_all(slots, "review", SHARE) == expected


def test_borrowed_slots_never_exceed_the_total():
    slots = SlotTable(4, clock=FakeClock())
    acquire_all(slots, "review", SHARE)
    acquire_all(slots, "question", 1.0)
    assert slots.used == slots.total
    assert not slots.allows("review", SHARE)
