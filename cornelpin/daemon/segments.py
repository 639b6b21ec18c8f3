"""Segments of sealed records in the object store."""

from __future__ import annotations

import secrets
from collections.abc import Sequence

import attrs
from loguru import logger

from cornelpin.core.claim_segments import (
    KeyFilter,
    Segment,
    encode_records,
    find_record,
    key_hash,
    segment_key,
)
from cornelpin.core.claims import Record
from cornelpin.stores.objects import Found, ObjectStore, Written

TOKEN_BYTES = 6


class SegmentUnreadableError(Exception):
    """A segment or its filter is not there, or the store does not answer."""


@attrs.frozen(eq=False)
class OpenSegment:
    """A segment with the filter of its keys in memory."""

    segment: Segment
    filter: KeyFilter


class Segments:
    """Reads and writes the segments of one shard."""

    def __init__(self, shard: int, objects: ObjectStore) -> None:
        self._shard = shard
        self._objects = objects

    def open(
        self, named: Sequence[Segment], known: Sequence[OpenSegment]
    ) -> tuple[OpenSegment, ...]:
        """Returns segments with their filters; reads those that are not known.

        Raises:
            SegmentUnreadableError: If a filter cannot be read.
        """
        ready = {item.segment: item for item in known}
        return tuple(ready.get(segment) or self._open(segment) for segment in named)

    def _open(self, segment: Segment) -> OpenSegment:
        value = self.read(segment.filter_key)
        try:
            return OpenSegment(segment, KeyFilter.decode(value))
        except ValueError as exc:
            raise _unreadable(segment.filter_key, exc) from exc

    def find(self, opened: Sequence[OpenSegment], key: str) -> Record | None:
        """Returns the latest sealed record of a key, expired or not.

        Raises:
            SegmentUnreadableError: If a segment that may have it cannot be read.
        """
        hashed = key_hash(key)
        for item in reversed(opened):
            if not item.filter.may_have(hashed):
                continue
            object_key = item.segment.object_key
            try:
                found = find_record(self.read(object_key), key)
            except ValueError as exc:
                raise _unreadable(object_key, exc) from exc
            if found is not None:
                return found
        return None

    def read(self, object_key: str) -> bytes:
        """Returns the value of a segment or filter.

        Raises:
            SegmentUnreadableError: If it cannot be read.
        """
        found = self._objects.get(object_key)
        if not isinstance(found, Found):
            raise SegmentUnreadableError(f"{object_key}: {type(found).__name__}")
        return found.value

    def write(self, records: Sequence[Record], base_version: int) -> OpenSegment | None:
        """Writes a new segment, which no shard names yet.

        Returns:
            The segment, None if the store did not confirm it.
        """
        value = encode_records(records)
        token = secrets.token_hex(TOKEN_BYTES)
        segment = Segment(
            object_key=segment_key(self._shard, base_version, token),
            count=len(records),
            size=len(value),
            oldest=min(record.at for record in records),
            newest=max(record.at for record in records),
        )
        keys = KeyFilter.from_keys(record.key for record in records)
        for object_key, content in (
            (segment.object_key, value),
            (segment.filter_key, keys.encode()),
        ):
            done = self._objects.put(object_key, content, if_version=0)
            if not isinstance(done, Written):
                return None
        return OpenSegment(segment, keys)

    def delete(self, segment: Segment) -> None:
        """Deletes a segment that no shard names; the sweep does what fails here."""
        self._objects.delete(segment.object_key)
        self._objects.delete(segment.filter_key)


def _unreadable(object_key: str, exc: ValueError) -> SegmentUnreadableError:
    logger.error("{} is unreadable: {}", object_key, exc)
    return SegmentUnreadableError(f"{object_key}: {exc}")
