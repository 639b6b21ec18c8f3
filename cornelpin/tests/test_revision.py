"""Revisions of a store that may be restored, and the eras of its responses."""

from __future__ import annotations

from typing import Any

import pytest

from cornelpin.core.revision import NO_REVISION, EraTracker, FormerEra, Revision


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        (NO_REVISION, Revision(0, 0)),
        (Revision(1, 7), Revision(1, 8)),
        (Revision(1, 700), Revision(2, 3)),
        (Revision(0, 700), Revision(1, 0)),
    ],
)
def test_later_revision_is_greater(earlier: Revision, later: Revision) -> None:
    assert earlier < later


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        ({"config": 9, "config.era": 2, "servers": 4}, Revision(2, 9)),
        ({"config": 9}, Revision(0, 9)),
        ({}, NO_REVISION),
        ({"config.era": 2}, NO_REVISION),
        ({"config": "9", "config.era": 2}, NO_REVISION),
        ({"config": [2, 9]}, NO_REVISION),
    ],
)
def test_revision_of_a_message_is_decoded(
    received: dict[str, Any], expected: Revision
) -> None:
    assert Revision.decode(received, "config") == expected
    assert Revision.decode(expected.export("config"), "config") == expected


def test_earlier_builds_find_a_plain_number() -> None:
    assert Revision(2, 9).export("config")["config"] == 9
    assert Revision(0, 9).export("config") == {"config": 9}


ERAS = [
    # Eras of successive responses; indices of those that show a new era; the index of
    # the one that is rejected, if any.
    ("no eras", [None, None], [], None),
    ("one era", [4, 4, 4], [0], None),
    ("a restore", [4, 4, 5, 5], [0, 2], None),
    ("several restores at once", [4, 9], [0, 1], None),
    ("a late response", [4, 5, 4], [0, 1], 2),
    ("a response without an era", [4, None], [0], 1),
]


@pytest.mark.parametrize(
    ("eras", "new", "rejected"), [row[1:] for row in ERAS], ids=[r[0] for r in ERAS]
)
def test_former_eras_are_told_apart(
    eras: list[int | None], new: list[int], rejected: int | None
) -> None:
    tracker = EraTracker()
    for index, era in enumerate(eras):
        if index == rejected:
            with pytest.raises(FormerEra):
                tracker.observe(era)
        else:
            assert tracker.observe(era) is (index in new)
