"""Writes a shard of records in batches.

All pending changes of a shard go into one conditional write. After a conflict, or a
write with an unknown outcome, the shard is read again and the changes are decided
again: the object's version fences writes that are still in flight.
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
    end_write,
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

INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
IDLE_POLL_INTERVAL_S = 0.5
LIMITS = ArchiveLimits()


class ShardWriter:
    """Writes the pending changes of one shard in batches."""

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
        # Segments that no completed shard write refers to yet, each with the version
        # of the shard that its write was to replace.
        self._unconfirmed: list[tuple[int, Segment]] = []
        self.reader = ShardReader(number, objects)

    def submit(self, pending: PendingChange) -> None:
        """Queues a change."""
        with self._cond:
            self._pending.append(pending)
            self._cond.notify_all()

    def submit_purge(self) -> None:
        """Queues a write if the shard contains expired records or segments."""
        snapshot = self.reader.snapshot
        now = self._clock()
        if snapshot is None:
            return
        kept = expire_records(snapshot.records, self._retention(), now)
        live = self._live_segments(snapshot, now)
        if kept != snapshot.records or live != snapshot.segments:
            # The empty key belongs to no record: only the write itself matters.
            self.submit(PendingChange("", rewrite, time.monotonic()))

    @property
    def idle(self) -> bool:
        """Whether no change is pending."""
        with self._cond:
            return all(pending.settled for pending in self._pending)

    def run(self, stop: threading.Event) -> None:
        """Writes batches until stopped; backs off while writes fail."""
        backoff_s = INITIAL_BACKOFF_S
        while not stop.is_set():
            if not self._wait_until_due():
                continue
            time.sleep(self._budget.reserve())
            if self.write_batch():
                backoff_s = INITIAL_BACKOFF_S
                continue
            stop.wait(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _wait_until_due(self) -> bool:
        with self._cond:
            self._pending = [p for p in self._pending if not p.settled]
            if not self._pending:
                self._cond.wait(IDLE_POLL_INTERVAL_S)
                return False
            wait_s = min(p.due for p in self._pending) - time.monotonic()
            if wait_s > 0:
                self._cond.wait(wait_s)
                return False
            return True

    def write_batch(self) -> bool:
        """Writes all pending changes at once.

        Returns:
            False if the caller should back off: the store did not respond, a segment
            was unreadable or new records were refused. Changes without an outcome
            stay pending.
        """
        # Other entries write too: a stale snapshot would cause a conflict.
        snapshot = self.reader.refresh()
        if snapshot is None:
            return False
        self._delete_unconfirmed(snapshot)
        with self._cond:
            changes = [pending for pending in self._pending if not pending.settled]
        now = self._clock()
        records = expire_records(snapshot.records, self._retention(), now)
        archived, readable = self._look_up(changes, records, snapshot, now)
        settle_unchanged(readable, records, archived)
        batch = [pending for pending in readable if pending.begin_write()]
        may_continue = (
            self._write(batch, records, archived, snapshot, now) if batch else True
        )
        return may_continue and len(readable) == len(changes)

    def _look_up(
        self,
        changes: list[PendingChange],
        records: Mapping[str, Record],
        snapshot: ShardSnapshot,
        now: float,
    ) -> tuple[dict[str, Record], list[PendingChange]]:
        """Finds the archived records of pending changes.

        Returns:
            The archived records by key, and the changes without those that need an
            unreadable segment.
        """
        archived: dict[str, Record] = {}
        readable = []
        for pending in changes:
            key = pending.key
            try:
                if key not in records and key not in archived:
                    found = self.reader.segments.find(snapshot.segments, key)
                    kept = found and expire_record(found, self._retention(), now)
                    # An expired record counts as absent.
                    archived |= {key: kept} if kept else {}
            except SegmentUnreadableError:
                continue
            readable.append(pending)
        return archived, readable

    def _write(
        self,
        batch: list[PendingChange],
        records: dict[str, Record],
        archived: Mapping[str, Record],
        snapshot: ShardSnapshot,
        now: float,
    ) -> bool:
        """Writes a batch.

        Returns:
            False if the store returned no outcome, or if new records were refused
            because the shard is full; True otherwise, also after a conflict.
        """
        outcomes = decide(batch, records, archived)
        segments = self._live_segments(snapshot, now)
        records, segments, value = self._encode(
            records, segments, snapshot.version, now
        )
        if len(value) > NEW_RECORDS_BELOW_BYTES and refuse_new(batch, snapshot):
            end_write(batch, unresolved=False)
            return False
        written_at = time.monotonic()
        outcome = self._objects.put(self._key, value, if_version=snapshot.version)
        if not isinstance(outcome, Written):
            return self._handle_failed_write(batch, outcome)
        written = ShardSnapshot(records, outcome.version, written_at, segments)
        self.reader.keep_newer(written)
        settle(batch, outcomes)
        self._delete_unused(snapshot, written)
        return True

    def _live_segments(
        self, snapshot: ShardSnapshot, now: float
    ) -> tuple[OpenSegment, ...]:
        references = [item.segment for item in snapshot.segments]
        live = set(expire_segments(references, self._retention(), now))
        return tuple(item for item in snapshot.segments if item.segment in live)

    def _encode(
        self,
        records: dict[str, Record],
        segments: tuple[OpenSegment, ...],
        base_version: int,
        now: float,
    ) -> tuple[dict[str, Record], tuple[OpenSegment, ...], bytes]:
        """Encodes a shard; archives old records or drops answers if it is too large."""
        value = _encode_shard(records, segments)
        if len(value) <= self._limits.threshold_bytes:
            return records, segments, value
        result = archive_records(
            self.reader.segments,
            records,
            segments,
            base_version=base_version,
            retention=self._retention(),
            now=now,
            limits=self._limits,
        )
        if result is not None:
            records, segments = result.records, result.segments
            # Unreferenced unless this write takes effect.
            self._unconfirmed.append((base_version, result.new_segment.segment))
        return _encode_bounded(records, segments)

    def _handle_failed_write(
        self, batch: list[PendingChange], outcome: Conflict | Unavailable | Unknown
    ) -> bool:
        end_write(batch, unresolved=isinstance(outcome, Unknown))
        # Only the stored shard shows which write took effect. The next attempt reads it
        # and writes on the version read, so that any write still in flight fails.
        return isinstance(outcome, Conflict)

    def _delete_unused(self, before: ShardSnapshot, after: ShardSnapshot) -> None:
        """Deletes the objects that the shard no longer refers to."""
        for object_key in _object_keys(before.records) - _object_keys(after.records):
            self._objects.delete(object_key)
        for item in set(before.segments) - set(after.segments):
            self.reader.segments.delete(item.segment)

    def _delete_unconfirmed(self, snapshot: ShardSnapshot) -> None:
        """Deletes unconfirmed segments that no shard write can refer to any more."""
        references = {item.segment for item in snapshot.segments}
        settled = [(v, s) for v, s in self._unconfirmed if v < snapshot.version]
        for base_version, segment in settled:
            self._unconfirmed.remove((base_version, segment))
            if segment not in references:
                self.reader.segments.delete(segment)


def _encode_shard(
    records: Mapping[str, Record], segments: tuple[OpenSegment, ...]
) -> bytes:
    references = tuple(item.segment for item in segments)
    return encode_shard(StoredShard(records, references))


def _encode_bounded(
    records: dict[str, Record], segments: tuple[OpenSegment, ...]
) -> tuple[dict[str, Record], tuple[OpenSegment, ...], bytes]:
    """Encodes a shard; drops its oldest answers while new records would be refused."""
    value = _encode_shard(records, segments)
    while len(value) > NEW_RECORDS_BELOW_BYTES:
        smaller = drop_answers(records)
        if smaller == records:
            break
        records, value = smaller, _encode_shard(smaller, segments)
    return records, segments, value


def _object_keys(records: Mapping[str, Record]) -> set[str]:
    packed = [p for record in records.values() for p in (record.call, record.answer)]
    return {item.object_key for item in packed if item.object_key}
