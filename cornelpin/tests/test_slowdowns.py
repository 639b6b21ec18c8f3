"""How long work takes on servers at this moment, and placements that know it."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from typing import TYPE_CHECKING

import attrs
import pytest

from cornelpin.platform import read_response
from cornelpin.scheduling.decisions import Placement
from cornelpin.scheduling.slowdowns import (
    FACTOR_RANGE,
    HALF_LIFE_S,
    MAX_PER_MESSAGE,
    REPEAT_S,
    Slowdowns,
)
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import run_harness, until
from cornelpin.tests.scheduling_harness import (
    PLAIN,
    make_dispatcher,
    make_job,
    make_server,
)

if TYPE_CHECKING:
    from cornelpin.scheduling.dispatcher import Dispatcher
    from cornelpin.scheduling.servers import BackendServer

SERVER = make_server("i-1", started_ms=7)
LOOKUP = attrs.evolve(PLAIN, objective_s=0.2)
"""A route on which a slowed response takes most of the objective."""

LOADS = [
    # Value of the header, slowdown, whether it counts as invalid.
    ("", None, False),
    ("3,0,8", None, False),
    ("3,0,8,100", 1.0, False),
    ("3, 0, 8, 250", 2.5, False),
    ("3,0,8,87.5", 0.875, False),
    ("3,0,8,400,7", 4.0, False),
    ("3,0,8,", None, True),
    ("3,0,8,0", None, True),
    ("3,0,8,-100", None, True),
    ("3,0,8,nan", None, True),
    ("3,0,8,1e3", None, True),
    ("3,0,8,slow", None, True),
    ("3,0,8," + "9" * 400, None, True),
]


@pytest.mark.parametrize(("load", "slowdown", "bad"), LOADS)
def test_slowdown_is_decoded(load: str, slowdown: float | None, bad: bool) -> None:
    info = read_response(200, [(b"Server-Load", load.encode())])
    assert info.slowdown == (None if slowdown is None else pytest.approx(slowdown))
    assert info.bad_slowdown is bad


def test_slowdown_fades_to_the_mean_of_its_server() -> None:
    slowdowns = Slowdowns()
    assert slowdowns.expected(SERVER, 100.0) == 1.0
    slowdowns.record(SERVER, 1.0, 100.0)
    slowdowns.record(SERVER, 4.0, 101.0)
    assert slowdowns.expected(SERVER, 101.0) == pytest.approx(4.0)
    half = slowdowns.expected(SERVER, 101.0 + HALF_LIFE_S)
    mean = slowdowns.expected(SERVER, 160.0)
    assert 1.0 < mean < 1.2
    assert half == pytest.approx((4.0 + mean) / 2)


def test_slowdown_belongs_to_an_incarnation() -> None:
    slowdowns = Slowdowns()
    slowdowns.record(SERVER, 4.0, 100.0)
    assert slowdowns.expected(make_server("i-1", started_ms=8), 100.0) == 1.0
    slowdowns.forget(set())
    assert slowdowns.expected(SERVER, 100.0) == 1.0
    assert slowdowns.take_unsent(100.0) == []


@pytest.mark.parametrize("factor", [1e-6, 1e6])
def test_implausible_slowdown_is_cut_and_counted(factor: float) -> None:
    slowdowns = Slowdowns()
    assert slowdowns.record(SERVER, factor, 100.0) in FACTOR_RANGE
    assert slowdowns.invalid == 1


def test_peers_take_the_later_statement() -> None:
    one, other = Slowdowns(), Slowdowns()
    one.record(SERVER, 4.0, 100.0)
    sent = one.take_unsent(100.1)
    assert sent == [["i-1", 7, 4.0, 0.1]]
    assert one.take_unsent(100.1) == []
    other.record(SERVER, 2.0, 100.15)
    other.merge(sent, 100.2)
    assert other.expected(SERVER, 100.15) == pytest.approx(2.0)
    other.merge([["i-1", 7, 4.0, 0.1]], 100.3)
    assert other.expected(SERVER, 100.2) == pytest.approx(4.0)
    assert other.age_s(SERVER, 100.3) == pytest.approx(0.1)


def test_unchanged_statements_are_sent_rarely() -> None:
    slowdowns = Slowdowns()
    slowdowns.record(SERVER, 1.0, 99.0)
    assert len(slowdowns.take_unsent(99.0)) == 1
    sent = 0
    for tick in range(100):
        now = 100.0 + tick / 100
        slowdowns.record(SERVER, 3.0, now)
        sent += len(slowdowns.take_unsent(now))
    assert sent <= 1.0 / REPEAT_S + 1
    assert sent >= 2


def test_server_that_is_slow_all_the_time_is_told_once() -> None:
    slowdowns = Slowdowns()
    sent = 0
    for tick in range(300):
        now = 100.0 + tick / 100
        slowdowns.record(SERVER, 2.8, now)
        sent += len(slowdowns.take_unsent(now))
    assert sent == 1


def test_message_has_a_bound() -> None:
    slowdowns = Slowdowns()
    for number in range(MAX_PER_MESSAGE + 5):
        slowdowns.record(make_server(f"i-{number}"), 2.0, 100.0)
    assert len(slowdowns.take_unsent(100.0)) == MAX_PER_MESSAGE
    assert len(slowdowns.take_unsent(100.0)) == 5


class Neighbours:
    """Servers whose neighbours slow them down by turns.

    One entry sends requests of ``WORK_S`` to ``SERVERS`` servers, at ``RATE_PER_S``. A
    server is ``FACTOR`` times as slow for ``SPELL_S`` at a time, ``SHARE`` of the time.
    """

    SERVERS, SLOTS = 8, 6
    FACTOR, SHARE, SPELL_S = 4.0, 0.2, 0.6
    WORK_S, RATE_PER_S, DURATION_S = 0.04, 240.0, 20.0

    def __init__(self, seed: int, *, stated: bool) -> None:
        self._rng = random.Random(seed)
        self._stated = stated
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, str, object]] = []
        servers = [make_server(f"i-{n}", slots=self.SLOTS) for n in range(self.SERVERS)]
        self._slow = dict.fromkeys((s.id for s in servers), False)
        self._dispatcher: Dispatcher = make_dispatcher(servers)
        for server in servers:
            self._at(self._rng.uniform(0, self.SPELL_S), "spell", server)
        self._at(0.0, "arrival", None)
        self.times: list[float] = []

    def _at(self, now: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (now, next(self._numbers), kind, subject))

    def run(self) -> list[float]:
        """Returns the sorted response times in seconds."""
        while self._events:
            now, _, kind, subject = heapq.heappop(self._events)
            if now > self.DURATION_S:
                break
            getattr(self, f"_on_{kind}")(now, subject)
        return sorted(self.times)

    def _on_spell(self, now: float, server: BackendServer) -> None:
        self._slow[server.id] = self._rng.random() < self.SHARE
        self._at(now + self.SPELL_S, "spell", server)

    def _on_arrival(self, now: float, subject: object) -> None:
        job = make_job(route=LOOKUP, arrived=now)
        assert self._dispatcher.offer(job, now) is None
        for _, placement in self._dispatcher.dispatch("app", now):
            assert isinstance(placement, Placement)
            factor = self.FACTOR if self._slow[placement.server.id] else 1.0
            took_s = factor * self.WORK_S * self._rng.uniform(0.8, 1.2)
            self._at(now + took_s, "end", (job, placement, factor, took_s))
        self._at(now + self._rng.expovariate(self.RATE_PER_S), "arrival", None)

    def _on_end(self, now: float, ended: tuple[object, ...]) -> None:
        job, placement, factor, took_s = ended
        dispatcher = self._dispatcher
        if self._stated:
            placement.stated_slowdown = dispatcher.slowdowns.record(  # type: ignore
                placement.server,  # type: ignore[attr-defined]
                factor,  # type: ignore[arg-type]
                now,
            )
        dispatcher.first_bytes(job, placement, took_s, now)  # type: ignore[arg-type]
        dispatcher.release(job, placement, now)  # type: ignore[arg-type]
        self.times.append(took_s)  # type: ignore[arg-type]


def test_stated_slowdowns_keep_requests_from_slow_servers() -> None:
    """A neighbour that slows a server for half a second is felt by fewer callers."""
    slow_s = 2 * Neighbours.WORK_S
    met: dict[bool, float] = {}
    for stated in (False, True):
        times = [t for seed in range(3) for t in Neighbours(seed, stated=stated).run()]
        met[stated] = sum(t > slow_s for t in times) / len(times)
    assert met[True] <= 0.5 * met[False]


def test_server_that_states_a_constant_is_taken_by_what_is_measured() -> None:
    liar, honest = make_server("liar", slots=50), make_server("honest", slots=50)
    dispatcher = make_dispatcher([liar, honest])
    for number in range(40):
        now = 100.0 + number / 10
        job = make_job(route=PLAIN, arrived=now)
        dispatcher.offer(job, now)
        ((_, placement),) = dispatcher.dispatch("app", now)
        assert isinstance(placement, Placement)
        # The liar is as fast as the other one, whatever it states.
        stated = 0.2 if placement.server is liar else 1.0
        placement.stated_slowdown = dispatcher.slowdowns.record(
            placement.server, stated, now
        )
        dispatcher.first_bytes(job, placement, 0.05, now + 0.05)
        dispatcher.release(job, placement, now + 0.05)
    first, second = dispatcher._candidates.of_service("app", 104.0)
    expected = [c.slowdown * c.speed.response_s for c in (first, second)]
    assert expected[0] == pytest.approx(expected[1], rel=0.2)


def test_entries_of_a_data_centre_learn_slowdowns_from_each_other() -> None:
    async def scenario() -> None:
        async with run_harness(entries=2, servers=1) as harness:
            await until(lambda: all(e.peers.count == 2 for e in harness.entries))
            (server,) = harness.servers
            server.behaviour.load = "1,0,4,400"
            one, other = harness.entries
            response = await fetch(one._settings.callers, "/safe/x")
            assert "server-load" not in response.headers
            listed = other.state.servers.get(server.id)
            assert listed is not None
            slowdowns = other.scheduler.dispatcher.slowdowns
            await until(lambda: slowdowns.age_s(listed, 0.0) is not None, 1.0)

    asyncio.run(scenario())
