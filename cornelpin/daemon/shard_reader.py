"""The latest copy of a shard of records."""

from __future__ import annotations

import threading
import time
from collections.abc import Mapping

import attrs
from loguru import logger

from cornelpin.core.claim_shards import decode_shard, shard_key
from cornelpin.core.claims import Record
from cornelpin.platform.objects import Found, Missing, ObjectStore, Unchanged


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


class ShardReader:
    """Reads one shard and keeps its latest copy."""

    def __init__(self, number: int, objects: ObjectStore) -> None:
        self._key = shard_key(number)
        self._objects = objects
        self._lock = threading.Lock()
        self._reading = threading.Lock()
        self._copy: ShardCopy | None = None
        self._failed_at = float("-inf")

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
            fresh = self.refresh()
            if fresh is None:
                self._failed_at = time.monotonic()
            return fresh

    def refresh(self) -> ShardCopy | None:
        """Reads the shard, unless unchanged; None if the store is unavailable."""
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
        return self.keep_newer(copy)

    def _decode(self, value: bytes) -> dict[str, Record] | None:
        """Returns a shard's records; an unreadable one is never written over."""
        try:
            return decode_shard(value)
        except ValueError as exc:
            logger.error("{} is unreadable: {}", self._key, exc)
            return None

    def keep_newer(self, copy: ShardCopy) -> ShardCopy:
        """Keeps the newest copy: a slow read must not displace a later write."""
        with self._lock:
            if self._copy is None or copy.version >= self._copy.version:
                self._copy = copy
            return self._copy
