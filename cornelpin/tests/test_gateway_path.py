"""Requests through one entry, with stand-ins for the platform's store and servers."""

from __future__ import annotations

import asyncio
import time

import pytest

from cornelpin.scheduling.decisions import Placement, Refused
from cornelpin.scheduling.jobs import Job
from cornelpin.tests.fleet_client import connect, fetch, request
from cornelpin.tests.gateway_harness import Harness, config, route, run_harness, until
from standins.fleet.server import FleetServer

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in (1, 2, 3))


def entry_address(harness: Harness, number: int = 0) -> tuple[str, int]:
    return harness.entries[number]._settings.callers


async def stream_server(harness: Harness) -> FleetServer:
    """Returns the server that the entry selects while all servers are equal."""
    response = await fetch(
        entry_address(harness), "/stream/resumable/first", method="POST"
    )
    assert response.status == 200
    return next(server for server in harness.servers if server.runs)


def test_request_and_response_pass_unchanged() -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            response = await fetch(
                entry_address(harness),
                "/unsafe/a%20b?x=1&y",
                method="POST",
                body=b"\x00body",
                request_id="r1",
                headers={"X-Own": "kept", "Connection": "x-hop", "X-Hop": "dropped"},
            )
            assert (response.status, response.body) == (
                200,
                b"/unsafe/a%20b?x=1&y|\x00body",
            )
            assert response.headers["response-seal"] == f"{harness.servers[0].id}.1"
            assert response.headers["request-id"] == "r1"
            seen = harness.servers[0].requests[0]
            assert (seen.method, seen.headers["x-own"]) == ("POST", "kept")
            assert "x-hop" not in seen.headers
            assert seen.headers["target-instance"] == harness.servers[0].id
            assert 0 < int(seen.headers["deadline-ms"]) <= 1500

    asyncio.run(scenario())


SYSTEM_HEADERS = ["Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Tenant"]


def test_reserved_headers_from_a_client_are_removed() -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            headers = {name: "forged" for name in [*SYSTEM_HEADERS, "Target-Instance"]}
            headers["Authorization"] = "Token key-blue"
            response = await fetch(entry_address(harness), "/keyed/x", headers=headers)
            assert response.status == 200
            seen = harness.servers[0].requests[0].headers
            assert seen["tenant"] == "blue"
            assert "authorization" not in seen
            assert "forged" not in seen.values()

    asyncio.run(scenario())


ENTRY_RESPONSES = [
    ("no route", request("/nowhere/"), 404),
    ("other host", request("/safe/x", host="other.example"), 404),
    ("no key", request("/keyed/x"), 401),
    ("unknown key", request("/keyed/x", headers={"Authorization": "Token no"}), 401),
    ("no id", b"GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 400),
    ("not HTTP", b"hello\r\n\r\n", 400),
    (
        "two lengths",
        request("/unsafe/x", method="POST", headers={"Content-Length": "3"}).replace(
            b"Content-Length: 3", b"Content-Length: 3\r\nContent-Length: 4"
        ),
        400,
    ),
    (
        "length and chunks",
        request(
            "/unsafe/x",
            method="POST",
            headers={"Content-Length": "3", "Transfer-Encoding": "chunked"},
        )
        + b"0\r\n\r\n",
        400,
    ),
    ("long head", request("/safe/x", headers={"X": "x" * 5000}), 431),
    ("long body", request("/unsafe/x", method="POST", body=b"x" * 30_000), 413),
    ("slow head", b"GET /safe/x HTTP/1.1\r\nHost:", 408),
]


@pytest.mark.parametrize(
    ("data", "status"),
    [row[1:] for row in ENTRY_RESPONSES],
    ids=[r[0] for r in ENTRY_RESPONSES],
)
def test_requests_rejected_by_the_entry_do_not_run(data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with run_harness() as harness, connect(entry_address(harness)) as client:
            response = await client.send(data)
            assert response.status == status
            assert "response-seal" not in response.headers
            assert not harness.servers[0].runs

    asyncio.run(scenario())


@pytest.mark.parametrize("chunked", [False, True])
def test_body_is_forwarded_complete_with_either_framing(chunked: bool) -> None:
    async def scenario() -> None:
        async with run_harness() as harness, connect(entry_address(harness)) as client:
            body = b"0123456789" * 500
            if chunked:
                head = request("/unsafe/x", method="POST")
                head = head.replace(
                    b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                parts = [body[n : n + 700] for n in range(0, len(body), 700)]
                data = head + b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
                data += b"0\r\n\r\n"
            else:
                data = request("/unsafe/x", method="POST", body=body)
            response = await client.send(data)
            assert response.body == b"/unsafe/x|" + body
            assert harness.servers[0].requests[0].body == body

    asyncio.run(scenario())


def test_client_and_server_connections_are_kept_alive() -> None:
    async def scenario() -> None:
        async with run_harness() as harness, connect(entry_address(harness)) as client:
            for _ in range(5):
                assert (await client.fetch("/safe/x")).status == 200
            assert harness.servers[0].server.connections_accepted == 1

    asyncio.run(scenario())


FAULTY_RESPONSES = [
    ("safe", "/safe/x", "unsealed", 502, 2),
    ("safe", "/safe/x", "cut", 502, 2),
    ("unsafe", "/unsafe/x", "unsealed", 502, 1),
    ("unsafe", "/unsafe/x", "cut", 502, 1),
    ("unsafe", "/unsafe/x", "crash", 502, 1),
    ("unsafe", "/unsafe/x", "full", 503, 0),
    ("safe", "/safe/x", "error", 500, 2),
    ("unsafe", "/unsafe/x", "error", 500, 1),
]


@pytest.mark.parametrize(
    ("target", "fault", "status", "runs"),
    [row[1:] for row in FAULTY_RESPONSES],
    ids=[f"{row[0]}-{row[2]}" for row in FAULTY_RESPONSES],
)
def test_faulty_response_is_never_forwarded_as_complete(
    target: str, fault: str, status: int, runs: int
) -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            for server in harness.servers:
                server.behaviour.fault = fault
            response = await fetch(entry_address(harness), target, request_id="one")
            assert response.status == status
            assert sum(server.runs["one"] for server in harness.servers) == runs
            if status == 503:
                assert float(response.headers["retry-after"]) > 0

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["extra", "late_extra", "no_length"])
def test_unusual_but_complete_responses_are_forwarded_without_extra_bytes(
    fault: str,
) -> None:
    async def scenario() -> None:
        async with run_harness() as harness, connect(entry_address(harness)) as client:
            harness.servers[0].behaviour.fault = fault
            for number in range(4):
                response = await client.fetch(f"/safe/{number}")
                expected = (
                    b"to the end" if fault == "no_length" else b"/safe/%d|" % number
                )
                assert (response.status, response.body) == (200, expected)

    asyncio.run(scenario())


def test_unsafe_request_is_resent_only_if_it_was_not_run() -> None:
    async def scenario() -> None:
        async with run_harness(servers=3) as harness:
            harness.servers[0].behaviour.fault = "full"
            harness.servers[1].behaviour.fault = "full"
            for number in range(6):
                response = await fetch(
                    entry_address(harness), "/unsafe/x", request_id=f"u{number}"
                )
                assert response.status == 200
                assert harness.servers[2].runs[f"u{number}"] == 1

    asyncio.run(scenario())


def test_safe_request_is_retried_after_a_failure() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            harness.servers[0].behaviour.fault = "crash"
            for _ in range(6):
                assert (await fetch(entry_address(harness), "/safe/x")).status == 200

    asyncio.run(scenario())


def test_server_error_is_forwarded_if_no_other_server_is_free() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            for server in harness.servers:
                server.behaviour.fault = "error"
            scheduler = harness.entries[0].scheduler
            place, places = scheduler.place, []

            async def only_once(job: Job) -> Placement | Refused:
                places.append(job)
                if len(places) > 1:
                    return Refused("none is free", 1.0)
                return await place(job)

            scheduler.place = only_once  # type: ignore[method-assign]
            response = await fetch(entry_address(harness), "/safe/x")
            assert len(places) == 2
            assert (response.status, response.body) == (500, b"/safe/x|")

    asyncio.run(scenario())


def test_stream_is_forwarded_event_by_event() -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            harness.servers[0].behaviour.gap_s = 0.15
            async with connect(entry_address(harness)) as client:
                loop = asyncio.get_running_loop()
                began = loop.time()
                client.writer.write(request("/stream/x", method="POST", body=b"b"))
                head = await client._reader.readuntil(b"\r\n\r\n")
                assert b"200" in head
                assert loop.time() - began < 0.3
                body, complete = await client._body({"transfer-encoding": "chunked"})
                assert (body, complete) == (STREAM, True)
                assert loop.time() - began > 0.4

    asyncio.run(scenario())


def test_broken_stream_is_not_terminated_as_complete() -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            harness.servers[0].behaviour.fault = "cut"
            response = await fetch(entry_address(harness), "/stream/x", method="POST")
            assert (response.status, response.complete) == (200, False)
            assert response.body == STREAM[: len(STREAM) // 3]

    asyncio.run(scenario())


def test_resumable_stream_continues_at_another_server() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            faulty = await stream_server(harness)
            faulty.behaviour.fault = "cut"
            for number in range(4):
                response = await fetch(
                    entry_address(harness),
                    "/stream/resumable/x",
                    method="POST",
                    request_id=f"s{number}",
                )
                assert (response.status, response.body, response.complete) == (
                    200,
                    STREAM,
                    True,
                )
            assert sum(faulty.runs.values()) > 1

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/stream/x", "/unsafe/x"])
def test_client_disconnect_cancels_the_run(target: str) -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            harness.servers[0].behaviour.answer_s = 5.0
            harness.servers[0].behaviour.gap_s = 1.0
            async with connect(entry_address(harness)) as client:
                client.writer.write(request(target, method="POST", request_id="gone"))
                await until(lambda: harness.servers[0].running == 1)
            await until(lambda: harness.servers[0].cancelled == ["gone"], 0.5)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("target", "status"), [("/unsafe/x", 504), ("/safe/x", 504), ("/stream/x", 504)]
)
def test_request_that_may_still_run_ends_with_504_at_its_deadline(
    target: str, status: int
) -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            harness.servers[0].behaviour.fault = "mute"
            loop = asyncio.get_running_loop()
            began = loop.time()
            response = await fetch(
                entry_address(harness), target, headers={"Deadline-Ms": "400"}
            )
            assert response.status == status
            assert 0.35 < loop.time() - began < 0.75

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/safe/x", "/stream/resumable/x"])
def test_idempotent_request_times_out_at_a_silent_server_and_is_retried(
    target: str,
) -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            silent = await stream_server(harness)
            for _ in range(12):
                assert (await fetch(entry_address(harness), "/safe/x")).status == 200
            # The response time-out applies from MIN_SAMPLES (gateway.attempts) on; a
            # server may have got too few of the 12 requests.
            for server in harness.servers:
                harness.entries[0].scheduler.dispatcher.speed(
                    harness.entries[0].state.servers.all(0.0)[server.id]
                ).samples = 9
            silent.runs.clear()
            silent.behaviour.fault = "mute"
            for number in range(4):
                where = entry_address(harness)
                response = await fetch(
                    where, target, method="POST", request_id=f"m{number}"
                )
                assert response.status == 200
                await asyncio.sleep(0.1)
            assert silent.runs
            assert set(silent.cancelled) == set(silent.runs), "runs must be cancelled"

    asyncio.run(scenario())


LONG_ROUTES = [
    route("/safe/", "safe", timeout_ms=8000),
    route("/stream/resumable/", "stream", resumable=True, timeout_ms=8000),
]
LONG = {"Deadline-Ms": "8000"}


async def learn_speeds(harness: Harness) -> None:
    """Serves requests until response time-outs apply at all servers."""
    for _ in range(12):
        assert (await fetch(entry_address(harness), "/safe/x")).status == 200
    for server in harness.servers:
        listed = harness.entries[0].state.servers.get(server.id)
        assert listed is not None
        harness.entries[0].scheduler.dispatcher.speed(listed).samples = 9


@pytest.mark.parametrize("target", ["/safe/x", "/stream/resumable/x"])
def test_response_that_stalls_but_for_a_byte_now_and_then_is_given_up(
    target: str,
) -> None:
    async def scenario() -> None:
        async with run_harness(servers=2, routes=LONG_ROUTES) as harness:
            stalled = await stream_server(harness)
            await learn_speeds(harness)
            stalled.runs.clear()
            stalled.behaviour.fault = "drip"
            loop = asyncio.get_running_loop()
            for number in range(3):
                began = loop.time()
                response = await fetch(
                    entry_address(harness),
                    target,
                    method="POST",
                    request_id=f"d{number}",
                    headers=LONG,
                )
                assert (response.status, response.complete) == (200, True)
                # The time-out of a gap is 2 s, that of a plain response 0.6 s or more.
                assert loop.time() - began < 4.0
            assert stalled.runs
            # The server notices a closed connection after the caller's response.
            await until(lambda: set(stalled.cancelled) == set(stalled.runs), 1.0)

    asyncio.run(scenario())


@pytest.mark.parametrize(("fault", "gap_s"), [("large", 0.0), ("", 0.5)])
def test_slow_but_sound_stream_is_not_cut(fault: str, gap_s: float) -> None:
    async def scenario() -> None:
        async with run_harness(servers=2, routes=LONG_ROUTES) as harness:
            await learn_speeds(harness)
            for server in harness.servers:
                server.behaviour.fault, server.behaviour.gap_s = fault, gap_s
                server.behaviour.events = 3 if fault else 6
            response = await fetch(
                entry_address(harness),
                "/stream/resumable/x",
                method="POST",
                headers=LONG,
            )
            assert (response.status, response.complete) == (200, True)
            assert sum(sum(s.runs.values()) for s in harness.servers) == 13

    asyncio.run(scenario())


@pytest.mark.parametrize(("servers", "budget"), [(2, False), (1, True), (1, False)])
def test_silent_stream_is_kept_if_it_can_go_on_nowhere_else(
    servers: int, budget: bool
) -> None:
    """Guards against a client's stream that is cut although its server goes on."""

    async def scenario() -> None:
        async with run_harness(servers=servers, routes=LONG_ROUTES) as harness:
            await learn_speeds(harness)
            for server in harness.servers:
                server.behaviour.gap_s = 0.2
                server.behaviour.events = 2
            stream = fetch(
                entry_address(harness),
                "/stream/resumable/x",
                method="POST",
                headers=LONG,
            )
            task = asyncio.create_task(stream)
            await until(lambda: any(server.running for server in harness.servers))
            state = harness.entries[0].state
            while not budget and state.take_retry("app", time.monotonic()):
                pass
            for server in harness.servers:
                # From the next event on longer than the time-out of a gap.
                server.behaviour.gap_s = 2.4
            response = await task
            assert (response.status, response.complete) == (200, True)
            assert sum(sum(s.runs.values()) for s in harness.servers) == 13

    asyncio.run(scenario())


def test_route_timeout_takes_precedence_over_a_longer_deadline() -> None:
    async def scenario() -> None:
        fields = config()
        fields["routes"][0]["timeout_ms"] = 300
        async with run_harness(routes=fields["routes"]) as harness:
            harness.servers[0].behaviour.answer_s = 5.0
            loop = asyncio.get_running_loop()
            began = loop.time()
            response = await fetch(entry_address(harness), "/safe/x")
            assert response.status == 504
            assert loop.time() - began < 0.55
            assert int(harness.servers[0].requests[0].headers["deadline-ms"]) <= 300

    asyncio.run(scenario())


def test_poison_request_is_rejected_after_three_crashes() -> None:
    async def scenario() -> None:
        async with run_harness(entries=2, servers=5) as harness:
            await until(lambda: all(e.peers.count == 2 for e in harness.entries))
            for server in harness.servers:
                server.behaviour.fault = "die"
            for number in range(8):
                where = entry_address(harness, number % 2)
                response = await fetch(
                    where, "/unsafe/x", method="POST", body=b"poison"
                )
                assert response.status in {502, 503}
                await asyncio.sleep(0.12)
            assert sum(sum(server.runs.values()) for server in harness.servers) == 3
            for server in harness.servers:
                server.behaviour.fault = ""
            # The first ejection of a server lasts 0.7 s.
            await asyncio.sleep(0.8)
            response = await fetch(
                entry_address(harness), "/unsafe/x", method="POST", body=b"b"
            )
            assert response.status == 200

    asyncio.run(scenario())
