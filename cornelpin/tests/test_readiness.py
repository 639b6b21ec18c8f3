from __future__ import annotations

import threading
from types import SimpleNamespace

import pytest

from cornelpin.core.clock import HybridClock
from cornelpin.core.events import EventRing
from cornelpin.daemon.readiness import (
    MAX_CONFIG_LAG_S,
    MAX_ISOLATION_S,
    START_GRACE_S,
    Readiness,
)

SOON_S = 0.1


class Bed:
    """A process that starts at time zero without a configuration."""

    def __init__(self):
        self.now = 0.0
        self.last_contact_at = 0.0
        self.process = SimpleNamespace(
            view=SimpleNamespace(number=0),
            config_current=threading.Event(),
            ring=EventRing(HybridClock(), process="e", host="h"),
        )
        self.config_sync = SimpleNamespace(highest_announced=0, behind=False)
        self.readiness = Readiness(
            self.process,
            self.config_sync,
            last_contact_at=lambda: self.last_contact_at,
            clock=lambda: self.now,
        )

    def knows(self, number, *, heard=0):
        self.process.view.number = number
        self.config_sync.highest_announced = heard
        self.config_sync.behind = heard > number

    def ready_at(self, now, *, in_contact=True):
        self.now = now
        if in_contact:
            self.last_contact_at = now
        self.readiness.tick()
        return self.process.config_current.is_set()

    def working(self):
        """Brings the process to work at time zero."""
        self.knows(3, heard=3)
        assert self.ready_at(0.0)
        return self


STARTS = {
    "no configuration": (0, 0, START_GRACE_S + SOON_S, False),
    "a peer has the same number": (3, 3, SOON_S, True),
    "a peer has a lower number": (3, 2, SOON_S, True),
    "a peer has a higher number": (3, 4, START_GRACE_S + SOON_S, False),
    "no peer heard yet": (3, 0, START_GRACE_S - SOON_S, False),
    "no peer heard within the grace": (3, 0, START_GRACE_S + SOON_S, True),
}


@pytest.mark.parametrize("name", STARTS)
def test_when_a_process_starts_to_work(name):
    number, heard, now, ready = STARTS[name]
    bed = Bed()
    bed.knows(number, heard=heard)
    assert bed.ready_at(now) is ready


def test_a_short_lag_is_bridged_and_a_long_one_is_not():
    bed = Bed().working()
    bed.knows(3, heard=4)
    assert bed.ready_at(MAX_CONFIG_LAG_S - SOON_S)
    assert not bed.ready_at(MAX_CONFIG_LAG_S + SOON_S)


def test_each_lag_is_timed_from_when_the_process_was_last_level():
    bed = Bed().working()
    bed.knows(3, heard=4)
    assert bed.ready_at(MAX_CONFIG_LAG_S - SOON_S)
    bed.knows(4, heard=4)
    assert bed.ready_at(MAX_CONFIG_LAG_S)
    bed.knows(4, heard=5)
    assert bed.ready_at(2 * MAX_CONFIG_LAG_S - SOON_S)
    assert not bed.ready_at(2 * MAX_CONFIG_LAG_S + SOON_S)


def test_a_process_that_lagged_works_again_only_when_it_is_level():
    bed = Bed().working()
    bed.knows(3, heard=4)
    late = MAX_CONFIG_LAG_S + SOON_S
    assert not bed.ready_at(late)
    assert not bed.ready_at(late + SOON_S)
    bed.knows(4, heard=4)
    assert bed.ready_at(late + 2 * SOON_S)


def test_an_isolated_process_stops_and_works_again_after_contact():
    bed = Bed().working()
    assert bed.ready_at(MAX_ISOLATION_S - SOON_S, in_contact=False)
    assert not bed.ready_at(MAX_ISOLATION_S + SOON_S, in_contact=False)
    assert bed.ready_at(MAX_ISOLATION_S + 2 * SOON_S)


def test_each_change_is_recorded_once():
    bed = Bed().working()
    bed.ready_at(SOON_S)
    bed.ready_at(MAX_ISOLATION_S + 1, in_contact=False)
    bed.ready_at(MAX_ISOLATION_S + 2, in_contact=False)
    kinds = [event.kind for event in bed.process.ring.select()]
    assert kinds == ["config.current", "config.not-current"]
