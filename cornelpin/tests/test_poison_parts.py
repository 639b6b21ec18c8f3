"""Parts of prompts that crash every server which answers a request with them."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry

MAX_CRASHES = 5
"""Crashes after which the platform expects an end of them."""
MAX_FURTHER = 3
"""Requests that may still reach servers then."""

_numbers = itertools.count()


async def stream(entry: Entry, *parts: str) -> Response:
    """Sends a request whose content is unlike all others, but for shared parts."""
    own = f"own-{next(_numbers)}"
    prefix = ",".join(f"{part}:60" for part in (*parts, own))
    return await fetch(
        entry._settings.callers,
        "/stream/x",
        method="POST",
        body=own.encode(),
        headers={"Prompt-Prefix": prefix},
    )


async def start(harness: Harness) -> None:
    """Waits for the entries to hear each other; lets a part crash all servers."""
    await until(
        lambda: all(e.peers.count == len(harness.entries) for e in harness.entries)
    )
    for server in harness.servers:
        server.behaviour.crash_part = "bad"
        server.behaviour.gap_s = 0.01


def crashes(harness: Harness) -> int:
    return sum(len(server.crashes) for server in harness.servers)


def test_part_that_crashes_servers_stops_reaching_them() -> None:
    async def scenario() -> None:
        async with run_harness(entries=3, servers=4) as harness:
            await start(harness)
            for number in range(16):
                entry = harness.entries[number % 3]
                response = await stream(entry, "common", "bad")
                assert response.status in {502, 503}
                await asyncio.sleep(0.05)
            assert crashes(harness) <= MAX_CRASHES + MAX_FURTHER
            # Ejected servers are tried again after some seconds.
            await asyncio.sleep(2.5)
            for entry in harness.entries:
                assert (await stream(entry, "common")).status == 200

    asyncio.run(scenario())
