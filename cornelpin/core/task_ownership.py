"""Chooses the one live entry that does a cluster-wide task, by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable

from cornelpin.core.subsetting import rendezvous_weight


def task_owner(task: str, entries: Iterable[str]) -> str:
    """Returns the owner of a task among the live entries.

    While entries disagree on which ones are live, a task may be done twice or not at
    all.
    """
    return max(sorted(entries), key=lambda entry: rendezvous_weight(entry, task))
