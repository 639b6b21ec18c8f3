"""One request's way through an entry, before stand-ins of the platform."""

from __future__ import annotations

import asyncio

import pytest

from cornelpin.scheduling.dispatcher import Place, Refused
from cornelpin.scheduling.jobs import Job
from cornelpin.tests.fleet_client import ask, connect, request
from cornelpin.tests.gateway_bed import Bed, bed, config, until
from standins.fleet.server import FleetServer

STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in (1, 2, 3))


def entry_address(made: Bed, number: int = 0) -> tuple[str, int]:
    return made.entries[number]._settings.callers


async def chosen(made: Bed) -> FleetServer:
    """Returns the server that a stream goes to while all are alike."""
    got = await ask(entry_address(made), "/stream/resumable/first", method="POST")
    assert got.status == 200
    return next(server for server in made.servers if server.runs)


def test_a_request_reaches_a_server_unchanged_and_its_answer_the_client() -> None:
    async def scenario() -> None:
        async with bed() as made:
            got = await ask(
                entry_address(made),
                "/unsafe/a%20b?x=1&y",
                method="POST",
                body=b"\x00body",
                request_id="r1",
                headers={"X-Own": "kept", "Connection": "x-hop", "X-Hop": "dropped"},
            )
            assert (got.status, got.body) == (200, b"/unsafe/a%20b?x=1&y|\x00body")
            assert got.headers["response-seal"] == f"{made.servers[0].id}.1"
            assert got.headers["request-id"] == "r1"
            seen = made.servers[0].requests[0]
            assert (seen.method, seen.headers["x-own"]) == ("POST", "kept")
            assert "x-hop" not in seen.headers
            assert seen.headers["target-instance"] == made.servers[0].id
            assert 0 < int(seen.headers["deadline-ms"]) <= 1500

    asyncio.run(scenario())


SYSTEM_HEADERS = ["Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Tenant"]


def test_headers_that_the_system_sets_do_not_pass_from_a_client() -> None:
    async def scenario() -> None:
        async with bed() as made:
            headers = {name: "forged" for name in [*SYSTEM_HEADERS, "Target-Instance"]}
            headers["Authorization"] = "Token key-blue"
            got = await ask(entry_address(made), "/keyed/x", headers=headers)
            assert got.status == 200
            seen = made.servers[0].requests[0].headers
            assert seen["tenant"] == "blue"
            assert "authorization" not in seen
            assert "forged" not in seen.values()

    asyncio.run(scenario())


OWN_ANSWERS = [
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
    [row[1:] for row in OWN_ANSWERS],
    ids=[r[0] for r in OWN_ANSWERS],
)
def test_what_an_entry_answers_itself_runs_nowhere(data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with bed() as made, connect(entry_address(made)) as client:
            got = await client.send(data)
            assert got.status == status
            assert "response-seal" not in got.headers
            assert not made.servers[0].runs

    asyncio.run(scenario())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_passes_whole_however_it_is_framed(chunked: bool) -> None:
    async def scenario() -> None:
        async with bed() as made, connect(entry_address(made)) as client:
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
            got = await client.send(data)
            assert got.body == b"/unsafe/x|" + body
            assert made.servers[0].requests[0].body == body

    asyncio.run(scenario())


def test_connections_are_kept_on_both_sides() -> None:
    async def scenario() -> None:
        async with bed() as made, connect(entry_address(made)) as client:
            for _ in range(5):
                assert (await client.ask("/safe/x")).status == 200
            assert made.servers[0].server.connections_accepted == 1

    asyncio.run(scenario())


SPOILED = [
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
    [row[1:] for row in SPOILED],
    ids=[f"{row[0]}-{row[2]}" for row in SPOILED],
)
def test_a_spoiled_answer_is_never_passed_on_as_whole(
    target: str, fault: str, status: int, runs: int
) -> None:
    async def scenario() -> None:
        async with bed(servers=2) as made:
            for server in made.servers:
                server.behaviour.fault = fault
            got = await ask(entry_address(made), target, request_id="one")
            assert got.status == status
            assert sum(server.runs["one"] for server in made.servers) == runs
            if status == 503:
                assert float(got.headers["retry-after"]) > 0

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["extra", "late_extra", "no_length"])
def test_answers_that_are_whole_but_odd_are_passed_on_alone(fault: str) -> None:
    async def scenario() -> None:
        async with bed() as made, connect(entry_address(made)) as client:
            made.servers[0].behaviour.fault = fault
            for number in range(4):
                got = await client.ask(f"/safe/{number}")
                expected = (
                    b"to the end" if fault == "no_length" else b"/safe/%d|" % number
                )
                assert (got.status, got.body) == (200, expected)

    asyncio.run(scenario())


def test_an_unsafe_request_goes_elsewhere_only_if_it_was_not_run() -> None:
    async def scenario() -> None:
        async with bed(servers=3) as made:
            made.servers[0].behaviour.fault = "full"
            made.servers[1].behaviour.fault = "full"
            for number in range(6):
                got = await ask(
                    entry_address(made), "/unsafe/x", request_id=f"u{number}"
                )
                assert got.status == 200
                assert made.servers[2].runs[f"u{number}"] == 1

    asyncio.run(scenario())


def test_a_safe_request_is_repeated_after_a_failure() -> None:
    async def scenario() -> None:
        async with bed(servers=2) as made:
            made.servers[0].behaviour.fault = "crash"
            for _ in range(6):
                assert (await ask(entry_address(made), "/safe/x")).status == 200

    asyncio.run(scenario())


def test_a_server_s_failure_is_passed_on_if_no_other_server_is_free() -> None:
    async def scenario() -> None:
        async with bed(servers=2) as made:
            for server in made.servers:
                server.behaviour.fault = "error"
            scheduler = made.entries[0].scheduler
            place, places = scheduler.place, []

            async def only_once(job: Job) -> Place | Refused:
                places.append(job)
                if len(places) > 1:
                    return Refused("none is free", 1.0)
                return await place(job)

            scheduler.place = only_once  # type: ignore[method-assign]
            got = await ask(entry_address(made), "/safe/x")
            assert len(places) == 2
            assert (got.status, got.body) == (500, b"/safe/x|")

    asyncio.run(scenario())


def test_a_stream_passes_event_by_event() -> None:
    async def scenario() -> None:
        async with bed() as made:
            made.servers[0].behaviour.gap_s = 0.15
            async with connect(entry_address(made)) as client:
                loop = asyncio.get_running_loop()
                began = loop.time()
                client.writer.write(request("/stream/x", method="POST", body=b"b"))
                head = await client._reader.readuntil(b"\r\n\r\n")
                assert b"200" in head
                assert loop.time() - began < 0.3
                got, whole = await client._body({"transfer-encoding": "chunked"})
                assert (got, whole) == (STREAM, True)
                assert loop.time() - began > 0.4

    asyncio.run(scenario())


def test_a_broken_stream_does_not_look_complete() -> None:
    async def scenario() -> None:
        async with bed() as made:
            made.servers[0].behaviour.fault = "cut"
            got = await ask(entry_address(made), "/stream/x", method="POST")
            assert (got.status, got.whole) == (200, False)
            assert got.body == STREAM[: len(STREAM) // 3]

    asyncio.run(scenario())


def test_a_resumable_stream_goes_on_at_another_server() -> None:
    async def scenario() -> None:
        async with bed(servers=2) as made:
            faulty = await chosen(made)
            faulty.behaviour.fault = "cut"
            for number in range(4):
                got = await ask(
                    entry_address(made),
                    "/stream/resumable/x",
                    method="POST",
                    request_id=f"s{number}",
                )
                assert (got.status, got.body, got.whole) == (200, STREAM, True)
            assert sum(faulty.runs.values()) > 1

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/stream/x", "/unsafe/x"])
def test_a_client_that_leaves_ends_its_run(target: str) -> None:
    async def scenario() -> None:
        async with bed() as made:
            made.servers[0].behaviour.answer_s = 5.0
            made.servers[0].behaviour.gap_s = 1.0
            async with connect(entry_address(made)) as client:
                client.writer.write(request(target, method="POST", request_id="gone"))
                await until(lambda: made.servers[0].running == 1)
            await until(lambda: made.servers[0].cancelled == ["gone"], 0.5)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("target", "status"), [("/unsafe/x", 504), ("/safe/x", 504), ("/stream/x", 504)]
)
def test_a_request_that_may_run_ends_in_time_without_a_promise(
    target: str, status: int
) -> None:
    async def scenario() -> None:
        async with bed() as made:
            made.servers[0].behaviour.fault = "mute"
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await ask(entry_address(made), target, headers={"Deadline-Ms": "400"})
            assert got.status == status
            assert 0.35 < loop.time() - began < 0.75

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/safe/x", "/stream/resumable/x"])
def test_what_may_be_repeated_leaves_a_silent_server(target: str) -> None:
    async def scenario() -> None:
        async with bed(servers=2) as made:
            silent = await chosen(made)
            for _ in range(12):
                assert (await ask(entry_address(made), "/safe/x")).status == 200
            for server in made.servers:
                made.entries[0].scheduler.dispatcher.pace(
                    made.entries[0].state.servers.all(0.0)[server.id]
                ).samples = 9
            silent.runs.clear()
            silent.behaviour.fault = "mute"
            for number in range(4):
                where = entry_address(made)
                got = await ask(where, target, method="POST", request_id=f"m{number}")
                assert got.status == 200
                await asyncio.sleep(0.1)
            assert silent.runs
            assert set(silent.cancelled) == set(silent.runs), "given up there first"

    asyncio.run(scenario())


def test_a_route_s_time_out_goes_before_a_longer_deadline() -> None:
    async def scenario() -> None:
        fields = config()
        fields["routes"][0]["timeout_ms"] = 300
        async with bed(routes=fields["routes"]) as made:
            made.servers[0].behaviour.answer_s = 5.0
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await ask(entry_address(made), "/safe/x")
            assert got.status == 504
            assert loop.time() - began < 0.55
            assert int(made.servers[0].requests[0].headers["deadline-ms"]) <= 300

    asyncio.run(scenario())


def test_a_content_that_breaks_servers_is_turned_away_after_the_third() -> None:
    async def scenario() -> None:
        async with bed(entries=2, servers=5) as made:
            await until(lambda: all(e.peers.count == 2 for e in made.entries))
            for server in made.servers:
                server.behaviour.fault = "crash"
            for number in range(8):
                where = entry_address(made, number % 2)
                got = await ask(where, "/unsafe/x", method="POST", body=b"poison")
                assert got.status in {502, 503}
                await asyncio.sleep(0.12)
            assert sum(sum(server.runs.values()) for server in made.servers) == 3
            for server in made.servers:
                server.behaviour.fault = ""
            await asyncio.sleep(0.8)
            got = await ask(entry_address(made), "/unsafe/x", method="POST", body=b"b")
            assert got.status == 200

    asyncio.run(scenario())
