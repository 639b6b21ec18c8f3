"""Second sends beside slow ones: when, within which limit, and what counts."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import attrs
import pytest
from hypothesis import given, strategies as st

from cornelpin.gateway.exchange import Answered, Broken, NotRun, Outcome, ServerResponse
from cornelpin.gateway.hedged_send import Claim, HedgeResult, hedged_send
from cornelpin.gateway.settings import load_hedging
from cornelpin.platform import BadValue
from cornelpin.scheduling.budget import BUDGET_SHARE, BudgetBounds, RetryBudget
from cornelpin.scheduling.decisions import Placement
from cornelpin.scheduling.hedging import (
    BUSY,
    MAX_SHARE,
    MIN_SAMPLES,
    NO_BUDGET,
    NO_SERVER,
    RETRY_BUDGET_PART,
    Hedging,
    HedgingPolicy,
)
from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until
from cornelpin.tests.scheduling_harness import (
    PLAIN,
    STREAM,
    FixedPeers,
    make_dispatcher,
    make_job,
    make_server,
)
from standins.fleet.server import FleetServer

OK, ERROR = 200, 500


def measured(share: float = 0.05, samples: int = 200) -> Hedging:
    """Returns a hedging with responses of 0.9 to 1.1 times the expected time."""
    hedging = Hedging(HedgingPolicy(share=share))
    rng = random.Random(1)
    for _ in range(samples):
        hedging.record_response("lookup", 0.1 * rng.uniform(0.9, 1.1), 0.1)
    return hedging


@pytest.mark.parametrize("share", [0.02, 0.05, 0.2])
def test_as_many_responses_are_slow_as_may_be_hedged(share: float) -> None:
    delay_s = measured(share).delay_s("lookup", 0.1)
    assert delay_s == pytest.approx(0.1 * (1.1 - 0.2 * share), rel=0.01)


def test_delay_moves_with_the_load() -> None:
    hedging = measured()
    for _ in range(200):
        hedging.record_response("lookup", 0.3, 0.1)
    assert hedging.delay_s("lookup", 0.1) == pytest.approx(0.3)
    assert hedging.delay_s("lookup", 0.2) == pytest.approx(0.6)


@pytest.mark.parametrize(
    ("share", "samples", "route"),
    [
        (0.0, 200, "lookup"),
        (0.05, MIN_SAMPLES - 1, "lookup"),
        (0.05, 200, "another"),
    ],
    ids=["off", "few samples", "another route"],
)
def test_nothing_is_hedged(share: float, samples: int, route: str) -> None:
    assert measured(share, samples).delay_s(route, 0.1) is None


@given(
    share=st.floats(0.0, MAX_SHARE),
    entries=st.integers(1, 68),
    requests=st.integers(0, 400),
    restarts=st.integers(0, 5),
    seed=st.integers(0, 1000),
)
def test_all_entries_together_keep_the_share(
    share: float, entries: int, requests: int, restarts: int, seed: int
) -> None:
    rng = random.Random(seed)
    fleet = [Hedging(HedgingPolicy(share=share)) for _ in range(entries)]
    lost = {rng.randrange(requests) for _ in range(restarts)} if requests else set()
    hedged = 0
    for number in range(requests):
        entry = rng.randrange(entries)
        if number in lost:
            fleet[entry] = Hedging(HedgingPolicy(share=share))
        fleet[entry].note_request()
        hedged += fleet[entry].take()
    assert hedged <= share * requests + 1e-6


def test_share_is_used_even_if_it_is_small() -> None:
    hedging = Hedging(HedgingPolicy(share=0.02))
    hedged = 0
    for _ in range(1000):
        hedging.note_request()
        hedged += hedging.take()
    assert hedged == 20


def test_retries_go_before_hedges() -> None:
    budget = RetryBudget(BudgetBounds(ratio=0.2, extra=0.0, window_s=10.0))
    for _ in range(100):
        budget.note_request(100.0)
    total = int(BUDGET_SHARE * 0.2 * 100)
    hedges = sum(budget.take(100.0, 1, part=RETRY_BUDGET_PART) for _ in range(100))
    assert hedges == int(RETRY_BUDGET_PART * total)
    assert sum(budget.take(100.0, 1) for _ in range(100)) == total - hedges


SETTINGS: list[tuple[dict[str, str], dict[str, Any]]] = [
    ({}, {}),
    ({"CORNELPIN_HEDGE_SHARE": "0"}, {}),
    ({"CORNELPIN_HEDGE_SHARE": "0.02"}, {"share": 0.02}),
    ({"CORNELPIN_HEDGE_STREAMS": "1"}, {"streams": True}),
    ({"CORNELPIN_HEDGE_STREAMS": "0"}, {}),
    (
        {"CORNELPIN_HEDGE_ROUTES_OFF": "a, b,,", "CORNELPIN_HEDGE_WORKSPACES_OFF": ""},
        {"routes_off": frozenset({"a", "b"})},
    ),
]


@pytest.mark.parametrize(("environ", "fields"), SETTINGS)
def test_settings_are_read(environ: dict[str, str], fields: dict[str, Any]) -> None:
    assert load_hedging(environ) == HedgingPolicy(**fields)


@pytest.mark.parametrize(
    ("name", "text", "message"),
    [
        ("CORNELPIN_HEDGE_SHARE", "0.5", "from 0 to 0.2"),
        ("CORNELPIN_HEDGE_SHARE", "-0.1", "from 0 to 0.2"),
        ("CORNELPIN_HEDGE_SHARE", "nan", "from 0 to 0.2"),
        ("CORNELPIN_HEDGE_SHARE", "some", "could not convert"),
        ("CORNELPIN_HEDGE_STREAMS", "yes", "valid values: 0, 1"),
        ("CORNELPIN_HEDGE_DELAY", "1", "valid names: CORNELPIN_HEDGE_SHARE"),
    ],
)
def test_invalid_setting_is_named(name: str, text: str, message: str) -> None:
    with pytest.raises(BadValue, match=f"{name}.*{message}"):
        load_hedging({name: text})


def hedging_dispatcher(names: list[str], peers: FixedPeers | None = None) -> Any:
    """Returns a dispatcher that has earned a hedge for a placed job, and both."""
    servers = [make_server(name, slots=4) for name in names]
    dispatcher = make_dispatcher(servers, peers)
    dispatcher._hedging = HedgingPolicy(share=MAX_SHARE)
    for _ in range(MIN_SAMPLES):
        job = make_job(route=PLAIN)
        dispatcher.note_request(job)
        assert dispatcher.offer(job, 100.0) is None
        ((_, placement),) = dispatcher.dispatch("app", 100.0)
        dispatcher.first_bytes(job, placement, 0.05, 100.0)
        dispatcher.release(job, placement, 100.0)
    job = make_job(route=PLAIN)
    dispatcher.offer(job, 100.0)
    ((_, placement),) = dispatcher.dispatch("app", 100.0)
    job.avoid.add(placement.server.id)
    return dispatcher, job, placement


def test_slow_request_is_hedged_at_another_server() -> None:
    dispatcher, job, placement = hedging_dispatcher(["a", "b"])
    assert dispatcher.hedge_delay_s(job, placement) is not None
    second = dispatcher.hedge(job, 100.1)
    assert isinstance(second, Placement)
    assert second.server is not placement.server
    assert dispatcher.in_flight()[second.server.id][0] == 1


def eject(dispatcher: Any, job: Any) -> None:
    for candidate in dispatcher._candidates.of_service("app", 100.0):
        candidate.health.unreachable(100.0)


def queue_one(dispatcher: Any, job: Any) -> None:
    # Its servers are full for it: one that no server may run stays queued.
    blocked = make_job(route=PLAIN, run_failed=True)
    dispatcher._service("app").queue.add(blocked, 100.0)


def use_all(dispatcher: Any, job: Any) -> None:
    while dispatcher._service("app").hedging.take():
        pass


REASONS = [
    ("one server", ["a"], None, None, NO_SERVER),
    ("ejected", ["a", "b"], None, eject, NO_SERVER),
    ("the limit is reached", ["a", "b"], None, use_all, NO_BUDGET),
    ("requests wait here", ["a", "b"], None, queue_one, BUSY),
]


@pytest.mark.parametrize(
    ("names", "peers", "prepare", "reason"),
    [row[1:] for row in REASONS],
    ids=[row[0] for row in REASONS],
)
def test_slow_request_is_not_hedged(
    names: list[str], peers: FixedPeers | None, prepare: Any, reason: str
) -> None:
    dispatcher, job, _ = hedging_dispatcher(names, peers)
    if prepare is not None:
        prepare(dispatcher, job)
    before = dispatcher.in_flight()
    assert dispatcher.hedge(job, 100.1) == reason
    assert dispatcher.in_flight() == before


def test_nothing_is_hedged_while_requests_wait_elsewhere_or_slots_are_scarce() -> None:
    peers = FixedPeers()
    dispatcher, job, _ = hedging_dispatcher(["a", "b"], peers)
    peers.scores.append(1.0)
    assert dispatcher.hedge(job, 100.1) == BUSY
    peers.scores.clear()
    peers.flights = {"a": (4, 0), "b": (3, 0)}
    assert dispatcher.hedge(job, 100.1) == BUSY
    peers.flights = {}
    assert isinstance(dispatcher.hedge(job, 100.1), Placement)


HEDGED = [
    # Route, workspace, settings beside the share, whether it is hedged.
    ("may run again", PLAIN, "", {}, True),
    ("stream", attrs.evolve(PLAIN, kind=STREAM.kind), "", {"streams": True}, False),
    (
        "resumable stream",
        attrs.evolve(PLAIN, kind=STREAM.kind, resumable=True),
        "",
        {"streams": True},
        True,
    ),
    (
        "resumable stream, streams off",
        attrs.evolve(PLAIN, kind=STREAM.kind, resumable=True),
        "",
        {},
        False,
    ),
    ("route off", PLAIN, "", {"routes_off": frozenset({"lookup"})}, False),
    ("other route off", PLAIN, "", {"routes_off": frozenset({"review"})}, True),
    ("workspace off", PLAIN, "a", {"workspaces_off": frozenset({"a"})}, False),
    ("other workspace off", PLAIN, "b", {"workspaces_off": frozenset({"a"})}, True),
    ("no workspace", PLAIN, "", {"workspaces_off": frozenset({""})}, True),
]


@pytest.mark.parametrize(
    ("route", "workspace", "fields", "hedged"),
    [row[1:] for row in HEDGED],
    ids=[row[0] for row in HEDGED],
)
def test_routes_and_workspaces_that_are_hedged(
    route: Any, workspace: str, fields: dict[str, Any], hedged: bool
) -> None:
    dispatcher, _, placement = hedging_dispatcher(["a", "b"])
    dispatcher._hedging = HedgingPolicy(share=MAX_SHARE, **fields)
    job = make_job(route=route, workspace=workspace)
    assert (dispatcher.hedge_delay_s(job, placement) is not None) == hedged


def answered(status: int) -> Answered:
    return Answered(ServerResponse(status, [], b"", sealed=True))


FIRST, SECOND = (
    Placement(make_server(name), 0, 0, 0, 0.0, 0.05) for name in ("first", "second")
)
SENDS = [
    # Duration and outcome of the first send and the second, the placement and outcome
    # that count, failed and cancelled placements.
    (
        "first in time",
        (0.0, answered(OK)),
        None,
        (FIRST, answered(OK)),
        [],
        [],
    ),
    (
        "no second",
        (0.04, answered(OK)),
        None,
        (FIRST, answered(OK)),
        [],
        [],
    ),
    (
        "second wins",
        (0.5, answered(OK)),
        (0.01, answered(OK)),
        (SECOND, answered(OK)),
        [],
        [FIRST],
    ),
    (
        "first wins",
        (0.04, answered(OK)),
        (0.5, answered(OK)),
        (FIRST, answered(OK)),
        [],
        [SECOND],
    ),
    (
        "second fails",
        (0.06, answered(OK)),
        (0.01, answered(ERROR)),
        (FIRST, answered(OK)),
        [SECOND],
        [],
    ),
    (
        "first dies as the second answers",
        (0.04, Broken("reset", disconnected=True)),
        (0.03, answered(OK)),
        (SECOND, answered(OK)),
        [FIRST],
        [],
    ),
    (
        "both fail",
        (0.04, Broken("reset")),
        (0.05, NotRun("full", reached=True)),
        (SECOND, NotRun("full", reached=True)),
        [FIRST],
        [],
    ),
    (
        "first fails in time",
        (0.0, answered(ERROR)),
        None,
        (FIRST, answered(ERROR)),
        [],
        [],
    ),
]
DELAY_S = 0.02


@pytest.mark.parametrize(
    ("first", "second", "counts", "failed", "cancelled"),
    [row[1:] for row in SENDS],
    ids=[row[0] for row in SENDS],
)
def test_one_response_counts(
    first: Any, second: Any, counts: Any, failed: list[Any], cancelled: list[Any]
) -> None:
    ended: list[Placement] = []

    async def start(placement: Placement, claim: Claim) -> Outcome:
        duration_s, outcome = first if placement is FIRST else second
        try:
            await asyncio.sleep(duration_s)
            return outcome
        finally:
            ended.append(placement)

    async def scenario() -> HedgeResult:
        return await hedged_send(
            FIRST,
            start=start,
            second=lambda: SECOND if second is not None else None,
            delay_s=DELAY_S,
        )

    result = asyncio.run(scenario())
    assert (result.placement, result.outcome) == counts
    assert [placement for placement, _ in result.failed] == failed
    assert list(result.cancelled) == cancelled
    # No send outlives the result.
    assert len(ended) == (1 if second is None else 2)


BEGUN = [
    # Times at which the streams of both sends begin; None if it ends without; duration
    # after that. Whose outcome counts, and what is passed on.
    ("first begins in time", (0.0, 0.06), None, FIRST, [FIRST], []),
    ("first begins late", (0.04, 0.03), (0.1, 0.0), FIRST, [FIRST], [SECOND]),
    ("second begins first", (0.2, 0.0), (0.01, 0.1), SECOND, [SECOND], [FIRST]),
    ("second ends without one", (0.06, 0.02), (None, 0.01), FIRST, [FIRST], []),
]


@pytest.mark.parametrize("ends_well", [True, False])
@pytest.mark.parametrize(
    ("first", "second", "counts", "passed_on", "cancelled"),
    [row[1:] for row in BEGUN],
    ids=[row[0] for row in BEGUN],
)
def test_stream_that_begins_first_is_passed_on_alone(
    first: Any,
    second: Any,
    counts: Placement,
    passed_on: list[Placement],
    cancelled: list[Placement],
    ends_well: bool,
) -> None:
    begun: list[Placement] = []

    async def start(placement: Placement, claim: Claim) -> Outcome:
        begins_s, duration_s = first if placement is FIRST else second
        if begins_s is None:
            await asyncio.sleep(duration_s)
            return Broken("reset")
        await asyncio.sleep(begins_s)
        if not claim(placement):
            await asyncio.Event().wait()
        begun.append(placement)
        await asyncio.sleep(duration_s)
        return answered(OK) if ends_well else Broken("reset")

    result = asyncio.run(
        hedged_send(
            FIRST,
            start=start,
            second=lambda: SECOND if second is not None else None,
            delay_s=DELAY_S,
        )
    )
    assert result.placement is counts
    assert isinstance(result.outcome, Answered if ends_well else Broken)
    assert begun == passed_on
    assert list(result.cancelled) == cancelled


def test_streams_that_begin_together_are_passed_on_once() -> None:
    begun: list[Placement] = []

    async def start(placement: Placement, claim: Claim) -> Outcome:
        await asyncio.sleep(0.03 if placement is FIRST else 0.01)
        for _ in range(3):
            await asyncio.sleep(0)
        if not claim(placement):
            await asyncio.Event().wait()
        begun.append(placement)
        await asyncio.sleep(0.02)
        return answered(OK)

    for _ in range(20):
        begun.clear()
        result = asyncio.run(
            hedged_send(FIRST, start=start, second=lambda: SECOND, delay_s=0.02)
        )
        assert begun == [result.placement]
        assert len(result.cancelled) == 1


def test_both_sends_end_with_their_client() -> None:
    ended: list[Placement] = []

    async def start(placement: Placement, claim: Claim) -> Outcome:
        try:
            await asyncio.sleep(5.0)
        finally:
            ended.append(placement)
        raise AssertionError

    async def scenario() -> None:
        sends = asyncio.ensure_future(
            hedged_send(FIRST, start=start, second=lambda: SECOND, delay_s=0.01)
        )
        await asyncio.sleep(0.05)
        sends.cancel()
        await asyncio.gather(sends, return_exceptions=True)

    asyncio.run(scenario())
    assert set(ended) == {FIRST, SECOND}


async def serve(harness: Harness, count: int, path: str = "/safe/x") -> list[int]:
    address = harness.entries[0]._settings.callers
    return [(await fetch(address, path)).status for _ in range(count)]


def enable(harness: Harness, share: float) -> None:
    dispatcher = harness.entries[0].scheduler.dispatcher
    dispatcher._hedging = HedgingPolicy(share=share, streams=True)


def test_slow_server_is_hedged_and_its_run_cancelled() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            enable(harness, 0.2)
            assert await serve(harness, 120) == [OK] * 120
            slow, other = harness.servers
            # The fastest server gets requests that come one by one.
            slow.behaviour.answer_s, other.behaviour.answer_s = 0.005, 0.02
            await serve(harness, 60)
            loop = asyncio.get_running_loop()
            took_s = []
            slow.behaviour.answer_s = 1.0
            # Requests before may have used up what was earned.
            dispatcher = harness.entries[0].scheduler.dispatcher
            dispatcher._service("app").hedging._earned = 1.0
            for _ in range(4):
                began = loop.time()
                assert await serve(harness, 1) == [OK]
                took_s.append(loop.time() - began)
            # The first request that meets the slow server is hedged; later ones are
            # placed elsewhere.
            assert max(took_s) < 0.5
            assert len(slow.cancelled) >= 1
            runs = [n for s in harness.servers for n in s.runs.values()]
            assert max(runs) == 1

    asyncio.run(scenario())


async def slow_streams(
    harness: Harness, fault: str = ""
) -> tuple[FleetServer, list[Response]]:
    """Makes a server slow, and the others fail.

    Returns:
        The slow server, and responses to streams after that.
    """
    enable(harness, 0.2)
    path = "/stream/resumable/x"
    slow, *others = harness.servers
    # The fastest server gets requests that come one by one.
    for server in others:
        server.behaviour.gap_s = 0.02
    assert await serve(harness, 120, path) == [OK] * 120
    slow.behaviour.gap_s = 0.5
    for server in others:
        server.behaviour.fault = fault
    address = harness.entries[0]._settings.callers
    dispatcher = harness.entries[0].scheduler.dispatcher
    responses = []
    for _ in range(4):
        dispatcher._service("app").hedging._earned = 1.0
        responses.append(await fetch(address, path))
    return slow, responses


def test_stream_of_a_slow_server_is_hedged_before_its_first_event() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            slow, responses = await slow_streams(harness)
            events = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 4))
            assert [r.body for r in responses] == [events.encode()] * 4
            assert len(slow.cancelled) >= 1
            runs = [n for s in harness.servers for n in s.runs.values()]
            assert max(runs) == 1

    asyncio.run(scenario())


def test_hedged_stream_that_breaks_has_no_third_run() -> None:
    """Guards against a cancelled run that is not counted as one."""

    async def scenario() -> None:
        async with run_harness(servers=4) as harness:
            slow, responses = await slow_streams(harness, fault="cut")
            assert len(slow.cancelled) >= 1
            assert any(not response.complete for response in responses)
            runs: Counter[str] = Counter()
            for server in harness.servers:
                runs.update(server.runs)
            assert max(runs.values()) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
def test_requests_that_may_not_be_repeated_run_once(path: str) -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            enable(harness, 0.2)
            await serve(harness, 100, path)
            for server in harness.servers:
                server.behaviour.answer_s = server.behaviour.gap_s = 0.1
            assert await serve(harness, 3, path) == [OK] * 3
            runs = sum(n for s in harness.servers for n in s.runs.values())
            assert runs == 103

    asyncio.run(scenario())


def test_first_server_dies_as_the_second_answers() -> None:
    async def scenario() -> None:
        async with run_harness(servers=2) as harness:
            enable(harness, 0.2)
            await serve(harness, 120)
            for server in harness.servers:
                server.behaviour.answer_s = 0.06
            send = asyncio.create_task(serve(harness, 1))
            dispatcher = harness.entries[0].scheduler.dispatcher
            dispatcher._service("app").hedging._earned = 1.0
            await until(lambda: any(s.running for s in harness.servers))
            first = next(s for s in harness.servers if s.running)
            await until(lambda: all(s.running for s in harness.servers))
            await asyncio.sleep(0.04)
            first.server.reset_connections()
            assert await send == [OK]

    asyncio.run(scenario())
