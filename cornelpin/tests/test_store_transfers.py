"""Transfers of the store's objects over narrow links."""

from __future__ import annotations

import asyncio
import random

import pytest

from cornelpin.gateway.snapshots import SnapshotServer, fetch_snapshot
from cornelpin.platform import Store
from cornelpin.tests.gateway_harness import Harness, config, route, run_harness, until
from standins.fleet.store import FleetStore
from standins.slow_link import SlowLink

LINK_BYTES_PER_S = 600_000
"""Half of a link of 10 Mbit/s, of which requests take the other half."""
CONFIG_BYTES = 1_000_000
"""Size of a configuration near the platform's limit on a value."""


def large_config(routes: int, version: int = 1) -> dict[str, object]:
    added = [route(f"/added-{n:016x}/", "safe") for n in range(routes)]
    return config(version, routes=[*config()["routes"], *added])


def random_text(size: int) -> str:
    return random.Random(1).randbytes(size // 2).hex()


async def wait_until_connected(harness: Harness) -> None:
    await until(
        lambda: all(e.peers.count == len(harness.entries) for e in harness.entries)
    )


@pytest.mark.parametrize("call", ["list", "watch"])
def test_response_of_the_store_is_not_cut_off_while_it_arrives(call: str) -> None:
    async def scenario() -> None:
        store = FleetStore()
        await store.server.start("127.0.0.1")
        before = store.put("config", "other", {})
        spec = {"text": random_text(CONFIG_BYTES)}
        store.put("config", "main", spec)
        async with SlowLink(store.server.address, LINK_BYTES_PER_S / 2) as link:
            client = Store(link.address)
            if call == "list":
                objects = (await client.list("config")).objects
            else:
                revision = (await client.list("other")).revision
                revision = type(revision)(revision.era, before)
                objects = (await client.watch("config", revision, 0.1)).changes
        assert spec in [stored.spec for stored in objects]
        await store.server.stop()

    asyncio.run(scenario())


def test_copy_is_not_cut_off_while_it_arrives() -> None:
    async def scenario() -> None:
        content = {"config": [1, {"main": [1, random_text(CONFIG_BYTES), None]}]}
        server = SnapshotServer(lambda: content)
        await server.start("127.0.0.1", 0)
        assert server._server is not None
        address = server._server.sockets[0].getsockname()[:2]
        async with SlowLink(address, LINK_BYTES_PER_S) as link:
            fetched = await fetch_snapshot(*link.address)
        assert fetched.snapshot == content
        server.close()

    asyncio.run(scenario())


def test_changed_server_does_not_copy_the_configuration_again() -> None:
    async def scenario() -> None:
        async with run_harness(entries=11) as harness:
            await wait_until_connected(harness)
            harness.store.put("config", "main", large_config(1400, version=2))
            await until(
                lambda: all(
                    e.state.config is not None and e.state.config.version == 2
                    for e in harness.entries
                )
            )
            await asyncio.sleep(1.0)
            before = [e._view.copied_bytes for e in harness.entries]
            server = harness.servers[0]
            for number in range(4):
                spec = server.store_spec() | {"seq": number + 2}
                harness.store.put("servers", server.id, spec)
                await asyncio.sleep(0.6)
            after = [e._view.copied_bytes for e in harness.entries]
            copied = [b - a for a, b in zip(before, after, strict=True)]
            assert max(copied) < 20_000

    asyncio.run(scenario())
