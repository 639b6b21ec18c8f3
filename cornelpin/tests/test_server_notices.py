"""Servers that say in their responses that they leave or want a pause."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from cornelpin.gateway.app import Entry
from cornelpin.http1.client import HttpConnection
from cornelpin.platform import read_response
from cornelpin.scheduling.server_health import PAUSE_SPREAD, ServerHealth
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until

if TYPE_CHECKING:
    from standins.fleet.server import FleetServer


def caller_address(entry: Entry) -> tuple[str, int]:
    return entry._settings.callers


def health(entry: Entry, server_id: str) -> ServerHealth:
    servers = entry.state.servers.all(asyncio.get_running_loop().time())
    return entry.scheduler.dispatcher.health(servers[server_id])


def is_known_to_leave(entry: Entry, server_id: str) -> bool:
    servers = entry.state.servers.all(asyncio.get_running_loop().time())
    return server_id not in servers or servers[server_id].leaving


async def ask(entry: Entry, times: int, path: str = "/safe/x") -> list[int]:
    return [(await fetch(caller_address(entry), path)).status for _ in range(times)]


async def reach(entry: Entry, server: FleetServer, path: str = "/safe/x") -> None:
    """Sends more requests at once than one server has slots, until one reaches it.

    Which of two idle servers gets a request depends on their ids.
    """
    while not server.arrivals:
        at_once = await asyncio.gather(*(ask(entry, 1, path) for _ in range(6)))
        assert at_once == [[200]] * 6


async def wait_until_connected(harness: Harness) -> None:
    await until(
        lambda: all(e.peers.count == len(harness.entries) for e in harness.entries)
    )


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
def test_server_that_says_it_leaves_gets_no_more_requests(path: str) -> None:
    async def scenario() -> None:
        async with run_harness(entries=2, servers=2) as harness:
            await wait_until_connected(harness)
            leaving, stays = harness.servers
            leaving.behaviour.answer_s = stays.behaviour.answer_s = 0.02
            leaving.behaviour.leaving = True
            entry, other = harness.entries
            await reach(entry, leaving, path)
            # The other entry learns it from this one.
            await until(
                lambda: any(
                    s.leaving
                    for s in other.state.servers.all(
                        asyncio.get_running_loop().time()
                    ).values()
                ),
                0.5,
            )
            before = len(leaving.requests)
            # The store may say so later, or list a stale state.
            harness.store.put("servers", leaving.id, leaving.store_spec() | {"seq": 2})
            await asyncio.sleep(0.2)
            for each in harness.entries:
                assert await ask(each, 20, path) == [200] * 20
            assert len(leaving.requests) == before
            assert len(stays.requests) >= 40

    asyncio.run(scenario())


def test_entry_that_starts_later_knows_which_servers_leave() -> None:
    """Guards against requests to a server that leaves, after a restart of an entry.

    The store may list the server as ready for a while.
    """

    async def scenario() -> None:
        async with run_harness(entries=2, servers=2) as harness:
            await wait_until_connected(harness)
            leaving, stays = harness.servers
            stays.behaviour.answer_s = 0.02
            leaving.behaviour.leaving = True
            await reach(harness.entries[0], leaving)
            before = len(leaving.requests)
            started = await harness.add_entry()
            await wait_until_connected(harness)
            await until(lambda: is_known_to_leave(started, leaving.id), 0.5)
            assert await ask(started, 20) == [200] * 20
            assert len(leaving.requests) == before

    asyncio.run(scenario())


def test_request_is_not_sent_to_a_server_that_left_while_it_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            entry = harness.entries[0]
            opened = HttpConnection.open
            left: list[FleetServer] = []
            # The store's connections are opened in the same way.
            addresses = {s.server.address: s for s in harness.servers}

            async def open_slowly(address: tuple[str, int]) -> HttpConnection:
                server = addresses.get(address)
                if server is not None and not left:
                    left.append(server)
                    spec = server.store_spec("draining")
                    harness.store.put("servers", server.id, spec)
                    await until(lambda: is_known_to_leave(entry, server.id))
                return await opened(address)

            monkeypatch.setattr(HttpConnection, "open", open_slowly)
            status = (await fetch(caller_address(entry), "/unsafe/x")).status
            assert status == 200
            assert not left[0].runs
            assert health(entry, left[0].id).failure_rate == 0.0

    asyncio.run(scenario())


def test_rejection_of_a_leaving_server_counts_as_a_notice() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            leaving, other = harness.servers
            other.behaviour.answer_s = 0.02
            leaving.behaviour.leaving = True
            leaving.behaviour.fault = "full"
            entry = harness.entries[0]
            await reach(entry, leaving)
            before = len(leaving.arrivals)
            assert await ask(entry, 20) == [200] * 20
            assert len(leaving.arrivals) == before

    asyncio.run(scenario())


def test_restarted_server_is_another_one() -> None:
    async def scenario() -> None:
        async with run_harness(servers=1) as harness:
            (server,) = harness.servers
            server.behaviour.leaving = True
            entry = harness.entries[0]
            assert await ask(entry, 1) == [200]
            server.behaviour.leaving = False
            spec = server.store_spec() | {"born": 5}
            harness.store.put("servers", server.id, spec)
            await asyncio.sleep(0.3)
            assert await ask(entry, 5) == [200] * 5

    asyncio.run(scenario())


def test_requests_for_the_last_server_that_leaves_are_refused_as_not_run() -> None:
    async def scenario() -> None:
        async with run_harness(servers=1) as harness:
            (server,) = harness.servers
            server.behaviour.leaving = True
            entry = harness.entries[0]
            assert await ask(entry, 1) == [200]
            refused = await fetch(caller_address(entry), "/safe/x")
            assert refused.status == 503
            assert "retry-after" in refused.headers
            assert len(server.requests) == 1

    asyncio.run(scenario())


def test_server_that_asks_for_a_pause_gets_none_until_its_end() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            paused, other = harness.servers
            other.behaviour.answer_s = 0.02
            paused.behaviour.fault, paused.behaviour.pause = "full", "1.5"
            entry = harness.entries[0]
            loop = asyncio.get_running_loop()
            # The requests themselves are sent to the other server.
            await reach(entry, paused)
            (first, _), (last, _) = paused.arrivals[0], paused.arrivals[-1]
            paused.behaviour.fault = ""
            assert not health(entry, paused.id).failure_rate
            while loop.time() < last + 1.5 * (1 + PAUSE_SPREAD) + 0.1:
                assert await ask(entry, 1) == [200]
                await asyncio.sleep(0.01)
            assert not [t for t, _ in paused.arrivals if last < t < first + 1.5]
            # More requests at once than the other server has slots.
            other.behaviour.answer_s = 0.2
            at_once = await asyncio.gather(*(ask(entry, 1) for _ in range(6)))
            assert at_once == [[200]] * 6
            assert paused.requests

    asyncio.run(scenario())


PAUSES = [
    # Status, Retry-After, pause in seconds, whether the value is logged as bad.
    (503, "2", 2.0, False),
    (503, "0.25", 0.25, False),
    (503, "0", 0.0, False),
    (503, None, None, False),
    (200, "2", None, False),
    (429, "2", None, False),
    (503, "-1", None, True),
    (503, "soon", None, True),
    (503, "nan", None, True),
    (503, "inf", None, True),
    (503, "Fri, 04 Dec 2026 10:00:00 GMT", None, True),
    (503, "1e9", 300.0, True),
    (503, "", None, True),
]


@pytest.mark.parametrize(("status", "text", "pause_s", "bad"), PAUSES)
def test_pause_is_decoded(
    status: int, text: str | None, pause_s: float | None, bad: bool
) -> None:
    headers: list[tuple[bytes, bytes]] = []
    if text is not None:
        headers.append((b"retry-after", text.encode()))
    info = read_response(status, headers)
    assert info.pause_s == pause_s
    assert bool(info.bad_pause) is bad or not text


@pytest.mark.parametrize(
    ("headers", "leaving"),
    [
        ([(b"server-leaving", b"1")], True),
        ([(b"server-leaving", b"0")], False),
        ([(b"server-leaving", b"yes")], False),
        ([], False),
    ],
)
def test_notice_is_decoded(headers: list[tuple[bytes, Any]], leaving: bool) -> None:
    assert read_response(200, headers).leaving is leaving


@pytest.mark.parametrize("value", ["soon", "1e9"])
def test_bad_pause_is_logged_once(value: str, monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        "cornelpin.gateway.scheduler.logs.warning",
        lambda name, **fields: logged.append(name),
    )

    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            paused, other = harness.servers
            other.behaviour.answer_s = 0.02
            paused.behaviour.fault, paused.behaviour.pause = "full", value
            await reach(harness.entries[0], paused)
            assert await ask(harness.entries[0], 20) == [200] * 20

    asyncio.run(scenario())
    assert logged.count("server.bad_pause") == 1


def test_entries_return_at_different_times() -> None:
    ends = set()
    for tenth in range(10):
        record = ServerHealth()
        assert record.pause(100.0, 2.0, tenth / 10)
        assert not record.pause(100.0, 1.0, tenth / 10)
        assert record.is_paused(101.9)
        assert not record.is_paused(102.0 + 2.0 * PAUSE_SPREAD)
        ends.add(record.paused_until)
    assert len(ends) == 10
