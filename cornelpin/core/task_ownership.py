"""Duties that one of the live entries does for all, shared out by hash."""

from __future__ import annotations

from collections.abc import Iterable

from cornelpin.core.subsetting import rendezvous_weight


def task_owner(duty: str, entries: Iterable[str]) -> str:
    """Returns the entry that has a duty, by rendezvous hashing.

    Entries that disagree for a moment on who is live may do it twice or not at all.
    """
    return max(sorted(entries), key=lambda entry: rendezvous_weight(entry, duty))
