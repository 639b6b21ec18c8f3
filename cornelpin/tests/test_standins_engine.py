"""The model engine stand-in, as a process and by its parts."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import pytest

from cornelpin.tests.test_standins_common import (
    Response,
    StandIn,
    running_stand_in,
    wait_until,
)
from standins.answers import answer_length, expected_tokens, prompt_text
from standins.engine.batch import next_due_s
from standins.engine.cache import PrefixCache, prompt_blocks
from standins.engine.faults import parse_faults

FAST = ("--step-ms", "2", "--load-lag-s", "0", "--load-s", "0")
# 200 words: three whole cache blocks of 64 words (BLOCK_WORDS), together 192 words.
LONG_PROMPT = " ".join(f"w{index}" for index in range(200))


def completion_body(prompt: str, **more: Any) -> dict[str, Any]:
    return {"model": "furnace", "prompt": prompt, **more}


def parse_events(response: Response) -> list[Any]:
    lines = response.body.decode().split("\n\n")
    return [
        "[DONE]" if line == "data: [DONE]" else json.loads(line[6:])
        for line in lines
        if line
    ]


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/v1/completions", completion_body("a b c #out=5")),
        ("/v1/completions", completion_body("a b c #out=50", max_tokens=7)),
        ("/v1/completions", completion_body("no length asked")),
        (
            "/v1/chat/completions",
            {"messages": [{"role": "user", "content": "hi #out=4"}]},
        ),
    ],
)
def test_unary_and_streamed_responses_have_the_expected_tokens(
    path: str, body: dict[str, Any]
) -> None:
    expected = expected_tokens(prompt_text(body), answer_length(body))
    with running_stand_in("engine", *FAST) as engine:
        unary = engine.call("POST", path, body).json()
        stream_events = parse_events(
            engine.call("POST", path, {**body, "stream": True})
        )
    choice = unary["choices"][0]
    text = choice["message"]["content"] if "message" in choice else choice["text"]
    assert text == "".join(expected)
    assert unary["usage"]["completion_tokens"] == len(expected)
    assert stream_events[-1] == "[DONE]"
    assert stream_events[-2]["usage"]["completion_tokens"] == len(expected)
    assert stream_events[-2]["choices"][0]["finish_reason"] == choice["finish_reason"]
    streamed = [part["choices"][0] for part in stream_events[:-2]]
    assert [
        part["delta"]["content"] if "delta" in part else part["text"]
        for part in streamed
    ] == expected


def test_repeated_request_runs_again_and_logs_its_cache_hits(tmp_path: Path) -> None:
    log = tmp_path / "runs.jsonl"
    body = completion_body(f"{LONG_PROMPT} #out=3")
    headers = {"X-Request-Id": "r1"}
    with running_stand_in("engine", *FAST, "--run-log", str(log)) as engine:
        usage_objects = [
            engine.call("POST", "/v1/completions", body, headers).json()["usage"]
            for _ in range(2)
        ]
        runs = engine.call("GET", "/runs").json()
        # The load is the latest sample, which may still count the last run.
        wait_until(
            lambda: engine.call("GET", "/load").json()["running"] == 0,
        )
    cached = [
        usage["prompt_tokens_details"]["cached_tokens"] for usage in usage_objects
    ]
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
    expected = expected_tokens(prompt, 40)
    with running_stand_in("engine", *FAST) as engine:
        body = completion_body(prompt, stream=True)
        engine.call("POST", "/v1/completions", body, {"X-Request-Id": "r1"})
        stream_events = parse_events(engine.call("GET", "/v1/streams/r1?offset=30"))
        assert [part["choices"][0]["text"] for part in stream_events[:-2]] == expected[
            30:
        ]
        assert engine.call("GET", "/v1/streams/none?offset=0").status == 404
        assert engine.call("GET", "/v1/streams/r1?offset=-1").status == 400
        slow = completion_body("slow #out=100000", stream=True)
        responses: list[Response] = []
        reader = threading.Thread(
            target=lambda: responses.append(
                engine.call("POST", "/v1/completions", slow, {"X-Request-Id": "r2"})
            )
        )
        reader.start()
        # Two events of r1 and the start of r2.
        wait_until(lambda: len(engine.call("GET", "/runs").json()) == 3)
        assert engine.call("DELETE", "/v1/streams/r2").json()["cancelled"]
        reader.join(30)
        assert responses[0].connection_lost
        wait_until(lambda: engine.call("GET", "/load").json()["running"] == 0)
        assert engine.call("GET", "/runs").json()[-1]["outcome"] == "cancelled"


def test_run_without_readers_is_cancelled_after_the_resume_window() -> None:
    with running_stand_in("engine", *FAST) as engine:
        body = completion_body("left #out=1000000", stream=True)
        engine.disconnect_after_headers(
            "POST", "/v1/completions", body, {"X-Request-Id": "r1"}
        )
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
def test_orders_load_versions_and_check_the_fencing_token(
    checks_fence: str, fences: list[int], statuses: list[int]
) -> None:
    with running_stand_in("engine", *FAST, "--checks-fence", checks_fence) as engine:
        request_for_v2 = {**completion_body("x #out=1"), "model": "furnace@v2"}
        assert engine.call("POST", "/v1/completions", request_for_v2).status == 404
        order = {"op": "load", "version": "v2"}
        returned_statuses = [
            engine.call("POST", "/orders", {**order, "fence": fence}).status
            for fence in fences
        ]
        assert returned_statuses == statuses
        assert engine.call("GET", "/versions").json()["versions"] == ["v1", "v2"]
        assert engine.call("POST", "/v1/completions", request_for_v2).status == 200
        drop = {"op": "unload", "version": "v2", "fence": 9}
        assert engine.call("POST", "/orders", drop).status == 200
        assert engine.call("POST", "/v1/completions", request_for_v2).status == 404


def test_load_fetches_weights_and_passes_on_retry_after() -> None:
    with (
        running_stand_in("weights", "--loads-per-s", "0.01") as store,
        running_stand_in("engine", *FAST, "--weights-url", store.url) as engine,
    ):
        responses = [
            engine.call("POST", "/orders", {"op": "load", "version": v, "fence": 1})
            for v in ("v2", "v3")
        ]
    assert [response.status for response in responses] == [200, 503]
    assert int(responses[1].headers["Retry-After"]) > 1


def test_cache_blocks_are_copied_between_engines() -> None:
    prompt = f"{LONG_PROMPT} #out=1"
    blocks = prompt_blocks("furnace@v1", prompt)
    with (
        running_stand_in("engine", *FAST) as first,
        running_stand_in("engine", *FAST) as second,
    ):
        first.call("POST", "/v1/completions", completion_body(prompt))
        for block in blocks:
            exported = first.call("GET", f"/kv/{block.block}").json()
            path = f"/kv/{block.block}"
            assert second.call("PUT", path, exported).status == 200
            mismatched_block = {**exported, "words": ["other"]}
            assert second.call("PUT", path, mismatched_block).status == 400
        usage = second.call("POST", "/v1/completions", completion_body(prompt)).json()
        cache_events = first.call("GET", "/cache_events?after=0").json()
    assert usage["usage"]["prompt_tokens_details"]["cached_tokens"] == 192
    assert {event["block"] for event in cache_events} <= {
        block.block for block in blocks
    }


@attrs.frozen
class FaultCase:
    faults: dict[str, Any]
    check: Callable[[StandIn], bool]


def unary_requests_fail(engine: StandIn) -> bool:
    responses = [
        engine.call("POST", "/v1/completions", completion_body("bad #out=4"))
        for _ in range(4)
    ]
    return [response.status for response in responses] == [500] * 4


def streams_fail_at_start_or_midway(engine: StandIn) -> bool:
    body = completion_body("bad #out=4", stream=True)
    responses = [engine.call("POST", "/v1/completions", body) for _ in range(20)]
    kinds = {(response.status, response.connection_lost) for response in responses}
    return kinds == {(500, False), (200, True)}


def only_matching_prompt_fails(engine: StandIn) -> bool:
    good = engine.call("POST", "/v1/completions", completion_body("fine #out=4"))
    bad = engine.call("POST", "/v1/completions", completion_body("route-x #out=4"))
    return (good.status, bad.status) == (200, 500)


def third_request_fails(engine: StandIn) -> bool:
    responses = [
        engine.call("POST", "/v1/completions", completion_body("n #out=2"))
        for _ in range(3)
    ]
    return [response.status for response in responses] == [200, 200, 500]


def single_request_succeeds(engine: StandIn) -> bool:
    body = completion_body("alone #out=2")
    return engine.call("POST", "/v1/completions", body).status == 200


def process_crashes(engine: StandIn) -> bool:
    response = engine.call("POST", "/v1/completions", completion_body("a POISON b"))
    return response.connection_lost and engine.process.wait(30) == 3


def hangs_until_faults_are_cleared(engine: StandIn) -> bool:
    responses: list[Response] = []
    body = completion_body("hung #out=2")
    call = threading.Thread(
        target=lambda: responses.append(engine.call("POST", "/v1/completions", body))
    )
    call.start()
    wait_until(lambda: engine.call("GET", "/versions").status == 200)
    if responses or engine.call("GET", "/runs").json():
        return False
    engine.call("POST", "/faults", {})
    call.join(30)
    return responses[0].status == 200


@pytest.mark.parametrize(
    "case",
    [
        FaultCase({"bad_versions": {"v1": {"fail_rate": 1}}}, unary_requests_fail),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1}}}, streams_fail_at_start_or_midway
        ),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "route_text": "route-x"}}},
            only_matching_prompt_fails,
        ),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "after_requests": 2}}},
            third_request_fails,
        ),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "min_running": 2}}},
            single_request_succeeds,
        ),
        FaultCase(
            {"bad_versions": {"v1": {"fail_rate": 1, "min_running": 1}}},
            unary_requests_fail,
        ),
        FaultCase({"crash_text": "POISON"}, process_crashes),
        FaultCase({"hang": True}, hangs_until_faults_are_cleared),
    ],
)
@pytest.mark.parametrize("from_command_line", [True, False])
def test_faults(case: FaultCase, from_command_line: bool) -> None:
    options = ("--faults", json.dumps(case.faults)) if from_command_line else ()
    with running_stand_in("engine", *FAST, *options) as engine:
        if not from_command_line:
            assert engine.call("POST", "/faults", case.faults).status == 200
        assert case.check(engine)


def test_unknown_fault_is_rejected() -> None:
    with pytest.raises(TypeError):
        parse_faults({"hangs": True})


def test_cache_evicts_the_least_recently_used() -> None:
    cache = PrefixCache(capacity_tokens=256)
    first, second = (prompt_blocks("m@v", f"{start} {LONG_PROMPT}") for start in "ab")
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
def test_next_due_time_keeps_the_interval_and_restarts_when_idle(
    due_s: float, now_s: float, idle: bool, expected_s: float
) -> None:
    assert next_due_s(due_s, 0.08, now_s, idle=idle) == pytest.approx(expected_s)
