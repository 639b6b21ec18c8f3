"""Reads and writes archive segments and their key filters in the object store."""

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
    """A shard, a segment or its filter cannot be read.

    The object is missing or malformed, or the store is unavailable.
    """


@attrs.frozen(eq=False)
class OpenSegment:
    """A segment reference with the filter of its keys in memory."""

    segment: Segment
    filter: KeyFilter


class Segments:
    """Reads, writes and deletes the segments of one shard."""

    def __init__(self, shard: int, objects: ObjectStore) -> None:
        self._shard = shard
        self._objects = objects

    def open(
        self, references: Sequence[Segment], loaded: Sequence[OpenSegment]
    ) -> tuple[OpenSegment, ...]:
        """Returns segments with their filters; reads those that are not loaded yet.

        Args:
            references: Segments that the shard refers to, oldest first.
            loaded: Segments whose filters are in memory.

        Raises:
            SegmentUnreadableError: If a filter cannot be read.
        """
        by_segment = {item.segment: item for item in loaded}
        return tuple(
            by_segment.get(segment) or self._open(segment) for segment in references
        )

    def _open(self, segment: Segment) -> OpenSegment:
        value = self.read(segment.filter_key)
        try:
            return OpenSegment(segment, KeyFilter.decode(value))
        except ValueError as exc:
            raise _malformed(segment.filter_key, exc) from exc

    def find(self, segments: Sequence[OpenSegment], key: str) -> Record | None:
        """Returns the latest archived record of a key, expired or not.

        Raises:
            SegmentUnreadableError: If a segment that may contain it cannot be read.
        """
        hashed = key_hash(key)
        for item in reversed(segments):
            if not item.filter.may_have(hashed):
                continue
            object_key = item.segment.object_key
            try:
                found = find_record(self.read(object_key), key)
            except ValueError as exc:
                raise _malformed(object_key, exc) from exc
            if found is not None:
                return found
        return None

    def read(self, object_key: str) -> bytes:
        """Returns the content of a segment or filter object.

        Raises:
            SegmentUnreadableError: If it is missing or the store is unavailable.
        """
        found = self._objects.get(object_key)
        if not isinstance(found, Found):
            raise SegmentUnreadableError(f"{object_key}: {type(found).__name__}")
        return found.value

    def write(self, records: Sequence[Record], base_version: int) -> OpenSegment | None:
        """Writes a new segment, which no shard refers to yet.

        Args:
            records: The records to archive.
            base_version: Version of the shard that the records are moved out of.

        Returns:
            The segment, or None if a write was not confirmed.
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
            outcome = self._objects.put(object_key, content, if_version=0)
            if not isinstance(outcome, Written):
                return None
        return OpenSegment(segment, keys)

    def delete(self, segment: Segment) -> None:
        """Deletes a segment that no shard refers to.

        A deletion that fails is left to the garbage collector.
        """
        self._objects.delete(segment.object_key)
        self._objects.delete(segment.filter_key)


def _malformed(object_key: str, exc: ValueError) -> SegmentUnreadableError:
    logger.error("{} is malformed: {}", object_key, exc)
    return SegmentUnreadableError(f"{object_key}: {exc}")
