"""Memory, connections and turns that the clients of a process share."""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import TYPE_CHECKING

import attrs
import pytest

from cornelpin.gateway.logs import MAX_QUEUED_BYTES, MAX_QUEUED_LINES, LineWriter
from cornelpin.gateway.pool import ConnectionPool
from cornelpin.gateway.resources import allot
from cornelpin.gateway.senders import USE, Senders
from cornelpin.http1.client import ConnectionFailed, HttpConnection
from cornelpin.http1.connections import STALL_S, OpenConnections
from cornelpin.http1.memory import Account, MemoryBudget, NoMemory
from cornelpin.http1.messages import BLOCK_BYTES, BodyBuffer, HeadBuffer
from cornelpin.http1.pacing import TurnGate
from cornelpin.platform import load_host_settings
from cornelpin.tests.fleet_client import fetch, request
from cornelpin.tests.gateway_harness import Harness, run_harness, until
from cornelpin.tests.scheduling_harness import make_server

if TYPE_CHECKING:
    from pathlib import Path

KIB = 1_024
LIMIT = 1_000 * KIB
OTHER_SOCKETS = 16
"""Sockets that listen or are connected to the store."""


@attrs.define(eq=False)
class Conn:
    """A connection that records what is done to it."""

    account: Account
    progress_at: float = 0.0
    evicted: bool = False
    aborted: bool = False
    moves: bool = False

    def check_progress(self) -> None:
        if self.moves:
            self.progress_at = time.monotonic()

    def evict(self) -> None:
        self.evicted = True

    def abort(self) -> None:
        self.aborted = True


def make_conn(budget: MemoryBudget, size: int = 0, stalled_s: float = 0.0) -> Conn:
    conn = Conn(Account(budget), time.monotonic() - stalled_s)
    conn.account.set("body", size)
    return conn


@pytest.mark.parametrize(
    ("used", "size", "granted"),
    [
        (0, 700 * KIB, True),
        (0, 800 * KIB, False),
        (700 * KIB, 100 * KIB, False),
        (800 * KIB, 60 * KIB, True),
        (950 * KIB, 60 * KIB, False),
    ],
)
def test_small_reservations_have_room_beside_large_ones(
    used: int, size: int, granted: bool
) -> None:
    budget = MemoryBudget(LIMIT)
    budget.charge("body", used)
    assert budget.try_reserve("body", size) is granted


def test_reservations_wait_and_small_ones_go_first() -> None:
    async def scenario() -> None:
        budget = MemoryBudget(LIMIT)
        budget.charge("body", LIMIT)
        order: list[int] = []

        async def reserve(size: int) -> None:
            await budget.reserve("body", size, wait_s=5.0)
            order.append(size)

        sizes = [500 * KIB, 10 * KIB, 200 * KIB]
        tasks = [asyncio.ensure_future(reserve(size)) for size in sizes]
        await asyncio.sleep(0)
        budget.charge("body", -LIMIT)
        await asyncio.gather(*tasks)
        assert order == sorted(sizes)
        assert budget.used == sum(sizes)

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ["timeout", "cancelled", "cancelled_when_granted"])
def test_reservation_that_is_not_used_holds_nothing(end: str) -> None:
    async def scenario() -> None:
        budget = MemoryBudget(LIMIT)
        budget.charge("other", LIMIT)
        wait_s = 0.01 if end == "timeout" else 5.0
        task = asyncio.ensure_future(budget.reserve("body", KIB, wait_s=wait_s))
        await asyncio.sleep(0)
        if end == "cancelled_when_granted":
            budget.charge("other", -LIMIT)
        if end != "timeout":
            task.cancel()
        with pytest.raises(NoMemory if end == "timeout" else asyncio.CancelledError):
            await task
        assert budget.by_use["body"] == 0
        assert budget.refused == (end == "timeout")

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("stalled_s", "moves", "evicted"),
    [(2 * STALL_S, False, True), (2 * STALL_S, True, False), (0.0, False, False)],
)
def test_what_makes_no_progress_ends_for_others(
    stalled_s: float, moves: bool, evicted: bool
) -> None:
    budget = MemoryBudget(LIMIT)
    conns = OpenConnections(10)
    conn = make_conn(budget, 500 * KIB, stalled_s)
    conn.moves = moves
    conns.add(conn)
    assert bool(conns.evict_stalled(100 * KIB)) is evicted
    assert conn.evicted is evicted


def test_connection_without_progress_for_longest_is_closed_for_a_new_one() -> None:
    budget = MemoryBudget(LIMIT)
    conns = OpenConnections(3)
    served, oldest, newest, more, last = (make_conn(budget) for _ in range(5))
    for conn in (served, oldest, newest):
        assert conns.add(conn)
    conns.serve(served)
    conns.wait_for_client(oldest)
    assert conns.add(more)
    assert [c.aborted for c in (served, oldest, newest)] == [False, False, True]
    for conn in (oldest, more):
        conns.serve(conn)
    assert not conns.add(last)
    assert not any(c.aborted for c in (served, oldest, more))


@pytest.mark.parametrize(
    ("parts", "head_bytes", "fields"),
    [
        ([b"GET / HTTP/1.1\r\nA:b\r\n\r\nbody\n"], 23, 3),
        ([b"GET / HTTP/1.1\n", b"A:b\n", b"\n"], 20, 3),
        ([b"GET / HTTP/1.1\r", b"\n", b"\r", b"\n"], 18, 2),
        ([b"\x16\x03\x01"], 1, 0),
        ([b"\r\nGET"], 1, 0),
        ([b"GET / HTTP/1.1\r\nA:b\r\n"], None, None),
    ],
)
def test_end_of_a_head(
    parts: list[bytes], head_bytes: int | None, fields: int | None
) -> None:
    head = HeadBuffer()
    for part in parts:
        assert not head.complete()
        head.feed(part)
    assert head.complete() is (head_bytes is not None)
    if head_bytes is not None:
        assert (head.head_bytes, head.fields) == (head_bytes, fields)
    assert head.take() == b"".join(parts)
    assert not head.complete()


@pytest.mark.parametrize("part_bytes", [1, 700, BLOCK_BYTES, 3 * BLOCK_BYTES])
def test_body_is_kept_in_few_parts(part_bytes: int) -> None:
    body = BodyBuffer()
    data = os.urandom(4 * BLOCK_BYTES + 5)
    for start in range(0, len(data), part_bytes):
        body.feed(data[start : start + part_bytes])
    parts = body.take()
    assert b"".join(parts) == data
    assert len(parts) <= 6


def test_costly_work_takes_turns() -> None:
    async def scenario() -> None:
        gate = TurnGate()
        turns: list[str] = []

        async def work(name: str) -> None:
            for _ in range(3):
                async with gate:
                    turns.append(name)
                    time.sleep(0.002)  # noqa: ASYNC251

        async def others() -> None:
            while len(turns) < 6:
                if turns and turns[-1] != "other":
                    turns.append("other")
                await asyncio.sleep(0)

        left = asyncio.ensure_future(work("left"))
        tasks = [asyncio.ensure_future(work(name)) for name in ("a", "b")]
        await asyncio.sleep(0)
        left.cancel()
        await asyncio.wait_for(asyncio.gather(*tasks, others()), 5)
        assert "other" in turns
        work_turns = [t for t in turns if t in {"a", "b"}]
        assert sorted(work_turns) == ["a"] * 3 + ["b"] * 3

    asyncio.run(scenario())


def test_lines_that_nobody_reads_are_dropped() -> None:
    """Guards against a process that keeps what it can't write."""
    reader, fd = os.pipe()
    os.set_blocking(fd, False)
    writer = LineWriter(fd)
    line = b"x" * 4_000 + b"\n"
    for second in range(3 * MAX_QUEUED_LINES // 400):
        writer._second = -second
        for _ in range(400):
            writer.put(line)
    assert writer.dropped
    assert len(writer._unwritten) <= MAX_QUEUED_BYTES + len(line)
    os.close(reader)
    os.close(fd)


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "callers"), [(150, 4_100, 720), (96, 600, 160)]
)
def test_descriptors_are_left_for_others(
    memory_mb: int, max_fds: int, callers: int, tmp_path: Path
) -> None:
    fields = {
        "limits": {"memory_mb": memory_mb, "max_fds": max_fds},
        "provider": {"address": "127.0.0.1:1"},
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(Harness().settings(0, **fields)))
    resources = allot(load_host_settings(str(path)))
    assert resources.callers.connections.limit == callers
    listeners = (resources.ready, resources.metrics)
    held = callers + resources.transfers.limit
    held += sum(listener.connections.limit for listener in listeners)
    assert held <= 0.8 * (max_fds - 200)
    # Each request of a caller may need a connection to a server.
    assert resources.server_connections >= callers
    assert held + resources.server_connections <= max_fds - 200 - OTHER_SOCKETS


@pytest.mark.parametrize(("limit", "kept"), [(None, [True, True]), (2, [False, True])])
def test_idle_connection_to_a_server_is_closed_for_a_new_one(
    limit: int | None, kept: list[bool], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def open_connection(address: tuple[str, int]) -> HttpConnection:
        return HttpConnection()

    async def scenario() -> None:
        pool = ConnectionPool(limit)
        leases = [await pool.acquire(make_server(name), "r") for name in "ab"]
        for lease in leases:
            pool.release(lease, 60.0)
        await pool.acquire(make_server("c"), "r")
        assert [lease.conn.reusable for lease in leases] == kept
        assert pool.open == 3
        leases[0].conn.connection_lost(None)
        assert pool.open == 2

    monkeypatch.setattr(HttpConnection, "open", open_connection)
    asyncio.run(scenario())


def test_connections_that_fail_to_open_do_not_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail(address: tuple[str, int]) -> HttpConnection:
        raise ConnectionFailed("refused", refused=True)

    async def scenario() -> None:
        pool = ConnectionPool(2)
        with pytest.raises(ConnectionFailed):
            await pool.acquire(make_server("a"), "r")
        assert pool.open == 0

    monkeypatch.setattr(HttpConnection, "open", fail)
    asyncio.run(scenario())


def test_unlisted_senders_share_a_part_of_the_memory() -> None:
    memory = MemoryBudget(LIMIT)
    senders = Senders(memory)
    senders.add(["entry"])
    assert not senders.listing_due
    heard = sum(senders.admit(f"other-{number}", KIB) for number in range(100))
    assert 0 < heard < 10
    assert senders.dropped == 100 - heard
    assert memory.by_use[USE] <= LIMIT / 10
    assert all(senders.admit("entry", KIB) for _ in range(100))
    assert senders.listing_due
    senders.begin_listing()
    assert not senders.listing_due
    senders.add(f"other-{number}" for number in range(heard))
    assert memory.used == 0
    assert senders.admit("other-0", KIB)
    assert senders.admit("another", KIB)


def test_unlisted_senders_are_dropped_while_memory_is_short() -> None:
    memory = MemoryBudget(LIMIT)
    senders = Senders(memory)
    memory.charge("body", LIMIT)
    assert not senders.admit("other", KIB)
    memory.charge("body", -LIMIT)
    assert senders.admit("other", KIB)


def test_large_body_is_not_copied_on_its_way() -> None:
    """Guards against requests whose parts are joined, which doubles their memory."""

    async def scenario() -> None:
        limits = {
            "max_header_bytes": 4_096,
            "max_body_bytes": 4_000_000,
            "header_timeout_ms": 400,
            "idle_timeout_ms": 1_000,
        }
        async with run_harness(limits=limits) as harness:
            body = os.urandom(3_000_000)
            address = harness.entries[0]._settings.callers
            response = await fetch(address, "/safe/x", method="POST", body=body)
            assert response.status == 200
            assert harness.servers[0].requests[-1].body == body
            account = harness.entries[0].resources.memory
            assert account.by_use["body"] == account.by_use["head"] == 0

    asyncio.run(scenario())


LEAVING = {
    "silent": b"",
    "within a head": b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\n",
    "within a body": request("/safe/x", method="POST", body=b"x" * 15_000)[:-1],
    "within chunks": request(
        "/safe/x", method="POST", headers={"Transfer-Encoding": "chunked"}
    )
    + b"9\r\n123",
    "unread": request("/safe/x"),
    "unread, to be closed": request("/safe/x", headers={"Connection": "close"}),
    "sent ahead": request("/safe/x") * 50,
    "refused": b"GET / HTTP/9\r\n\r\n" + b"x" * 30_000,
}


@pytest.mark.parametrize("sent", LEAVING.values(), ids=LEAVING)
def test_clients_that_leave_hold_nothing(sent: bytes) -> None:
    """Guards against a budget that shrinks with each client that leaves."""

    async def scenario() -> None:
        async with run_harness() as harness:
            body = b"x" * 6_000_000
            head = b"HTTP/1.1 200 X\r\n%%s\r\nContent-Length: %d\r\n\r\n" % len(body)
            harness.servers[0].behaviour.raw = head + body, "keep"
            resources = harness.entries[0].resources
            writers = []
            for _ in range(5):
                _, writer = await asyncio.open_connection(
                    *harness.entries[0]._settings.callers, limit=1
                )
                writer.write(sent)
                writers.append(writer)
            await asyncio.sleep(0.7)
            for writer in writers:
                writer.transport.abort()
            await until(lambda: not len(resources.callers.connections))
            await until(lambda: not resources.memory.used)
            assert not any(resources.memory.by_use.values())

    asyncio.run(scenario())
