"""Stores calls and answers: short ones in their record, others in separate objects."""

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
    """Response to a request as it was sent to the caller."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class StoredCall:
    """A durable request with all that another entry needs to run it.

    Attributes:
        route: Name of the route.
        version: Version chosen at acceptance, empty for a service.
        tier: Name of the tier.
        kind: Kind of the route, "model" or "service".
        method: HTTP method.
        path: HTTP path.
        headers: HTTP headers.
        body: HTTP body.
        cost: Estimated work in tokens.
        idempotent: Whether the request may run more than once.
        streamed: Whether the caller asked for a stream of events.
        fingerprint: Digest of workspace and content.
    """

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
    """Compresses, stores and reads calls and answers."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    def pack(self, value: StoredAnswer | StoredCall, object_key: str) -> Packed | None:
        """Compresses a value; writes a long one to a separate object.

        Args:
            value: The call or answer.
            object_key: Key of the object for a long value.

        Returns:
            The packed value, or None if it is too long or cannot be written.
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
            # Only a write that may have taken effect is repeated.
            if not isinstance(outcome, Unknown):
                return None
        return None

    def read_answer(self, packed: Packed) -> StoredAnswer | None:
        """Returns an answer, or None if its object cannot be read."""
        fields = self._read(packed)
        return None if fields is None else StoredAnswer(**fields)

    def read_call(self, packed: Packed) -> StoredCall | None:
        """Returns a call, or None if its object cannot be read."""
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
