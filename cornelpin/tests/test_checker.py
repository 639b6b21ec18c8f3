"""The checker accepts logs without violations and finds each planted one.

A checker that misses a kind of violation would let all scenarios and soaks pass.
"""

from __future__ import annotations

import hashlib
from typing import Any

import pytest

from benchmarks.checker import CHECKS, Evidence, run_checks
from benchmarks.records import Answer, Kind, RunEvent, SentRecord, read_run_log

SHED_ORDERS = {"question": 30, "tag": 10, "release": 40, "recipe": 15}
POOLS = {
    "furnace": frozenset({"f1", "f2"}),
    "registry": frozenset({"r1"}),
    "other": frozenset({"f9"}),
}


def sha(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def make_record(text: str, tier: str = "question", **changes: Any) -> SentRecord:
    service = tier in ("release", "recipe")
    values: dict[str, Any] = {
        "call_id": text,
        "workspace": "shop-a",
        "tier": tier,
        "route": "registry" if service else "furnace",
        "kind": Kind.SERVICE if service else Kind.MODEL,
        "digest": sha(text),
        "idempotent": tier == "recipe",
        "key": f"k-{text}" if service else "",
        "finished_at": 20.5,
        "request_id": f"q-{text}",
        "status": 200,
        "answer": Answer.COMPLETE,
    }
    return SentRecord(**{**values, **changes})


def make_refusal(text: str, tier: str = "question", **changes: Any) -> SentRecord:
    values = {
        "status": 429,
        "reason": "shed",
        "may_have_run": False,
        "answer": Answer.NONE,
    }
    return make_record(text, tier, **{**values, **changes})


def make_run(
    text: str, server: str = "f1", at: float = 10.0, **changes: Any
) -> RunEvent:
    service = server.startswith("r")
    values: dict[str, Any] = {
        "server": server,
        "event": "start",
        "request_id": f"q-{text}",
        "digest": sha(text),
        "at": at,
        "key": f"k-{text}" if service else "",
        "version": "" if service else "v1",
    }
    return RunEvent(**{**values, **changes})


CLEAN: dict[str, tuple[list[SentRecord], list[RunEvent]]] = {
    "empty": ([], []),
    "one run": (
        [make_record("a")],
        [make_run("a"), make_run("a", event="end", at=11.0)],
    ),
    "refused and not run": ([make_refusal("a")], []),
    "refused after a possible run": (
        [make_refusal("a", may_have_run=True)],
        [make_run("a")],
    ),
    "idempotent call repeated": (
        [make_record("a", "recipe")],
        [make_run("a", "r1"), make_run("a", "r1", at=11.0)],
    ),
    "two calls with one prompt": (
        [make_record("a"), make_record("a", call_id="b", request_id="q-b")],
        [make_run("a"), make_run("a", request_id="q-b")],
    ),
    "retry ran after a true refusal": (
        [make_refusal("a", finished_at=9.0), make_record("a", request_id="q-2")],
        [make_run("a", request_id="q-2")],
    ),
    "one of two equal calls refused": (
        [make_record("a"), make_refusal("a", call_id="b", request_id="q-b")],
        [make_run("a")],
    ),
    "durable answered": (
        [make_record("a", durable=True, accepted=True)],
        [make_run("a")],
    ),
    "durable told of a possible run": (
        [make_refusal("a", durable=True, accepted=True, may_have_run=True)],
        [make_run("a")],
    ),
    "durable refused before acceptance": ([make_refusal("a", durable=True)], []),
    "lower shed order is shed": (
        [make_refusal("a", "tag"), make_record("b")],
        [make_run("b", at=20.2)],
    ),
    "lower order served in another second": (
        [make_refusal("a"), make_record("b", "tag")],
        [make_run("b", at=21.2)],
    ),
    "lower order served from another pool": (
        [make_refusal("a"), make_record("b", "tag", route="other")],
        [make_run("b", "f9", at=20.2)],
    ),
    "workspace over its limit": (
        [make_refusal("a", reason="over_limit"), make_record("b", "tag")],
        [make_run("b", at=20.2)],
    ),
    "broken stream seen as broken": (
        [make_record("a", answer=Answer.BROKEN)],
        [make_run("a")],
    ),
}

PLANTED: dict[str, tuple[str, list[SentRecord], list[RunEvent]]] = {
    "one id at two engines": (
        "doubled_dispatch",
        [make_record("a")],
        [make_run("a"), make_run("a", "f2", at=11.0)],
    ),
    "one id twice at one engine": (
        "doubled_dispatch",
        [make_record("a")],
        [make_run("a"), make_run("a", at=11.0)],
    ),
    "one prompt under two ids": (
        "doubled_dispatch",
        [make_record("a")],
        [make_run("a"), make_run("a", request_id="q-other")],
    ),
    "retry with one key ran again": (
        "doubled_dispatch",
        [make_record("a"), make_record("a", request_id="q-2")],
        [make_run("a"), make_run("a", "f2", request_id="q-2")],
    ),
    "doubled run of an unknown prompt": (
        "doubled_dispatch",
        [],
        [make_run("a"), make_run("a", "f2")],
    ),
    "release ran twice": (
        "doubled_call",
        [make_record("a", "release")],
        [make_run("a", "r1"), make_run("a", "r1", at=11.0, request_id="q-2")],
    ),
    "release ran twice with another body": (
        "doubled_call",
        [make_record("a", "release")],
        [make_run("a", "r1"), make_run("b", "r1", key="k-a")],
    ),
    "retried release ran twice": (
        "doubled_call",
        [
            make_record("a", "release"),
            make_record("a", "release", request_id="q-2", entry="e2"),
        ],
        [make_run("a", "r1"), make_run("a", "r1", request_id="q-2")],
    ),
    "refused but its id ran": ("false_not_run", [make_refusal("a")], [make_run("a")]),
    "refused but its prompt ran": (
        "false_not_run",
        [make_refusal("a")],
        [make_run("a", request_id="unknown")],
    ),
    "refused without an id but ran": (
        "false_not_run",
        [make_refusal("a", request_id="")],
        [make_run("a")],
    ),
    "refused and ran later": (
        "false_not_run",
        [make_refusal("a")],
        [make_run("a", at=30.0)],
    ),
    "retry refused while the first ran": (
        "false_not_run",
        [make_record("a", "release"), make_refusal("a", "release", request_id="q-2")],
        [make_run("a", "r1")],
    ),
    "one of two equal calls ran though refused": (
        "false_not_run",
        [make_record("a"), make_refusal("a", call_id="b", request_id="q-b")],
        [make_run("a"), make_run("a", request_id="q-b")],
    ),
    "crossed answer": (
        "wrong_answer",
        [make_record("a", answer=Answer.WRONG)],
        [make_run("a")],
    ),
    "cut answer": (
        "wrong_answer",
        [make_record("a", answer=Answer.CUT)],
        [make_run("a")],
    ),
    "durable never answered": (
        "lost_durable",
        [make_record("a", durable=True, accepted=True, status=202, answer=Answer.NONE)],
        [],
    ),
    "durable forgotten": (
        "lost_durable",
        [make_refusal("a", durable=True, accepted=True, status=404)],
        [],
    ),
    "durable never collected whole": (
        "lost_durable",
        [make_record("a", durable=True, accepted=True, answer=Answer.BROKEN)],
        [make_run("a")],
    ),
    "question shed while a tag is served": (
        "shed_inversion",
        [make_refusal("a"), make_record("b", "tag")],
        [make_run("b", "f2", at=20.2)],
    ),
    "release shed while a recipe is served": (
        "shed_inversion",
        [make_refusal("a", "release"), make_record("b", "recipe")],
        [make_run("b", "r1", at=20.9)],
    ),
}


def make_evidence(records: list[SentRecord], events: list[RunEvent]) -> Evidence:
    return Evidence(records, events, SHED_ORDERS, POOLS)


@pytest.mark.parametrize("name", CLEAN)
def test_logs_without_violations_pass(name: str) -> None:
    records, events = CLEAN[name]
    assert run_checks(make_evidence(records, events)) == []


@pytest.mark.parametrize("name", PLANTED)
def test_planted_violation_is_found(name: str) -> None:
    check, records, events = PLANTED[name]
    violations = run_checks(make_evidence(records, events))
    assert {violation.check for violation in violations} == {check}


def test_every_check_has_a_planted_violation() -> None:
    assert {check for check, _, _ in PLANTED.values()} == set(CHECKS)


def test_incomplete_last_line_of_a_run_log_is_skipped(tmp_path: Any) -> None:
    path = tmp_path / "f1.jsonl"
    path.write_text('{"event":"start","request_id":"q","prompt_sha":"d","at":1}\n{"ev')
    assert [event.request_id for event in read_run_log("f1", path)] == ["q"]
