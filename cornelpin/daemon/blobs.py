"""Calls and answers beside their records: inside if short, else objects apart."""

from __future__ import annotations

import zlib
from typing import Any

import attrs
import msgpack

from cornelpin.core.claims import Packed
from cornelpin.stores.objects import (
    MAX_VALUE_BYTES,
    Found,
    ObjectStore,
    Unknown,
    Written,
)

MAX_INLINE_BYTES = 8_192
PUT_ATTEMPTS = 3


@attrs.frozen
class StoredAnswer:
    """Answer of a request as its caller got it."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class StoredCall:
    """What another entry needs to run a durable request."""

    route: str
    version: str
    tier: str
    kind: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    cost: int
    idempotent: bool
    streamed: bool
    fingerprint: str = ""


class Blobs:
    """Packs and reads calls and answers."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    def pack(self, value: StoredAnswer | StoredCall, object_key: str) -> Packed | None:
        """Packs a value; a long one is written under its key.

        Returns:
            The packed value, None if it is too long or the store is unavailable.
        """
        packed = zlib.compress(msgpack.packb(attrs.asdict(value)))
        if len(packed) <= MAX_INLINE_BYTES:
            return Packed(value=packed)
        if len(packed) > MAX_VALUE_BYTES:
            return None
        for _ in range(PUT_ATTEMPTS):
            outcome = self._objects.put(object_key, packed, if_version=None)
            if isinstance(outcome, Written):
                return Packed(object_key=object_key)
            if not isinstance(outcome, Unknown):
                return None
        return None

    def read_answer(self, packed: Packed) -> StoredAnswer | None:
        """Returns a packed answer, None if it cannot be read."""
        fields = self._read(packed)
        return None if fields is None else StoredAnswer(**fields)

    def read_call(self, packed: Packed) -> StoredCall | None:
        """Returns a packed call, None if it cannot be read."""
        fields = self._read(packed)
        return None if fields is None else StoredCall(**fields)

    def _read(self, packed: Packed) -> dict[str, Any] | None:
        value = packed.value
        if not value:
            found = self._objects.get(packed.object_key)
            if not isinstance(found, Found):
                return None
            value = found.value
        return msgpack.unpackb(zlib.decompress(value))
