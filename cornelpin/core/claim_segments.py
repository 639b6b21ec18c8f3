"""Archive segments: immutable objects with final records moved out of their shard.

A segment is read only if its key filter, which every entry keeps in memory, says that
it may contain a key. It is deleted whole once its newest record has expired.
"""

from __future__ import annotations

import re
import sys
from array import array
from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

import attrs
import msgpack

from cornelpin.core.claims import ClaimState, Packed, Record

SEGMENT_PREFIX = "segments/"
FILTER_SUFFIX = "/filter"
HASH_BYTES = 4
HEX_KEY = re.compile(r"r-([0-9a-f]{24})")
HEX_FINGERPRINT = re.compile(r"([0-9a-f]{32})")
# A row stores the index of its state in this tuple, so the order must not change.
STATES = tuple(ClaimState)


@attrs.frozen
class Segment:
    """Reference to a segment, stored in its shard.

    Attributes:
        object_key: Object key of the records.
        count: Number of records.
        size: Size of the records in bytes.
        oldest: Earliest time of a record, Unix time in seconds.
        newest: Latest time of a record, Unix time in seconds.
    """

    object_key: str
    count: int
    size: int
    oldest: float
    newest: float

    @property
    def filter_key(self) -> str:
        """Object key of the segment's key filter."""
        return self.object_key + FILTER_SUFFIX


def segment_key(shard: int, base_version: int, token: str) -> str:
    """Returns the object key of a segment.

    Args:
        shard: Number of the shard.
        base_version: Version of the shard that the records are moved out of. Only a
            write on that version can refer to the segment, so a segment to which a
            later version does not refer is garbage.
        token: Random part, unique to this segment.
    """
    return f"{SEGMENT_PREFIX}{shard:02d}/{base_version}/{token}"


def parse_segment_key(object_key: str) -> tuple[int, int]:
    """Returns the shard and the base version in the key of a segment or filter.

    Raises:
        ValueError: If it is not the key of a segment.
    """
    shard, version = object_key.removeprefix(SEGMENT_PREFIX).split("/")[:2]
    return int(shard), int(version)


class KeyFilter:
    """Sorted hashes of a segment's keys: false positives, but no false negatives."""

    def __init__(self, hashes: array[int]) -> None:
        self._hashes = hashes

    @classmethod
    def from_keys(cls, keys: Iterable[str]) -> KeyFilter:
        """Builds the filter of a set of keys."""
        return cls(array("I", sorted(key_hash(key) for key in keys)))

    @classmethod
    def decode(cls, value: bytes) -> KeyFilter:
        """Decodes a stored filter.

        Raises:
            ValueError: If the value is not a filter.
        """
        hashes = array("I")
        hashes.frombytes(value)
        if sys.byteorder == "big":
            hashes.byteswap()
        return cls(hashes)

    def encode(self) -> bytes:
        """Returns the value to store."""
        hashes = self._hashes[:]
        if sys.byteorder == "big":
            hashes.byteswap()
        return hashes.tobytes()

    def may_have(self, hashed: int) -> bool:
        """Whether the keys may include one with this hash."""
        i = bisect_left(self._hashes, hashed)
        return i < len(self._hashes) and self._hashes[i] == hashed


def key_hash(key: str) -> int:
    """Returns the hash of a record key that filters use."""
    digest = blake2b(key.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "little")


def encode_records(records: Iterable[Record]) -> bytes:
    """Encodes records as a segment, with only the fields that client retries need."""
    return msgpack.packb([_row(record) for record in records])


def decode_records(value: bytes) -> list[Record]:
    """Decodes the records of a segment.

    Raises:
        ValueError: If the value is not a segment.
    """
    return [_record(row) for row in _rows(value)]


def find_record(value: bytes, key: str) -> Record | None:
    """Returns the latest record of a key in the value of a segment.

    Raises:
        ValueError: If the value is not a segment.
    """
    wanted = _pack_hex(HEX_KEY, key)
    # A row starts with key, fingerprint, state and time, see `_row`.
    found = [row for row in _rows(value) if row[0] == wanted]
    return _record(max(found, key=lambda row: row[3])) if found else None


def _rows(value: bytes) -> list[list[Any]]:
    try:
        return list(msgpack.unpackb(value))
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f"not a segment of records: {exc}") from exc


def _row(record: Record) -> list[Any]:
    # The id is kept only if a later response to the caller contains it: one about a
    # durable request, or a repeated answer.
    keeps_request_id = record.durable or record.answer.present
    row = [
        _pack_hex(HEX_KEY, record.key),
        _pack_hex(HEX_FINGERPRINT, record.fingerprint),
        STATES.index(record.state),
        # Rounded up, so that a record does not expire early.
        int(record.at) + 1,
        record.answer.value,
        record.reason,
        record.detail,
        record.request_id if keeps_request_id else "",
        record.workspace if record.durable else "",
    ]
    # Trailing empty fields are omitted; `_record` adds them again.
    while row and not row[-1]:
        row.pop()
    return row


def _record(row: list[Any]) -> Record:
    key = _unpack_hex("r-", row[0])
    answer, reason, detail, request_id, workspace = (*row[4:], *[""] * 5)[:5]
    return Record(
        key=key,
        request_id=request_id,
        workspace=workspace,
        fingerprint=_unpack_hex("", row[1]),
        owner="",
        entry="",
        incarnation="",
        state=STATES[row[2]],
        at=float(row[3]),
        # `_row` stores the workspace of durable requests only.
        durable=bool(workspace),
        reason=reason,
        detail=detail,
        answer=Packed(value=answer or b""),
    )


def _pack_hex(pattern: re.Pattern[str], text: str) -> bytes | str:
    match = pattern.fullmatch(text)
    return bytes.fromhex(match[1]) if match else text


def _unpack_hex(prefix: str, short: bytes | str) -> str:
    return short if isinstance(short, str) else prefix + short.hex()
