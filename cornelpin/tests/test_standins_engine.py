from __future__ import annotations

import json
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import pytest

from cornelpin.tests.test_standins_common import (
    Answer,
    StandIn,
    running,
    wait_until,
)
from standins.answers import answer_length, expected_tokens, prompt_text
from standins.engine.batch import next_due_s
from standins.engine.cache import PrefixCache, prompt_blocks
from standins.engine.faults import parse_faults

FAST = ("--step-ms", "2", "--load-lag-s", "0", "--load-s", "0")
LONG = " ".join(f"w{index}" for index in range(200))


def completion(prompt: str, **more: Any) -> dict[str, Any]:
    return {"model": "furnace", "prompt": prompt, **more}


def events(answer: Answer) -> list[Any]:
    lines = answer.body.decode().split("\n\n")
    return [
        "[DONE]" if line == "data: [DONE]" else json.loads(line[6:])
        for line in lines
        if line
    ]


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/v1/completions", completion("a b c #out=5")),
        ("/v1/completions", completion("a b c #out=50", max_tokens=7)),
        ("/v1/completions", completion("no length asked")),
        (
            "/v1/chat/completions",
            {"messages": [{"role": "user", "content": "hi #out=4"}]},
        ),
    ],
)
def test_whole_and_streamed_answers_are_the_expected_tokens(
    path: str, body: dict[str, Any]
) -> None:
    want = expected_tokens(prompt_text(body), answer_length(body))
    with running("engine", *FAST) as engine:
        whole = engine.call("POST", path, body).json()
        parts = events(engine.call("POST", path, {**body, "stream": True}))
    choice = whole["choices"][0]
    text = choice["message"]["content"] if "message" in choice else choice["text"]
    assert text == "".join(want)
    assert whole["usage"]["completion_tokens"] == len(want)
    assert parts[-1] == "[DONE]"
    assert parts[-2]["usage"]["completion_tokens"] == len(want)
    assert parts[-2]["choices"][0]["finish_reason"] == choice["finish_reason"]
    streamed = [part["choices"][0] for part in parts[:-2]]
    assert [
        part["delta"]["content"] if "delta" in part else part["text"]
        for part in streamed
    ] == want


def test_duplicate_is_run_again_and_logged_with_its_cache_hits(tmp_path: Path) -> None:
    log = tmp_path / "runs.jsonl"
    body = completion(f"{LONG} #out=3")
    headers = {"X-Request-Id": "r1"}
    with running("engine", *FAST, "--run-log", str(log)) as engine:
        usages = [
            engine.call("POST", "/v1/completions", body, headers).json()["usage"]
            for _ in range(2)
        ]
        runs = engine.call("GET", "/runs").json()
        # The load is a sample of a moment ago, which may still show the last run.
        wait_until(
            lambda: engine.call("GET", "/load").json()["running"] == 0,
        )
    cached = [usage["prompt_tokens_details"]["cached_tokens"] for usage in usages]
    assert cached == [0, 192]
    logged = [json.loads(line) for line in log.read_text().splitlines()]
    assert logged == runs
    assert [(event["event"], event["request_id"]) for event in logged] == [
        ("start", "r1"),
        ("end", "r1"),
    ] * 2
    assert logged[-1]["outcome"] == "done"
    assert logged[-1]["tokens"] == 3


def test_resume_continues_and_cancel_breaks_the_stream() -> None:
    prompt = "resume #out=40"
    want = expected_tokens(prompt, 40)
    with running("engine", *FAST) as engine:
        body = completion(prompt, stream=True)
        engine.call("POST", "/v1/completions", body, {"X-Request-Id": "r1"})
        parts = events(engine.call("GET", "/v1/streams/r1?offset=30"))
        assert [part["choices"][0]["text"] for part in parts[:-2]] == want[30:]
        assert engine.call("GET", "/v1/streams/none?offset=0").status == 404
        assert engine.call("GET", "/v1/streams/r1?offset=-1").status == 400
        slow = completion("slow #out=100000", stream=True)
        answers: list[Answer] = []
        reader = threading.Thread(
            target=lambda: answers.append(
                engine.call("POST", "/v1/completions", slow, {"X-Request-Id": "r2"})
            )
        )
        reader.start()
        # Two events of r1, then the start of r2.
        wait_until(lambda: len(engine.call("GET", "/runs").json()) == 3)
        assert engine.call("DELETE", "/v1/streams/r2").json()["cancelled"]
        reader.join(30)
        assert answers[0].broken
        wait_until(lambda: engine.call("GET", "/load").json()["running"] == 0)
        assert engine.call("GET", "/runs").json()[-1]["outcome"] == "cancelled"


def test_abandoned_run_goes_on_then_is_cancelled_after_the_window() -> None:
    with running("engine", *FAST) as engine:
        body = completion("left #out=1000000", stream=True)
        engine.leave("POST", "/v1/completions", body, {"X-Request-Id": "r1"})
        wait_until(lambda: len(engine.call("GET", "/runs").json()) == 1)
        wait_until(lambda: len(engine.call("GET", "/runs").json()) == 2)
        start, end = engine.call("GET", "/runs").json()
    assert end["outcome"] == "cancelled"
    assert end["at"] - start["at"] > 9


@pytest.mark.parametrize(
    ("checks_fence", "fences", "statuses"),
    [
        ("1", [5, 4, 5, 6], [200, 409, 200, 200]),
        ("0", [5, 4, 5, 6], [200, 200, 200, 200]),
    ],
)
def test_orders_load_versions_under_a_fence(
    checks_fence: str, fences: list[int], statuses: list[int]
) -> None:
    with running("engine", *FAST, "--checks-fence", checks_fence) as engine:
        named = {**completion("x #out=1"), "model": "furnace@v2"}
        assert engine.call("POST", "/v1/completions", named).status == 404
        order = {"op": "load", "version": "v2"}
        got = [
            engine.call("POST", "/orders", {**order, "fence": fence}).status
            for fence in fences
        ]
        assert got == statuses
        assert engine.call("GET", "/versions").json()["versions"] == ["v1", "v2"]
        assert engine.call("POST", "/v1/completions", named).status == 200
        drop = {"op": "unload", "version": "v2", "fence": 9}
        assert engine.call("POST", "/orders", drop).status == 200
        assert engine.call("POST", "/v1/completions", named).status == 404


def test_load_fetches_weights_and_passes_on_a_refusal() -> None:
    with (
        running("weights", "--loads-per-s", "0.01") as store,
        running("engine", *FAST, "--weights-url", store.url) as engine,
    ):
        answers = [
            engine.call("POST", "/orders", {"op": "load", "version": v, "fence": 1})
            for v in ("v2", "v3")
        ]
    assert [answer.status for answer in answers] == [200, 503]
    assert int(answers[1].headers["Retry-After"]) > 1


def test_blocks_move_between_engines() -> None:
    prompt = f"{LONG} #out=1"
    blocks = prompt_blocks("furnace@v1", prompt)
    with running("engine", *FAST) as first, running("engine", *FAST) as second:
        first.call("POST", "/v1/completions", completion(prompt))
        for block in blocks:
            exported = first.call("GET", f"/kv/{block.block}").json()
            path = f"/kv/{block.block}"
            assert second.call("PUT", path, exported).status == 200
            wrong = {**exported, "words": ["other"]}
            assert second.call("PUT", path, wrong).status == 400
        usage = second.call("POST", "/v1/completions", completion(prompt)).json()
        told = first.call("GET", "/cache_events?after=0").json()
    assert usage["usage"]["prompt_tokens_details"]["cached_tokens"] == 192
    assert {event["block"] for event in told} <= {block.block for block in blocks}


@attrs.frozen
class FaultCase:
    faults: dict[str, Any]
    check: Callable[[StandIn], bool]


def whole_fails(engine: StandIn) -> bool:
    answers = [
        engine.call("POST", "/v1/completions", completion("bad #out=4"))
        for _ in range(4)
    ]
    return [answer.status for answer in answers] == [500] * 4


def streams_fail_both_ways(engine: StandIn) -> bool:
    body = completion("bad #out=4", stream=True)
    answers = [engine.call("POST", "/v1/completions", body) for _ in range(20)]
    kinds = {(answer.status, answer.broken) for answer in answers}
    return kinds == {(500, False), (200, True)}


def only_route_fails(engine: StandIn) -> bool:
    good = engine.call("POST", "/v1/completions", completion("fine #out=4"))
    bad = engine.call("POST", "/v1/completions", completion("route-x #out=4"))
    return (good.status, bad.status) == (200, 500)


def third_fails(engine: StandIn) -> bool:
    answers = [
        engine.call("POST", "/v1/completions", completion("n #out=2")) for _ in range(3)
    ]
    return [answer.status for answer in answers] == [200, 200, 500]


def alone_is_fine(engine: StandIn) -> bool:
    body = completion("alone #out=2")
    return engine.call("POST", "/v1/completions", body).status == 200


def crashes(engine: StandIn) -> bool:
    answer = engine.call("POST", "/v1/completions", completion("a POISON b"))
    return answer.broken and engine.process.wait(30) == 3


def hangs_until_mended(engine: StandIn) -> bool:
    answers: list[Answer] = []
    body = completion("hung #out=2")
    call = threading.Thread(
        target=lambda: answers.append(engine.call("POST", "/v1/completions", body))
    )
    call.start()
    wait_until(lambda: engine.call("GET", "/versions").status == 200)
    if answers or engine.call("GET", "/runs").json():
        return False
    engine.call("POST", "/faults", {})
    call.join(30)
    return answers[0].status == 200


@pytest.mark.parametrize(
    "case",
    [
        FaultCase({"bad_versions": {"v1": {"fail_rate": 1}}}, whole_fails),
        FaultCase({"bad_versions": {"v1": {"fail_rate": 1}}}, streams_fail_both_ways),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "route_text": "route-x"}}},
            only_route_fails,
        ),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "after_requests": 2}}}, third_fails
        ),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "min_running": 2}}}, alone_is_fine
        ),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "min_running": 1}}}, whole_fails
        ),
        FaultCase({"crash_text": "POISON"}, crashes),
        FaultCase({"hang": True}, hangs_until_mended),
    ],
)
@pytest.mark.parametrize("from_command_line", [True, False])
def test_faults(case: FaultCase, from_command_line: bool) -> None:
    options = ("--faults", json.dumps(case.faults)) if from_command_line else ()
    with running("engine", *FAST, *options) as engine:
        if not from_command_line:
            assert engine.call("POST", "/faults", case.faults).status == 200
        assert case.check(engine)


def test_unknown_fault_is_refused() -> None:
    with pytest.raises(TypeError):
        parse_faults({"hangs": True})


def test_cache_evicts_the_least_recently_used() -> None:
    cache = PrefixCache(capacity_tokens=256)
    first, second = (prompt_blocks("m@v", f"{start} {LONG}") for start in "ab")
    assert [cache.match_and_insert(blocks) for blocks in (first, first, second)] == [
        0,
        192,
        0,
    ]
    assert cache.cached_tokens == 256
    assert cache.match_and_insert(second) == 192
    assert cache.match_and_insert(first) == 64
    kinds = {event["kind"] for event in cache.events(after=0, lag_s=0)}
    assert kinds == {"stored", "evicted"}
    assert cache.events(after=0, lag_s=60) == []


@pytest.mark.parametrize(
    ("due_s", "now_s", "idle", "expected_s"),
    [
        (10.0, 10.01, False, 10.08),
        (10.0, 11.0, False, 11.0),
        (13.0, 10.0, True, 10.08),
        (10.0, 12.0, True, 12.08),
    ],
)
def test_steps_keep_their_pace_and_idle_time_does_not_add_up(
    due_s: float, now_s: float, idle: bool, expected_s: float
) -> None:
    assert next_due_s(due_s, 0.08, now_s, idle=idle) == pytest.approx(expected_s)
