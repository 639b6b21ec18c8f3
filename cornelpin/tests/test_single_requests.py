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
from cornelpin.tests.crowds import PIECE_BYTES, RECEIVE_BUFFER_BYTES, Door, split
from cornelpin.tests.request_forms import BODY_FORMS, HEADS, exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.tests.request_forms import Form

pytestmark = pytest.mark.isolated

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


@pytest.mark.parametrize(("listener", "path", "status"), DOORS)
@pytest.mark.parametrize("form", BODY_FORMS)
def test_largest_body_is_taken(
    form: Form,
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
