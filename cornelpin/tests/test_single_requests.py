"""Single requests at the limits, in each form in which they may be sent, in calm."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import pytest

from cornelpin.tests.crowd_bed import (
    CALLERS,
    LIMITS,
    METRICS,
    ORDINARY,
    READY,
    RESPONSE_BYTES,
    CrowdBed,
    run_crowd_bed,
)
from cornelpin.tests.crowds import (
    CHUNK_BYTES,
    PIECE_BYTES,
    RECEIVE_BUFFER_BYTES,
    SMALL_CHUNK_BYTES,
    Door,
    chunked,
    split,
)
from cornelpin.tests.fleet_client import Client, Response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

pytestmark = pytest.mark.isolated

WAIT_S = 120.0
"""Time after which a test gives up; it is no bound."""
DEADLINE_MS = 60_000
"""Time for which these clients wait: longer than a slow machine takes."""
SENT_AHEAD = 200
READ_BYTES = 16_384
DOORS = [
    (CALLERS, ORDINARY, 200),
    (CALLERS, "/nothing/x", 404),
    (CALLERS, "/-/readiness", 404),
    (READY, "/-/readiness", 200),
    (READY, "/nothing/x", 200),
    (METRICS, "/metrics", 200),
    (METRICS, "/status", 200),
    (METRICS, "/-/readiness", 200),
]


def open_door(bed: CrowdBed, listener: int, path: str) -> Door:
    """Returns a door whose clients have time."""
    return attrs.evolve(bed.door(listener, path), deadline_ms=DEADLINE_MS)


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


@pytest.mark.parametrize(("listener", "path", "status"), DOORS)
@pytest.mark.parametrize("form", BODY_FORMS)
def test_largest_body_is_taken(
    form: Callable[[Door], Iterator[bytes | float]],
    listener: int,
    path: str,
    status: int,
) -> None:
    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            door = open_door(bed, listener, path)
            served = len(bed.sound.requests)
            (response,) = await exchange(door, form(door))
            assert response.status == status
            assert response.complete
            if path == ORDINARY:
                (req,) = bed.sound.requests[served:]
                assert req.body == b"x" * door.body_bytes

    asyncio.run(scenario())


@pytest.mark.parametrize(("listener", "path", "status"), DOORS)
@pytest.mark.parametrize("piece_bytes", [1, PIECE_BYTES, 1 << 20])
@pytest.mark.parametrize("head", HEADS)
def test_largest_head_is_taken(
    head: Callable[[Door], bytes],
    piece_bytes: int,
    listener: int,
    path: str,
    status: int,
) -> None:
    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            door = open_door(bed, listener, path)
            data = head(door)
            assert len(data) == door.head_bytes
            (response,) = await exchange(door, split(data, piece_bytes))
            assert response.status == status
            assert response.complete

    asyncio.run(scenario())


@pytest.mark.parametrize(("listener", "path", "status"), DOORS)
def test_requests_sent_ahead_are_answered_in_order(
    listener: int, path: str, status: int
) -> None:
    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            door = open_door(bed, listener, path)
            request = door.head(method=b"GET")
            requests = [
                request.replace(b"crowd", b"r%d" % number)
                for number in range(SENT_AHEAD)
            ]
            responses = await exchange(
                door, iter([b"".join(requests)]), responses=SENT_AHEAD
            )
            assert [r.status for r in responses] == [status] * SENT_AHEAD
            if status == 200 and listener == CALLERS:
                ids = [r.headers["request-id"] for r in responses]
                assert ids == [f"r{number}" for number in range(SENT_AHEAD)]

    asyncio.run(scenario())


def test_slow_reader_gets_the_whole_response() -> None:
    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            door = open_door(bed, CALLERS, "/safe/x")
            reader, writer = await asyncio.open_connection(
                *door.address, limit=RECEIVE_BUFFER_BYTES
            )
            writer.write(door.head(method=b"GET"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            size = 0
            while size < RESPONSE_BYTES:
                await asyncio.sleep(0.05)
                data = await reader.read(READ_BYTES)
                assert data
                size += len(data)
            writer.close()

    asyncio.run(scenario())


def test_limits_are_those_of_the_configuration() -> None:
    """Guards against a test of other limits than those in force."""

    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            door = open_door(bed, CALLERS, ORDINARY)
            size = LIMITS["max_body_bytes"] + 1
            head = door.head(b"Content-Length: %d" % size)
            (response,) = await exchange(door, iter([head + b"x" * size]))
            assert response.status == 413

    asyncio.run(scenario())
