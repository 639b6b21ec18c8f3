"""Entries that start, or miss messages, learn which contents crash servers."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until
from standins.fleet.server import FleetServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornelpin.gateway.app import Entry
    from standins.fleet.raw_http import RawRequest

POISON = b"a content that crashes servers"
CONTACT_S = 3.0
"""The platform's ``contact_ms``, within which an entry learns what others know."""
SETTLED_S = 3.2


class CrashingServer(FleetServer):
    """A server that crashes when it gets a certain content."""

    def _crashes_on(self, req: RawRequest) -> bool:
        return req.body == POISON


async def add_crashing_servers(harness: Harness) -> None:
    for _ in range(4):
        server = CrashingServer("app", slots=8)
        await server.start()
        harness.servers.append(server)

        def register(server: FleetServer = server) -> None:
            harness.store.put("servers", server.id, server.store_spec())

        register()
        server.on_crash = register
        server.behaviour.down_s = 0.3


def crashes(harness: Harness) -> int:
    return sum(len(server.crashes) for server in harness.servers)


async def send(entry: Entry) -> Response:
    address = entry._settings.callers
    return await fetch(address, "/stream/x", method="POST", body=POISON)


async def crash_three(harness: Harness, entry: Entry) -> None:
    """Sends the content until it is quarantined."""
    async with asyncio.timeout(10.0):
        while crashes(harness) < 3:
            await send(entry)
            await asyncio.sleep(0.4)
    await until(lambda: bool(entry.state.poison_detector.quarantined))


def knows(entry: Entry) -> bool:
    return bool(entry.state.poison_detector.quarantined)


@pytest.mark.parametrize(
    ("others", "zone"), [(1, "here"), (3, "here"), (1, "there"), (3, "there")]
)
def test_entry_that_starts_rejects_quarantined_contents(others: int, zone: str) -> None:
    """Guards against servers that crash again for each entry that is restarted."""

    async def scenario() -> None:
        async with run_harness(entries=0, servers=0) as harness:
            await add_crashing_servers(harness)
            for _ in range(others):
                await harness.add_entry()
            await asyncio.sleep(SETTLED_S)
            await crash_three(harness, harness.entries[0])
            started = await harness.add_entry(zone=zone)
            await until(lambda: knows(started), CONTACT_S)
            before = crashes(harness)
            assert (await send(started)).status == 503
            assert crashes(harness) == before

    asyncio.run(scenario())


@contextlib.contextmanager
def deafened(entry: Entry) -> Iterator[None]:
    """Loses all messages of the other entries to this one."""
    entry.peers.datagram_received = lambda data, addr: None  # type: ignore[method-assign]
    try:
        yield
    finally:
        del entry.peers.datagram_received


@pytest.mark.parametrize("zone", ["here", "there"])
@pytest.mark.parametrize("cut_off_s", [0.0, 2.5])
def test_entry_that_missed_the_crashes_rejects_their_content(
    cut_off_s: float, zone: str
) -> None:
    """Guards against servers that crash for an entry that lost some messages."""

    async def scenario() -> None:
        async with run_harness(entries=0, servers=0) as harness:
            await add_crashing_servers(harness)
            for _ in range(2):
                await harness.add_entry()
            deaf = await harness.add_entry(zone=zone)
            await asyncio.sleep(SETTLED_S)
            first = harness.entries[0]
            with deafened(deaf):
                await crash_three(harness, first)
                await asyncio.sleep(cut_off_s)
            assert not knows(deaf)
            await until(lambda: knows(deaf), CONTACT_S)
            before = crashes(harness)
            assert (await send(deaf)).status == 503
            assert crashes(harness) == before

    asyncio.run(scenario())
