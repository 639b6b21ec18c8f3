"""Roll-outs: traffic share of a new version, its analysis, and the stored outcome."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs
import pytest

from cornelpin.core.revision import Revision
from cornelpin.gateway.peers import HEARTBEAT_INTERVAL_S
from cornelpin.scheduling.rollouts import (
    MIN_RUNS,
    STATE_MARGIN_S,
    Order,
    OrderState,
    Rollouts,
)
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, route, run_harness, until
from cornelpin.tests.scheduling_harness import make_server

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.gateway.app import Entry

SHARE, EXTRA = 0.1, 50
"""A bad version may receive this share of all requests and as many requests more."""
ORDER = Order("app", "v2", duration_s=12.0)
OLD = [make_server(f"old-{n}", version="v1") for n in range(4)]
NEW = [make_server(f"new-{n}", version="v2") for n in range(4)]
SPEEDS = (0.55, 1.0, 1.0, 2.8)
"""Factors on the run times of the servers of one version."""
CLIENTS = 4
"""Clients of a test gateway: fewer leave too few runs to assess on a busy machine."""
GOSSIP_S = 0.3
"""Interval of messages between entries."""


def behave_well(route: str, at: float) -> tuple[float, float]:
    """Returns the failure probability and the factor on a run's time."""
    return 0.004, 1.0


VERSIONS: dict[str, tuple[OrderState, Callable[[str, float], tuple[float, float]]]] = {
    "good": (OrderState.DONE, behave_well),
    "failing": (OrderState.ROLLED_BACK, lambda route, at: (0.5, 1.0)),
    "failing a little": (OrderState.ROLLED_BACK, lambda route, at: (0.3, 1.0)),
    "slow": (OrderState.ROLLED_BACK, lambda route, at: (0.0, 4.0)),
    # Several times slower, though its few runs take only twice as long.
    "slow at little load": (
        OrderState.ROLLED_BACK,
        lambda route, at: (0.0, 2.0),
    ),
    "failing on one route": (
        OrderState.ROLLED_BACK,
        lambda route, at: (0.6 if route == "b" else 0.0, 1.0),
    ),
    "failing later": (
        OrderState.ROLLED_BACK,
        lambda route, at: (0.6 if at > 4.0 else 0.0, 1.0),
    ),
}


@attrs.define
class ReplayResult:
    """Outcome of a replayed order."""

    outcome: OrderState = OrderState.RUNNING
    written_at: float = 0.0
    sent: int = 0
    sent_new: int = 0
    bad_at: list[float] = attrs.field(factory=list)
    last_new: float = 0.0


class Replay:
    """Replays an order on several entries that exchange their counts with a delay."""

    def __init__(self, version: str, entries: int, seed: int) -> None:
        self.result = ReplayResult()
        self._rng = random.Random(seed)
        self._behaviour = VERSIONS[version][1]
        self._fleet = [Rollouts(share=SHARE, extra=EXTRA) for _ in range(entries)]
        for rollouts in self._fleet:
            rollouts.set_order(ORDER, 0.0)

    def run(self, per_s: float) -> ReplayResult:
        """Replays requests until some time after the order's end."""
        now = sent_at = 0.0
        while now < ORDER.duration_s + 4.0:
            now += self._rng.expovariate(per_s)
            entry = self._rng.choice(self._fleet)
            self._request(entry, now)
            if now - sent_at > GOSSIP_S:
                sent_at = now
                self._exchange_counts(now)
            if self.result.outcome is OrderState.RUNNING:
                self._write_outcome(entry, now)
        return self.result

    def _request(self, entry: Rollouts, now: float) -> None:
        for_route = self._rng.choice("abc")
        usable = entry.usable("app", [*OLD, *NEW], now)
        # As the dispatcher, which prefers fast servers.
        speeds = [1 / SPEEDS[int(server.id[-1])] for server in usable]
        (chosen,) = self._rng.choices(usable, speeds)
        entry.record_send(chosen)
        failure, slowness = behave_well(for_route, now)
        if chosen.version == "v2":
            failure, slowness = self._behaviour(for_route, now)
            self.result.last_new = now
        failed = self._rng.random() < failure
        if now < ORDER.duration_s:
            self.result.sent += 1
            self.result.sent_new += chosen.version == "v2"
        if chosen.version == "v2" and (failed or slowness > 1):
            self.result.bad_at.append(now)
        took_s = 0.1 * SPEEDS[int(chosen.id[-1])] * slowness
        took_s *= self._rng.lognormvariate(0.0, 0.4)
        entry.record_end(
            chosen, for_route, failed=failed, took_s=None if failed else took_s
        )

    def _exchange_counts(self, now: float) -> None:
        reports = [rollouts.export(now) for rollouts in self._fleet]
        for n, rollouts in enumerate(self._fleet):
            for m, report in enumerate(reports):
                if m != n:
                    rollouts.merge_from((f"e{m}", "1"), report, now)

    def _write_outcome(self, entry: Rollouts, now: float) -> None:
        for order, outcome, _ in entry.pending_writes(now):
            if outcome is OrderState.RUNNING:
                continue
            self.result.outcome, self.result.written_at = outcome, now
            stored = attrs.evolve(order, state=outcome, has_status=True)
            for rollouts in self._fleet:
                rollouts.set_order(stored, now)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("entries", "per_s"), [(6, 35.0), (24, 200.0)])
@pytest.mark.parametrize("version", VERSIONS)
def test_version_is_assessed_in_time_and_bad_one_receives_little(
    version: str, entries: int, per_s: float, seed: int
) -> None:
    result = Replay(version, entries, seed).run(per_s)
    expected = VERSIONS[version][0]
    assert result.outcome is expected
    assert result.written_at <= ORDER.duration_s
    if expected is OrderState.DONE:
        assert result.written_at >= ORDER.duration_s - STATE_MARGIN_S
        return
    assert result.sent_new <= SHARE * result.sent + EXTRA
    # A bad version receives no requests from 5 s after its 50th bad run on.
    if len(result.bad_at) >= 50:
        assert result.last_new <= result.bad_at[49] + 5.0


def test_version_without_enough_runs_is_rolled_back_at_the_end() -> None:
    rollouts = Rollouts(share=SHARE, extra=EXTRA)
    rollouts.set_order(ORDER, 0.0)
    assert [o for _, o, _ in rollouts.pending_writes(1.0)] == [OrderState.RUNNING]
    assert [o for _, o, _ in rollouts.pending_writes(12.0)] == [OrderState.ROLLED_BACK]


def test_without_order_every_version_is_used() -> None:
    rollouts = Rollouts(share=SHARE, extra=EXTRA)
    assert rollouts.usable("app", [*OLD, *NEW], 0.0) == [*OLD, *NEW]


@pytest.mark.parametrize(
    ("outcome", "used"), [(OrderState.DONE, NEW), (OrderState.ROLLED_BACK, OLD)]
)
def test_concluded_order_leaves_one_version(outcome: OrderState, used: list) -> None:
    rollouts = Rollouts(share=SHARE, extra=EXTRA)
    rollouts.set_order(attrs.evolve(ORDER, state=outcome), 0.0)
    assert rollouts.usable("app", [*OLD, *NEW], 0.0) == used


def test_restarted_entry_receives_age_of_order() -> None:
    rollouts = Rollouts(share=SHARE, extra=EXTRA)
    rollouts.set_order(ORDER, 100.0)
    # Version, age of the order in seconds, reason why it was found bad (empty: not
    # found bad); then requests, those to the new version, runs and times by route.
    rollouts.merge_from(("e1", "1"), {"app": ["v2", 8.0, "", 10, 1, {}, {}]}, 100.0)
    assert [o for _, o, _ in rollouts.pending_writes(104.5)] == [OrderState.ROLLED_BACK]


async def send_load(harness: Harness, seconds: float) -> None:
    """Sends requests to all entries for a while, by several clients."""
    await asyncio.gather(*(send_in_turn(harness, seconds) for _ in range(CLIENTS)))


async def send_in_turn(harness: Harness, seconds: float) -> None:
    """Sends requests to all entries in turn."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    number = 0
    while loop.time() < until_s:
        entry = harness.entries[number % len(harness.entries)]
        await fetch(entry._settings.callers, f"/safe/{number}")
        number += 1
        await asyncio.sleep(0.004)


@pytest.mark.parametrize(
    ("fault", "state"), [("", "done"), ("error", "rolled_back")], ids=["good", "bad"]
)
def test_outcome_is_written_once_to_the_store(fault: str, state: str) -> None:
    async def scenario() -> None:
        routes = [route("/safe/", "safe", max_attempts=1)]
        async with run_harness(entries=2, servers=2, routes=routes) as harness:
            for _ in range(2):
                added = await harness.add_server(version="v2")
                added.behaviour.fault = fault
            order = {"service": "app", "target": "v2", "duration_s": 4}
            first = harness.store.put("rollouts", "app", order)
            await send_load(harness, 4.2)
            status = harness.store.status("rollouts", "app")
            assert status == {"state": state, "target": "v2"}
            written = [e for e in harness.store.history("rollouts") if e > first]
            assert len(written) == 2, "running and the outcome, once each"
            old, new_servers = harness.servers[:2], harness.servers[2:]
            runs = [
                sum(sum(s.runs.values()) for s in group) for group in (old, new_servers)
            ]
            await send_load(harness, 0.3)
            after = [
                sum(sum(s.runs.values()) for s in group) for group in (old, new_servers)
            ]
            unused = 0 if state == "done" else 1
            assert after[unused] == runs[unused]
            assert after[1 - unused] > runs[1 - unused]

    asyncio.run(scenario())


def test_outcome_is_written_after_store_outage() -> None:
    async def scenario() -> None:
        async with run_harness(entries=1, servers=1) as harness:
            order = {"service": "app", "target": "v2", "duration_s": 1.5}
            harness.store.put("rollouts", "app", order)
            entry = harness.entries[0]
            await until(lambda: bool(entry.state.rollouts.export(0.0)))
            harness.store.mode = "busy"
            await asyncio.sleep(2.0)
            harness.store.mode = "up"
            await until(
                lambda: (
                    (harness.store.status("rollouts", "app") or {}).get("state")
                    == "rolled_back"
                )
            )

    asyncio.run(scenario())


def test_silent_store_delays_no_message_between_entries() -> None:
    """Guards against a call of the store that holds up the ticks of an entry.

    An order whose state is to be written is known when the store goes silent. The
    entries are idle, so that each sends a heartbeat every ``HEARTBEAT_INTERVAL_S``.
    """
    longest = [0.0, 0.0]

    def measure(entry: Entry, now: float) -> float:
        (peer,) = entry.peers.live_peers().values()
        return now - peer.received_at

    async def scenario() -> None:
        async with run_harness(entries=2, servers=2) as harness:
            entries = harness.entries
            await until(lambda: all(e.peers.live_peers() for e in entries))
            spec = {"service": "app", "target": "v2", "duration_s": 1}
            harness.store.put("rollouts", "app", spec)
            await until(lambda: bool(harness.store.status("rollouts", "app")))
            harness.store.go_silent()
            loop = asyncio.get_running_loop()
            ends_at = loop.time() + 4.0
            while loop.time() < ends_at:
                now = time.monotonic()
                longest[:] = [
                    max(old, measure(entry, now))
                    for old, entry in zip(longest, entries, strict=True)
                ]
                await asyncio.sleep(0.02)

    asyncio.run(scenario())
    assert max(longest) < 2 * HEARTBEAT_INTERVAL_S


def test_malformed_order_is_logged_and_ignored() -> None:
    async def scenario() -> None:
        async with run_harness(entries=1) as harness:
            harness.store.put("rollouts", "app", {"service": "app", "target": 7})
            await asyncio.sleep(0.1)
            entry = harness.entries[0]
            assert entry.state.rollouts.export(0.0) == {}
            assert (await fetch(entry._settings.callers, "/safe/x")).status == 200

    asyncio.run(scenario())


def test_min_runs_probably_include_a_bad_run() -> None:
    """At a bad-run rate of 0.15 one of MIN_RUNS runs is bad with probability 0.9."""
    assert 1 - (1 - 0.15) ** MIN_RUNS > 0.9


@pytest.mark.parametrize("outcome", [OrderState.DONE, OrderState.ROLLED_BACK])
def test_outcome_lost_in_a_restore_holds_and_is_written_again(
    outcome: OrderState,
) -> None:
    """Guards against a bad version that gets requests again.

    The store has been restored from a copy in which the order still runs, and no entry
    has counts of its runs.
    """
    rollouts = Rollouts(share=SHARE, extra=EXTRA)
    stated = attrs.evolve(ORDER, state=outcome, has_status=True)
    rollouts.set_order(attrs.evolve(stated, revision=Revision(1, 70)), 100.0)
    assert not rollouts.pending_writes(101.0)
    restored = attrs.evolve(ORDER, has_status=True, revision=Revision(2, 40))
    rollouts.set_order(restored, 102.0)
    versions = {s.version for s in rollouts.usable("app", OLD + NEW, 103.0)}
    assert versions == {"v2" if outcome is OrderState.DONE else "v1"}
    ((order, state, _),) = rollouts.pending_writes(103.0)
    assert (order.revision, state) == (Revision(2, 40), outcome)
    rollouts.set_order(attrs.evolve(stated, revision=Revision(2, 41)), 104.0)
    assert not rollouts.pending_writes(105.0)


def test_running_order_keeps_its_counts_over_a_restore() -> None:
    rollouts = Rollouts(share=SHARE, extra=EXTRA)
    rollouts.set_order(attrs.evolve(ORDER, revision=Revision(1, 70)), 100.0)
    for _ in range(MIN_RUNS):
        rollouts.record_send(NEW[0])
        rollouts.record_end(NEW[0], "a", failed=False, took_s=None)
    rollouts.set_order(attrs.evolve(ORDER, revision=Revision(2, 40)), 104.0)
    ((order, state, _),) = rollouts.pending_writes(100.0 + ORDER.duration_s)
    assert (order.revision, state) == (Revision(2, 40), OrderState.DONE)
