"""Time from the acknowledgement of a configuration until all entries have it."""

from __future__ import annotations

import asyncio

import pytest

from cornelpin.tests.gateway_harness import Harness, config, run_harness, until

LONGEST_S = 1.0
"""Half of the platform's bound (``config_ms``)."""


def version(harness: Harness) -> int:
    """Returns the oldest version in force at any entry."""
    return min(e.state.config.version for e in harness.entries if e.state.config)


async def change(harness: Harness, first: int, count: int = 1) -> None:
    """Stores versions in quick succession; waits until all entries have the last."""
    for number in range(first, first + count):
        harness.store.put("config", "main", config(number))
        await asyncio.sleep(0.01)
    await until(lambda: version(harness) == first + count - 1, LONGEST_S)


@pytest.mark.parametrize("entries", [2, 6])
def test_configuration_is_not_left_to_peers_that_have_reached_other_kinds(
    entries: int,
) -> None:
    """Guards against entries that each wait for another one to call the store.

    The store rejects calls for one kind of objects for a while and answers the others.
    """

    async def scenario() -> None:
        async with run_harness(entries=entries) as harness:
            await until(
                lambda: all(e.peers.count == entries for e in harness.entries), 3.0
            )
            harness.store.rejected_kinds.add("config")
            harness.store.reset_connections()
            await asyncio.sleep(0.6)
            server = harness.servers[0]
            harness.store.put("servers", server.id, server.store_spec() | {"seq": 2})
            await asyncio.sleep(0.5)
            harness.store.rejected_kinds.clear()
            await change(harness, 10, count=10)

    asyncio.run(scenario())


@pytest.mark.parametrize("outage_s", [5.2, 5.6, 6.0, 6.4, 6.8, 7.2, 7.6, 8.0])
def test_burst_of_changes_after_a_silent_outage_is_in_force_in_time(
    outage_s: float,
) -> None:
    """Guards against the same, wherever the calls are at the end of the outage."""

    async def scenario() -> None:
        async with run_harness(entries=6) as harness:
            await until(lambda: all(e.peers.count == 6 for e in harness.entries), 3.0)
            harness.store.go_silent()
            await asyncio.sleep(outage_s)
            harness.store.mode = "up"
            await change(harness, 10, count=10)

    asyncio.run(scenario())
