"""Deletes objects that no record refers to.

Writes with an unknown outcome and crashed processes leave such objects behind.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from cornelpin.core.claim_segments import SEGMENT_PREFIX, parse_segment_key
from cornelpin.core.claim_shards import shard_of
from cornelpin.daemon.shard_reader import ShardReader, ShardSnapshot
from cornelpin.stores.objects import Listed, ObjectStore

CALLS_PREFIX = "calls/"
ANSWERS_PREFIX = "answers/"
# An object is written before the record that refers to it. This is longer than the
# write of that record may take.
GRACE_PERIOD_S = 600.0
# After a longer gap between this entry's sweeps, all grace periods restart: an object
# may have been referred to meanwhile.
MAX_SWEEP_GAP_S = 300.0


class StoreUnavailableError(Exception):
    """The object store is unavailable."""


class GarbageCollector:
    """Deletes unreferenced objects.

    Segments are deleted as soon as no shard version can refer to them, calls and
    answers after a grace period.
    """

    def __init__(
        self,
        objects: ObjectStore,
        readers: Sequence[ShardReader],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._objects = objects
        self._readers = readers
        self._clock = clock
        self._unreferenced_since: dict[str, float] = {}
        self._swept_at = float("-inf")
        self._snapshots: dict[int, ShardSnapshot] = {}

    def sweep(self) -> int:
        """Checks all objects once; returns the number of deletions."""
        now = self._clock()
        if now - self._swept_at > MAX_SWEEP_GAP_S:
            self._unreferenced_since.clear()
        self._swept_at = now
        try:
            # Listed before a shard is first read: otherwise an object that the shard
            # refers to only after its read would be deleted.
            garbage = [
                key for key in self._list(SEGMENT_PREFIX) if self._is_superseded(key)
            ]
            listed = [*self._list(CALLS_PREFIX), *self._list(ANSWERS_PREFIX)]
            unreferenced = [key for key in listed if self._is_unreferenced(key)]
        except StoreUnavailableError:
            self._unreferenced_since.clear()
            return 0
        garbage += self._past_grace(unreferenced, now)
        for key in garbage:
            self._objects.delete(key)
        return len(garbage)

    def _list(self, prefix: str) -> list[str]:
        listed = self._objects.list(prefix)
        if not isinstance(listed, Listed):
            raise StoreUnavailableError(prefix)
        return [item.key for item in listed.objects]

    def _is_superseded(self, object_key: str) -> bool:
        """Whether the shard does not and will not refer to a segment or filter."""
        number, base_version = parse_segment_key(object_key)
        snapshot = self._snapshot(number)
        referenced = {
            key
            for item in snapshot.segments
            for key in (item.segment.object_key, item.segment.filter_key)
        }
        return base_version < snapshot.version and object_key not in referenced

    def _is_unreferenced(self, object_key: str) -> bool:
        """Whether no record refers, or may still refer, to a call or answer.

        The owner of an unfinished record may have written the object already.

        Args:
            object_key: "calls/" or "answers/", the record key, "/" and the owner id.
        """
        record_key, _, owner = object_key.partition("/")[2].rpartition("/")
        record = self._snapshot(shard_of(record_key)).records.get(record_key)
        if record is None:
            return True
        if object_key in (record.call.object_key, record.answer.object_key):
            return False
        return record.state.final or record.owner != owner

    def _snapshot(self, number: int) -> ShardSnapshot:
        """Returns a shard's snapshot, read once and reused by later sweeps."""
        if number not in self._snapshots:
            snapshot = self._readers[number].read(0.0)
            if snapshot is None:
                raise StoreUnavailableError(number)
            self._snapshots[number] = snapshot
        return self._snapshots[number]

    def _past_grace(self, unreferenced: list[str], now: float) -> list[str]:
        since = {key: self._unreferenced_since.get(key, now) for key in unreferenced}
        self._unreferenced_since = since
        return [key for key, at in since.items() if now - at >= GRACE_PERIOD_S]
