"""The codec of peer messages: any input gives a message or a protocol error."""

from __future__ import annotations

import attrs
import msgpack
from hypothesis import given, strategies as st

from cornelpin.daemon.messages import (
    Chunk,
    Heartbeat,
    NotRun,
    ProtocolError,
    Reserve,
    decode,
    encode,
)
from properties.profiles import run_settings

SETTINGS = run_settings(400)

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(min_value=-(2**63), max_value=2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=20,
)


@SETTINGS
@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_or_raise_protocol_error(payload: bytes) -> None:
    try:
        decode(payload)
    except ProtocolError:
        return


@SETTINGS
@given(st.integers(0, 80), st.lists(values, max_size=14))
def test_arbitrary_arrays_decode_or_raise_protocol_error(
    code: int, fields: list[object]
) -> None:
    try:
        msg, _ = decode(msgpack.packb([code, 1, *fields]))
    except ProtocolError:
        return
    assert attrs.has(type(msg))


@SETTINGS
@given(
    st.one_of(
        st.builds(Chunk, st.text(), st.integers(0, 2**31), st.lists(st.binary())),
        st.builds(NotRun, st.text(), st.text(), st.text()),
        st.builds(
            Reserve,
            st.text(),
            st.text(),
            st.text(),
            st.text(),
            st.text(),
            st.integers(0, 2**31),
            st.floats(allow_nan=False),
            st.text(),
        ),
    ),
    st.integers(0, 2**63),
)
def test_decoding_reverses_encoding(msg: object, stamp: int) -> None:
    # Without the frame's length prefix of four bytes.
    assert decode(encode(msg, stamp=stamp)[4:]) == (msg, stamp)


def test_float_field_accepts_integer() -> None:
    msg = Heartbeat(1, False, 2, 1, 0, [], 0)
    assert decode(encode(msg, stamp=1)[4:])[0] == msg
