"""Metrics of running entries and sides, and the values they are computed from."""

from __future__ import annotations

import http.client
import json
import threading
import time

import pytest
from prometheus_client.parser import text_string_to_metric_families

from benchmarks.cluster_settings import workspace_token
from benchmarks.http_json import JsonClient
from benchmarks.testbed import Testbed
from benchmarks.waiting import wait_until
from cornelpin.core.move_state import MoveState
from cornelpin.daemon.control_cost import ControlCost, is_control
from cornelpin.daemon.messages import Ask, Grant, Heartbeat
from cornelpin.daemon.request_times import Prefill, prefill_from_usage

SEED = 41
TIMEOUT_S = 20
ENTRY = "e1"
SIDE = "side-f1"
OK = 200


def scrape(running: Testbed, name: str, metric: str, **labels: str) -> list[float]:
    """Returns the values of a process's samples that have the given labels."""
    conn = http.client.HTTPConnection("127.0.0.1", running.ports[name], TIMEOUT_S)
    conn.request("GET", "/metrics")
    text = conn.getresponse().read().decode()
    conn.close()
    return [
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == metric and labels.items() <= sample.labels.items()
    ]


def value(running: Testbed, name: str, metric: str, **labels: str) -> float:
    return sum(scrape(running, name, metric, **labels))


def client(running: Testbed) -> JsonClient:
    token = workspace_token(sorted(running.deployment.workspaces)[0])
    return JsonClient("127.0.0.1", running.ports[ENTRY], token, TIMEOUT_S)


def complete(running: Testbed, prompt: str) -> None:
    body = {"model": "furnace", "prompt": prompt}
    assert client(running).call("POST", "/v1/completions", body).status == OK


def test_queue_time_is_recorded_for_every_request(running: Testbed) -> None:
    metric = "cornelpin_queue_seconds_count"
    before = value(running, ENTRY, metric, tier="question")
    for index in range(3):
        complete(running, f"queue {index} #out=2")
    assert value(running, ENTRY, metric, tier="question") == before + 3


def test_prompt_of_completed_request_counts_as_useful_prefill(
    running: Testbed,
) -> None:
    prompt = " ".join(f"word{index}" for index in range(200)) + " #out=2"
    before = value(running, ENTRY, "cornelpin_prefill_tokens_total", tier="question")
    wasted = value(
        running, ENTRY, "cornelpin_wasted_prefill_tokens_total", tier="question"
    )
    complete(running, prompt)
    computed = value(running, ENTRY, "cornelpin_prefill_tokens_total", tier="question")
    assert computed - before >= 200
    assert wasted == value(
        running, ENTRY, "cornelpin_wasted_prefill_tokens_total", tier="question"
    )


def test_prompt_of_cancelled_run_counts_as_wasted_prefill(running: Testbed) -> None:
    metric = "cornelpin_wasted_prefill_tokens_total"
    before = value(running, ENTRY, metric, tier="question")
    body = {"model": "furnace", "prompt": "left " * 60 + "#out=3000", "stream": True}
    conn = http.client.HTTPConnection("127.0.0.1", running.ports[ENTRY], TIMEOUT_S)
    headers = {"Authorization": f"Bearer {client(running).token}"}
    conn.request("POST", "/v1/completions", json.dumps(body), headers)
    assert conn.getresponse().read(1)
    conn.close()
    wait_until(
        lambda: value(running, ENTRY, metric, tier="question") >= before + 50,
        TIMEOUT_S,
        "the prompt counts as wasted",
    )


@pytest.mark.parametrize("name", [ENTRY, SIDE])
def test_control_counters_grow_in_idle_process(running: Testbed, name: str) -> None:
    series = [
        ("cornelpin_control_bytes_total", {"direction": "sent"}),
        ("cornelpin_control_bytes_total", {"direction": "received"}),
        ("cornelpin_control_cpu_seconds_total", {}),
    ]
    before = [value(running, name, metric, **labels) for metric, labels in series]

    def grown() -> bool:
        now = [value(running, name, metric, **labels) for metric, labels in series]
        return all(new > old for new, old in zip(now, before, strict=True))

    wait_until(grown, TIMEOUT_S, "the control counters grow")
    control_s = value(running, name, "cornelpin_control_cpu_seconds_total")
    assert control_s <= value(running, name, "cornelpin_process_cpu_seconds_total")


def test_move_has_exactly_one_state_until_it_is_removed(running: Testbed) -> None:
    move = {
        "route": "furnace",
        "from_version": "v1",
        "to_version": "v2",
        "state": "pause",
        "finish_by": time.time() + 600,
    }
    running.patch({"moves": {"m": move}})

    def states() -> list[float]:
        return scrape(running, ENTRY, "cornelpin_move_state", move="m")

    wait_until(lambda: bool(states()), TIMEOUT_S, "the move's state is exported")
    assert sorted(states()) == [0] * (len(MoveState) - 1) + [1]
    assert scrape(running, ENTRY, "cornelpin_move_share", move="m") == [0]
    running.patch({"moves": {"m": None}})
    wait_until(lambda: not states(), TIMEOUT_S, "the move's state is removed")


USAGE = b'{"usage":{"prompt_tokens":100,"prompt_tokens_details":{"cached_tokens":%d}}}'
PREFILLS = {
    "nothing cached or held": (USAGE % 0, 0, Prefill(100, 0)),
    "all that is held is cached": (USAGE % 50, 500, Prefill(50, 0)),
    "held elsewhere": (USAGE % 10, 500, Prefill(90, 40)),
    "more cached than known to be held": (USAGE % 80, 500, Prefill(20, 0)),
    "no usage": (b'{"choices":[]}', 500, Prefill(0, 0)),
    "not JSON": (b"x", 500, Prefill(0, 0)),
    "malformed usage": (b'{"usage":[1]}', 500, Prefill(0, 0)),
}


@pytest.mark.parametrize("name", PREFILLS)
def test_prefill_is_computed_from_usage(name: str) -> None:
    last_part, held_bytes, expected = PREFILLS[name]
    assert prefill_from_usage(last_part, held_bytes, 1000) == expected


def test_messages_about_single_requests_are_not_control() -> None:
    # All fields but the id and ``direct`` are empty.
    grant = Grant("r", True, "", "", "", "", 0, "", "", {}, b"", "", False)
    assert not is_control(Ask("r"))
    assert not is_control(grant)
    assert is_control(Heartbeat(1, False, 1, 1, 0, [], 0.0))


def test_cpu_time_includes_running_and_finished_tasks() -> None:
    cost = ControlCost()
    busy, done = threading.Event(), threading.Event()

    def child(stop: threading.Event) -> None:
        until = time.thread_time() + 0.02
        while time.thread_time() < until:
            pass
        busy.set()
        done.wait(TIMEOUT_S)

    thread = threading.Thread(target=cost.metered(child), args=(threading.Event(),))
    thread.start()
    assert busy.wait(TIMEOUT_S)
    assert cost.cpu_s >= 0.02
    done.set()
    thread.join()
    assert cost.cpu_s >= 0.02
