"""Transfers of the store's objects over narrow links."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgpack
import pytest

from cornelpin.gateway.peer import Peer
from cornelpin.gateway.snapshots import (
    LENGTH,
    MAX_SNAPSHOT_BYTES,
    SnapshotServer,
    fetch_changes,
    pack,
    unpack,
)
from cornelpin.gateway.watcher_selection import DEFAULT_TIMING, WatcherSelection
from cornelpin.http1.connections import OpenConnections
from cornelpin.http1.memory import MemoryBudget
from cornelpin.platform import Store
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, config, route, run_harness, until
from standins.fleet.store import FleetStore
from standins.slow_link import SlowLink

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry

LINK_BYTES_PER_S = 600_000
"""Half of a link of 10 Mbit/s, of which requests take the other half."""
CONFIG_BYTES = 1_000_000
"""Size of a configuration near the platform's limit on a value."""


def large_config(routes: int, version: int = 1) -> dict[str, object]:
    added = [route(f"/added-{n:016x}/", "safe") for n in range(routes)]
    return config(version, routes=[*config()["routes"], *added])


def random_text(size: int) -> str:
    return random.Random(1).randbytes(size // 2).hex()


def version(entry: Entry) -> int:
    assert entry.state.config is not None
    return entry.state.config.version


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
        server = SnapshotServer(
            lambda revisions: content,
            lambda: content,
            MemoryBudget(100_000_000),
            OpenConnections(8),
        )
        await server.start("127.0.0.1", 0)
        assert server._server is not None
        address = server._server.sockets[0].getsockname()[:2]
        async with SlowLink(address, LINK_BYTES_PER_S) as link:
            fetched = await fetch_changes(*link.address, {})
        assert fetched.response == content
        server.close()

    asyncio.run(scenario())


def test_changed_server_does_not_copy_the_configuration_again() -> None:
    async def scenario() -> None:
        async with run_harness(entries=11) as harness:
            await wait_until_connected(harness)
            harness.store.put("config", "main", large_config(1400, version=2))
            await until(lambda: all(version(e) == 2 for e in harness.entries))
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


def test_many_routes_are_copied_in_compressed_form() -> None:
    async def scenario() -> None:
        async with run_harness(entries=11) as harness:
            await wait_until_connected(harness)
            # Until then more than three entries watch.
            await asyncio.sleep(3.5)
            spec = large_config(1400, version=2)
            harness.store.put("config", "main", spec)
            await until(lambda: all(version(e) == 2 for e in harness.entries))
            copied = [e._view.copied_bytes for e in harness.entries]
            assert 0 < max(copied) < len(msgpack.packb(spec)) / 5

    asyncio.run(scenario())


def test_hosts_with_wide_links_watch() -> None:
    links = {f"h{n}": 200.0 if n in {3, 7, 8, 11} else 10.0 for n in range(12)}
    peers = {h: Peer("ip", "here", "1", link_mbps=w) for h, w in links.items()}
    for peer in peers.values():
        peer.received_at = peer.store_seen_at["config"] = 100.0

    def watching() -> set[str]:
        return {
            own
            for own, width in links.items()
            if WatcherSelection(own, "config", DEFAULT_TIMING, width).wait_s(
                {h: p for h, p in peers.items() if h != own}, 100.5
            )
        }

    assert len(watching()) == 3
    assert watching() < {"h3", "h7", "h8", "h11"}
    for host in ("h3", "h7"):
        peers[host].store_seen_at.clear()
    assert {"h3", "h7", "h8", "h11"} < watching()


def test_entries_of_an_earlier_build_get_a_whole_snapshot() -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            settings = harness.entries[0]._settings
            reader, writer = await asyncio.open_connection(
                settings.ip, settings.peer_port
            )
            (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
            snapshot = msgpack.unpackb(await reader.readexactly(size))
            writer.close()
            _, objects = snapshot["config"]
            assert objects["main"][1]["version"] == 1
            assert list(snapshot["servers"][1]) == [harness.servers[0].id]

    asyncio.run(scenario())


def test_whole_snapshot_of_an_earlier_build_is_loaded() -> None:
    async def scenario() -> None:
        async with run_harness(entries=2) as harness:
            await wait_until_connected(harness)
            entry = harness.entries[1]
            earlier = {
                "config": [900, {"main": [900, config(9), None]}],
                "eras": {"config.in_force": 9, "config": 900, "config.era": 1},
            }
            entry._view._catch_up._load(earlier, {"peer": "127.0.0.10"})
            assert version(entry) == 9

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "data",
    [b"", b"plain", pack(1)[:-1], pack(bytes(MAX_SNAPSHOT_BYTES))],
    ids=["empty", "plain", "cut", "too large"],
)
def test_malformed_part_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match="compressed|truncated"):
        unpack(data)


def test_failed_copy_does_not_delay_the_entry(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with run_harness(entries=2) as harness:
            await wait_until_connected(harness)
            entry, other = harness.entries
            other._snapshots.close()
            writers: list[asyncio.StreamWriter] = []
            silent = await asyncio.start_server(
                lambda reader, writer: writers.append(writer),
                other._settings.ip,
                other._settings.peer_port,
            )
            peer = entry.peers.live_peers()[other._settings.host]
            monkeypatch.setitem(peer.revisions, "config", 10_000)
            ticks = 0
            dispatch_all = entry.scheduler.dispatch_all

            def count() -> None:
                nonlocal ticks
                ticks += 1
                dispatch_all()

            monkeypatch.setattr(entry.scheduler, "dispatch_all", count)
            await asyncio.sleep(1.2)
            assert ticks >= 12
            silent.close()
            for writer in writers:
                writer.transport.abort()

    asyncio.run(scenario())


@pytest.mark.parametrize(("servers", "status"), [(1, 200), (0, 503)])
def test_request_meets_a_copy_that_has_not_been_confirmed(
    servers: int, status: int
) -> None:
    """Guards against requests lost by an entry that starts.

    Its first list of servers is a copy from another entry, whose age is not known.
    """

    async def scenario() -> None:
        async with run_harness(servers=servers) as harness:
            (entry,) = harness.entries
            entry.state.get_servers_confirmed_at = lambda: float("-inf")
            response = await fetch(entry._settings.callers, "/safe/x")
            assert response.status == status

    asyncio.run(scenario())
