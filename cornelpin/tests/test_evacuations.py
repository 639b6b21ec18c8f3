"""Data centres whose servers get no requests, and requests bound to regions."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cornelpin.gateway.scheduler import Placement, Refused
from cornelpin.gateway.watcher_selection import timing_within
from cornelpin.scheduling.decisions import EVACUATED, OUTSIDE_REGIONS
from cornelpin.scheduling.restrictions import (
    RESTORED_KEEP_S,
    SUSPICION_S,
    Evacuations,
)
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, route, run_harness, until
from cornelpin.tests.scheduling_harness import make_dispatcher, make_job, make_server
from cornelpin.tests.test_limited_servers import arrivals_after, offered_load

BOUNDS = {"evacuate_ms": 5000}
IN_FORCE_S = 1.0
"""Time from an order to its effect at all entries, of the 5 s that are allowed."""


def test_orders_begin_and_end_once() -> None:
    evacuations = Evacuations()
    assert not evacuations
    assert evacuations.begin("a")
    assert not evacuations.begin("a")
    assert "a" in evacuations and "b" not in evacuations
    assert evacuations.end("a")
    assert not evacuations.end("a")
    assert "a" not in evacuations and not evacuations


LISTS = [
    # Orders before, list, whether the store was restored: new and ended orders, and
    # those in force at once and after RESTORED_KEEP_S.
    ("nothing", set(), set(), False, (set(), set()), set(), set()),
    ("new", set(), {"a"}, False, ({"a"}, set()), {"a"}, {"a"}),
    ("taken back", {"a"}, set(), False, (set(), {"a"}), set(), set()),
    ("replaced", {"a"}, {"b"}, False, ({"b"}, {"a"}), {"b"}, {"b"}),
    ("lost", {"a"}, set(), True, (set(), set()), {"a"}, set()),
    ("lost beside another", {"a"}, {"b"}, True, ({"b"}, set()), {"a", "b"}, {"b"}),
]


@pytest.mark.parametrize(
    ("before", "listed", "restored", "changes", "at_once", "later"),
    [row[1:] for row in LISTS],
    ids=[row[0] for row in LISTS],
)
def test_list_replaces_the_orders(
    before: set[str],
    listed: set[str],
    restored: bool,
    changes: tuple[set[str], set[str]],
    at_once: set[str],
    later: set[str],
) -> None:
    evacuations = Evacuations()
    for name in before:
        evacuations.begin(name)
    assert evacuations.replace(listed, 100.0, restored=restored) == changes
    assert {name for name in "abc" if name in evacuations} == at_once
    assert evacuations.expire(99.9 + RESTORED_KEEP_S) == []
    assert set(evacuations.expire(100.1 + RESTORED_KEEP_S)) == at_once - later
    assert {name for name in "abc" if name in evacuations} == later


def test_order_that_is_written_again_after_a_restore_stays() -> None:
    evacuations = Evacuations()
    evacuations.begin("a")
    evacuations.replace([], 100.0, restored=True)
    assert not evacuations.begin("a")
    assert evacuations.expire(200.0) == []
    assert "a" in evacuations


@pytest.mark.parametrize("evacuation_s", [0.5, 2.0, 5.0, 60.0])
def test_silent_watch_leaves_half_of_the_time_for_the_order(
    evacuation_s: float,
) -> None:
    timing = timing_within(evacuation_s)
    assert 0.2 <= timing.lead_wait_s <= max(0.2, evacuation_s / 2)
    assert timing.follow_s > timing.lead_wait_s


def test_requests_for_evacuated_servers_are_refused_at_once() -> None:
    servers = [make_server("i-1")]
    evacuated = False
    dispatcher = make_dispatcher(servers)
    dispatcher._evacuated = lambda service, now: evacuated
    blocking = [make_job(), make_job(), make_job()]
    for job in blocking:
        assert dispatcher.offer(job, 100.0) is None
    placed = dispatcher.dispatch("app", 100.0)
    assert [type(decision) for _, decision in placed] == [Placement] * 2
    servers.clear()
    evacuated = True
    ((job, refused),) = dispatcher.dispatch("app", 100.01)
    assert job is blocking[2]
    assert isinstance(refused, Refused)
    assert refused.reason == EVACUATED
    assert refused.retry_after_s > 0
    late = dispatcher.offer(make_job(run_failed=True), 100.02)
    assert late is not None and late.reason == EVACUATED


def test_job_runs_in_its_data_centres_only() -> None:
    dispatcher = make_dispatcher([make_server("i-1", slots=1)])
    elsewhere = make_job(data_centres=frozenset({"there"}))
    refused = dispatcher.offer(elsewhere, 100.0)
    assert refused is not None and refused.reason == OUTSIDE_REGIONS
    assert dispatcher.offer(make_job(data_centres=frozenset({"here"})), 100.0) is None
    assert len(dispatcher.dispatch("app", 100.0)) == 1


async def add_server_in(harness: Harness, zone: str) -> Any:
    server = await harness.add_server()
    server.zone = zone
    harness.store.put("servers", server.id, server.store_spec())
    return server


def addresses(harness: Harness) -> list[tuple[str, int]]:
    return [entry._settings.callers for entry in harness.entries]


def test_evacuated_data_centre_gets_nothing_and_comes_back_cold() -> None:
    async def scenario() -> None:
        services = [{"name": "app", "health_path": "/health", "cold_per_s": 4.0}]
        async with run_harness(entries=0, servers=1, services=services) as harness:
            there = await add_server_in(harness, "there")
            zones = {"here": "region", "there": "region"}
            for zone in zones:
                await harness.add_entry(bounds=BOUNDS, zones=zones, zone=zone)
            loop = asyncio.get_running_loop()
            await asyncio.sleep(SUSPICION_S)
            async with offered_load(harness.entries, 20.0) as answers:
                await asyncio.sleep(0.5)
                assert there.arrivals
                harness.store.put("evacuations", "there", {})
                await until(
                    lambda: all("there" in e.state.evacuations for e in harness.entries)
                )
                evacuated = loop.time()
                await asyncio.sleep(0.5)
                assert arrivals_after(there, evacuated + 0.05) == []
                harness.store.remove("evacuations", "there")
                await until(
                    lambda: not any(e.state.evacuations for e in harness.entries)
                )
                for entry in harness.entries:
                    listed = entry.state.servers.get(there.id)
                    assert listed is not None
                    assert entry.server_limits.limit_per_s(listed) == 4.0
                await asyncio.sleep(0.5)
            assert {status for status, _ in answers} == {200}
            # It may take six requests in half a second: four of a second, a burst of
            # 0.2 s and one that had accumulated.
            assert len(arrivals_after(there, evacuated + 0.5)) <= 6

    asyncio.run(scenario())


def test_running_stream_ends_in_its_evacuated_data_centre() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0, servers=1) as harness:
            (server,) = harness.servers
            server.behaviour.gap_s, server.behaviour.events = 0.1, 8
            zones = {"here": "region"}
            entry = await harness.add_entry(bounds=BOUNDS, zones=zones)
            stream = asyncio.create_task(fetch(entry._settings.callers, "/stream/x"))
            await until(lambda: server.running == 1)
            harness.store.put("evacuations", "here", "anything")
            await until(lambda: "here" in entry.state.evacuations, IN_FORCE_S)
            refused = await fetch(entry._settings.callers, "/safe/x")
            assert refused.status == 503
            assert float(refused.headers["retry-after"]) > 0
            assert (await stream).status == 200
            assert server.cancelled == []

    asyncio.run(scenario())


def test_order_for_an_unknown_data_centre_takes_effect_when_it_appears() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0, servers=1) as harness:
            entry = await harness.add_entry(bounds=BOUNDS, zones={"here": "region"})
            harness.store.put("evacuations", "new", [1, 2])
            await until(lambda: "new" in entry.state.evacuations, IN_FORCE_S)
            added = await add_server_in(harness, "new")
            await asyncio.sleep(0.2)
            for _ in range(6):
                assert (await fetch(entry._settings.callers, "/safe/x")).status == 200
            assert added.arrivals == []

    asyncio.run(scenario())


def test_order_survives_an_outage_and_a_restore_of_the_store() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0, servers=1) as harness:
            entry = await harness.add_entry(bounds=BOUNDS, zones={"here": "region"})
            there = await add_server_in(harness, "there")
            harness.store.keep_copy()
            harness.store.put("evacuations", "there", {})
            await until(lambda: "there" in entry.state.evacuations, IN_FORCE_S)
            harness.store.restore()
            await asyncio.sleep(1.0)
            for _ in range(6):
                assert (await fetch(entry._settings.callers, "/safe/x")).status == 200
            assert there.arrivals == []
            # One that is not written again ends.
            await until(
                lambda: "there" not in entry.state.evacuations, RESTORED_KEEP_S + 2.0
            )

    asyncio.run(scenario())


def test_orders_are_not_watched_where_the_platform_has_none() -> None:
    async def scenario() -> None:
        async with run_harness(servers=1) as harness:
            harness.store.put("evacuations", "here", {})
            await asyncio.sleep(0.3)
            (entry,) = harness.entries
            assert "here" not in entry.state.evacuations
            assert (await fetch(entry._settings.callers, "/safe/x")).status == 200

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("regions", "status"), [([], 200), (["north"], 200), (["south"], 503)]
)
def test_route_with_regions_runs_there_only(regions: list[str], status: int) -> None:
    async def scenario() -> None:
        routes = [route("/bound/", "safe", allowed_regions=regions)]
        async with run_harness(entries=0, servers=1, routes=routes) as harness:
            zones = {"here": "north", "there": "south"}
            entry = await harness.add_entry(zones=zones)
            response = await fetch(entry._settings.callers, "/bound/x")
            assert response.status == status

    asyncio.run(scenario())
