"""An entry accepts requests only while its configuration is recent enough."""

from __future__ import annotations

import threading
from types import SimpleNamespace

import pytest

from cornelpin.core.clock import HybridClock
from cornelpin.core.events import EventRing
from cornelpin.daemon.readiness import (
    MAX_CONFIG_LAG_S,
    MAX_ISOLATION_S,
    STARTUP_GRACE_S,
    Readiness,
)

SOON_S = 0.1


class Harness:
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

    def set_numbers(self, number, *, announced=0):
        self.process.view.number = number
        self.config_sync.highest_announced = announced
        self.config_sync.behind = announced > number

    def is_ready_at(self, now, *, in_contact=True):
        self.now = now
        if in_contact:
            self.last_contact_at = now
        self.readiness.tick()
        return self.process.config_current.is_set()

    def make_ready(self):
        """Makes the process ready at time zero with configuration number 3."""
        self.set_numbers(3, announced=3)
        assert self.is_ready_at(0.0)
        return self


STARTS = {
    "no configuration": (0, 0, STARTUP_GRACE_S + SOON_S, False),
    "a peer has the same number": (3, 3, SOON_S, True),
    "a peer has a lower number": (3, 2, SOON_S, True),
    "a peer has a higher number": (3, 4, STARTUP_GRACE_S + SOON_S, False),
    "no peer heard yet": (3, 0, STARTUP_GRACE_S - SOON_S, False),
    "no peer heard within the grace": (3, 0, STARTUP_GRACE_S + SOON_S, True),
}


@pytest.mark.parametrize("name", STARTS)
def test_readiness_after_start(name):
    number, announced, now, ready = STARTS[name]
    harness = Harness()
    harness.set_numbers(number, announced=announced)
    assert harness.is_ready_at(now) is ready


def test_process_stays_ready_during_short_lag_only():
    harness = Harness().make_ready()
    harness.set_numbers(3, announced=4)
    assert harness.is_ready_at(MAX_CONFIG_LAG_S - SOON_S)
    assert not harness.is_ready_at(MAX_CONFIG_LAG_S + SOON_S)


def test_lag_is_measured_from_when_process_was_last_up_to_date():
    harness = Harness().make_ready()
    harness.set_numbers(3, announced=4)
    assert harness.is_ready_at(MAX_CONFIG_LAG_S - SOON_S)
    harness.set_numbers(4, announced=4)
    assert harness.is_ready_at(MAX_CONFIG_LAG_S)
    harness.set_numbers(4, announced=5)
    assert harness.is_ready_at(2 * MAX_CONFIG_LAG_S - SOON_S)
    assert not harness.is_ready_at(2 * MAX_CONFIG_LAG_S + SOON_S)


def test_process_that_lagged_is_ready_again_only_when_up_to_date():
    harness = Harness().make_ready()
    harness.set_numbers(3, announced=4)
    late = MAX_CONFIG_LAG_S + SOON_S
    assert not harness.is_ready_at(late)
    assert not harness.is_ready_at(late + SOON_S)
    harness.set_numbers(4, announced=4)
    assert harness.is_ready_at(late + 2 * SOON_S)


def test_isolated_process_is_ready_again_after_contact():
    harness = Harness().make_ready()
    assert harness.is_ready_at(MAX_ISOLATION_S - SOON_S, in_contact=False)
    assert not harness.is_ready_at(MAX_ISOLATION_S + SOON_S, in_contact=False)
    assert harness.is_ready_at(MAX_ISOLATION_S + 2 * SOON_S)


def test_each_change_of_readiness_is_recorded_once():
    harness = Harness().make_ready()
    harness.is_ready_at(SOON_S)
    harness.is_ready_at(MAX_ISOLATION_S + 1, in_contact=False)
    harness.is_ready_at(MAX_ISOLATION_S + 2, in_contact=False)
    kinds = [event.kind for event in harness.process.ring.select()]
    assert kinds == ["config.current", "config.not-current"]
