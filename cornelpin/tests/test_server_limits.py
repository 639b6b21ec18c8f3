"""Limits that servers name in their responses, and how entries learn them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from cornelpin.gateway.limit_log import LOG_INTERVAL_S, LimitLog
from cornelpin.platform import read_response
from cornelpin.scheduling.permit_demand import (
    NoPermits,
    after_peers,
    held_back,
    permits_wanted,
)
from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.server_limits import FORGET_S, MAX_PER_MESSAGE, ServerLimits
from cornelpin.scheduling.server_selection import Candidate
from cornelpin.scheduling.speed import SpeedEstimate
from cornelpin.tests.scheduling_harness import make_job, make_server

if TYPE_CHECKING:
    from cornelpin.scheduling.servers import BackendServer

SERVER = make_server("i-1", started_ms=7)
INCARNATION = SERVER.incarnation

VALUES = [
    # Values of the header, limit, whether they are counted as invalid.
    (["1.8"], 1.8, False),
    (["0.05"], 0.05, False),
    (["3"], 3.0, False),
    ([" 2 "], 2.0, False),
    (["0"], 0.0, False),
    ([], None, False),
    ([""], None, True),
    (["-1"], None, True),
    (["+1"], None, True),
    (["inf"], None, True),
    (["nan"], None, True),
    (["1e3"], None, True),
    (["1_0"], None, True),
    (["soon"], None, True),
    (["9" * 400], None, True),
    (["1000000000"], 1e6, True),
    (["2", "3"], 2.0, True),
    (["3, 2"], 2.0, True),
    (["2", "x"], 2.0, True),
    ([","], None, True),
]


@pytest.mark.parametrize(("values", "limit_per_s", "bad"), VALUES)
def test_limit_is_decoded(
    values: list[str], limit_per_s: float | None, bad: bool
) -> None:
    info = read_response(200, [(b"Server-Limit", v.encode()) for v in values])
    assert info.limit_per_s == limit_per_s
    assert bool(info.bad_limit) is bad


class FixedPermits(NoPermits):
    """Permits of which any number may be asked for, except from some servers."""

    def __init__(self, pending: tuple[str, ...] = ()) -> None:
        self._pending = pending

    def may_ask(self, server: BackendServer, now: float) -> bool:
        return server.id not in self._pending


def candidate(name: str, **fields: Any) -> Candidate:
    defaults = {"health": ServerHealth(), "limit_per_s": 2.0}
    return Candidate(make_server(name, slots=4), SpeedEstimate(), **(defaults | fields))


def ejected() -> ServerHealth:
    health = ServerHealth()
    health.unreachable(100.0)
    return health


WANTED = [
    # Number of queued jobs, servers, those whose reply is pending, what is asked for.
    (0, [candidate("a")], (), []),
    (1, [candidate("a")], (), [("a", 1)]),
    (
        3,
        [candidate("a", running=3), candidate("b", running=3)],
        (),
        [("a", 1), ("b", 1)],
    ),
    (9, [candidate("a", running=1)], (), [("a", 3)]),
    (1, [candidate("a", permits=1)], (), []),
    (1, [candidate("a", running=4)], (), []),
    (1, [candidate("a", paused=True)], (), []),
    (1, [candidate("a", limit_per_s=None)], (), []),
    (1, [candidate("a"), candidate("b")], ("a",), [("b", 1)]),
    (1, [candidate("a", health=ejected()), candidate("b")], (), [("b", 1)]),
    (1, [candidate("a", health=ejected())], (), [("a", 1)]),
]


@pytest.mark.parametrize(("jobs", "candidates", "pending", "wanted"), WANTED)
def test_permits_are_asked_for_queued_jobs(
    jobs: int,
    candidates: list[Candidate],
    pending: tuple[str, ...],
    wanted: list[tuple[str, int]],
) -> None:
    queued = [make_job() for _ in range(jobs)]
    asked = permits_wanted(queued, None, candidates, FixedPermits(pending), 100.1)
    assert [(c.server.id, count) for c, count in asked] == wanted


@pytest.mark.parametrize(
    ("running", "limited", "wanted"),
    [(3, False, ["free"]), (0, False, []), (3, True, [])],
)
def test_permit_is_asked_for_if_a_job_would_rather_have_used_it(
    running: int, limited: bool, wanted: list[str]
) -> None:
    taken = candidate("taken", running=running, limit_per_s=2.0 if limited else None)
    servers = [taken, candidate("free", running=1)]
    asked = permits_wanted([], (make_job(), taken), servers, FixedPermits(), 100.1)
    assert [c.server.id for c, _ in asked] == wanted


@pytest.mark.parametrize(
    ("ahead", "chosen"), [(0, "a"), (1, "limited"), (9, "limited")]
)
def test_peers_requests_leave_servers_of_own_permits(ahead: int, chosen: str) -> None:
    ranked = [
        candidate("a", limit_per_s=None),
        candidate("limited", permits=1),
        candidate("c", limit_per_s=None),
    ]
    assert after_peers(ranked, ahead).server.id == chosen


def test_held_back_servers_are_named_for_the_log() -> None:
    servers = [candidate(name) for name in "abcdef"]
    servers += [candidate("full", running=4), candidate("permitted", permits=1)]
    named = held_back(servers[::-1], NoPermits(), 100.0)
    assert [server.server for server in named] == list("fedc")
    assert {(server.limit_per_s, server.age_s) for server in named} == {(2.0, None)}


def test_limit_ends_after_two_responses_without_it() -> None:
    limits = ServerLimits()
    assert not limits.observe(INCARNATION, None, sent_at=9.0, now=9.1)
    assert limits.observe(INCARNATION, 2.0, sent_at=9.0, now=10.0)
    assert not limits.observe(INCARNATION, 2.0, sent_at=9.0, now=10.5)
    # The request was sent before the limit was named.
    assert not limits.observe(INCARNATION, None, sent_at=10.2, now=10.6)
    assert not limits.observe(INCARNATION, None, sent_at=10.6, now=10.7)
    assert limits.limit_per_s(SERVER) == 2.0
    assert limits.observe(INCARNATION, None, sent_at=10.8, now=10.9)
    assert limits.limit_per_s(SERVER) is None
    assert limits.limited == 0


def test_limit_belongs_to_one_incarnation() -> None:
    limits = ServerLimits()
    limits.observe(INCARNATION, 2.0, sent_at=9.0, now=10.0)
    assert limits.limit_per_s(make_server("i-1", started_ms=8)) is None


def test_later_observation_of_any_entry_holds() -> None:
    one, other = ServerLimits(), ServerLimits()
    one.observe(INCARNATION, 2.0, sent_at=9.0, now=10.0)
    received = one.take_unsent(10.1)
    assert not one.take_unsent(10.1)
    assert other.merge(received, 10.2) == [INCARNATION]
    assert not other.take_unsent(10.2)
    other.observe(INCARNATION, None, sent_at=11.0, now=11.1)
    one.merge(other.take_unsent(11.2), 11.2)
    one.observe(INCARNATION, None, sent_at=12.0, now=12.1)
    assert one.limit_per_s(SERVER) is None
    # The other entry has an older state, and gets the later one.
    assert not one.merge(other.export(12.2), 12.2)
    assert other.merge(one.take_unsent(12.3), 12.3) == [INCARNATION]
    assert other.limit_per_s(SERVER) is None


def test_observations_are_sent_in_parts() -> None:
    limits = ServerLimits()
    for number in range(MAX_PER_MESSAGE + 5):
        limits.observe((f"i-{number}", 7), 2.0, sent_at=9.0, now=10.0)
    assert len(limits.take_unsent(10.0)) == MAX_PER_MESSAGE
    assert len(limits.take_unsent(10.0)) == 5
    assert not limits.take_unsent(10.0)


def test_limit_of_a_server_that_is_gone_is_forgotten() -> None:
    limits = ServerLimits()
    limits.observe(INCARNATION, 2.0, sent_at=9.0, now=10.0)
    limits.forget(set(), 10.0 + FORGET_S)
    assert limits.limited == 1
    limits.forget({INCARNATION}, 11.0 + FORGET_S)
    assert limits.limited == 1
    limits.forget(set(), 11.0 + FORGET_S)
    assert limits.limited == 0


def test_changing_limits_are_logged_once_in_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[tuple[str, int]] = []

    def record(name: str, **fields: object) -> None:
        logged.append((name, int(str(fields["skipped"]))))

    monkeypatch.setattr("cornelpin.gateway.limit_log.logs.event", record)
    monkeypatch.setattr("cornelpin.gateway.limit_log.logs.warning", record)
    log = LimitLog()
    for tenth in range(10 * round(2 * LOG_INTERVAL_S) + 1):
        log.changed("i-1", tenth, tenth + 1, source="a peer", now=tenth / 10)
        log.invalid("i-1", "x" * 1000, now=tenth / 10)
    names = ("server.limit_changed", "server.bad_limit")
    assert logged == [(name, skipped) for skipped in (0, 49, 49) for name in names]
