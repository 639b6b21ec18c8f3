"""Shards of records: encoding, retention and bounds."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

import attrs
import msgpack

from cornelpin.core.claims import NOTHING, ClaimState, Packed, Record

SHARDS = 16
SHARD_PREFIX = "claims/"
# Room above is left for the ends of requests whose records are already there.
NEW_RECORDS_BELOW_BYTES = 800_000


@attrs.frozen
class Retention:
    """How long final records and their answers are kept, in seconds."""

    answers_s: float
    claims_s: float


def shard_of(key: str) -> int:
    """Returns the shard that holds a record key."""
    return hashlib.sha256(key.encode()).digest()[0] % SHARDS


def shard_key(shard: int) -> str:
    """Returns the object key of a shard."""
    return f"{SHARD_PREFIX}{shard:02d}"


def encode_shard(records: Mapping[str, Record]) -> bytes:
    """Returns the value of a shard."""
    return msgpack.packb([_row(record) for record in records.values()])


def decode_shard(value: bytes) -> dict[str, Record]:
    """Returns the records of a shard.

    Raises:
        ValueError: If the value is not a shard.
    """
    try:
        records = [_record(row) for row in msgpack.unpackb(value)]
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f"not a shard of claims: {exc}") from exc
    return {record.key: record for record in records}


def expire(
    records: Mapping[str, Record], retention: Retention, now: float
) -> dict[str, Record]:
    """Drops final records and answers that were kept long enough."""
    kept = {}
    for key, record in records.items():
        age_s = now - record.at
        if not record.state.final or age_s <= retention.answers_s:
            kept[key] = record
        elif age_s <= retention.claims_s:
            kept[key] = _without_answer(record)
    return kept


def drop_answers(records: Mapping[str, Record]) -> dict[str, Record]:
    """Drops the older half of the answers of calls that nobody comes to collect."""
    holders = [r for r in records.values() if r.answer.value and not r.durable]
    holders.sort(key=lambda record: record.at)
    dropped = {record.key for record in holders[: (len(holders) + 1) // 2]}
    return {
        key: _without_answer(record) if key in dropped else record
        for key, record in records.items()
    }


def _without_answer(record: Record) -> Record:
    if not record.answer.present:
        return record
    return attrs.evolve(record, answer=NOTHING)


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
    named = dict(zip(_FIELDS, row, strict=True))
    named["state"] = ClaimState(named["state"])
    named["call"] = Packed(*named["call"])
    named["answer"] = Packed(*named["answer"])
    return Record(**named)


_FIELDS = tuple(field.name for field in attrs.fields(Record))
