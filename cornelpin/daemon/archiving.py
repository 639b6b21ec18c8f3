"""Moves old final records out of a shard into sealed segments."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from cornelpin.core.claim_segments import decode_records
from cornelpin.core.claim_shards import Retention, expire_record
from cornelpin.core.claims import Record
from cornelpin.daemon.segments import OpenSegment, Segments, SegmentUnreadableError

# Estimate of a record's size in its shard without its answer.
RECORD_BYTES = 170
# A segment is deleted whole, so its span is what it may be kept too long.
SPANS_IN_RETENTION = 8


@attrs.frozen
class ArchiveLimits:
    """When a shard is sealed and how large its segments become.

    Attributes:
        above_bytes: Size of a shard above which it is sealed.
        least_bytes: Least size of the records that are sealed at once.
        segment_bytes: Size up to which the latest segment takes further records.
        max_records: Number of sealed records of a shard, for the memory of filters.
    """

    threshold_bytes: int = 400_000
    min_batch_bytes: int = 100_000
    max_segment_bytes: int = 800_000
    max_records: int = 1_000_000


@attrs.frozen
class Archived:
    """What is left in a shard once records are sealed.

    Attributes:
        records: The records that stay in the shard.
        segments: All segments, the oldest first.
        written: The new segment, which the shard's next write names.
    """

    records: dict[str, Record]
    segments: tuple[OpenSegment, ...]
    written: OpenSegment


def archive_records(
    store: Segments,
    records: Mapping[str, Record],
    segments: Sequence[OpenSegment],
    *,
    base_version: int,
    retention: Retention,
    now: float,
    limits: ArchiveLimits,
) -> Archived | None:
    """Seals the older half of what can be sealed.

    Args:
        store: The shard's segments.
        records: Records of the shard, about to be written.
        segments: Segments that the shard names, the oldest first.
        base_version: Version of the shard that the write is going to replace.
        retention: How long records are kept.
        now: Unix time in seconds.
        limits: Sizes.

    Returns:
        What is left, None if too little can be sealed, no room is left for filters
        or the store does not answer.
    """
    chosen = _older_half([r for r in records.values() if _sealable(r)])
    if sum(map(_size, chosen)) < limits.min_batch_bytes:
        return None
    if sum(item.segment.count for item in segments) > limits.max_records:
        return None
    kept = list(segments)
    joined = list(chosen)
    if kept and _grows(kept[-1], chosen, retention, limits):
        try:
            earlier = decode_records(store.read(kept[-1].segment.object_key))
        except (SegmentUnreadableError, ValueError):
            return None
        live = (expire_record(record, retention, now) for record in earlier)
        joined = [r for r in live if r is not None] + joined
        kept.pop()
    written = store.write(joined, base_version)
    if written is None:
        return None
    sealed = {record.key for record in chosen}
    left = {key: record for key, record in records.items() if key not in sealed}
    return Archived(left, (*kept, written), written)


def _sealable(record: Record) -> bool:
    # Objects apart are deleted once their record no longer names them.
    apart = record.answer.object_key or record.call.present
    return record.state.final and not apart


def _older_half(records: list[Record]) -> list[Record]:
    records.sort(key=lambda record: record.at)
    return records[: (len(records) + 1) // 2]


def _size(record: Record) -> int:
    return RECORD_BYTES + len(record.answer.value)


def _grows(
    last: OpenSegment, chosen: list[Record], retention: Retention, limits: ArchiveLimits
) -> bool:
    """Whether the latest segment takes the chosen records too."""
    segment = last.segment
    span_s = max(record.at for record in chosen) - segment.oldest
    size = segment.size + sum(map(_size, chosen))
    short = span_s <= retention.keep_s / SPANS_IN_RETENTION
    return size <= limits.max_segment_bytes and short
