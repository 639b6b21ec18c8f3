"""What a new configuration means for requests that are under way, and for denials."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cornelpin.tests.config_bed import run_bed
from cornelpin.tests.fleet_client import connect, fetch
from cornelpin.tests.gateway_harness import (
    LIMITS,
    Harness,
    config,
    route,
    run_harness,
    until,
)
from standins.fleet.server import FleetServer

PREFIXES = {"safe": "/r/", "stream": "/stream/"}
"""Prefix of the route of each kind; stand-ins stream below the latter."""
KEY = {"Authorization": "Token key-blue", "Deadline-Ms": "3000"}


def routes(kind: str = "safe", **fields: Any) -> list[dict[str, Any]]:
    fields = {"allow_anonymous": False, "timeout_ms": 4000} | fields
    return [route(PREFIXES[kind], kind, **fields)]


async def add_other_server(harness: Harness) -> FleetServer:
    """Adds a server of another service."""
    server = FleetServer("other")
    await server.start()
    harness.servers.append(server)
    harness.store.put("servers", server.id, server.store_spec())
    await until(
        lambda: len(harness.entries[0].state.servers.all(0.0)) == len(harness.servers)
    )
    return server


def tenants(*keys: str) -> list[dict[str, Any]]:
    return [{"name": "blue", "api_keys": list(keys), "priority": 1}]


async def put(harness: Harness, version: int, **fields: Any) -> None:
    harness.store.put("config", "main", config(version, **fields))
    await until(lambda: harness.entries[0].state.config.version == version, 1.0)


async def ask(harness: Harness, kind: str = "safe", **fields: Any) -> Any:
    address = harness.entries[0]._settings.callers
    return await fetch(address, f"{PREFIXES[kind]}x", headers=KEY, **fields)


CHANGES = {
    "route dropped": ({"routes": []}, 404, 502),
    "key revoked": ({"tenants": tenants("another")}, 401, 502),
    "route moved": ({"routes": routes(service="other")}, 200, 200),
    "weights moved": (
        {"routes": routes(backends=[{"service": "other", "weight": 1}])},
        200,
        200,
    ),
    "timeout changed": ({"routes": routes(timeout_ms=5000)}, 200, 200),
}


@pytest.mark.parametrize("change", CHANGES)
def test_queued_request_follows_a_new_configuration(change: str) -> None:
    """Guards against requests that are sent by a route or key that was taken away."""

    async def scenario() -> None:
        async with run_harness(routes=routes()) as harness:
            other = await add_other_server(harness)
            busy = harness.servers[0]
            busy.behaviour.answer_s = 1.0
            running = [asyncio.create_task(ask(harness)) for _ in range(busy.slots)]
            await until(lambda: busy.running == busy.slots)
            queued = asyncio.create_task(ask(harness, request_id="queued"))
            scheduler = harness.entries[0].scheduler
            await until(lambda: scheduler.dispatcher.queued() == 1)
            busy.behaviour.answer_s = 0.0
            fields, status, _ = CHANGES[change]
            await put(harness, 5, **({"routes": routes()} | fields))
            began = asyncio.get_running_loop().time()
            assert (await queued).status == status
            moved = "moved" in change
            assert other.runs["queued"] == int(moved)
            assert busy.runs["queued"] == int(status == 200 and not moved)
            if moved or status != 200:
                assert asyncio.get_running_loop().time() - began < 0.5
            # What runs goes on to its end.
            assert [(await task).status for task in running] == [200] * busy.slots

    asyncio.run(scenario())


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_second_try_follows_a_new_configuration(kind: str, change: str) -> None:
    async def scenario() -> None:
        first = routes(kind, resumable=True)
        async with run_harness(servers=2, routes=first) as harness:
            other = await add_other_server(harness)
            for server in harness.servers[:2]:
                server.behaviour.fault = "cut"
                server.behaviour.answer_s = server.behaviour.gap_s = 0.3
            asked = asyncio.create_task(
                ask(harness, kind, method="POST", request_id="s")
            )
            await until(lambda: any(s.running for s in harness.servers), 1.0)
            fields, _, status = CHANGES[change]
            if "routes" in fields and fields["routes"]:
                (changed,) = fields["routes"]
                same = {"kind": kind, "resumable": True, "path_prefix": PREFIXES[kind]}
                fields = {"routes": [changed | same]}
            await put(harness, 5, **({"routes": first} | fields))
            response = await asked
            runs = sum(server.runs["s"] for server in harness.servers)
            if status == 502:
                assert runs == 1
                assert response.status == 502 or not response.complete
            elif "moved" in change:
                assert (response.status, response.complete) == (200, True)
                assert other.runs["s"] == 1
            else:
                assert runs == 2

    asyncio.run(scenario())


def test_limits_of_a_new_configuration_hold_on_kept_connections() -> None:
    async def scenario() -> None:
        async with (
            run_harness() as harness,
            connect(harness.entries[0]._settings.callers) as client,
        ):
            long_head = {"X-Long": "x" * 6_000}
            assert (await client.fetch("/safe/x")).status == 200
            await put(harness, 5, limits=LIMITS | {"max_header_bytes": 8_192})
            assert (await client.fetch("/safe/x", headers=long_head)).status == 200
            await put(harness, 6, limits=LIMITS | {"max_body_bytes": 10})
            assert (await client.fetch("/safe/x")).status == 200
            response = await client.fetch("/unsafe/x", method="POST", body=b"x" * 11)
            assert response.status == 413

    asyncio.run(scenario())


def test_idle_connection_stays_open_for_a_longer_timeout_that_came_meanwhile() -> None:
    async def scenario() -> None:
        async with (
            run_harness() as harness,
            connect(harness.entries[0]._settings.callers) as client,
        ):
            assert (await client.fetch("/safe/x")).status == 200
            await put(harness, 5, limits=LIMITS | {"idle_timeout_ms": 2_000})
            await asyncio.sleep(1.4)
            assert (await client.fetch("/safe/x")).status == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/keyed/x", "/nowhere/x"])
def test_entry_that_can_not_know_whether_a_denial_is_right_answers_503(
    path: str,
) -> None:
    """Guards against 401 and 404 by a configuration that may have been replaced."""

    async def scenario() -> None:
        async with run_bed(1) as bed:
            address = bed.entries[0]._settings.callers
            denied = {"/keyed/x": 401, "/nowhere/x": 404}[path]
            assert (await fetch(address, path)).status == denied
            bed.refuse(0)
            await until(lambda: bed.entries[0]._view.config_age_s > 1.2)
            response = await fetch(address, path)
            assert response.status == 503
            assert 0.0 < float(response.headers["retry-after"]) < 1.0
            # What the last known configuration allows is served.
            assert (await fetch(address, "/safe/x")).status == 200
            bed.refuse(0, refuse=False)
            await until(lambda: bed.entries[0]._view.config_age_s < 0.5)
            assert (await fetch(address, path)).status == denied

    asyncio.run(scenario())


def test_denial_by_an_old_configuration_asks_the_store_first() -> None:
    async def scenario() -> None:
        async with run_bed(1) as bed:
            entry = bed.entries[0]
            await asyncio.sleep(0.5)
            # The entry holds its configuration for old, and its watch sees no change.
            bed.silence(0)
            entry._view._caches["config"].confirmed_at -= 5.0
            added = [*config()["routes"], route("/new/", "safe")]
            bed.harness.store.put("config", "main", config(7, routes=added))
            address = entry._settings.callers
            assert (await fetch(address, "/new/x")).status == 200
            assert (await fetch(address, "/nowhere/x")).status == 404

    asyncio.run(scenario())


def test_denials_do_not_call_the_store_each() -> None:
    async def scenario() -> None:
        async with run_bed(1) as bed:
            entry = bed.entries[0]
            await asyncio.sleep(0.5)
            for link in bed.links:
                link.fault.drop_from_server = True
            entry._view._caches["config"].confirmed_at -= 5.0
            before = entry.store.calls
            address = entry._settings.callers
            asked = [fetch(address, "/nowhere/x") for _ in range(50)]
            statuses = {response.status for response in await asyncio.gather(*asked)}
            assert statuses == {503}
            assert entry.store.calls - before <= 12

    asyncio.run(scenario())
