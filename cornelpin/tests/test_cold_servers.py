"""Servers that have just started: what entries know of them, and what they take."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cornelpin.gateway.permit_messages import Ask, ask_message, read_asks
from cornelpin.platform import BadValue, decode_server, read_response
from cornelpin.scheduling.permits import PermitRequest
from cornelpin.scheduling.restrictions import MAX_COLD_S, SUSPICION_S, ColdServers
from cornelpin.scheduling.server_selection import expected_response_s
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, config, run_harness, until
from cornelpin.tests.scheduling_harness import make_dispatcher, make_job, make_server
from cornelpin.tests.test_limited_servers import (
    arrivals_after,
    most_in_window,
    offered_load,
    wait_until_connected,
)

RATE_PER_S = 4.0
COLD_FACTOR, COLD_EXTRA = 1.5, 5.0
"""What the platform's rule tolerates in one second: this multiple of the rate, and
these further requests."""


def cold_servers(rate_per_s: float = RATE_PER_S) -> ColdServers:
    cold = ColdServers()
    cold.configure({"app": rate_per_s, "other": 0.0})
    return cold


REGISTRATIONS = [
    # Time and remaining warm-up time of each registration, and whether the server is
    # restricted at 101.0, 102.9 and 104.1.
    ("warm", [(100.0, 0.0)], (False, False, False)),
    ("cold", [(100.0, 3.0)], (True, True, False)),
    ("heartbeats while cold", [(100.0, 3.0), (101.2, 1.8)], (True, True, False)),
    ("the same one listed again", [(100.0, 3.0), (101.5, 3.0)], (True, True, False)),
    ("an older one listed later", [(100.0, 3.0), (100.5, 0.0)], (True, True, False)),
    ("cold again", [(90.0, 3.0), (101.9, 3.0)], (False, True, True)),
    ("negative", [(100.0, -5.0)], (False, False, False)),
    ("huge", [(100.0, 1e12)], (True, True, True)),
]


@pytest.mark.parametrize(
    ("registrations", "restricted"),
    [row[1:] for row in REGISTRATIONS],
    ids=[row[0] for row in REGISTRATIONS],
)
def test_registrations_say_for_how_long_a_server_is_cold(
    registrations: list[tuple[float, float]], restricted: tuple[bool, ...]
) -> None:
    cold, server = cold_servers(), make_server("i-1")
    for at, cold_s in registrations:
        for asked_at, expected in zip((101.0, 102.9, 104.1), restricted, strict=True):
            if asked_at < at:
                assert (cold.rate_per_s(server, asked_at) is not None) is expected
        cold.register(make_server("i-1", cold_s=cold_s), at)
    last_at = registrations[-1][0]
    for asked_at, expected in zip((101.0, 102.9, 104.1), restricted, strict=True):
        if asked_at >= last_at:
            assert (cold.rate_per_s(server, asked_at) is not None) is expected


def test_huge_warm_up_time_is_cut_and_counted() -> None:
    cold, server = cold_servers(), make_server("i-1")
    cold.register(make_server("i-1", cold_s=1e12), 100.0)
    assert cold.left_s(server.incarnation, 100.0) == MAX_COLD_S
    assert cold.invalid == 1


@pytest.mark.parametrize("rates", [{}, {"app": 0.0}, {"other": 4.0}])
def test_cold_servers_are_not_restricted_unless_configured(
    rates: dict[str, float],
) -> None:
    cold, server = ColdServers(), make_server("i-1", cold_s=3.0)
    cold.configure(rates)
    cold.register(server, 100.0)
    assert cold.rate_per_s(server, 101.0) is None
    assert cold.suspect([server], 101.0) == []


def test_another_incarnation_is_not_cold() -> None:
    cold = cold_servers()
    cold.register(make_server("i-1", started_ms=1, cold_s=3.0), 100.0)
    assert cold.rate_per_s(make_server("i-1", started_ms=2), 101.0) is None


def test_suspected_servers_count_as_cold_until_they_would_have_said_so() -> None:
    cold, server = cold_servers(), make_server("i-1")
    assert cold.suspect([server], 100.0, from_s=0.7) == [server]
    assert cold.suspect([server], 100.5) == []
    assert cold.rate_per_s(server, 100.69 + SUSPICION_S) == RATE_PER_S
    assert cold.rate_per_s(server, 100.71 + SUSPICION_S) is None
    assert cold.expire(110.0) == [server.incarnation]
    assert len(cold) == 0


def test_servers_suspected_before_the_configuration_are_restricted_by_it() -> None:
    cold, server = ColdServers(), make_server("i-1")
    cold.suspect([server], 100.0)
    assert cold.rate_per_s(server, 100.1) is None
    cold.configure({"app": RATE_PER_S})
    assert cold.rate_per_s(server, 100.2) == RATE_PER_S


@pytest.mark.parametrize("cold_s", [0.0, 2.5])
@pytest.mark.parametrize("limited", [False, True])
def test_request_for_permits_tells_how_cold_its_server_is(
    cold_s: float, limited: bool
) -> None:
    known = ["i-1", 7, 2.0, 0.5, 0] if limited else None
    ask = Ask(PermitRequest(("i-1", 7), 12, 2, 0.25), known, cold_s)
    assert list(read_asks(ask_message(ask))) == [ask]


def test_request_for_permits_of_an_earlier_build_is_understood() -> None:
    (ask,) = read_asks({"asks": [["i-1", 7, 2.0, 0.5, 0, 12, 2, 0.25]]})
    assert ask == Ask(PermitRequest(("i-1", 7), 12, 2, 0.25), ["i-1", 7, 2.0, 0.5, 0])


HEADERS = [
    ("2500", 2.5),
    ("0", 0.0),
    ("", 0.0),
    ("-1", 0.0),
    ("soon", 0.0),
    ("nan", 0.0),
    ("1,2", 0.0),
]


@pytest.mark.parametrize(("text", "cold_s"), HEADERS)
def test_warm_up_time_of_a_response_is_decoded(text: str, cold_s: float) -> None:
    info = read_response(200, [(b"Cold-Ms", text.encode())])
    assert info.cold_s == pytest.approx(cold_s)


@pytest.mark.parametrize("value", ["3", [3], {"a": 1}, True])
def test_registration_with_a_warm_up_time_of_another_type_names_no_server(
    value: Any,
) -> None:
    spec = {
        "service": "app",
        "address": "127.0.0.1:1",
        "zone": "here",
        "slots": 1,
        "state": "ready",
    }
    assert decode_server("i-1", spec).cold_s == 0.0
    with pytest.raises(BadValue, match="cold_left_ms"):
        decode_server("i-1", spec | {"cold_left_ms": value})


class ColdPermits:
    """Limits and permits of servers, of which some are cold."""

    def __init__(self, cold: set[str], permits: int) -> None:
        self._cold, self._permits = cold, permits
        self.asked: list[str] = []

    def limit_per_s(self, server: Any) -> float | None:
        return RATE_PER_S if server.id in self._cold else None

    def cold_rate_per_s(self, server: Any) -> float | None:
        return self.limit_per_s(server)

    def permits(self, server: Any, now: float) -> int:
        return self._permits

    def may_ask(self, server: Any, now: float) -> bool:
        return server.id not in self.asked

    def ask(self, server: Any, count: int, score: float, now: float) -> None:
        self.asked.append(server.id)

    def take(self, server: Any, now: float) -> None:
        self._permits -= 1

    def known_rate(self, server: Any, now: float) -> tuple[float, float]:
        return 0.0, 0.0


def test_slow_responses_of_a_cold_server_do_not_spoil_its_speed() -> None:
    server = make_server("i-1")
    dispatcher = make_dispatcher([server])
    dispatcher._candidates.permits = ColdPermits({"i-1"}, 5)
    before = dispatcher.speed(server)
    for _ in range(5):
        job = make_job()
        assert dispatcher.offer(job, 100.0) is None
        ((_, placement),) = dispatcher.dispatch("app", 100.0)
        assert placement.cold  # type: ignore[union-attr]
        took_s = 5 * placement.expected_s  # type: ignore[union-attr]
        dispatcher.first_bytes(job, placement, took_s, 100.5)  # type: ignore[arg-type]
        dispatcher.release(job, placement, 101.0)  # type: ignore[arg-type]
    assert dispatcher.speed(server) == before
    assert dispatcher.speed(server).samples == 0
    # Later requests to cold servers are expected to take as long.
    (candidate,) = dispatcher._candidates.of_service("app", 102.0)
    assert candidate.slowdown > 3.0
    dispatcher._candidates.permits = ColdPermits(set(), 0)
    (warm,) = dispatcher._candidates.of_service("app", 102.0)
    assert expected_response_s(make_job(), warm) < 0.1


def cold_config() -> dict[str, Any]:
    services = [{"name": "app", "health_path": "/health", "cold_per_s": RATE_PER_S}]
    return config(services=services)


def register(harness: Harness, number: int, cold_ms: int) -> None:
    server = harness.servers[number]
    server.cold_left_ms = cold_ms
    harness.store.put("servers", server.id, server.store_spec())


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_cold_server_gets_no_more_than_it_takes_from_all_entries(path: str) -> None:
    async def scenario() -> None:
        services = cold_config()["services"]
        async with run_harness(entries=3, servers=1, services=services) as harness:
            await wait_until_connected(harness)
            (server,) = harness.servers
            await asyncio.sleep(SUSPICION_S)
            register(harness, 0, 4000)
            await until(lambda: all(len(e.server_limits.cold) for e in harness.entries))
            loop = asyncio.get_running_loop()
            told = loop.time()
            async with offered_load(harness.entries, 10.0, path) as answers:
                await asyncio.sleep(3.8)
                cold = arrivals_after(server, told)
                # It is warm by its own account; the load is then served.
                await asyncio.sleep(1.2)
                answers.clear()
                await asyncio.sleep(0.7)
            most = most_in_window(cold, 1.0)
            assert most <= COLD_FACTOR * RATE_PER_S + COLD_EXTRA
            assert len(cold) >= 0.7 * RATE_PER_S * 3.8
            assert {status for status, _ in answers} == {200}

    asyncio.run(scenario())


def test_nobody_waits_for_a_cold_server_while_another_is_free() -> None:
    async def scenario() -> None:
        services = cold_config()["services"]
        async with run_harness(entries=2, servers=2, services=services) as harness:
            await wait_until_connected(harness)
            await asyncio.sleep(SUSPICION_S)
            register(harness, 0, 3000)
            await until(lambda: all(len(e.server_limits.cold) for e in harness.entries))
            async with offered_load(harness.entries, 15.0) as answers:
                await asyncio.sleep(1.0)
            assert {status for status, _ in answers} == {200}
            assert max(took_s for _, took_s in answers) < 0.25

    asyncio.run(scenario())


def test_entry_that_starts_does_not_trust_that_servers_are_warm() -> None:
    async def scenario() -> None:
        services = cold_config()["services"]
        async with run_harness(servers=2, services=services) as harness:
            (entry,) = harness.entries
            listed = entry.state.servers.all(0.0).values()
            assert [entry.server_limits.limit_per_s(s) for s in listed] == [
                RATE_PER_S
            ] * 2
            response = await fetch(entry._settings.callers, "/safe/x")
            assert response.status == 200

    asyncio.run(scenario())
