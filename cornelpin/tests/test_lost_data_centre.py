"""One of three data centres is lost at once, with its entries and its servers."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest

from benchmarks.fault_soak.clients import Clients
from benchmarks.fault_soak.fleet import EntryProcess, Fleet
from cornelpin.gateway.peers import PEER_EXPIRY_S
from cornelpin.tests.gateway_harness import FIRST_PORT, PORTS_PER_WORKER
from cornelpin.tests.test_limited_servers import (
    MAX_EXTRA,
    MAX_FACTOR,
    WINDOW_S,
    arrivals_after,
    most_in_window,
)
from standins.fleet.server import FleetServer

Lose = Callable[[Fleet, list[EntryProcess]], Awaitable[None]]

_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw9").removeprefix("gw"))
# The range of test_fault_soak.py, which the same worker runs at another time.
PORT = FIRST_PORT + PORTS_PER_WORKER * (_worker + 1) - 10
LOST, *REMAINING = ("east", "north", "south")
SERVES_S = 3.0
"""Time after the loss in which requests may be refused."""
USED_SHARE = 0.8
"""Part of a limit that is used at least while there is more load."""
LIMIT_PER_S = 6.0
QUOTA_PER_S = 5.0
"""Plain requests per second of the workspace ``small``."""
QUOTA_BURST = 5.0
QUOTA_OVERAGE = 1.1


async def processes_end(fleet: Fleet, entries: list[EntryProcess]) -> None:
    """Ends all processes; connections are reset and refused."""
    for entry in entries:
        entry.kill()
    for server in lost_servers(fleet):
        await fleet.proxies[server.id].stop()


async def cut_off(fleet: Fleet, entries: list[EntryProcess]) -> None:
    """Lets everything there fall silent; connections stay open."""
    for entry in entries:
        entry.signal(signal.SIGSTOP)
    for server in lost_servers(fleet):
        fault = fleet.proxies[server.id].fault
        fault.drop_to_server = fault.drop_from_server = True


def lost_servers(fleet: Fleet) -> list[FleetServer]:
    return [server for server in fleet.servers if server.zone == LOST]


@attrs.define
class Loss:
    """A fleet that has lost a data centre.

    Attributes:
        fleet: The fleet; its entries are the remaining ones.
        clients: Clients of the remaining entries.
        at: Loop time of the loss.
    """

    fleet: Fleet
    clients: Clients
    at: float


@contextlib.asynccontextmanager
async def lose_data_centre(
    lose: Lose,
) -> AsyncIterator[Loss]:
    """Runs six entries before six servers under load, and loses a third of both."""
    fleet = Fleet(entries=6, servers=6, port=PORT, data_centres=(LOST, *REMAINING))
    clients = Clients(fleet, random.Random(3), planned_only=False)
    tasks = []
    lost: list[EntryProcess] = []
    try:
        await fleet.start()
        lost, fleet.entries = (
            fleet.entries[::3],
            fleet.entries[1::3] + fleet.entries[2::3],
        )
        tasks = [asyncio.create_task(clients.run()) for _ in range(12)]
        await asyncio.sleep(2.0)
        at = asyncio.get_running_loop().time()
        await lose(fleet, lost)
        for server in lost_servers(fleet):
            fleet.link_faults.append((server.id, at, float("inf")))
        yield Loss(fleet, clients, at)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        fleet.entries += lost
        await fleet.stop()


async def count_arrivals(servers: list[FleetServer]) -> int:
    """Returns the number of requests that reach some servers in the next window."""
    first = asyncio.get_running_loop().time()
    await asyncio.sleep(WINDOW_S)
    return sum(len(arrivals_after(server, first)) for server in servers)


LOSSES = [processes_end, cut_off]


@pytest.mark.parametrize("lose", LOSSES)
def test_others_serve_on_within_seconds(
    lose: Lose,
) -> None:
    """Also guards against requests that the lost servers ran and that run again."""

    async def scenario() -> None:
        async with lose_data_centre(lose) as loss:
            await asyncio.sleep(SERVES_S + 3.0)
            recent = [
                r
                for r in loss.clients.requests.values()
                if r.sent_at > loss.at + SERVES_S and r.key == "key-blue"
                if r.finished and not r.excused
            ]
            refused = [
                (r.response.status, r.target, round(r.sent_at - loss.at, 1))
                for r in recent
                if r.response.status != 200
            ]
            assert len(recent) > 100
            assert refused == []
            loss.clients.check_runs()
            assert loss.clients.violations == []

    asyncio.run(scenario())


@pytest.mark.parametrize("lose", LOSSES)
def test_permits_and_quotas_of_lost_entries_go_to_the_others(lose: Lose) -> None:
    """The share of a limit that lost entries may use is kept until they expire."""

    async def scenario() -> None:
        async with lose_data_centre(lose) as loss:
            limited = [s for s in loss.fleet.servers if s.zone != LOST]
            for server in limited:
                server.behaviour.limits = (f"{LIMIT_PER_S}",)
            await asyncio.sleep(SERVES_S)
            first = asyncio.get_running_loop().time()
            whole = len(limited) * LIMIT_PER_S * WINDOW_S
            assert await count_arrivals(limited) >= USED_SHARE * whole * 4 / 6
            await asyncio.sleep(PEER_EXPIRY_S - SERVES_S - WINDOW_S + 1.0)
            assert await count_arrivals(limited) >= USED_SHARE * whole
            for server in limited:
                most = most_in_window(arrivals_after(server, loss.at + 1.0))
                assert most <= MAX_FACTOR * LIMIT_PER_S * WINDOW_S + MAX_EXTRA
        served = loss.clients.requests.values()
        used = [
            r
            for r in served
            if r.key == "key-small" and first < r.sent_at < first + WINDOW_S
            if r.response.status == 200
        ]
        assert len(used) >= USED_SHARE * QUOTA_PER_S * WINDOW_S
        most_used = QUOTA_OVERAGE * (QUOTA_PER_S * WINDOW_S + QUOTA_BURST)
        assert len(used) <= most_used

    asyncio.run(scenario())
