"""A planned stop: what callers get whose requests run or arrive meanwhile."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import pytest

from cornelpin.tests.fleet_client import Response, fetch, request
from cornelpin.tests.gateway_harness import Harness, route, run_harness, until
from standins.fleet.server import Behaviour

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry

GRACE_S = 5.0
TIMEOUT_MS = 9_000
HUNG_DEADLINE_MS = 1_000
BLOCKED_S = 0.05
RESPONSE_BYTES = 7_800_000
RECEIVE_BUFFER_BYTES = 65_536
READ_BYTES = 60_000
BYTES_PER_S = 1_000_000
"""Rate at which the process has passed it to the kernel 0.6 s before its end."""
ROUTES = [
    route("/safe/", "safe", timeout_ms=TIMEOUT_MS),
    route("/unsafe/", "unsafe", timeout_ms=TIMEOUT_MS, max_attempts=1),
    route("/stream/", "stream", timeout_ms=TIMEOUT_MS, max_attempts=1),
]


async def send(entry: Entry, target: str, deadline_ms: int = TIMEOUT_MS) -> Response:
    return await fetch(
        entry._settings.callers,
        target,
        method="POST",
        headers={"Deadline-Ms": str(deadline_ms)},
    )


async def stop(harness: Harness) -> None:
    """Stops the first entry; its connections end with the process."""
    entry = harness.entries[0]
    entry._stop.set()
    await harness._tasks[0]
    for conn in list(entry._connections):
        conn.abort()


def stopping_harness(grace_s: float = GRACE_S):
    """Returns a harness whose entries have a short grace period."""
    return run_harness(routes=ROUTES, settings={"bounds": {"grace_s": grace_s}})


@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_request_that_outlasts_the_grace_period_gets_an_answer(target: str) -> None:
    """Guards against connections cut without an answer at the end of a stop."""

    async def scenario() -> None:
        async with stopping_harness() as harness:
            harness.servers[0].behaviour.fault = "mute"
            running = asyncio.create_task(send(harness.entries[0], target))
            await until(lambda: harness.servers[0].running == 1)
            await stop(harness)
            response = await running
            assert (response.status, response.complete) == (504, True)

    asyncio.run(scenario())


def test_queued_request_is_told_that_it_has_not_run() -> None:
    async def scenario() -> None:
        async with stopping_harness() as harness:
            server, entry = harness.servers[0], harness.entries[0]
            server.behaviour.fault = "mute"
            busy = [
                asyncio.create_task(send(entry, f"/unsafe/{number}"))
                for number in range(2 * server.slots)
            ]
            await until(lambda: server.running == server.slots)
            await stop(harness)
            responses = await asyncio.gather(*busy)
            assert all(response.complete for response in responses)
            statuses = sorted(response.status for response in responses)
            assert statuses == [503] * server.slots + [504] * server.slots
            assert sum(server.runs.values()) == server.slots

    asyncio.run(scenario())


async def until_timers_fire(at: float, turns: int) -> None:
    """Returns when timers are due, a number of turns of the loop after a busy one."""
    await asyncio.sleep(at - BLOCKED_S - time.monotonic())
    time.sleep(BLOCKED_S)
    for _ in range(turns):
        await asyncio.sleep(0)


@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x"])
@pytest.mark.parametrize("turns", [0, 1, 2])
def test_stop_beside_a_timeout_that_has_fired_cuts_nothing(
    target: str, turns: int
) -> None:
    """Guards against a stop that ends the process as a request has just timed out."""

    async def scenario() -> None:
        async with stopping_harness() as harness:
            server, entry = harness.servers[0], harness.entries[0]
            server.behaviour.fault = "mute"
            hung = asyncio.create_task(send(entry, target, HUNG_DEADLINE_MS))
            await until(lambda: server.running == 1)
            server.behaviour = Behaviour(events=20, gap_s=0.1)
            sound = asyncio.create_task(send(entry, "/stream/sound"))
            await until(lambda: server.running == 2)
            attempts = next(iter(entry.request_handler._attempts.values()))
            assert attempts.timeout is not None
            fires_at = attempts.timeout.when()
            assert fires_at is not None
            await until_timers_fire(fires_at, turns)
            await stop(harness)
            assert ((await hung).status, (await hung).complete) == (504, True)
            assert ((await sound).status, (await sound).complete) == (200, True)

    asyncio.run(scenario())


@pytest.mark.parametrize("measured", [True, False])
def test_late_stream_is_taken_only_if_it_can_end_in_time(*, measured: bool) -> None:
    """Guards against streams that are begun during a stop and cut at its end."""

    async def scenario() -> None:
        async with stopping_harness() as harness:
            server, entry = harness.servers[0], harness.entries[0]
            server.behaviour.events, server.behaviour.gap_s = 30, 0.2
            if measured:
                response = await send(entry, "/stream/x")
                assert (response.status, response.complete) == (200, True)
            stopping = asyncio.create_task(stop(harness))
            await asyncio.sleep(0.3)
            runs = sum(server.runs.values())
            response = await send(entry, "/stream/y")
            assert (response.status, response.complete) == (503, True)
            assert sum(server.runs.values()) == runs
            await stopping

    asyncio.run(scenario())


def test_late_requests_get_whole_answers_until_the_end() -> None:
    """Guards against late requests that are taken and cut, unsafe ones among them."""

    async def scenario() -> None:
        async with stopping_harness() as harness:
            server, entry = harness.servers[0], harness.entries[0]
            server.behaviour.answer_s = 0.3
            server.behaviour.gap_s = 0.1
            kinds = ["safe", "unsafe", "stream"]
            for kind in kinds:
                assert (await send(entry, f"/{kind}/x")).status == 200
            stopping = asyncio.create_task(stop(harness))
            pending, number = [], 0
            while not stopping.done():
                number += 1
                target = f"/{kinds[number % 3]}/{number}"
                pending.append(asyncio.create_task(send(entry, target)))
                await asyncio.sleep(0.05)
            responses = await asyncio.gather(*pending, return_exceptions=True)
            served = 0
            for response in responses:
                if isinstance(response, Response):
                    assert response.complete, response
                    assert response.status in {200, 503}
                    served += response.status == 200
                else:
                    # The listener is closed: nothing was read.
                    assert isinstance(response, OSError)
            # The balancer sends requests for two seconds more.
            assert served >= 30

    asyncio.run(scenario())


def whole_response(size: int) -> bytes:
    """Returns a response with events of 60,000 bytes, for a format with headers."""
    event = b"id: %06d\ndata: " + b"x" * 59_982 + b"\n\n"
    data = b"".join(event % number for number in range(size // 60_000))
    return (
        b"HTTP/1.1 200 X\r\n%s\r\nContent-Length: %d\r\n\r\n"
        % (
            b"%s",
            len(data),
        )
        + data
    )


@pytest.mark.parametrize("target", ["/safe/x", "/stream/x"])
def test_answer_is_delivered_whole_to_a_slow_reader(target: str) -> None:
    """Guards against answers cut in the write buffer of a process that ends."""

    async def scenario() -> None:
        async with stopping_harness(grace_s=6.0) as harness:
            server, entry = harness.servers[0], harness.entries[0]
            server.behaviour.raw = whole_response(RESPONSE_BYTES), "keep"
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.connect(entry._settings.callers)
            reader, writer = await asyncio.open_connection(sock=sock)
            writer.write(
                request(target, method="POST", headers={"Deadline-Ms": "8000"})
            )
            await until(lambda: bool(server.arrivals))
            stopping = asyncio.create_task(stop(harness))
            received = 0
            while received < RESPONSE_BYTES:
                part = await reader.read(READ_BYTES)
                assert part, f"cut after {received} bytes"
                received += len(part)
                await asyncio.sleep(len(part) / BYTES_PER_S)
            await stopping
            writer.close()

    asyncio.run(scenario())
