"""The latest copy of a shard of records."""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping

import attrs
from loguru import logger

from cornelpin.core.claim_segments import key_hash
from cornelpin.core.claim_shards import decode_shard, shard_key
from cornelpin.core.claims import Record
from cornelpin.daemon.segments import OpenSegment, Segments, SegmentUnreadableError
from cornelpin.stores.objects import Found, Missing, ObjectStore, Unchanged


@attrs.frozen
class ShardSnapshot:
    """A shard as it was last read or written.

    Attributes:
        records: The records that are not sealed.
        version: Version of the object, 0 if it does not exist.
        read_at: Monotonic time in seconds.
        segments: Sealed segments, the oldest first.
    """

    records: Mapping[str, Record]
    version: int
    read_at: float
    segments: tuple[OpenSegment, ...] = ()

    def may_have(self, key: str) -> bool:
        """Whether a key may have a record, by what is in memory."""
        hashed = key_hash(key)
        sealed = any(item.filter.may_have(hashed) for item in self.segments)
        return key in self.records or sealed


class ShardReader:
    """Reads one shard and keeps its latest copy."""

    def __init__(self, number: int, objects: ObjectStore) -> None:
        self._key = shard_key(number)
        self._objects = objects
        self.segments = Segments(number, objects)
        self._lock = threading.Lock()
        self._reading = threading.Lock()
        self._snapshot: ShardSnapshot | None = None
        self._failed_at = float("-inf")

    @property
    def snapshot(self) -> ShardSnapshot | None:
        """The latest copy, if there is one."""
        return self._snapshot

    def read(self, max_age_s: float) -> ShardSnapshot | None:
        """Returns a copy that is fresh enough, None if the store is unavailable."""
        with self._reading:
            now = time.monotonic()
            snapshot = self._snapshot
            if snapshot is not None and now - snapshot.read_at <= max_age_s:
                return snapshot
            if now - self._failed_at <= max_age_s:
                return None
            fresh = self.refresh()
            if fresh is None:
                self._failed_at = time.monotonic()
            return fresh

    def refresh(self) -> ShardSnapshot | None:
        """Reads the shard, unless unchanged; None if the store is unavailable."""
        known = self._snapshot
        version = known.version if known and known.version else None
        now = time.monotonic()
        found = self._objects.get(self._key, unless_version=version)
        match found:
            case Found():
                snapshot = self._decode(found, now)
                if snapshot is None:
                    return None
            case Unchanged() if known is not None:
                snapshot = attrs.evolve(known, read_at=now)
            case Missing():
                snapshot = ShardSnapshot({}, 0, now)
            case _:
                return None
        return self.keep_newer(snapshot)

    def _decode(self, found: Found, read_at: float) -> ShardSnapshot | None:
        """Returns a shard's content; an unreadable one is never written over."""
        known = self._snapshot.segments if self._snapshot is not None else ()
        try:
            shard = decode_shard(found.value)
            segments = self.segments.open(shard.segments, known)
        except ValueError as exc:
            logger.error("{} is unreadable: {}", self._key, exc)
            return None
        except SegmentUnreadableError:
            return None
        return ShardSnapshot(shard.records, found.version, read_at, segments)

    def find(self, key: str, max_age_s: float) -> Record | None:
        """Returns a record, sealed or not, perhaps an expired one.

        Raises:
            SegmentUnreadableError: If the store does not answer.
        """
        for age_s in (max_age_s, 0.0):
            snapshot = self.read(age_s)
            if snapshot is None:
                break
            try:
                return snapshot.records.get(key) or self.segments.find(
                    snapshot.segments, key
                )
            except SegmentUnreadableError:
                # It may have been replaced since the copy was read.
                continue
        raise SegmentUnreadableError(self._key)

    def keep_newer(self, snapshot: ShardSnapshot) -> ShardSnapshot:
        """Keeps the newest copy: a slow read must not displace a later write."""
        with self._lock:
            if self._snapshot is None or snapshot.version >= self._snapshot.version:
                self._snapshot = snapshot
            return self._snapshot
