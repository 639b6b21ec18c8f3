"""The writer of a shard of records.

All changes that wait for a shard go into one conditional update. After a conflict,
or an answer that was lost, the shard is read again and the changes are decided anew:
the object's version fences every write that may still be under way.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Mapping

from cornelpin.core.claim_shards import (
    NEW_RECORDS_BELOW_BYTES,
    Retention,
    drop_answers,
    encode_shard,
    expire,
    shard_key,
)
from cornelpin.core.claims import NotStored, Outcome, Record
from cornelpin.daemon.pending_changes import PendingChange
from cornelpin.daemon.shard_reader import ShardCopy, ShardReader
from cornelpin.daemon.write_budget import WriteBudget
from cornelpin.platform.objects import (
    Conflict,
    ObjectStore,
    Unavailable,
    Unknown,
    Written,
)

FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
IDLE_POLL_S = 0.5


class ShardWriter:
    """Writes the changes that wait for one shard, all at once."""

    def __init__(
        self,
        number: int,
        objects: ObjectStore,
        budget: WriteBudget,
        retention: Callable[[], Retention],
    ) -> None:
        self._key = shard_key(number)
        self._objects = objects
        self._budget = budget
        self._retention = retention
        self._cond = threading.Condition()
        self._pending: list[PendingChange] = []
        self.reader = ShardReader(number, objects)

    def submit(self, pending: PendingChange) -> None:
        """Hands a change to the writer."""
        with self._cond:
            self._pending.append(pending)
            self._cond.notify_all()

    @property
    def idle(self) -> bool:
        """Whether no change waits."""
        with self._cond:
            return all(pending.settled for pending in self._pending)

    def run(self, stop: threading.Event) -> None:
        """Writes batches until stopped."""
        backoff_s = FIRST_BACKOFF_S
        while not stop.is_set():
            if not self._wait_due():
                continue
            time.sleep(self._budget.reserve())
            if self.write_batch():
                backoff_s = FIRST_BACKOFF_S
                continue
            stop.wait(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _wait_due(self) -> bool:
        with self._cond:
            self._pending = [p for p in self._pending if not p.settled]
            if not self._pending:
                self._cond.wait(IDLE_POLL_S)
                return False
            wait_s = min(p.due for p in self._pending) - time.monotonic()
            if wait_s > 0:
                self._cond.wait(wait_s)
                return False
            return True

    def write_batch(self) -> bool:
        """Writes all waiting changes at once.

        Returns:
            Whether the store answered; changes without an outcome wait for another
            try.
        """
        # Other entries write too: a stale copy would cost a conflict.
        copy = self.reader.refresh()
        if copy is None:
            return False
        self._settle_unchanged(copy)
        with self._cond:
            batch = [pending for pending in self._pending if pending.begin()]
        if not batch:
            return True
        records = expire(copy.records, self._retention(), time.time())
        outcomes = _decide(batch, records)
        records, value = _encode_bounded(records)
        if len(value) > NEW_RECORDS_BELOW_BYTES and _refuse_new(batch, copy):
            _end(batch, unresolved=False)
            return False
        written_at = time.monotonic()
        done = self._objects.put(self._key, value, if_version=copy.version)
        if not isinstance(done, Written):
            return self._not_written(batch, done)
        self.reader.keep_newer(ShardCopy(records, done.version, written_at))
        _settle(batch, outcomes)
        self._delete_unused(copy.records, records)
        return True

    def _settle_unchanged(self, copy: ShardCopy) -> None:
        """Settles what the stored shard decides alone, without any write."""
        with self._cond:
            waiting = [pending for pending in self._pending if not pending.settled]
        for pending in waiting:
            found = copy.records.get(pending.key)
            decision = pending.change(found)
            if decision.record == found and not decision.fence:
                pending.settle(decision.outcome)

    def _not_written(
        self, batch: list[PendingChange], done: Conflict | Unavailable | Unknown
    ) -> bool:
        _end(batch, unresolved=isinstance(done, Unknown))
        # Only the stored shard tells who came first, perhaps an own write whose
        # answer was lost; the next try reads it and fences what is under way.
        return isinstance(done, Conflict)

    def _delete_unused(
        self, before: Mapping[str, Record], after: Mapping[str, Record]
    ) -> None:
        """Deletes objects apart that no record names any more."""
        unused = _object_keys(before) - _object_keys(after)
        for object_key in unused:
            self._objects.delete(object_key)


def _decide(batch: list[PendingChange], records: dict[str, Record]) -> list[Outcome]:
    """Applies changes to the records and returns their outcomes."""
    outcomes = []
    for pending in batch:
        decision = pending.change(records.get(pending.key))
        if decision.record is None:
            records.pop(pending.key, None)
        else:
            records[pending.key] = decision.record
        outcomes.append(decision.outcome)
    return outcomes


def _encode_bounded(records: dict[str, Record]) -> tuple[dict[str, Record], bytes]:
    """Encodes a shard, without its oldest answers if it is too large."""
    value = encode_shard(records)
    while len(value) > NEW_RECORDS_BELOW_BYTES:
        smaller = drop_answers(records)
        if smaller == records:
            break
        records, value = smaller, encode_shard(smaller)
    return records, value


def _refuse_new(batch: list[PendingChange], copy: ShardCopy) -> bool:
    """Refuses the changes that would file new records; returns whether any did."""
    new = [pending for pending in batch if pending.key not in copy.records]
    for pending in new:
        pending.settle(NotStored("the claims are full"))
    return bool(new)


def _settle(batch: list[PendingChange], outcomes: list[Outcome]) -> None:
    for pending, outcome in zip(batch, outcomes, strict=True):
        pending.settle(outcome)


def _end(batch: list[PendingChange], *, unresolved: bool) -> None:
    for pending in batch:
        pending.end(unresolved=unresolved)


def _object_keys(records: Mapping[str, Record]) -> set[str]:
    packed = [p for record in records.values() for p in (record.call, record.answer)]
    return {item.object_key for item in packed if item.object_key}
