"""Figures of the experiment: the bounds, wasted prefill, rows, ratios and the baseline.

Guards against comparisons of cornelpin with wrong figures: a bound that is not one, or
outcomes and violations counted in the wrong column.
"""

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
    LATENCY_LIMITS_S,
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
# Deployment, load, fault, system and seed.
CELL = Cell("small", 1.0, "", "cornelpin", 1)


def make_request(
    name: str, at_s: float = 0.0, tokens: int = 4, tier: Any = QUESTION
) -> PlannedRequest:
    return PlannedRequest(name, at_s, "shop-a", tier, f"{PREFIX} {name}", tokens)


def make_run(
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


# Offered requests, and the minimum and maximum share that the bound completes.
BOUND_TABLE: dict[str, tuple[list[PlannedRequest], float, float]] = {
    "one short": ([make_request("a")], 1.0, 1.0),
    "longer than its bound allows": ([make_request("a", tokens=5000)], 0.0, 0.0),
    "far below capacity": (
        [make_request(f"a{i}", i * 0.1) for i in range(50)],
        1.0,
        1.0,
    ),
    # 160,000 tokens, about 30 times what the pool decodes within the bound of 5 s.
    "far above capacity": (
        [make_request(f"a{i}", tokens=400) for i in range(400)],
        0.01,
        0.1,
    ),
}


@pytest.mark.parametrize("name", BOUND_TABLE)
def test_bound_counts_calls_that_can_meet_their_deadline(name: str) -> None:
    planned, lowest, highest = BOUND_TABLE[name]
    good = good_calls(SMALL, planned, LATENCY_LIMITS_S)
    assert lowest <= len(good) / len(planned) <= highest


def test_bound_drops_the_lower_shed_order_first() -> None:
    questions = [make_request(f"q{i}", tokens=100) for i in range(40)]
    tags = [make_request(f"t{i}", tokens=100, tier=TAG) for i in range(400)]
    good = good_calls(SMALL, [*tags, *questions], LATENCY_LIMITS_S)
    assert {question.call_id for question in questions} <= good
    assert not {tag.call_id for tag in tags} <= good


A, B = make_request("a"), make_request("b")
# Runs, digests with a delivered response, computed and wasted tokens.
PREFILL_TABLE: dict[str, tuple[list[RunEvent], set[str], int, int]] = {
    "first prefix": (make_run(A), {A.digest}, 65, 0),
    "hit": (make_run(A) + make_run(B, at=2.0, cached=64), {A.digest, B.digest}, 66, 0),
    "held by another": (
        make_run(A) + make_run(B, "f2", 2.0),
        {A.digest, B.digest},
        130,
        64,
    ),
    "failed": (make_run(A, outcome="failed"), set(), 65, 65),
    "cancelled": (make_run(A, outcome="cancelled"), set(), 65, 65),
    "killed": (make_run(A, outcome=""), set(), 65, 65),
    "answer reached no caller": (make_run(A), set(), 65, 65),
    "ran again": (
        make_run(A) + make_run(A, "f2", 2.0, request_id="q-2"),
        {A.digest},
        130,
        65,
    ),
}


@pytest.mark.parametrize("name", PREFILL_TABLE)
def test_wasted_prefill_counts_recomputed_and_undelivered_tokens(name: str) -> None:
    events, delivered, computed, wasted = PREFILL_TABLE[name]
    prefill = prefill_by_tier(SMALL, [A, B], events, delivered)["question"]
    assert (prefill.computed, prefill.wasted) == (computed, wasted)


def make_prefix_request(at_s: float, prefix: str, tokens: int) -> PlannedRequest:
    name = f"{prefix}-{at_s}"
    return attrs.evolve(
        make_request(name, at_s, tokens), text=f"{prefix} {PREFIX} {name}"
    )


# Requests as arrival time, prefix and output tokens; expected recomputations. In 10 s
# the engines of the small deployment decode 6,600, 3,300 and 900 tokens, rounded down.
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
def test_prefill_bound_counts_recomputed_prefixes(name: str) -> None:
    arrivals, copies = BOUND_PREFILL_TABLE[name]
    planned = [make_prefix_request(*arrival) for arrival in arrivals]
    prefill = prefill_bound(SMALL, planned)
    prefixes = len({prefix for _, prefix, _ in arrivals})
    # A prompt has 66 words: the prefix word, 64 of PREFIX and the name. The first 64
    # of them fill a cache block, the only part that a cache can hold.
    own_tokens = 66 * len(planned) - 64 * (len(planned) - prefixes)
    assert (prefill.computed, prefill.wasted) == (own_tokens + 64 * copies, 64 * copies)


def make_record(planned: PlannedRequest, **changes: Any) -> SentRecord:
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
# Changes of the record of request A, its runs, and the expected columns.
ROW_TABLE: dict[str, tuple[dict[str, Any], list[RunEvent], dict[str, Any]]] = {
    "good": ({}, make_run(A), {"good": 1.0, "shed": 0.0}),
    "late": ({"finished_at": 16.0}, make_run(A), {"good": 0.0, "shed": 0.0}),
    "shed": (REFUSED, [], {"good": 0.0, "shed": 1.0}),
    "ran though refused": (REFUSED, make_run(A), {"false_not_run": 1}),
    "doubled": ({}, make_run(A) + make_run(A, "f2"), {"dispatched_twice": 1}),
    "crossed": (
        {"answer": Answer.WRONG},
        make_run(A),
        {"crossed_or_cut": 1, "good": 0.0},
    ),
}


@pytest.mark.parametrize("name", ROW_TABLE)
def test_rows_count_outcomes_and_violations(name: str) -> None:
    changes, events, expected = ROW_TABLE[name]
    evidence = Evidence(
        [make_record(A, **changes)], events, {t.name: t.shed_order for t in SMALL.tiers}
    )
    rows = measured_rows(CELL, SMALL, [A], evidence, LATENCY_LIMITS_S)
    (row,) = [row for row in rows if row.tier == "question"]
    assert {key: getattr(row, key) for key in expected} == expected


def test_report_and_comparison_read_saved_rows(tmp_path: Any) -> None:
    planned = plan(SMALL, Shape(seed=3, rate_per_s=20, duration_s=2))
    rows = bound_rows(CELL, SMALL, planned, LATENCY_LIMITS_S)
    latencies = Latencies()
    latencies.add(CELL, "question", 0.25)
    write_report(tmp_path / "r.html", rows, latencies, LATENCY_LIMITS_S)
    page = (tmp_path / "r.html").read_text()
    assert page.count("data:image/png;base64,") >= len(SMALL.tiers)
    saved = json.loads(json.dumps([attrs.asdict(row) for row in rows]))
    assert {*saved[0]} == {field.name for field in attrs.fields(Row)}
    halved = [{**row, "good": row["good"] / 2} for row in saved]
    assert compare(saved, halved).count("0.500") >= len(SMALL.tiers)


# Statuses returned by the servers in order, and the expected number of attempts.
RETRY_TABLE = {"at once": ([200], 1), "after errors": ([500, 503, 200], 3)}


@pytest.mark.parametrize("name", [*RETRY_TABLE, "never"])
def test_naive_retries_on_any_error(name: str) -> None:
    planned, attempts = RETRY_TABLE.get(name, ([500] * 9, 3))
    pending = list(planned)

    def respond(
        method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> tuple[int, Mapping[str, str], bytes]:
        return pending.pop(0), {}, b"answer"

    call = Call("POST", "/v1/completions", b"{}", {}, timeout_s=5.0)
    with serve(respond) as url:
        pool = RoundRobin([url, url])
        if name == "never":
            with pytest.raises(BackendServerError):
                pool.call(call)
        else:
            assert b"".join(pool.call(call).parts()) == b"answer"
    assert len(planned) - len(pending) == attempts


@pytest.mark.parametrize(
    ("good", "to_bound", "to_naive"),
    [
        ({"question": 1.0, "tag": 0.0}, 0.75, 1.5),
        ({"question": 0.0, "tag": 1.0}, 0.25, 0.5),
        ({"question": 1.0, "tag": 1.0}, 1.0, 2.0),
    ],
)
def test_total_is_weighted_by_shed_order(
    good: dict[str, float], to_bound: float, to_naive: float
) -> None:
    deployment = DEPLOYMENTS["small"]()

    def total(system: str, shares: Mapping[str, float]) -> Row:
        cell = Cell("small", 1.0, "", system, 1)
        # Deployment, load, fault, system, tier, offered requests and good share.
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
