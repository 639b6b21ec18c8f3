"""Forms in which a request at the limits may be sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornelpin.tests.crowds import (
    CHUNK_BYTES,
    PIECE_BYTES,
    SMALL_CHUNK_BYTES,
    Door,
    chunked,
    split,
)
from cornelpin.tests.fleet_client import Client, Response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    Form = Callable[[Door], Iterator[bytes | float]]

WAIT_S = 120.0
"""Time after which a test gives up; it is no bound."""


def framed(door: Door, *lines: bytes) -> tuple[bytes, bytes]:
    """Returns the head and the body of a request with a body of the largest size."""
    body = b"x" * door.body_bytes
    return door.head(b"Content-Length: %d" % len(body), *lines), body


def whole(door: Door) -> Iterator[bytes | float]:
    yield b"".join(framed(door))


def in_pieces(door: Door) -> Iterator[bytes | float]:
    yield from split(b"".join(framed(door)), PIECE_BYTES)


def in_chunks(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Transfer-Encoding: chunked")
    yield chunked(b"x" * door.body_bytes, CHUNK_BYTES) + b"0\r\n\r\n"


def in_small_chunks(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Transfer-Encoding: chunked")
    yield chunked(b"x" * door.body_bytes, SMALL_CHUNK_BYTES) + b"0\r\n\r\n"


def in_one_chunk(door: Door) -> Iterator[bytes | float]:
    yield door.head(b"Transfer-Encoding: chunked")
    yield chunked(b"x" * door.body_bytes, door.body_bytes) + b"0\r\n\r\n"


def with_pauses(door: Door) -> Iterator[bytes | float]:
    head, body = framed(door)
    for part in (head[:30], head[30:], *split(body, len(body) // 8)):
        yield part
        yield 0.2


def after_continue(door: Door) -> Iterator[bytes | float]:
    head, body = framed(door, b"Expect: 100-continue")
    yield head
    yield 0.2
    yield body


BODY_FORMS = [
    whole,
    in_pieces,
    in_chunks,
    in_small_chunks,
    in_one_chunk,
    with_pauses,
    after_continue,
]


def long_field(door: Door) -> bytes:
    return door.head_of_fields(b"X-Long: " + b"x" * 2_000, size=door.head_bytes)


def short_fields(door: Door) -> bytes:
    return door.head_of_fields(b"ab:cd", size=door.head_bytes)


def short_fields_with_a_space(door: Door) -> bytes:
    return door.head_of_fields(b"ab: cd", size=door.head_bytes)


def empty_fields(door: Door) -> bytes:
    return door.head_of_fields(b"a:", size=door.head_bytes)


HEADS = [long_field, short_fields, short_fields_with_a_space, empty_fields]


async def exchange(
    door: Door, parts: Iterator[bytes | float], *, responses: int = 1
) -> list[Response]:
    """Sends the parts on one connection and returns what it is answered."""
    reader, writer = await asyncio.open_connection(*door.address, limit=1 << 20)
    client = Client(reader, writer)

    async def send() -> None:
        for part in parts:
            if isinstance(part, float):
                await asyncio.sleep(part)
                continue
            writer.write(part)
            await writer.drain()

    try:
        async with asyncio.timeout(WAIT_S):
            sender = asyncio.ensure_future(send())
            received = []
            while len(received) < responses:
                response = await client.read()
                if response.status != 100:
                    received.append(response)
            await sender
            return received
    finally:
        client.close()
