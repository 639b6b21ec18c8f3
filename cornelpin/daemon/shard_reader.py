"""Reads a shard of records and keeps its latest snapshot."""

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
    """Content of a shard as of its last read or write.

    Attributes:
        records: The records that are not archived.
        version: Version of the shard's object, 0 if it does not exist.
        read_at: Monotonic time in seconds before the read or write.
        segments: Archive segments, oldest first.
    """

    records: Mapping[str, Record]
    version: int
    read_at: float
    segments: tuple[OpenSegment, ...] = ()

    def may_have(self, key: str) -> bool:
        """Whether a key may have a record, according to records and key filters."""
        hashed = key_hash(key)
        archived = any(item.filter.may_have(hashed) for item in self.segments)
        return key in self.records or archived


class ShardReader:
    """Reads one shard and keeps its latest snapshot."""

    def __init__(self, number: int, objects: ObjectStore) -> None:
        self._key = shard_key(number)
        self._objects = objects
        self.segments = Segments(number, objects)
        self._lock = threading.Lock()
        self._read_lock = threading.Lock()
        self._snapshot: ShardSnapshot | None = None
        self._failed_at = float("-inf")

    @property
    def snapshot(self) -> ShardSnapshot | None:
        """The latest snapshot, if there is one."""
        return self._snapshot

    def read(self, max_age_s: float) -> ShardSnapshot | None:
        """Returns a snapshot of at most the given age, read again if necessary.

        After a failed read, calls within that age return None without a read.

        Returns:
            The snapshot, or None if the shard cannot be read.
        """
        with self._read_lock:
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
        """Reads the shard with a conditional get.

        Returns:
            The new snapshot, or None if the shard cannot be read.
        """
        current = self._snapshot
        version = current.version if current and current.version else None
        now = time.monotonic()
        found = self._objects.get(self._key, unless_version=version)
        match found:
            case Found():
                snapshot = self._decode(found, now)
                if snapshot is None:
                    return None
            case Unchanged() if current is not None:
                snapshot = attrs.evolve(current, read_at=now)
            case Missing():
                snapshot = ShardSnapshot({}, 0, now)
            case _:
                return None
        return self.keep_newer(snapshot)

    def _decode(self, found: Found, read_at: float) -> ShardSnapshot | None:
        """Returns a snapshot, or None if the shard or a key filter is unreadable.

        An unreadable shard is never overwritten, as a write needs a snapshot.
        """
        loaded = self._snapshot.segments if self._snapshot is not None else ()
        try:
            shard = decode_shard(found.value)
            segments = self.segments.open(shard.segments, loaded)
        except ValueError as exc:
            logger.error("{} is malformed: {}", self._key, exc)
            return None
        except SegmentUnreadableError:
            return None
        return ShardSnapshot(shard.records, found.version, read_at, segments)

    def find(self, key: str, max_age_s: float) -> Record | None:
        """Returns a record, archived or not, expired or not.

        Args:
            key: Key of the record.
            max_age_s: Maximum age of the snapshot in seconds.

        Raises:
            SegmentUnreadableError: If the shard or a segment cannot be read.
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
                # The segment may have been replaced since the snapshot was read.
                continue
        raise SegmentUnreadableError(self._key)

    def keep_newer(self, snapshot: ShardSnapshot) -> ShardSnapshot:
        """Keeps the newer of the given and the current snapshot, and returns it.

        A slow read must not replace the result of a later write.
        """
        with self._lock:
            if self._snapshot is None or snapshot.version >= self._snapshot.version:
                self._snapshot = snapshot
            return self._snapshot
