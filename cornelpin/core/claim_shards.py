"""Shards of claim records: encoding, retention and size limits.

A shard is one object in the store, so that many claims share a write.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import msgpack

from cornelpin.core.claim_segments import Segment
from cornelpin.core.claims import EMPTY, ClaimState, Packed, Record

SHARDS = 16
SHARD_PREFIX = "claims/"
# Size of a shard up to which it accepts new records. The room above is reserved for the
# outcomes of requests that already have a record.
NEW_RECORDS_BELOW_BYTES = 800_000
# An unfinished request that is not durable counts as abandoned when its record is this
# much older than the retention time.
UNFINISHED_S = 3600.0
FORMAT = 2


@attrs.frozen
class Retention:
    """How long final records and their answers are kept, in seconds.

    Has the values of ``core.config.Retention``, without its defaults and checks.
    """

    answers_s: float
    claims_s: float

    @property
    def keep_s(self) -> float:
        """Seconds after which nothing of a final record is kept."""
        return max(self.answers_s, self.claims_s)


def shard_of(key: str) -> int:
    """Returns the shard that holds a record key."""
    return hashlib.sha256(key.encode()).digest()[0] % SHARDS


def shard_key(shard: int) -> str:
    """Returns the object key of a shard."""
    return f"{SHARD_PREFIX}{shard:02d}"


@attrs.frozen
class StoredShard:
    """Content of a shard.

    Attributes:
        records: Records stored in the shard itself, by key.
        segments: Archive segments, the oldest first.
    """

    records: Mapping[str, Record] = attrs.field(factory=dict)
    segments: tuple[Segment, ...] = ()


def encode_shard(shard: StoredShard) -> bytes:
    """Encodes the content of a shard."""
    rows = [_row(record) for record in shard.records.values()]
    segments = [attrs.astuple(segment) for segment in shard.segments]
    return msgpack.packb([FORMAT, rows, segments])


def decode_shard(value: bytes) -> StoredShard:
    """Decodes the content of a shard.

    Raises:
        ValueError: If the value is not a shard.
    """
    try:
        content = msgpack.unpackb(value)
        if content[:1] != [FORMAT]:
            # Format 1, from before there were segments, was only the list of records.
            content = [FORMAT, content, []]
        _, rows, segments = content
        records = [_record(row) for row in rows]
        references = tuple(Segment(*segment) for segment in segments)
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f"not a shard of claims: {exc}") from exc
    return StoredShard({record.key: record for record in records}, references)


def expire_records(
    records: Mapping[str, Record], retention: Retention, now: float
) -> dict[str, Record]:
    """Returns the records without expired records and answers."""
    kept = ((key, expire_record(r, retention, now)) for key, r in records.items())
    return {key: record for key, record in kept if record is not None}


def expire_record(record: Record, retention: Retention, now: float) -> Record | None:
    """Returns a record, without its answer if that has expired, or None."""
    age_s = now - record.at
    if record.state.final:
        if age_s <= retention.answers_s:
            return record
        return _without_answer(record) if age_s <= retention.claims_s else None
    # After this time, the entry of an unfinished request must have failed, and no other
    # entry adopts a request that is not durable.
    abandoned = not record.durable and age_s > retention.keep_s + UNFINISHED_S
    return None if abandoned else record


def expire_segments(
    segments: Iterable[Segment], retention: Retention, now: float
) -> tuple[Segment, ...]:
    """Returns the segments whose newest record has not expired."""
    return tuple(s for s in segments if now - s.newest <= retention.keep_s)


def drop_answers(records: Mapping[str, Record]) -> dict[str, Record]:
    """Drops the older half of the answers in a shard, except those of durable requests.

    The caller of a durable request still has to collect its answer.
    """
    answered = [r for r in records.values() if r.answer.value and not r.durable]
    answered.sort(key=lambda record: record.at)
    dropped = {record.key for record in answered[: (len(answered) + 1) // 2]}
    return {
        key: _without_answer(record) if key in dropped else record
        for key, record in records.items()
    }


def _without_answer(record: Record) -> Record:
    if not record.answer.present:
        return record
    return attrs.evolve(record, answer=EMPTY)


def _row(record: Record) -> list[Any]:
    return [
        record.state.value
        if name == "state"
        else list(attrs.astuple(value))
        if isinstance(value := getattr(record, name), Packed)
        else value
        for name in _FIELDS
    ]


def _record(row: list[Any]) -> Record:
    fields = dict(zip(_FIELDS, row, strict=True))
    fields["state"] = ClaimState(fields["state"])
    fields["call"] = Packed(*fields["call"])
    fields["answer"] = Packed(*fields["answer"])
    return Record(**fields)


_FIELDS = tuple(field.name for field in attrs.fields(Record))
