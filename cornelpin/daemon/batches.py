"""Batches of changes: decided together, settled together."""

from __future__ import annotations

from collections.abc import Mapping

from cornelpin.core.claims import NotStored, Outcome, Record
from cornelpin.daemon.pending_changes import PendingChange
from cornelpin.daemon.shard_reader import ShardSnapshot


def settle_unchanged(
    waiting: list[PendingChange],
    records: Mapping[str, Record],
    sealed: Mapping[str, Record],
) -> None:
    """Settles what the stored records decide alone, without any write."""
    for pending in waiting:
        found = records.get(pending.key) or sealed.get(pending.key)
        decision = pending.change(found)
        if decision.record == found and not decision.fence:
            pending.settle(decision.outcome)


def decide(
    batch: list[PendingChange],
    records: dict[str, Record],
    sealed: Mapping[str, Record],
) -> list[Outcome]:
    """Applies changes to the records and returns their outcomes."""
    outcomes = []
    for pending in batch:
        key = pending.key
        found = records.get(key) or sealed.get(key)
        decision = pending.change(found)
        if decision.record is None:
            records.pop(key, None)
        elif decision.record is not sealed.get(key):
            records[key] = decision.record
        outcomes.append(decision.outcome)
    return outcomes


def refuse_new(batch: list[PendingChange], snapshot: ShardSnapshot) -> bool:
    """Refuses the changes that would file new records; returns whether any did."""
    new = [pending for pending in batch if pending.key not in snapshot.records]
    for pending in new:
        pending.settle(NotStored("the claims are full"))
    return bool(new)


def settle(batch: list[PendingChange], outcomes: list[Outcome]) -> None:
    """Settles the changes of a batch that was written."""
    for pending, outcome in zip(batch, outcomes, strict=True):
        pending.settle(outcome)


def end(batch: list[PendingChange], *, unresolved: bool) -> None:
    """Notes that a write ended without settling its changes."""
    for pending in batch:
        pending.end(unresolved=unresolved)
