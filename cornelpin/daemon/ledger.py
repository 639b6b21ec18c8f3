"""The ledger: records of claims, changed in batches by one writer for each shard.

All changes that wait for a shard go into one conditional update. After a conflict,
or an answer that was lost, the shard is read again and the changes are decided anew:
the object's version fences every write that may still be under way.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cornelpin.core.claim_shards import (
    NEW_RECORDS_BELOW_BYTES,
    SHARDS,
    Retention,
    decode_shard,
    drop_answers,
    encode_shard,
    expire,
    shard_key,
    shard_of,
)
from cornelpin.core.claims import Change, NotStored, Outcome, Record
from cornelpin.platform.objects import (
    Conflict,
    Found,
    Missing,
    ObjectStore,
    Unavailable,
    Unchanged,
    Unknown,
    Written,
)

if TYPE_CHECKING:
    from cornelpin.daemon.supervisor import Supervisor

CHANGE_TIMEOUT_S = 3.0
LAZY_S = 0.25
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
IDLE_POLL_S = 0.5
READ_AGE_S = 0.2
WRITES_PER_S = 60.0
WRITE_BURST = 30.0


class WriteBudget:
    """Spreads the writes of one entry over time; batches grow meanwhile."""

    def __init__(self, writes_per_s: float, burst: float) -> None:
        self._lock = threading.Lock()
        self._interval_s = 1.0 / writes_per_s
        self._slack_s = burst / writes_per_s
        self._next_at = 0.0

    def reserve(self) -> float:
        """Reserves one write; returns the seconds to wait before it."""
        now = time.monotonic()
        with self._lock:
            start = max(self._next_at, now - self._slack_s)
            self._next_at = start + self._interval_s
            return max(0.0, start - now)


class PendingChange:
    """A change that waits for its shard's next write."""

    def __init__(self, key: str, change: Change, due: float) -> None:
        self.key = key
        self.change = change
        self.due = due
        self._lock = threading.Lock()
        self._settled = threading.Event()
        self._outcome: Outcome | NotStored | None = None
        self._under_way = False
        self._unresolved = False

    @property
    def settled(self) -> bool:
        """Whether the outcome is known or nobody waits for it any more."""
        return self._settled.is_set()

    def begin(self) -> bool:
        """Notes that a write is about to carry the change, unless it is settled."""
        with self._lock:
            self._under_way = self._outcome is None
            return self._under_way

    def end(self, *, unresolved: bool) -> None:
        """Notes that the write ended without settling the change."""
        with self._lock:
            self._under_way = False
            self._unresolved = self._unresolved or unresolved

    def settle(self, outcome: Outcome | NotStored) -> None:
        """Sets the outcome unless there is one."""
        with self._lock:
            self._outcome = self._outcome or outcome
            self._settled.set()

    def wait(self, timeout_s: float | None) -> Outcome | NotStored:
        """Waits for the outcome; after the time limit the change is given up."""
        if not self._settled.wait(timeout_s):
            self._give_up()
        assert self._outcome is not None
        return self._outcome

    def _give_up(self) -> None:
        with self._lock:
            unresolved = self._under_way or self._unresolved
            given_up = NotStored("the object store gave no answer in time", unresolved)
            self._outcome = self._outcome or given_up
            self._settled.set()


@attrs.frozen
class ShardCopy:
    """A shard as it was last read or written.

    Attributes:
        records: The records.
        version: Version of the object, 0 if it does not exist.
        read_at: Monotonic time in seconds.
    """

    records: Mapping[str, Record]
    version: int
    read_at: float


class Shard:
    """One shard: its latest copy and the changes that wait for it."""

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
        self._reading = threading.Lock()
        self._copy: ShardCopy | None = None
        self._failed_at = float("-inf")

    # Changes

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
        copy = self._read()
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
        self._keep_newer(ShardCopy(records, done.version, written_at))
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

    # Reads

    @property
    def copy(self) -> ShardCopy | None:
        """The latest copy, if there is one."""
        return self._copy

    def read(self, max_age_s: float) -> ShardCopy | None:
        """Returns a copy that is fresh enough, None if the store is unavailable."""
        with self._reading:
            now = time.monotonic()
            copy = self._copy
            if copy is not None and now - copy.read_at <= max_age_s:
                return copy
            if now - self._failed_at <= max_age_s:
                return None
            fresh = self._read()
            if fresh is None:
                self._failed_at = time.monotonic()
            return fresh

    def _read(self) -> ShardCopy | None:
        known = self._copy
        version = known.version if known and known.version else None
        now = time.monotonic()
        found = self._objects.get(self._key, unless_version=version)
        match found:
            case Found():
                records = self._decode(found.value)
                if records is None:
                    return None
                copy = ShardCopy(records, found.version, now)
            case Unchanged() if known is not None:
                copy = attrs.evolve(known, read_at=now)
            case Missing():
                copy = ShardCopy({}, 0, now)
            case _:
                return None
        return self._keep_newer(copy)

    def _decode(self, value: bytes) -> dict[str, Record] | None:
        """Returns a shard's records; an unreadable one is never written over."""
        try:
            return decode_shard(value)
        except ValueError as exc:
            logger.error("{} is unreadable: {}", self._key, exc)
            return None

    def _keep_newer(self, copy: ShardCopy) -> ShardCopy:
        """Keeps the newest copy: a slow read must not displace a later write."""
        with self._cond:
            if self._copy is None or copy.version >= self._copy.version:
                self._copy = copy
            return self._copy


class Ledger:
    """Records of claims and durable requests, by shard."""

    def __init__(
        self,
        objects: ObjectStore,
        retention: Callable[[], Retention],
        *,
        writes_per_s: float = WRITES_PER_S,
    ) -> None:
        budget = WriteBudget(writes_per_s, WRITE_BURST)
        self._shards = [
            Shard(number, objects, budget, retention) for number in range(SHARDS)
        ]

    def start(self, supervisor: Supervisor) -> None:
        """Starts one writer for each shard."""
        for number, shard in enumerate(self._shards):
            supervisor.start(f"claims-{number}", shard.run)

    def apply(
        self, key: str, change: Change, *, timeout_s: float | None = CHANGE_TIMEOUT_S
    ) -> Outcome | NotStored:
        """Makes a change and waits until it is stored.

        Args:
            key: Key of the record.
            change: The change.
            timeout_s: Longest wait in seconds; None to wait until it is stored.
        """
        pending = PendingChange(key, change, time.monotonic())
        self._shard(key).submit(pending)
        return pending.wait(timeout_s)

    def apply_later(self, key: str, change: Change) -> PendingChange:
        """Makes a change with one of the next writes, whenever the store is up."""
        pending = PendingChange(key, change, time.monotonic() + LAZY_S)
        self._shard(key).submit(pending)
        return pending

    def find(self, key: str, *, max_age_s: float = READ_AGE_S) -> Record | None:
        """Returns a record, None if there is none.

        Raises:
            LedgerUnavailable: If the store does not answer.
        """
        copy = self._shard(key).read(max_age_s)
        if copy is None:
            raise LedgerUnavailable
        return copy.records.get(key)

    def copy_of(self, key: str) -> ShardCopy | None:
        """Returns the latest copy of a key's shard, without a call."""
        return self._shard(key).copy

    def known(self, key: str) -> Record | None:
        """Returns a record as it was last read or written here, without a call."""
        copy = self.copy_of(key)
        return copy.records.get(key) if copy is not None else None

    def unfinished(self, max_age_s: float) -> list[Record]:
        """Returns the durable records that are not final, as far as readable."""
        copies = [shard.read(max_age_s) for shard in self._shards]
        return [
            record
            for copy in copies
            if copy is not None
            for record in copy.records.values()
            if record.durable and not record.state.final
        ]

    def flush(self, timeout_s: float) -> bool:
        """Waits until no change is left to write."""
        until = time.monotonic() + timeout_s
        while not all(shard.idle for shard in self._shards):
            if time.monotonic() > until:
                return False
            time.sleep(FIRST_BACKOFF_S)
        return True

    def _shard(self, key: str) -> Shard:
        return self._shards[shard_of(key)]


class LedgerUnavailable(Exception):
    """The object store does not answer."""


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
