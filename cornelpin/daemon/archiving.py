"""Moves old final records out of a shard into immutable archive segments.

Keeps shards small, as each change rewrites its whole shard.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from cornelpin.core.claim_segments import decode_records
from cornelpin.core.claim_shards import Retention, expire_record
from cornelpin.core.claims import Record
from cornelpin.daemon.segments import OpenSegment, Segments, SegmentUnreadableError

# Estimated size of a record in its shard, without its answer.
RECORD_BYTES = 170
# A segment is deleted once its newest record expires, so its oldest record may stay
# longer than its retention, by at most the segment's time span. Records are merged into
# a segment only while it spans at most the retention divided by this.
SEGMENT_SPAN_DIVISOR = 8


@attrs.frozen
class ArchiveLimits:
    """Sizes that decide when records are archived and how large segments become.

    Attributes:
        threshold_bytes: Size of a shard above which records are archived.
        min_batch_bytes: Minimum estimated size of the records archived at once.
        max_segment_bytes: Size up to which records are merged into the latest
            segment.
        max_records: Number of archived records of a shard above which no more are
            archived; bounds the memory used by key filters.
    """

    threshold_bytes: int = 400_000
    min_batch_bytes: int = 100_000
    max_segment_bytes: int = 800_000
    max_records: int = 1_000_000


@attrs.frozen
class ArchivingResult:
    """Content of a shard after some of its records were archived.

    Attributes:
        records: The records that stay in the shard.
        segments: All segments, oldest first.
        new_segment: The new segment, which the shard's next write refers to.
    """

    records: dict[str, Record]
    segments: tuple[OpenSegment, ...]
    new_segment: OpenSegment


def archive_records(
    segment_store: Segments,
    records: Mapping[str, Record],
    segments: Sequence[OpenSegment],
    *,
    base_version: int,
    retention: Retention,
    now: float,
    limits: ArchiveLimits,
) -> ArchivingResult | None:
    """Writes the older half of the archivable records to a segment.

    Args:
        segment_store: Reads and writes the shard's segments.
        records: Records of the shard that are about to be written.
        segments: Segments that the shard refers to, oldest first.
        base_version: Version of the shard that the next write replaces.
        retention: How long records are kept.
        now: Unix time in seconds.
        limits: When to archive, and segment sizes.

    Returns:
        The shard's new content, or None if too few records can be archived, the
        limit of archived records is exceeded or the object store is unavailable.
    """
    chosen = _older_half([r for r in records.values() if _archivable(r)])
    if sum(map(_size, chosen)) < limits.min_batch_bytes:
        return None
    if sum(item.segment.count for item in segments) > limits.max_records:
        return None
    kept = list(segments)
    merged = list(chosen)
    if kept and _can_merge(kept[-1], chosen, retention, limits):
        try:
            earlier = decode_records(segment_store.read(kept[-1].segment.object_key))
        except (SegmentUnreadableError, ValueError):
            return None
        live = (expire_record(record, retention, now) for record in earlier)
        merged = [r for r in live if r is not None] + merged
        kept.pop()
    new_segment = segment_store.write(merged, base_version)
    if new_segment is None:
        return None
    archived = {record.key for record in chosen}
    left = {key: record for key, record in records.items() if key not in archived}
    return ArchivingResult(left, (*kept, new_segment), new_segment)


def _archivable(record: Record) -> bool:
    # A segment stores neither calls nor object keys, and an object is deleted once no
    # shard record refers to it.
    unarchivable = record.answer.object_key or record.call.present
    return record.state.final and not unarchivable


def _older_half(records: list[Record]) -> list[Record]:
    records.sort(key=lambda record: record.at)
    return records[: (len(records) + 1) // 2]


def _size(record: Record) -> int:
    return RECORD_BYTES + len(record.answer.value)


def _can_merge(
    last: OpenSegment, chosen: list[Record], retention: Retention, limits: ArchiveLimits
) -> bool:
    """Whether the chosen records fit into the latest segment, by size and time span."""
    segment = last.segment
    span_s = max(record.at for record in chosen) - segment.oldest
    size = segment.size + sum(map(_size, chosen))
    short_span = span_s <= retention.keep_s / SEGMENT_SPAN_DIVISOR
    return size <= limits.max_segment_bytes and short_span
