"""Duties that one of the live entries does for all, shared out by hash."""

from __future__ import annotations

from collections.abc import Iterable

from cornelpin.core.choice import weight


def holder(duty: str, entries: Iterable[str]) -> str:
    """Returns the entry that has a duty, by rendezvous hashing.

    Entries that disagree for a moment on who is live may do it twice or not at all.
    """
    return max(sorted(entries), key=lambda entry: weight(entry, duty))
