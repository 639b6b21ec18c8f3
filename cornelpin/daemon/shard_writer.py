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

from cornelpin.core.claim_segments import Segment
from cornelpin.core.claim_shards import (
    NEW_RECORDS_BELOW_BYTES,
    Retention,
    StoredShard,
    drop_answers,
    encode_shard,
    expire_record,
    expire_records,
    expire_segments,
    shard_key,
)
from cornelpin.core.claims import Record, rewrite
from cornelpin.daemon.archiving import ArchiveLimits, archive_records
from cornelpin.daemon.batches import (
    decide,
    end,
    refuse_new,
    settle,
    settle_unchanged,
)
from cornelpin.daemon.pending_changes import PendingChange
from cornelpin.daemon.segments import OpenSegment, SegmentUnreadableError
from cornelpin.daemon.shard_reader import ShardReader, ShardSnapshot
from cornelpin.daemon.write_budget import WriteBudget
from cornelpin.stores.objects import (
    Conflict,
    ObjectStore,
    Unavailable,
    Unknown,
    Written,
)

FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
IDLE_POLL_S = 0.5
LIMITS = ArchiveLimits()


class ShardWriter:
    """Writes the changes that wait for one shard, all at once."""

    def __init__(
        self,
        number: int,
        objects: ObjectStore,
        budget: WriteBudget,
        retention: Callable[[], Retention],
        *,
        limits: ArchiveLimits = LIMITS,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._key = shard_key(number)
        self._objects = objects
        self._budget = budget
        self._retention = retention
        self._limits = limits
        self._clock = clock
        self._cond = threading.Condition()
        self._pending: list[PendingChange] = []
        self._discarded: list[tuple[int, Segment]] = []
        self.reader = ShardReader(number, objects)

    def submit(self, pending: PendingChange) -> None:
        """Hands a change to the writer."""
        with self._cond:
            self._pending.append(pending)
            self._cond.notify_all()

    def submit_purge(self) -> None:
        """Has the shard written again if something in it has expired."""
        snapshot = self.reader.snapshot
        now = self._clock()
        if snapshot is None:
            return
        kept = expire_records(snapshot.records, self._retention(), now)
        live = self._live_segments(snapshot, now)
        if kept != snapshot.records or live != snapshot.segments:
            self.submit(PendingChange("", rewrite, time.monotonic()))

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
        snapshot = self.reader.refresh()
        if snapshot is None:
            return False
        self._delete_discarded(snapshot)
        with self._cond:
            waiting = [pending for pending in self._pending if not pending.settled]
        now = self._clock()
        records = expire_records(snapshot.records, self._retention(), now)
        sealed, readable = self._look_up(waiting, records, snapshot, now)
        settle_unchanged(readable, records, sealed)
        batch = [pending for pending in readable if pending.begin()]
        done = self._write(batch, records, sealed, snapshot, now) if batch else True
        return done and len(readable) == len(waiting)

    def _look_up(
        self,
        waiting: list[PendingChange],
        records: Mapping[str, Record],
        snapshot: ShardSnapshot,
        now: float,
    ) -> tuple[dict[str, Record], list[PendingChange]]:
        """Finds the sealed records of waiting changes.

        Returns:
            The records, and the changes but those that need an unreadable segment.
        """
        sealed: dict[str, Record] = {}
        readable = []
        for pending in waiting:
            key = pending.key
            try:
                if key not in records and key not in sealed:
                    found = self.reader.segments.find(snapshot.segments, key)
                    kept = found and expire_record(found, self._retention(), now)
                    sealed |= {key: kept} if kept else {}
            except SegmentUnreadableError:
                continue
            readable.append(pending)
        return sealed, readable

    def _write(
        self,
        batch: list[PendingChange],
        records: dict[str, Record],
        sealed: Mapping[str, Record],
        snapshot: ShardSnapshot,
        now: float,
    ) -> bool:
        """Writes a batch; returns whether the store answered."""
        outcomes = decide(batch, records, sealed)
        segments = self._live_segments(snapshot, now)
        records, segments, value = self._encode(
            records, segments, snapshot.version, now
        )
        if len(value) > NEW_RECORDS_BELOW_BYTES and refuse_new(batch, snapshot):
            end(batch, unresolved=False)
            return False
        written_at = time.monotonic()
        done = self._objects.put(self._key, value, if_version=snapshot.version)
        if not isinstance(done, Written):
            return self._not_written(batch, done)
        written = ShardSnapshot(records, done.version, written_at, segments)
        self.reader.keep_newer(written)
        settle(batch, outcomes)
        self._delete_unused(snapshot, written)
        return True

    def _live_segments(
        self, snapshot: ShardSnapshot, now: float
    ) -> tuple[OpenSegment, ...]:
        named = [item.segment for item in snapshot.segments]
        live = set(expire_segments(named, self._retention(), now))
        return tuple(item for item in snapshot.segments if item.segment in live)

    def _encode(
        self,
        records: dict[str, Record],
        segments: tuple[OpenSegment, ...],
        base_version: int,
        now: float,
    ) -> tuple[dict[str, Record], tuple[OpenSegment, ...], bytes]:
        """Encodes a shard; seals old records, or drops answers, if it is too large."""
        value = _encoded(records, segments)
        if len(value) <= self._limits.threshold_bytes:
            return records, segments, value
        sealed = archive_records(
            self.reader.segments,
            records,
            segments,
            base_version=base_version,
            retention=self._retention(),
            now=now,
            limits=self._limits,
        )
        if sealed is not None:
            records, segments = sealed.records, sealed.segments
            # Garbage unless this write takes effect.
            self._discarded.append((base_version, sealed.written.segment))
        return _encode_bounded(records, segments)

    def _not_written(
        self, batch: list[PendingChange], done: Conflict | Unavailable | Unknown
    ) -> bool:
        end(batch, unresolved=isinstance(done, Unknown))
        # Only the stored shard tells who came first, perhaps an own write whose
        # answer was lost; the next try reads it and fences what is under way.
        return isinstance(done, Conflict)

    def _delete_unused(self, before: ShardSnapshot, after: ShardSnapshot) -> None:
        """Deletes objects that the shard does not name any more."""
        for object_key in _object_keys(before.records) - _object_keys(after.records):
            self._objects.delete(object_key)
        for item in set(before.segments) - set(after.segments):
            self.reader.segments.delete(item.segment)

    def _delete_discarded(self, snapshot: ShardSnapshot) -> None:
        """Deletes sealed segments whose naming write surely has no effect."""
        named = {item.segment for item in snapshot.segments}
        settled = [(v, s) for v, s in self._discarded if v < snapshot.version]
        for base_version, segment in settled:
            self._discarded.remove((base_version, segment))
            if segment not in named:
                self.reader.segments.delete(segment)


def _encoded(records: Mapping[str, Record], segments: tuple[OpenSegment, ...]) -> bytes:
    named = tuple(item.segment for item in segments)
    return encode_shard(StoredShard(records, named))


def _encode_bounded(
    records: dict[str, Record], segments: tuple[OpenSegment, ...]
) -> tuple[dict[str, Record], tuple[OpenSegment, ...], bytes]:
    """Encodes a shard, without its oldest answers if it is too large."""
    value = _encoded(records, segments)
    while len(value) > NEW_RECORDS_BELOW_BYTES:
        smaller = drop_answers(records)
        if smaller == records:
            break
        records, value = smaller, _encoded(smaller, segments)
    return records, segments, value


def _object_keys(records: Mapping[str, Record]) -> set[str]:
    packed = [p for record in records.values() for p in (record.call, record.answer)]
    return {item.object_key for item in packed if item.object_key}
