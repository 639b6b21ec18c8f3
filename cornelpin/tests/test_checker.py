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


def sent(text: str, tier: str = "question", **changes: Any) -> SentRecord:
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


def refused(text: str, tier: str = "question", **changes: Any) -> SentRecord:
    values = {
        "status": 429,
        "reason": "shed",
        "may_have_run": False,
        "answer": Answer.NONE,
    }
    return sent(text, tier, **{**values, **changes})


def ran(text: str, server: str = "f1", at: float = 10.0, **changes: Any) -> RunEvent:
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
    "one run": ([sent("a")], [ran("a"), ran("a", event="end", at=11.0)]),
    "refused and not run": ([refused("a")], []),
    "refused after a possible run": ([refused("a", may_have_run=True)], [ran("a")]),
    "idempotent call repeated": (
        [sent("a", "recipe")],
        [ran("a", "r1"), ran("a", "r1", at=11.0)],
    ),
    "two calls with one prompt": (
        [sent("a"), sent("a", call_id="b", request_id="q-b")],
        [ran("a"), ran("a", request_id="q-b")],
    ),
    "retry ran after a true refusal": (
        [refused("a", finished_at=9.0), sent("a", request_id="q-2")],
        [ran("a", request_id="q-2")],
    ),
    "one of two equal calls refused": (
        [sent("a"), refused("a", call_id="b", request_id="q-b")],
        [ran("a")],
    ),
    "durable answered": (
        [sent("a", durable=True, accepted=True)],
        [ran("a")],
    ),
    "durable told of a possible run": (
        [refused("a", durable=True, accepted=True, may_have_run=True)],
        [ran("a")],
    ),
    "durable refused before acceptance": ([refused("a", durable=True)], []),
    "lower shed order is shed": (
        [refused("a", "tag"), sent("b")],
        [ran("b", at=20.2)],
    ),
    "lower order served in another second": (
        [refused("a"), sent("b", "tag")],
        [ran("b", at=21.2)],
    ),
    "lower order served from another pool": (
        [refused("a"), sent("b", "tag", route="other")],
        [ran("b", "f9", at=20.2)],
    ),
    "workspace over its limit": (
        [refused("a", reason="over_limit"), sent("b", "tag")],
        [ran("b", at=20.2)],
    ),
    "broken stream seen as broken": ([sent("a", answer=Answer.BROKEN)], [ran("a")]),
}

PLANTED: dict[str, tuple[str, list[SentRecord], list[RunEvent]]] = {
    "one id at two engines": (
        "doubled_dispatch",
        [sent("a")],
        [ran("a"), ran("a", "f2", at=11.0)],
    ),
    "one id twice at one engine": (
        "doubled_dispatch",
        [sent("a")],
        [ran("a"), ran("a", at=11.0)],
    ),
    "one prompt under two ids": (
        "doubled_dispatch",
        [sent("a")],
        [ran("a"), ran("a", request_id="q-other")],
    ),
    "retry with one key ran again": (
        "doubled_dispatch",
        [sent("a"), sent("a", request_id="q-2")],
        [ran("a"), ran("a", "f2", request_id="q-2")],
    ),
    "doubled run of an unknown prompt": (
        "doubled_dispatch",
        [],
        [ran("a"), ran("a", "f2")],
    ),
    "release ran twice": (
        "doubled_call",
        [sent("a", "release")],
        [ran("a", "r1"), ran("a", "r1", at=11.0, request_id="q-2")],
    ),
    "release ran twice with another body": (
        "doubled_call",
        [sent("a", "release")],
        [ran("a", "r1"), ran("b", "r1", key="k-a")],
    ),
    "retried release ran twice": (
        "doubled_call",
        [sent("a", "release"), sent("a", "release", request_id="q-2", entry="e2")],
        [ran("a", "r1"), ran("a", "r1", request_id="q-2")],
    ),
    "refused but its id ran": ("false_not_run", [refused("a")], [ran("a")]),
    "refused but its prompt ran": (
        "false_not_run",
        [refused("a")],
        [ran("a", request_id="unknown")],
    ),
    "refused without an id but ran": (
        "false_not_run",
        [refused("a", request_id="")],
        [ran("a")],
    ),
    "refused and ran later": ("false_not_run", [refused("a")], [ran("a", at=30.0)]),
    "retry refused while the first ran": (
        "false_not_run",
        [sent("a", "release"), refused("a", "release", request_id="q-2")],
        [ran("a", "r1")],
    ),
    "one of two equal calls ran though refused": (
        "false_not_run",
        [sent("a"), refused("a", call_id="b", request_id="q-b")],
        [ran("a"), ran("a", request_id="q-b")],
    ),
    "crossed answer": ("wrong_answer", [sent("a", answer=Answer.WRONG)], [ran("a")]),
    "cut answer": ("wrong_answer", [sent("a", answer=Answer.CUT)], [ran("a")]),
    "durable never answered": (
        "lost_durable",
        [sent("a", durable=True, accepted=True, status=202, answer=Answer.NONE)],
        [],
    ),
    "durable forgotten": (
        "lost_durable",
        [refused("a", durable=True, accepted=True, status=404)],
        [],
    ),
    "durable never collected whole": (
        "lost_durable",
        [sent("a", durable=True, accepted=True, answer=Answer.BROKEN)],
        [ran("a")],
    ),
    "question shed while a tag is served": (
        "shed_inversion",
        [refused("a"), sent("b", "tag")],
        [ran("b", "f2", at=20.2)],
    ),
    "release shed while a recipe is served": (
        "shed_inversion",
        [refused("a", "release"), sent("b", "recipe")],
        [ran("b", "r1", at=20.9)],
    ),
}


def evidence(records: list[SentRecord], events: list[RunEvent]) -> Evidence:
    return Evidence(records, events, SHED_ORDERS, POOLS)


@pytest.mark.parametrize("name", CLEAN)
def test_clean_logs_pass(name: str) -> None:
    records, events = CLEAN[name]
    assert run_checks(evidence(records, events)) == []


@pytest.mark.parametrize("name", PLANTED)
def test_planted_fault_is_caught(name: str) -> None:
    check, records, events = PLANTED[name]
    found = run_checks(evidence(records, events))
    assert {violation.check for violation in found} == {check}


def test_every_check_has_a_planted_fault() -> None:
    assert {check for check, _, _ in PLANTED.values()} == set(CHECKS)


def test_torn_last_line_of_a_run_log_is_left_out(tmp_path: Any) -> None:
    path = tmp_path / "f1.jsonl"
    path.write_text('{"event":"start","request_id":"q","prompt_sha":"d","at":1}\n{"ev')
    assert [event.request_id for event in read_run_log("f1", path)] == ["q"]
