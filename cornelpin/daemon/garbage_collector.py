"""Deletes objects that no record names: remains of lost answers and dead processes."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from cornelpin.core.claim_segments import SEGMENT_PREFIX, parse_segment_key
from cornelpin.core.claim_shards import shard_of
from cornelpin.daemon.shard_reader import ShardReader, ShardSnapshot
from cornelpin.stores.objects import Listed, ObjectStore

CALLS_PREFIX = "calls/"
ANSWERS_PREFIX = "answers/"
# Longer than any write of a record that names an object may be under way.
GRACE_PERIOD_S = 600.0
# After a longer pause or outage the grace begins anew.
MAX_GAP_S = 300.0


class StoreSilentError(Exception):
    """The object store does not answer."""


class GarbageCollector:
    """Finds objects that no record names, and deletes them after a grace."""

    def __init__(
        self,
        objects: ObjectStore,
        readers: Sequence[ShardReader],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._objects = objects
        self._readers = readers
        self._clock = clock
        self._unnamed_since: dict[str, float] = {}
        self._swept_at = float("-inf")
        self._snapshots: dict[int, ShardSnapshot] = {}

    def sweep(self) -> int:
        """Looks at all objects once; returns the number of those deleted."""
        now = self._clock()
        if now - self._swept_at > MAX_GAP_S:
            self._unnamed_since.clear()
        self._swept_at = now
        try:
            # Listed before the shards are read: what is named later is not listed.
            garbage = [
                key for key in self._list(SEGMENT_PREFIX) if self._discarded(key)
            ]
            listed = [*self._list(CALLS_PREFIX), *self._list(ANSWERS_PREFIX)]
            unnamed = [key for key in listed if self._unnamed(key)]
        except StoreSilentError:
            self._unnamed_since.clear()
            return 0
        garbage += self._past_grace(unnamed, now)
        for key in garbage:
            self._objects.delete(key)
        return len(garbage)

    def _list(self, prefix: str) -> list[str]:
        listed = self._objects.list(prefix)
        if not isinstance(listed, Listed):
            raise StoreSilentError(prefix)
        return [item.key for item in listed.objects]

    def _discarded(self, object_key: str) -> bool:
        """Whether no version of a shard names or will name a segment or filter."""
        number, base_version = parse_segment_key(object_key)
        snapshot = self._snapshot(number)
        named = {
            key
            for item in snapshot.segments
            for key in (item.segment.object_key, item.segment.filter_key)
        }
        return base_version < snapshot.version and object_key not in named

    def _unnamed(self, object_key: str) -> bool:
        """Whether no record names a call or answer, nor its owner may yet do so."""
        record_key, _, owner = object_key.partition("/")[2].rpartition("/")
        record = self._snapshot(shard_of(record_key)).records.get(record_key)
        if record is None:
            return True
        if object_key in (record.call.object_key, record.answer.object_key):
            return False
        return record.state.final or record.owner != owner

    def _snapshot(self, number: int) -> ShardSnapshot:
        """Returns a shard as it was read in this sweep."""
        if number not in self._snapshots:
            snapshot = self._readers[number].read(0.0)
            if snapshot is None:
                raise StoreSilentError(number)
            self._snapshots[number] = snapshot
        return self._snapshots[number]

    def _past_grace(self, unnamed: list[str], now: float) -> list[str]:
        since = {key: self._unnamed_since.get(key, now) for key in unnamed}
        self._unnamed_since = since
        return [key for key, at in since.items() if now - at >= GRACE_PERIOD_S]
