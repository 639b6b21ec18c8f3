"""Time from the acknowledgement of a configuration until all entries have it."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest
from click.testing import CliRunner

from cornelpin.cli.main import cli
from cornelpin.core.revision import Revision
from cornelpin.gateway import suspension
from cornelpin.gateway.snapshots import SnapshotServer
from cornelpin.gateway.suspension import SuspensionDetector
from cornelpin.tests.config_bed import Bed, run_bed
from cornelpin.tests.gateway_harness import Harness, config, run_harness, until

pytestmark = pytest.mark.isolated

LONGEST_S = 1.0
"""Half of the platform's bound (``config_ms``)."""

Way = Callable[[Bed], Awaitable[None]]
WAYS: dict[str, Way] = {}


def way(func: Way) -> Way:
    """Registers a way in which entries may fall behind the store."""
    WAYS[func.__name__] = func
    return func


@way
async def calm(bed: Bed) -> None:
    for _ in range(3):
        await asyncio.sleep(0.7)
        await bed.change()
    await bed.change(10)


@way
async def many_routes(bed: Bed) -> None:
    await asyncio.sleep(1.0)
    await bed.change(routes=1400)


@way
async def connection_of_the_lead_silent(bed: Bed) -> None:
    for _ in range(3):
        await asyncio.sleep(1.1)
        bed.silence(bed.lead)
        await bed.change()


@way
async def all_connections_silent(bed: Bed) -> None:
    for pause_s in (1.3, 1.5, 1.7):
        await asyncio.sleep(pause_s)
        bed.silence(*range(len(bed.entries)))
        await bed.change()


@way
async def connections_reset(bed: Bed) -> None:
    for _ in range(3):
        await asyncio.sleep(0.9)
        bed.harness.store.reset_connections()
        await bed.change(3)


@way
async def store_busy_then_a_burst(bed: Bed) -> None:
    bed.harness.store.mode = "busy"
    bed.harness.store.reset_connections()
    await asyncio.sleep(2.5)
    bed.harness.store.mode = "up"
    await bed.change(10)


@way
async def store_comes_and_goes(bed: Bed) -> None:
    for _ in range(6):
        bed.harness.store.mode = "busy"
        bed.harness.store.reset_connections()
        await asyncio.sleep(0.5)
        bed.harness.store.mode = "up"
        await bed.change()
        await asyncio.sleep(0.1)


@way
async def store_slow(bed: Bed) -> None:
    for link in bed.links:
        link.fault.delay_s = 0.12
    await asyncio.sleep(1.5)
    for _ in range(3):
        await bed.change()


@way
async def lead_refused(bed: Bed) -> None:
    await asyncio.sleep(1.0)
    refused = bed.lead
    bed.refuse(refused)
    await bed.change(3)
    await asyncio.sleep(2.0)
    await bed.change(3)
    bed.refuse(refused, refuse=False)
    await bed.change(3)


@way
async def all_but_one_refused(bed: Bed) -> None:
    await asyncio.sleep(1.0)
    bed.refuse(*range(len(bed.entries) - 1))
    for _ in range(3):
        await bed.change(3)
        await asyncio.sleep(1.1)


@way
async def calls_for_one_kind_refused(bed: Bed) -> None:
    bed.harness.store.rejected_kinds.add("config")
    bed.harness.store.reset_connections()
    await asyncio.sleep(1.1)
    bed.harness.store.rejected_kinds.clear()
    await bed.change(10)


@way
async def messages_between_entries_lost(bed: Bed) -> None:
    draw = random.Random(7)
    for entry in bed.entries:
        send = entry.peers._send_datagrams

        def drop(data: bytes, to: Any, send: Any = send) -> None:
            send(data, [ip for ip in to if draw.random() > 0.4])

        entry.peers._send_datagrams = drop  # type: ignore[method-assign, assignment]
    bed.refuse(*range(1, len(bed.entries)))
    for _ in range(4):
        await bed.change()
        await asyncio.sleep(0.3)


@way
async def peers_that_send_no_copies(bed: Bed) -> None:
    """Half of the entries accept connections for copies and never respond."""

    async def hang(self: Any, *args: Any) -> None:
        await asyncio.sleep(60.0)

    for entry in bed.entries[::2]:
        entry._snapshots._response = hang.__get__(  # type: ignore[method-assign]
            entry._snapshots, SnapshotServer
        )
    bed.refuse(len(bed.entries) - 1)
    for _ in range(4):
        await bed.change()
        await asyncio.sleep(0.3)


@pytest.mark.parametrize("entries", [6, 11])
@pytest.mark.parametrize("name", WAYS)
def test_changes_are_in_force_within_half_of_the_bound(name: str, entries: int) -> None:
    """Guards against entries that fall behind the store without noticing it."""

    async def scenario() -> None:
        async with run_bed(entries) as bed:
            await WAYS[name](bed)
            assert max(bed.times_s) < LONGEST_S

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "name",
    ["calm", "all_connections_silent", "connections_reset", "store_busy_then_a_burst"],
)
def test_changes_are_in_force_in_time_at_a_single_entry(name: str) -> None:
    async def scenario() -> None:
        async with run_bed(1) as bed:
            await WAYS[name](bed)
            assert max(bed.times_s) < LONGEST_S

    asyncio.run(scenario())


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


def test_responses_from_an_older_copy_confirm_nothing() -> None:
    """Guards against an entry that takes a copy of the store that lags for current."""

    async def scenario() -> None:
        async with run_bed(2) as bed:
            await bed.change()
            bed.refuse(1)
            await asyncio.sleep(0.1)
            # The second entry has changes that the store shows to the first one later.
            ahead = bed.entries[1]._view._caches["config"]
            ahead.revision = ahead.changed = Revision(1, ahead.revision.number + 5)
            view = bed.entries[0]._view
            await until(lambda: view.outdated > 0)
            before = view.config_age_s
            await asyncio.sleep(1.2)
            assert view.config_age_s > before + 1.0

    asyncio.run(scenario())


def test_copies_age_while_the_host_is_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that takes old objects for current after a suspension.

    The monotonic clock stands still meanwhile.
    """
    offset_s = 0.0
    monkeypatch.setattr(suspension, "_offset_s", lambda: offset_s)
    detector = SuspensionDetector()
    assert not detector.check()
    offset_s = 0.05
    assert not detector.check()
    offset_s = 5.05
    assert detector.check() == pytest.approx(5.0)
    assert not detector.check()

    async def scenario() -> None:
        async with run_bed(2) as bed:
            view, peers = bed.entries[0]._view, bed.entries[0].peers
            await asyncio.sleep(1.0)
            calls = bed.entries[0].store.calls
            view.age_copies(5.0)
            peers.age_reports(5.0)
            assert view.config_age_s > 5.0
            assert not peers.live_peers()
            await until(lambda: view.config_age_s < 1.0, LONGEST_S)
            assert bed.entries[0].store.calls > calls

    asyncio.run(scenario())


def test_age_of_the_configuration_stays_low_while_the_store_answers_one_entry() -> None:
    async def scenario() -> None:
        async with run_bed(6) as bed:
            bed.refuse(*range(1, 6))
            await asyncio.sleep(1.5)
            ages = []
            until_s = time.monotonic() + 3.0
            while time.monotonic() < until_s:
                ages += [entry._view.config_age_s for entry in bed.entries]
                await asyncio.sleep(0.05)
            assert max(ages) < LONGEST_S

    asyncio.run(scenario())


@pytest.mark.parametrize("output", ["table", "json"])
def test_status_shows_which_entries_are_behind(output: str) -> None:
    async def scenario() -> None:
        async with run_bed(2) as bed:
            bed.refuse(1)
            await bed.change(among=[0])
            # The second entry does not catch up.
            behind = bed.entries[1].state
            assert behind.config is not None
            behind.config = attrs.evolve(behind.config, version=1)
            catch_up = bed.entries[1]._view._catch_up
            catch_up._check = lambda now: None  # type: ignore[method-assign]
            await asyncio.sleep(0.5)
            settings = bed.entries[0]._settings
            url = f"http://{settings.ip}:{settings.metrics_port}"
            arguments = ["--entry", url, "--output", output, "status", "--gateway"]
            result = await asyncio.to_thread(CliRunner().invoke, cli, arguments)
            assert result.exit_code == 0
            if output == "table":
                rows = [line.split() for line in result.output.splitlines()]
                (first,) = [row for row in rows if row[:1] == ["front-0"]]
                (second,) = [row for row in rows if row[:1] == ["front-1"]]
                assert (first[2], first[-1]) == ("2", "false")
                assert (second[2], second[-1]) == ("1", "true")
            else:
                shown = json.loads(result.output)
                assert [row["behind"] for row in shown["entries"]] == [False, True]
                kinds = {row["kind"]: row for row in shown["kinds"]}
                assert kinds["config"]["age_s"] < 1.0
                assert kinds["config"]["way"] == "watch"

    asyncio.run(scenario())
