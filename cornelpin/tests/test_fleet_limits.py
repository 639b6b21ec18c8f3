"""Limits shared by all entries: quotas, retry budget and the list of servers."""

from __future__ import annotations

import asyncio
import random
import time

import attrs
import pytest
from hypothesis import given, strategies as st

from cornelpin.gateway.peer import Peer
from cornelpin.gateway.peers import PEER_EXPIRY_S
from cornelpin.scheduling.budget import BUDGET_SHARE, BudgetBounds, RetryBudget
from cornelpin.scheduling.quota import (
    SLACK_SHARE,
    FleetView,
    Quotas,
    QuotaTolerance,
)
from cornelpin.scheduling.routing import Workspace
from cornelpin.scheduling.servers import ServerList
from cornelpin.tests.gateway_harness import run_harness
from cornelpin.tests.scheduling_harness import make_server

WORKSPACE = Workspace("blue", ("key",), rate_per_s=100.0, burst=100.0)
HEADROOM = QuotaTolerance().factor
WINDOW_S = 8.0
"""Length of the windows in which the limit is checked."""
OVERAGE = 1.1
"""Factor on rate and burst that the platform tolerates."""
SLACK = 90.0
"""Tokens allowed above OVERAGE times the limit: requests admitted before the counts of
peers arrive."""


def test_bucket_starts_empty_so_a_restart_grants_no_second_burst() -> None:
    quotas = Quotas(started=0.0)
    # Time to refill 50 tokens: 50 / (rate_per_s * HEADROOM).
    assert quotas.admit(WORKSPACE, 50, 0.0, FleetView()) == pytest.approx(
        0.476, abs=0.01
    )
    assert quotas.admit(WORKSPACE, 50, 1.0, FleetView()) is None


@pytest.mark.parametrize(
    ("heard", "known", "part"), [(6, 6, 1.0), (4, 6, 1.0), (3, 6, 0.5), (1, 6, 1 / 6)]
)
def test_partitioned_entries_use_their_part_of_the_rate(
    heard: int, known: int, part: float
) -> None:
    view = FleetView(heard, known)
    assert view.rate_fraction == pytest.approx(part)
    quotas = Quotas(started=0.0)
    used = sum(
        quotas.admit(WORKSPACE, 1, n / 1000, view) is None for n in range(10_000)
    )
    assert used == pytest.approx(10 * 100 * HEADROOM * part, rel=0.02)


def test_rate_used_up_by_peers_is_not_granted_again_on_first_contact() -> None:
    quotas = Quotas(started=0.0)
    for tenth in range(100):
        quotas.merge_peer_usage(("other", "1"), {"blue": 10.0 * tenth}, 10 + tenth / 10)
    assert quotas.admit(WORKSPACE, 50, 20.0, FleetView(2, 2)) is not None


def test_rate_half_used_by_peers_is_available_on_first_contact() -> None:
    quotas = Quotas(started=0.0)
    for tenth in range(100):
        quotas.merge_peer_usage(("other", "1"), {"blue": 5.0 * tenth}, 10 + tenth / 10)
    assert quotas.admit(WORKSPACE, 100, 20.0, FleetView(2, 2)) is None


def test_amount_of_a_request_that_did_not_run_is_refunded() -> None:
    quotas = Quotas(started=0.0)
    assert quotas.admit(WORKSPACE, 100, 2.0, FleetView()) is None
    assert quotas.admit(WORKSPACE, 50, 2.0, FleetView()) is not None
    quotas.refund("blue", 100)
    assert quotas.admit(WORKSPACE, 50, 2.0, FleetView()) is None
    assert quotas.used == {"blue": 50}


def test_lowered_limit_applies_at_once() -> None:
    quotas = Quotas(started=0.0)
    assert quotas.admit(WORKSPACE, 1, 50.0, FleetView()) is None
    lower = Workspace("blue", ("key",), rate_per_s=10.0, burst=10.0)
    assert quotas.admit(lower, 10, 50.0, FleetView()) is None
    assert quotas.admit(lower, 10, 50.0, FleetView()) is not None


IN_TOKENS = attrs.evolve(WORKSPACE, by_tokens=True)
REPAYMENTS = [
    # Workspace, entries heard of 4, slack, tokens per second by which a debt shrinks.
    ("a limit in tokens", IN_TOKENS, 4, 400.0, 100 * HEADROOM + SLACK_SHARE * 50),
    ("no slack", IN_TOKENS, 4, 0.0, 100 * HEADROOM),
    ("a limit in requests", WORKSPACE, 4, 400.0, 100 * HEADROOM),
    ("a minority", IN_TOKENS, 1, 400.0, (100 * HEADROOM + SLACK_SHARE * 50) / 4),
]


@pytest.mark.parametrize(
    ("workspace", "heard", "slack", "rate"),
    [row[1:] for row in REPAYMENTS],
    ids=[row[0] for row in REPAYMENTS],
)
def test_debts_of_concurrent_admissions_are_paid_from_the_slack(
    workspace: Workspace, heard: int, slack: float, rate: float
) -> None:
    """Guards against requests within a limit that are refused for a common debt.

    On a quiet day a workspace sent several times its rate for two seconds. Entries
    admitted 3,000 tokens too many before they knew of each other, and refused requests
    of later seconds for it.
    """
    quotas = Quotas(0.0, QuotaTolerance(slack=slack, window_s=8.0))
    view = FleetView(heard, 4)
    quotas.admit(workspace, 1, 20.0, view)
    level = quotas.level("blue")
    quotas.merge_peer_usage(("other", "1"), {"blue": level + 500})
    assert quotas.level("blue") == pytest.approx(-500)
    quotas.admit(workspace, 1, 21.0, view)
    assert quotas.level("blue") == pytest.approx(-500 + rate)


def test_slack_raises_no_rate_without_a_debt() -> None:
    quotas = Quotas(0.0, QuotaTolerance(slack=4_000.0))
    used = sum(
        quotas.admit(IN_TOKENS, 1, n / 1000, FleetView()) is None for n in range(10_000)
    )
    assert used == pytest.approx(10 * 100 * HEADROOM, rel=0.02)


@given(st.integers(0, 2**32), st.sampled_from([0.01, 0.1, 0.3]), st.booleans())
def test_no_window_exceeds_the_limit_across_all_entries(
    seed: int, gossip_s: float, kills: bool
) -> None:
    rng = random.Random(seed)
    entries = [Quotas(0.0) for _ in range(4)]
    incarnations = [0] * 4
    in_transit: list[tuple[float, int, int, dict[str, float]]] = []
    admitted: list[tuple[float, float]] = []
    now = 0.0
    while now < 24.0:
        now += rng.expovariate(40)
        while in_transit and in_transit[0][0] <= now:
            _, sender, incarnation, used = in_transit.pop(0)
            for number, quotas in enumerate(entries):
                if number != sender:
                    quotas.merge_peer_usage((str(sender), str(incarnation)), used)
        number = rng.randrange(4)
        if kills and rng.random() < 0.002:
            entries[number] = Quotas(now)
            incarnations[number] += 1
        amount = rng.uniform(1, 20)
        if entries[number].admit(WORKSPACE, amount, now, FleetView(4, 4)) is None:
            admitted.append((now, amount))
            in_transit.append(
                (
                    now + gossip_s,
                    number,
                    incarnations[number],
                    dict(entries[number].used),
                )
            )
    for start, _ in admitted:
        window = sum(a for time_s, a in admitted if start <= time_s < start + WINDOW_S)
        assert window <= (100 * WINDOW_S + 100) * OVERAGE + SLACK


BOUNDS = BudgetBounds(ratio=0.2, extra=60, window_s=10)


@pytest.mark.parametrize("entries", [1, 6, 30])
def test_retries_stay_within_the_shared_budget(entries: int) -> None:
    requests = 600 // entries
    repeats = 0
    for _ in range(entries):
        budget = RetryBudget(BOUNDS)
        for number in range(requests):
            budget.note_request(number * 10 / requests)
            repeats += budget.take(number * 10 / requests, entries)
    assert repeats <= BUDGET_SHARE * (0.2 * 600 + 60)
    assert repeats >= 0.7 * BUDGET_SHARE * (0.2 * 600)


MEMBERS = [
    # Peers that are heard, silent ones, the sure part of a limit after their expiry.
    (5, 0, 1.0),
    (4, 1, 1.0),
    (3, 2, 1.0),
    (2, 3, 0.5),
    (1, 4, 1 / 3),
    (0, 5, 1 / 6),
]


@pytest.mark.parametrize(("heard", "silent", "part"), MEMBERS)
def test_minority_uses_its_part_of_a_limit_after_the_others_have_expired(
    heard: int, silent: int, part: float
) -> None:
    async def scenario() -> None:
        async with run_harness() as harness:
            peers = harness.entries[0].peers
            peers._started -= 2 * PEER_EXPIRY_S
            now = time.monotonic()

            def add(name: str, age_s: float) -> None:
                peer = Peer("127.0.0.200", "here", "1", received_at=now - age_s)
                peers._peers[name] = peer

            for number in range(heard):
                add(f"heard-{number}", 0.0)
            for number in range(silent):
                add(f"silent-{number}", PEER_EXPIRY_S + 1.0)
            peers.tick()
            assert set(peers.live_peers()) == set(peers._peers)
            assert peers.fleet_view().sure_fraction == pytest.approx(part)
            # Others take the place of those that were lost.
            for number in range(silent):
                add(f"new-{number}", 0.0)
            peers.tick()
            assert peers.fleet_view().sure_fraction == 1.0

    asyncio.run(scenario())


@pytest.mark.parametrize("heard", [1, 3, 6])
def test_entries_that_are_cut_off_use_their_part_of_the_retry_budget(
    heard: int,
) -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            entry = await harness.add_entry(bounds={"budget_extra": 60})
            entry.state.fleet_view = lambda: FleetView(heard, known=6)
            now = time.monotonic()
            taken = sum(entry.state.take_retry("app", now) for _ in range(100))
            assert taken == int(BUDGET_SHARE * 60 / 6)

    asyncio.run(scenario())


def test_retry_budget_refills_over_time() -> None:
    budget = RetryBudget(BOUNDS)
    while budget.take(0.0, 1):
        pass
    assert not budget.take(9.0, 1)
    assert budget.take(10.5, 1)


def usable_ids(servers: ServerList, now: float) -> set[str]:
    return {i for i, s in servers.all(now).items() if not s.leaving}


def test_removed_server_is_used_within_its_drain_time() -> None:
    servers = ServerList(drain_s=2.0)
    servers.replace([make_server("a"), make_server("b"), make_server("c")], 0.0)
    servers.remove("a", 10.0)
    assert "a" in usable_ids(servers, 10.9)
    assert "a" not in usable_ids(servers, 11.1)


def test_draining_server_is_not_used_after_its_removal() -> None:
    servers = ServerList()
    servers.replace([make_server("a"), make_server("b")], 0.0)
    servers.put(make_server("a", leaving=True))
    assert usable_ids(servers, 0.0) == {"b"}
    servers.remove("a", 0.1)
    assert set(servers.all(0.1)) == {"b"}


@pytest.mark.parametrize(
    ("noticed", "drain_s", "last_s"),
    [(True, 2.0, 1.9), (True, 3.0, 1.9), (False, 2.0, 1.65), (False, 3.0, 1.9)],
)
def test_servers_expired_in_a_store_outage_have_time_to_return(
    noticed: bool, drain_s: float, last_s: float
) -> None:
    servers = ServerList(drain_s)
    servers.replace([make_server(name) for name in "abcd"], 0.0)
    if noticed:
        servers.outage_ended(20.0)
    servers.replace([make_server("a")], 20.0)
    assert usable_ids(servers, 20.0 + last_s) == {"a", "b", "c", "d"}
    servers.put(make_server("b"))
    assert usable_ids(servers, 22.5) == {"a", "b"}


def test_last_server_is_used_after_a_store_outage() -> None:
    servers = ServerList()
    servers.replace([make_server("a")], 0.0)
    servers.outage_ended(20.0)
    servers.replace([], 20.0, current_at=12.0)
    assert usable_ids(servers, 21.9) == {"a"}


@pytest.mark.parametrize("drain_s", [0.5, 2.0, 3.0])
@pytest.mark.parametrize("gap_s", [0.0, 0.05, 0.4, 0.9, 1.5])
def test_servers_that_leave_one_after_another_are_not_used_past_their_drain_time(
    gap_s: float, drain_s: float
) -> None:
    servers = ServerList(drain_s)
    servers.replace([make_server(name) for name in "abcd"], 0.0)
    for number, name in enumerate("abcd"):
        servers.remove(name, 10.0 + number * gap_s)
        servers.put(make_server(f"new-{name}"))
    for number, name in enumerate("abcd"):
        assert name not in usable_ids(servers, 10.0 + number * gap_s + drain_s - 0.25)


def test_server_that_left_unnoticed_is_not_used_past_its_drain_time() -> None:
    """Guards against a drain time that begins when a silent watch is noticed."""
    servers = ServerList(drain_s=2.0)
    servers.replace([make_server(name) for name in "abcd"], 0.0)
    servers.outage_ended(20.0)
    servers.replace([make_server(name) for name in "bcd"], 20.0, current_at=17.4)
    assert usable_ids(servers, 20.0) == {"b", "c", "d"}


def test_restarted_server_is_a_new_server() -> None:
    servers = ServerList()
    first = make_server("a", started_ms=5)
    servers.replace([first], 0.0)
    servers.mark_replaced(first)
    assert usable_ids(servers, 0.0) == set()
    servers.put(make_server("a", started_ms=9))
    assert usable_ids(servers, 0.0) == {"a"}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("entries", [6, 30])
def test_hot_workspace_stays_within_its_rate_despite_update_delay(
    entries: int, seed: int
) -> None:
    """Guards against a quota exceeded because updates between entries are delayed.

    Entries receive the counts of their peers every 0.3 s, while the workspace requests
    more than three times its rate.
    """
    hot = Workspace(
        "hot", ("key",), rate_per_s=320_000.0, burst=330_000.0, by_tokens=True
    )
    rng = random.Random(seed)
    tolerance = QuotaTolerance(slack=140_000.0)
    fleet = [Quotas(-5.0, tolerance) for _ in range(entries)]
    view = FleetView(entries, entries)
    used: list[tuple[float, float]] = []
    now = sent_at = 0.0
    while now < 12.0:
        now += rng.expovariate(180.0)
        amount = min(55_000.0, rng.lognormvariate(8.2, 1.0))
        if rng.choice(fleet).admit(hot, amount, now, view) is None:
            used.append((now, amount))
        if now - sent_at > 0.3:
            sent_at = now
            for quotas in fleet:
                for number, other in enumerate(fleet):
                    if other is not quotas:
                        quotas.merge_peer_usage((str(number), "1"), dict(other.used))
    most = max(
        sum(amount for time_s, amount in used if begin <= time_s < begin + WINDOW_S)
        for begin, _ in used
    )
    # 140,000 tokens more: requests admitted before the counts of peers arrive.
    assert most <= OVERAGE * (WINDOW_S * hot.rate_per_s + hot.burst) + 140_000
    assert sum(amount for _, amount in used) >= 0.85 * 12.0 * hot.rate_per_s
