from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import attrs
import pytest

from benchmarks.bound import good_calls
from benchmarks.checker import Evidence
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.experiment_compare import compare
from benchmarks.experiment_report import Latencies, write_report
from benchmarks.experiment_rows import (
    LATENCY_BOUND_S,
    Cell,
    Row,
    bound_rows,
    measured_rows,
)
from benchmarks.naive import BackendServerError, Call, RoundRobin
from benchmarks.prefill import prefill_by_tier
from benchmarks.prefill_bound import prefill_bound
from benchmarks.records import Answer, Kind, RunEvent, SentRecord
from benchmarks.weighted import set_ratios, total_row
from benchmarks.workload import PlannedRequest, Shape, plan
from cornelpin.tests.http_server import serve

SMALL = DEPLOYMENTS["small"]()
QUESTION, TAG = SMALL.tier("question"), SMALL.tier("tag")
PREFIX = " ".join(f"w{i}" for i in range(64))
CELL = Cell("small", 1.0, "", "cornelpin", 1)


def request(
    name: str, at_s: float = 0.0, tokens: int = 4, tier: Any = QUESTION
) -> PlannedRequest:
    return PlannedRequest(name, at_s, "shop-a", tier, f"{PREFIX} {name}", tokens)


def run(
    planned: PlannedRequest,
    server: str = "f1",
    at: float = 1.0,
    cached: int = 0,
    outcome: str = "done",
    request_id: str = "",
) -> list[RunEvent]:
    start = RunEvent(
        server=server,
        event="start",
        request_id=request_id or f"q-{planned.call_id}",
        digest=planned.digest,
        at=at,
        version="v1",
        prompt_tokens=65,
        cached_tokens=cached,
    )
    end = attrs.evolve(start, event="end", at=at + 0.1, outcome=outcome)
    return [start, end] if outcome else [start]


# Offered load and the share that the bound must answer in time, at least and at most.
BOUND_TABLE: dict[str, tuple[list[PlannedRequest], float, float]] = {
    "one short": ([request("a")], 1.0, 1.0),
    "longer than its bound allows": ([request("a", tokens=5000)], 0.0, 0.0),
    "far below capacity": ([request(f"a{i}", i * 0.1) for i in range(50)], 1.0, 1.0),
    # 13 x 4 times the tokens that the pool gives within the bound.
    "far above capacity": (
        [request(f"a{i}", tokens=400) for i in range(400)],
        0.01,
        0.1,
    ),
}


@pytest.mark.parametrize("name", BOUND_TABLE)
def test_bound_knows_what_can_be_met(name: str) -> None:
    planned, lowest, highest = BOUND_TABLE[name]
    good = good_calls(SMALL, planned, LATENCY_BOUND_S)
    assert lowest <= len(good) / len(planned) <= highest


def test_bound_serves_the_higher_shed_order_first() -> None:
    questions = [request(f"q{i}", tokens=100) for i in range(40)]
    tags = [request(f"t{i}", tokens=100, tier=TAG) for i in range(400)]
    good = good_calls(SMALL, [*tags, *questions], LATENCY_BOUND_S)
    assert {question.call_id for question in questions} <= good
    assert not {tag.call_id for tag in tags} <= good


A, B = request("a"), request("b")
# Runs, digests delivered, and the computed and wasted tokens.
PREFILL_TABLE: dict[str, tuple[list[RunEvent], set[str], int, int]] = {
    "first prefix": (run(A), {A.digest}, 65, 0),
    "hit": (run(A) + run(B, at=2.0, cached=64), {A.digest, B.digest}, 66, 0),
    "held by another": (run(A) + run(B, "f2", 2.0), {A.digest, B.digest}, 130, 64),
    "failed": (run(A, outcome="failed"), set(), 65, 65),
    "cancelled": (run(A, outcome="cancelled"), set(), 65, 65),
    "killed": (run(A, outcome=""), set(), 65, 65),
    "answer reached no caller": (run(A), set(), 65, 65),
    "ran again": (
        run(A) + run(A, "f2", 2.0, request_id="q-2"),
        {A.digest},
        130,
        65,
    ),
}


@pytest.mark.parametrize("name", PREFILL_TABLE)
def test_wasted_prefill(name: str) -> None:
    events, delivered, computed, wasted = PREFILL_TABLE[name]
    found = prefill_by_tier(SMALL, [A, B], events, delivered)["question"]
    assert (found.computed, found.wasted) == (computed, wasted)


def request_after(at_s: float, prefix: str, tokens: int) -> PlannedRequest:
    name = f"{prefix}-{at_s}"
    return attrs.evolve(request(name, at_s, tokens), text=f"{prefix} {PREFIX} {name}")


# Requests by arrival time, prefix and output tokens; copies in the bound. In 10 s the
# engines of the small deployment decode 6,600, 3,300 and 900 tokens, rounded down.
BOUND_PREFILL_TABLE: dict[str, tuple[list[tuple[float, str, int]], int]] = {
    "no shared prefix": ([(0, "a", 10), (10, "b", 10)], 0),
    "fits at one engine": ([(0, "a", 10), (10, "a", 10)], 0),
    "two prefixes at two engines": (
        [(0, "a", 2000), (1, "a", 2000), (2, "b", 2000), (10, "b", 1000)],
        0,
    ),
    "needs a second engine": ([(0, "a", 6000), (10, "a", 3000)], 1),
    "needs all engines": ([(0, "a", 6000), (10, "a", 6000)], 2),
}


@pytest.mark.parametrize("name", BOUND_PREFILL_TABLE)
def test_prefill_with_full_knowledge(name: str) -> None:
    arrivals, copies = BOUND_PREFILL_TABLE[name]
    planned = [request_after(*arrival) for arrival in arrivals]
    found = prefill_bound(SMALL, planned)
    prefixes = len({prefix for _, prefix, _ in arrivals})
    own = 66 * len(planned) - 64 * (len(planned) - prefixes)
    assert (found.computed, found.wasted) == (own + 64 * copies, 64 * copies)


def sent(planned: PlannedRequest, **changes: Any) -> SentRecord:
    values: dict[str, Any] = {
        "call_id": planned.call_id,
        "workspace": "shop-a",
        "tier": planned.tier.name,
        "route": planned.tier.route,
        "kind": Kind.MODEL,
        "digest": planned.digest,
        "request_id": f"q-{planned.call_id}",
        "intended_at": 10.0,
        "finished_at": 11.0,
        "status": 200,
        "answer": Answer.COMPLETE,
    }
    return SentRecord(**{**values, **changes})


REFUSED = {"status": 429, "answer": Answer.NONE, "may_have_run": False}
# Changes of the record of request a, its runs, and the columns that must show them.
ROW_TABLE: dict[str, tuple[dict[str, Any], list[RunEvent], dict[str, Any]]] = {
    "good": ({}, run(A), {"good": 1.0, "shed": 0.0}),
    "late": ({"finished_at": 16.0}, run(A), {"good": 0.0, "shed": 0.0}),
    "shed": (REFUSED, [], {"good": 0.0, "shed": 1.0}),
    "ran though refused": (REFUSED, run(A), {"false_not_run": 1}),
    "doubled": ({}, run(A) + run(A, "f2"), {"dispatched_twice": 1}),
    "crossed": ({"answer": Answer.WRONG}, run(A), {"crossed_or_cut": 1, "good": 0.0}),
}


@pytest.mark.parametrize("name", ROW_TABLE)
def test_rows_show_what_happened(name: str) -> None:
    changes, events, expected = ROW_TABLE[name]
    evidence = Evidence(
        [sent(A, **changes)], events, {t.name: t.shed_order for t in SMALL.tiers}
    )
    rows = measured_rows(CELL, SMALL, [A], evidence, LATENCY_BOUND_S)
    (row,) = [row for row in rows if row.tier == "question"]
    assert {key: getattr(row, key) for key in expected} == expected


def test_report_and_comparison_take_saved_rows(tmp_path: Any) -> None:
    planned = plan(SMALL, Shape(seed=3, rate_per_s=20, duration_s=2))
    rows = bound_rows(CELL, SMALL, planned, LATENCY_BOUND_S)
    latencies = Latencies()
    latencies.add(CELL, "question", 0.25)
    write_report(tmp_path / "r.html", rows, latencies, LATENCY_BOUND_S)
    page = (tmp_path / "r.html").read_text()
    assert page.count("data:image/png;base64,") >= len(SMALL.tiers)
    saved = json.loads(json.dumps([attrs.asdict(row) for row in rows]))
    assert {*saved[0]} == {field.name for field in attrs.fields(Row)}
    halved = [{**row, "good": row["good"] / 2} for row in saved]
    assert compare(saved, halved).count("0.500") >= len(SMALL.tiers)


# Statuses that the servers give in turn, and the tries that a call takes.
RETRY_TABLE = {"at once": ([200], 1), "after errors": ([500, 503, 200], 3)}


@pytest.mark.parametrize("name", [*RETRY_TABLE, "never"])
def test_naive_retries_on_any_error(name: str) -> None:
    planned, tries = RETRY_TABLE.get(name, ([500] * 9, 3))
    left = list(planned)

    def respond(
        method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> tuple[int, Mapping[str, str], bytes]:
        return left.pop(0), {}, b"answer"

    call = Call("POST", "/v1/completions", b"{}", {}, timeout_s=5.0)
    with serve(respond) as url:
        pool = RoundRobin([url, url])
        if name == "never":
            with pytest.raises(BackendServerError):
                pool.call(call)
        else:
            assert b"".join(pool.call(call).parts()) == b"answer"
    assert len(planned) - len(left) == tries


@pytest.mark.parametrize(
    ("good", "to_bound", "to_naive"),
    [
        ({"question": 1.0, "tag": 0.0}, 0.75, 1.5),
        ({"question": 0.0, "tag": 1.0}, 0.25, 0.5),
        ({"question": 1.0, "tag": 1.0}, 1.0, 2.0),
    ],
)
def test_total_weighs_tiers_by_their_shed_orders(
    good: dict[str, float], to_bound: float, to_naive: float
) -> None:
    deployment = DEPLOYMENTS["small"]()

    def total(system: str, shares: Mapping[str, float]) -> Row:
        cell = Cell("small", 1.0, "", system, 1)
        rows = [
            Row("small", 1.0, "", system, tier, 10, share)
            for tier, share in shares.items()
        ]
        return total_row(cell, deployment, rows)

    rows = [
        total("bound", {"question": 1.0, "tag": 1.0}),
        total("naive", {"question": 0.5, "tag": 0.5}),
        total("cornelpin", good),
    ]
    set_ratios(rows)
    assert rows[-1].to_bound == pytest.approx(to_bound)
    assert rows[-1].to_naive == pytest.approx(to_naive)
