"""Notices: who sends them, and when an update is repeated."""

from __future__ import annotations

import msgpack
import pytest

from cornelpin.gateway.notices import (
    MESSAGE_BYTES,
    REPEAT_S,
    Repetition,
    batches,
    is_informant,
)
from cornelpin.gateway.peer import Peer

NOW = 100.0
OLD, NEW = 60.0, 1.0
CASES = [
    # Ages of this entry, the widest link, and the others; whether this entry sends.
    ("first of old ones", OLD, [OLD, OLD], True),
    ("started now", NEW, [OLD, OLD], False),
    ("the only old one", OLD, [NEW, NEW], True),
    ("all started now", NEW, [NEW, NEW], True),
    ("alone", NEW, [], True),
]


def make_peers(ages_s: list[float]) -> dict[str, Peer]:
    return {
        f"peer-{number}": Peer(
            "10.0.0.1", "here", "1", link_mbps=5.0, heard_since=NOW - age_s
        )
        for number, age_s in enumerate(ages_s)
    }


@pytest.mark.parametrize(
    ("running_s", "others_s", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_entries_that_have_just_started_tell_nothing(
    running_s: float, others_s: list[float], *, expected: bool
) -> None:
    peers = make_peers(others_s)
    assert is_informant("self", running_s, 10.0, peers, NOW) is expected


@pytest.mark.parametrize("fresh", range(4))
def test_two_entries_of_many_send_notices(fresh: int) -> None:
    """Guards against messages that grow with the number of entries, or none at all."""
    ages_s = dict.fromkeys((f"host-{number}" for number in range(40)), OLD)
    ages_s |= dict.fromkeys((f"host-{number}" for number in range(fresh)), NEW)
    senders = 0
    for host, running_s in ages_s.items():
        others = {
            name: Peer("10.0.0.1", "here", "1", link_mbps=5.0, heard_since=NOW - age_s)
            for name, age_s in ages_s.items()
            if name != host
        }
        senders += is_informant(host, running_s, 5.0, others, NOW)
    assert senders == 2


def test_each_update_is_repeated() -> None:
    """Guards against an update that only the repetition of an earlier one covers."""
    repetition = Repetition()
    for at in (1.0, 1.0 + REPEAT_S / 2):
        repetition.note_update(at)
    due_at = []
    for at in (number / 10 for number in range(100)):
        if repetition.take_due(at):
            assert repetition.take_everywhere()
            due_at.append(at)
    assert due_at == [1.0 + REPEAT_S, 1.0 + 1.5 * REPEAT_S]


def test_notices_of_others_are_repeated_in_one_data_centre() -> None:
    """Guards against data centres that send each other the same notices for ever."""
    repetition = Repetition()
    repetition.note_notices(1.0)
    assert repetition.take_due(1.0 + REPEAT_S)
    assert not repetition.take_everywhere()


def test_messages_of_notices_are_small() -> None:
    content = [b"x" * 8, {"run": 1.0}, {}, "", 0.0]
    messages = list(batches([content] * 1_000))
    assert [each for message in messages for each in message] == [content] * 1_000
    sizes = [len(msgpack.packb(message)) for message in messages]
    assert max(sizes) <= MESSAGE_BYTES + len(msgpack.packb(content))
