"""Trials of quarantined contents: one at a time, and rarer with each crash."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from cornelpin.scheduling.poison_requests import (
    FIRST_QUARANTINE_S,
    MAX_FAILED_RUNS,
    MAX_QUARANTINE_S,
    TRIAL_S,
    PoisonDetector,
    select_trier,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

CONTENT = b"x"
HOSTS = [f"host-{number}" for number in range(12)]


class Fleet:
    """Detectors of several entries that exchange what they record at once."""

    def __init__(self) -> None:
        self.detectors = {host: PoisonDetector() for host in HOSTS}
        self.runs = 0

    def crash(self, host: str, now: float) -> None:
        """Lets the content crash a server of which an entry hears."""
        self.runs += 1
        self.detectors[host].record_failure(CONTENT, f"r{self.runs} s@{self.runs}", now)
        unsent = self.detectors[host].take_unsent(now)
        for other, detector in self.detectors.items():
            if other != host:
                detector.merge_from(unsent, now)

    def passed(self, host: str, request_id: str, now: float) -> bool:
        """Returns whether an entry passes a request of the content on."""
        detector = self.detectors[host]
        if not detector.is_quarantined(CONTENT):
            return True
        if detector.is_on_trial(CONTENT, request_id, now):
            return True
        trier = select_trier(CONTENT, HOSTS)
        return host == trier and detector.begin_trial(CONTENT, request_id, now)


def arrivals(until: float) -> Iterator[tuple[float, str]]:
    """Yields times and entries of requests: one a second, at each entry in turn."""
    for number in range(int(until)):
        yield float(number), HOSTS[number % len(HOSTS)]


@pytest.mark.parametrize(("duration_s", "most"), [(72, 4), (600, 5), (7_200, 8)])
def test_content_that_keeps_coming_crashes_few_servers(
    duration_s: float, most: int
) -> None:
    """Guards against a quarantine that ends although the content keeps coming."""
    fleet = Fleet()
    for now, host in arrivals(duration_s):
        if fleet.passed(host, f"r{now}", now):
            fleet.crash(host, now)
    assert MAX_FAILED_RUNS < fleet.runs <= most


def test_one_request_of_all_entries_is_tried_at_a_time() -> None:
    fleet = Fleet()
    for _ in range(MAX_FAILED_RUNS):
        fleet.crash(HOSTS[0], 0.0)
    tried = [
        (host, number)
        for number in range(3)
        for host in HOSTS
        if fleet.passed(host, f"r{host}{number}", FIRST_QUARANTINE_S + number)
    ]
    assert len(tried) == 1
    host, number = tried[0]
    later = FIRST_QUARANTINE_S + TRIAL_S
    assert fleet.passed(host, f"r{host}{number}", later - 1.0)
    # A trial without an outcome is followed by another one.
    assert fleet.passed(host, "another", later + 3.0)


def test_sound_answer_to_a_trial_ends_the_quarantine() -> None:
    fleet = Fleet()
    for _ in range(MAX_FAILED_RUNS):
        fleet.crash(HOSTS[0], 0.0)
    trier = select_trier(CONTENT, HOSTS)
    assert fleet.passed(trier, "trial", FIRST_QUARANTINE_S)
    fleet.detectors[trier].record_sound(CONTENT, FIRST_QUARANTINE_S)
    sound = fleet.detectors[trier].take_unsent(FIRST_QUARANTINE_S)
    for host in HOSTS:
        fleet.detectors[host].merge_from(sound, FIRST_QUARANTINE_S)
        assert fleet.passed(host, "next", FIRST_QUARANTINE_S)


@pytest.mark.parametrize("crashes", [MAX_FAILED_RUNS, 5, 9, 500])
def test_quarantine_has_an_end(crashes: int) -> None:
    fleet = Fleet()
    for _ in range(crashes):
        fleet.crash(HOSTS[0], 0.0)
    assert fleet.passed(select_trier(CONTENT, HOSTS), "trial", MAX_QUARANTINE_S)


def test_triers_of_contents_differ() -> None:
    triers = {select_trier(bytes([number]), HOSTS) for number in range(200)}
    assert triers == set(HOSTS)
