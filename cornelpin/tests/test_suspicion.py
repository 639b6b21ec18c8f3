"""Guards against a poison request that keeps crashing servers, and false quarantine."""

from __future__ import annotations

import pytest

from cornelpin.core.suspicion import (
    QUARANTINE_S,
    SUSPECT_S,
    ContentState,
    SuspicionTable,
)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


# Each letter is one content: "p" is the poison one, "a" and "b" are harmless. A crash
# lists the contents that were running.
@pytest.mark.parametrize(
    ("steps", "suspects", "quarantined"),
    [
        ([("crash", "pa")], "pa", ""),
        ([("crash", "p"), ("crash", "p")], "", "p"),
        ([("crash", "pa"), ("clear", "a"), ("crash", "p")], "", "p"),
        ([("crash", "pa"), ("crash", "pb")], "a", "p"),
        ([("crash", "pa"), ("crash", "pa"), ("crash", "p")], "a", "p"),
        ([("crash", "pa"), ("clear", "p")], "a", ""),
        ([("crash", "p"), ("crash", "p"), ("clear", "p")], "", "p"),
        ([("suspect", "p"), ("suspect", "p")], "p", ""),
        ([("suspect", "p"), ("crash", "p")], "", "p"),
        ([("crash", "p"), ("expire", SUSPECT_S), ("crash", "p")], "p", ""),
        ([("crash", "p"), ("crash", "p"), ("expire", QUARANTINE_S)], "", ""),
    ],
)
def test_contents_are_suspected_quarantined_and_cleared(steps, suspects, quarantined):
    clock = Clock()
    table = SuspicionTable(clock)
    for number, (step, value) in enumerate(steps):
        match step:
            case "crash":
                assert table.record_crash(str(number), list(value))
            case "clear":
                table.clear(value)
            case "suspect":
                table.add_suspects(list(value))
            case "expire":
                clock.now += value + 1
    assert sorted(table.contents_in(ContentState.SUSPECT)) == sorted(suspects)
    assert sorted(table.contents_in(ContentState.QUARANTINED)) == sorted(quarantined)


def test_a_crash_counts_once_if_reported_twice():
    table = SuspicionTable(Clock())
    assert table.record_crash("1", ["p"])
    assert not table.record_crash("1", ["p"])
    assert table.state("p") is ContentState.SUSPECT
