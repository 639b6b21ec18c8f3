"""Applies the pending changes of one write and tells their waiters the outcomes."""

from __future__ import annotations

from collections.abc import Mapping

from cornelpin.core.claims import NotStored, Outcome, Record
from cornelpin.daemon.pending_changes import PendingChange
from cornelpin.daemon.shard_reader import ShardSnapshot


def settle_unchanged(
    changes: list[PendingChange],
    records: Mapping[str, Record],
    archived: Mapping[str, Record],
) -> None:
    """Settles the changes that leave their record as stored, without a write."""
    for pending in changes:
        found = records.get(pending.key) or archived.get(pending.key)
        decision = pending.change(found)
        if decision.record == found and not decision.force_write:
            pending.settle(decision.outcome)


def decide(
    batch: list[PendingChange],
    records: dict[str, Record],
    archived: Mapping[str, Record],
) -> list[Outcome]:
    """Applies changes to the records and returns their outcomes."""
    outcomes = []
    for pending in batch:
        key = pending.key
        found = records.get(key) or archived.get(key)
        decision = pending.change(found)
        if decision.record is None:
            records.pop(key, None)
        # An unchanged archived record stays in its segment.
        elif decision.record is not archived.get(key):
            records[key] = decision.record
        outcomes.append(decision.outcome)
    return outcomes


def refuse_new(batch: list[PendingChange], snapshot: ShardSnapshot) -> bool:
    """Refuses changes whose key has no record in the shard itself.

    These would add a record, or change an archived one, or are a purge with its empty
    key.

    Returns:
        Whether there are any.
    """
    new = [pending for pending in batch if pending.key not in snapshot.records]
    for pending in new:
        pending.settle(NotStored("the claims are full"))
    return bool(new)


def settle(batch: list[PendingChange], outcomes: list[Outcome]) -> None:
    """Settles the changes of a batch after a successful write."""
    for pending, outcome in zip(batch, outcomes, strict=True):
        pending.settle(outcome)


def end_write(batch: list[PendingChange], *, unresolved: bool) -> None:
    """Marks the changes of a batch after a write that did not settle them.

    Args:
        batch: The changes.
        unresolved: Whether the outcome of the write is unknown.
    """
    for pending in batch:
        pending.end_write(unresolved=unresolved)
