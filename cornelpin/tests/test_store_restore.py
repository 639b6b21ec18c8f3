"""Entries beside a store that was restored from a copy some seconds old."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from cornelpin.gateway.app import ENTRY_KIND, Entry
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, config, route, run_harness, until

IN_FORCE_S = 2.0
"""Time after a restore within which everything is in force again."""


def caller_address(entry: Entry) -> tuple[str, int]:
    return entry._settings.callers


def version(entry: Entry) -> int:
    return entry.state.config.version if entry.state.config is not None else -1


def usable(entry: Entry) -> set[str]:
    """Returns the ids of the servers that the entry may use."""
    servers = entry.state.servers.all(asyncio.get_running_loop().time())
    return {server.id for server in servers.values() if not server.leaving}


async def wait_until_connected(harness: Harness) -> None:
    await until(
        lambda: all(e.peers.count == len(harness.entries) for e in harness.entries)
    )


def run(
    scenario: Callable[[Harness], Coroutine[Any, Any, None]], **fields: Any
) -> None:
    async def run_scenario() -> None:
        async with run_harness(**fields) as harness:
            await wait_until_connected(harness)
            await scenario(harness)

    asyncio.run(run_scenario())


def write_config(harness: Harness, number: int) -> None:
    routes = [*config()["routes"], route(f"/v{number}/", "safe")]
    harness.store.put("config", "main", config(number, routes=routes))


async def lose_ten_changes(harness: Harness) -> None:
    """Restores the store from a copy that lacks ten changes of each kind."""
    harness.store.keep_copy()
    for number in range(3, 13):
        write_config(harness, number)
        server = harness.servers[0]
        spec = server.store_spec() | {"cold_left_ms": number}
        harness.store.put("servers", server.id, spec)
    await in_force(harness, 12, 1.0)
    await asyncio.sleep(0.3)
    harness.store.restore()


async def in_force(harness: Harness, number: int, timeout_s: float) -> None:
    await until(
        lambda: all(version(entry) == number for entry in harness.entries), timeout_s
    )


def test_configuration_lost_in_a_restore_stays_in_force() -> None:
    async def scenario(harness: Harness) -> None:
        harness.store.keep_copy()
        for number in (5, 7, 9):
            write_config(harness, number)
        await in_force(harness, 9, 1.0)
        harness.store.restore()
        for _ in range(10):
            await asyncio.sleep(0.1)
            for entry in harness.entries:
                assert (await fetch(caller_address(entry), "/v9/x")).status == 200
        # The operator writes again what it had written, and goes on.
        write_config(harness, 9)
        await asyncio.sleep(0.1)
        write_config(harness, 10)
        await in_force(harness, 10, IN_FORCE_S)

    run(scenario, entries=2)


def test_new_objects_are_seen_though_their_revisions_are_low() -> None:
    """Guards against caches that wait until revisions pass those of the lost history.

    Ten changes are lost, so the next one has a lower revision than the caches.
    """

    async def scenario(harness: Harness) -> None:
        await lose_ten_changes(harness)
        write_config(harness, 20)
        added = await harness.add_server()
        await in_force(harness, 20, IN_FORCE_S)
        await until(
            lambda: all(added.id in usable(entry) for entry in harness.entries),
            IN_FORCE_S,
        )

    run(scenario, entries=2)


def test_entry_without_store_access_copies_the_restored_state() -> None:
    """Guards against a peer's copy that is refused for its lower revision."""

    async def scenario(harness: Harness) -> None:
        harness.entries[1].store._address = ("127.0.0.1", 1)
        await lose_ten_changes(harness)
        added = await harness.add_server()
        await until(lambda: added.id in usable(harness.entries[1]), 3.0)

    run(scenario, entries=2)


def test_entry_started_beside_a_restored_store_gets_the_lost_configuration() -> None:
    async def scenario(harness: Harness) -> None:
        harness.store.keep_copy()
        write_config(harness, 9)
        await in_force(harness, 9, 1.0)
        harness.store.restore()
        await asyncio.sleep(0.2)
        started = await harness.add_entry()
        await until(lambda: version(started) == 9, IN_FORCE_S)
        assert (await fetch(caller_address(started), "/v9/x")).status == 200

    run(scenario, entries=1)


def test_server_that_has_left_does_not_come_back() -> None:
    async def scenario(harness: Harness) -> None:
        left, stays = harness.servers
        harness.store.keep_copy()
        harness.store.put("servers", left.id, left.store_spec("draining"))
        await until(lambda: usable(harness.entries[0]) == {stays.id}, 1.0)
        harness.store.remove("servers", left.id)
        harness.store.restore()
        for _ in range(10):
            await asyncio.sleep(0.1)
            assert usable(harness.entries[0]) == {stays.id}
        # Another incarnation is another server.
        spec = left.store_spec() | {"born": 77}
        harness.store.put("servers", left.id, spec)
        await until(
            lambda: usable(harness.entries[0]) == {left.id, stays.id}, IN_FORCE_S
        )

    run(scenario, servers=2)


def test_servers_are_used_until_they_register_again() -> None:
    """Guards against requests without any server after all registrations are lost."""

    async def scenario(harness: Harness) -> None:
        harness.store.keep_copy()
        added = [await harness.add_server() for _ in range(3)]
        old = harness.servers[0]
        harness.store.remove("servers", old.id)
        ids = {server.id for server in added}
        await until(lambda: ids <= usable(harness.entries[0]), 1.0)
        harness.store.restore()
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert ids <= usable(harness.entries[0])
        for server in added:
            harness.store.put("servers", server.id, server.store_spec())
        await asyncio.sleep(1.5)
        assert ids <= usable(harness.entries[0])

    run(scenario)


def test_lost_registration_is_written_again_once() -> None:
    async def scenario(harness: Harness) -> None:
        await until(lambda: "front-0" in harness.store.objects(ENTRY_KIND))
        harness.store.keep_copy()
        await harness.add_entry()
        await until(lambda: "front-1" in harness.store.objects(ENTRY_KIND))
        harness.store.restore()
        assert "front-1" not in harness.store.objects(ENTRY_KIND)
        await until(lambda: "front-1" in harness.store.objects(ENTRY_KIND), 3.0)
        await asyncio.sleep(1.5)
        assert len(harness.store.history(ENTRY_KIND)) == 2

    run(scenario)


@pytest.mark.parametrize("outage_s", [0.0, 0.3, 1.5])
def test_no_request_fails_by_a_restore(outage_s: float) -> None:
    async def scenario(harness: Harness) -> None:
        harness.store.keep_copy()
        write_config(harness, 9)
        await in_force(harness, 9, 1.0)
        statuses: list[int] = []

        async def ask() -> None:
            for number in range(100):
                entry = harness.entries[number % 2]
                statuses.append((await fetch(caller_address(entry), "/v9/x")).status)
                await asyncio.sleep(0.02)

        asking = asyncio.create_task(ask())
        await asyncio.sleep(0.2)
        harness.store.go_silent()
        harness.store.reset_connections()
        await asyncio.sleep(outage_s)
        harness.store.mode = "up"
        harness.store.restore()
        await asking
        assert set(statuses) == {200}

    run(scenario, entries=2, servers=2)
