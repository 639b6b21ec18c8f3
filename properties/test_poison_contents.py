"""Entries agree on contents that crash servers, whatever becomes of their messages."""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import given, strategies as st

from cornelpin.scheduling.poison_requests import PoisonDetector
from properties.profiles import run_settings

ENTRIES = 4
CONTENTS = [b"one", b"two"]
STEP_S = 0.5
steps = st.lists(
    st.tuples(
        st.sampled_from(["crash", "sound", "refute", "try", "restart", "deliver"]),
        st.integers(0, ENTRIES - 1),
        st.sampled_from(CONTENTS),
        st.integers(0, 30),
    ),
    max_size=40,
)


@attrs.define
class Fleet:
    """Entries whose messages are delivered late, repeatedly or never."""

    now: float = 100.0
    entries: list[PoisonDetector] = attrs.field(
        factory=lambda: [PoisonDetector() for _ in range(ENTRIES)]
    )
    messages: list[list[list[Any]]] = attrs.field(factory=list)

    def crash(self, entry: int, content: bytes, number: int) -> None:
        run_id = f"r{number} s@{number % 6}"
        self.entries[entry].record_failure(content, run_id, self.now)

    def sound(self, entry: int, content: bytes, number: int) -> None:
        self.entries[entry].record_sound(content, self.now)

    def refute(self, entry: int, content: bytes, number: int) -> None:
        self.entries[entry].retract_crash(f"s@{number % 6}", self.now)

    def restart(self, entry: int, content: bytes, number: int) -> None:
        self.entries[entry] = PoisonDetector()

    def try_(self, entry: int, content: bytes, number: int) -> None:
        self.entries[entry].begin_trial(content, f"trial-{number}", self.now)

    def deliver(self, entry: int, content: bytes, number: int) -> None:
        if self.messages:
            message = self.messages[number % len(self.messages)]
            self.entries[entry].merge_from(message, self.now)

    def exchange_full_states(self) -> None:
        for state in [entry.export(self.now) for entry in self.entries]:
            for entry in self.entries:
                entry.merge_from(state, self.now)

    def knowledge(self) -> list[list[tuple[list[str], bool]]]:
        """Returns, for each entry, the failed runs and quarantine of each content."""
        return [
            [(entry.runs(c), entry.is_quarantined(c)) for c in CONTENTS]
            for entry in self.entries
        ]


@run_settings(200)
@given(steps)
def test_entries_agree_after_full_states(
    steps: list[tuple[str, int, bytes, int]],
) -> None:
    """Guards against a quarantine, or its end, that some entries never learn of."""
    fleet = Fleet()
    for step, entry, content, number in steps:
        fleet.now += STEP_S
        getattr(fleet, "try_" if step == "try" else step)(entry, content, number)
        fleet.messages.append(fleet.entries[entry].take_unsent(fleet.now))
    for _ in range(2):
        fleet.exchange_full_states()
    known = fleet.knowledge()
    assert all(each == known[0] for each in known)
