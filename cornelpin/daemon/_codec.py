"""Registry of typed messages and their msgpack encoding.

A frame is a 4-byte big-endian length and a msgpack array
``[code, stamp, field, field, ...]``, where the stamp is the sender's hybrid logical
timestamp (``core.clock``). Field values are checked against the annotations
of the message class, so that a malformed frame never reaches a handler.
"""

from __future__ import annotations

import struct
import types
import typing
from typing import Any, TypeVar

import attrs
import msgpack

MAX_FRAME_BYTES = 4 * 1024 * 1024
LENGTH_PREFIX = struct.Struct(">I")

_classes: dict[int, type] = {}
_codes: dict[type, int] = {}
_field_types: dict[type, tuple[tuple[type, ...], ...]] = {}

T = TypeVar("T")


class ProtocolError(Exception):
    """A frame, message or handshake that violates the protocol."""


def _runtime_types(hint: Any) -> tuple[type, ...]:
    """Returns the runtime types that a field annotation allows."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return tuple(t for arg in typing.get_args(hint) for t in _runtime_types(arg))
    if origin is not None:
        return (origin,)
    if hint is float:
        return (float, int)
    return (hint,)


def message(code: int) -> typing.Callable[[type[T]], type[T]]:
    """Registers an attrs class as the message with the given code."""

    def register(cls: type[T]) -> type[T]:
        if code in _classes:
            raise ValueError(
                f"message code {code} is already registered for {_classes[code]}"
            )
        _classes[code] = cls
        _codes[cls] = code
        hints = typing.get_type_hints(cls)
        _field_types[cls] = tuple(
            _runtime_types(hints[field.name])
            for field in attrs.fields(cls)  # type: ignore[arg-type]
        )
        return cls

    return register


def encode(msg: Any, *, stamp: int) -> bytes:
    """Encodes a message as one frame.

    Args:
        msg: The message.
        stamp: Hybrid logical timestamp of the sender.

    Raises:
        ProtocolError: If the frame would exceed the size limit.
    """
    values = [getattr(msg, field.name) for field in attrs.fields(type(msg))]
    payload = msgpack.packb([_codes[type(msg)], stamp, *values], use_bin_type=True)
    if len(payload) > MAX_FRAME_BYTES:
        raise ProtocolError(f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}")
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode(payload: bytes) -> tuple[Any, int]:
    """Decodes a frame's payload into a message and its timestamp.

    Raises:
        ProtocolError: If the payload is not a valid message.
    """
    try:
        parts = msgpack.unpackb(payload, raw=False, strict_map_key=False)
    except Exception as exc:
        raise ProtocolError(f"undecodable frame: {exc}") from exc
    if not isinstance(parts, list) or len(parts) < 2:
        raise ProtocolError("frame is not an array of code, timestamp and fields")
    code, stamp, values = parts[0], parts[1], parts[2:]
    cls = _classes.get(code) if isinstance(code, int) else None
    if cls is None:
        raise ProtocolError(f"unknown message code {code!r}")
    if type(stamp) is not int or stamp < 0:
        raise ProtocolError(f"invalid timestamp {stamp!r}")
    _check_fields(cls, values)
    return cls(*values), stamp


def _check_fields(cls: type, values: list[Any]) -> None:
    expected = _field_types[cls]
    if len(values) != len(expected):
        raise ProtocolError(
            f"{cls.__name__} has {len(expected)} fields, got {len(values)}"
        )
    for allowed, value in zip(expected, values, strict=True):
        if isinstance(value, bool) and bool not in allowed:
            raise ProtocolError(f"{cls.__name__}: unexpected boolean")
        if not isinstance(value, allowed):
            raise ProtocolError(f"{cls.__name__}: unexpected {type(value).__name__}")
