"""Plans of workloads, the sender's records of responses, and goodput figures.

Guards against workloads that differ between equal seeds, and against truncated or
swapped responses that are recorded as complete.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest

from benchmarks import demo
from benchmarks.cluster_settings import workspace_token
from benchmarks.deployment import capacity_per_s
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.load import Sender, Target
from benchmarks.measures import goodput_by_tier, prefill_work
from benchmarks.records import Answer, Kind, RunEvent, SentRecord
from benchmarks.timeline_page import timeline_page
from benchmarks.workload import PlannedRequest, Shape, plan
from standins.answers import expected_answer

SHAPE = Shape(seed=7, rate_per_s=200.0, duration_s=5.0, burst_every_s=2.0)
SMALL = DEPLOYMENTS["small"]()
PROMPT = "w1 w2 #out=6"
COMPLETE_TEXT = expected_answer(PROMPT, 6)


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_equal_seeds_give_equal_plans(name: str) -> None:
    planned = plan(DEPLOYMENTS[name](), SHAPE)
    assert planned == plan(DEPLOYMENTS[name](), SHAPE)
    assert len({request.digest for request in planned}) == len(planned)
    assert [r.at_s for r in planned] == sorted(r.at_s for r in planned)


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_plan_covers_tiers_workspaces_and_a_wide_range_of_lengths(name: str) -> None:
    deployment = DEPLOYMENTS[name]()
    planned = plan(deployment, SHAPE)
    assert {r.tier for r in planned} == set(deployment.tiers)
    assert {r.workspace for r in planned} == set(deployment.workspaces)
    bounds = [t.output_tokens for t in deployment.tiers if t.kind is Kind.MODEL]
    lengths = [r.output_tokens for r in planned if r.tier.kind is Kind.MODEL]
    assert min(low for low, _ in bounds) <= min(lengths)
    assert max(lengths) <= max(high for _, high in bounds)
    assert max(lengths) >= 20 * min(lengths)


def test_bursts_raise_the_rate() -> None:
    planned = plan(SMALL, SHAPE)
    inside = [r for r in planned if r.at_s % 2.0 < 1.0]
    assert len(inside) > len(planned) / 2


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_irreversible_work_is_shed_last(name: str) -> None:
    tiers = sorted(DEPLOYMENTS[name]().tiers, key=lambda tier: tier.shed_order)
    assert tiers[0].name in ("tag", "name_check")
    assert tiers[-1].name in ("release", "stamp")
    assert capacity_per_s(DEPLOYMENTS[name]()) > 0


def make_completion(text: str) -> bytes:
    return json.dumps({"choices": [{"text": text}]}).encode()


def make_stream(*parts: str, end: str = "data: [DONE]\n\n") -> bytes:
    events = [f"data: {make_completion(part).decode()}\n\n" for part in parts]
    return ("".join(events) + end).encode()


REFUSAL = {"reason": "shed", "may_have_run": False}
RUN_REFUSAL = json.dumps({"error": {"reason": "server_lost", "may_have_run": True}})

ANSWERS: dict[str, tuple[bool, int, bytes, Answer, bool | None]] = {
    "whole": (False, 200, make_completion(COMPLETE_TEXT), Answer.COMPLETE, None),
    "crossed": (False, 200, make_completion(" other"), Answer.WRONG, None),
    "short": (False, 200, make_completion(COMPLETE_TEXT[:-1]), Answer.CUT, None),
    "empty": (False, 200, b"", Answer.CUT, None),
    "too long": (False, 200, make_completion(COMPLETE_TEXT + " x"), Answer.WRONG, None),
    "refused": (False, 429, json.dumps(REFUSAL).encode(), Answer.NONE, False),
    "no problem document": (False, 502, b"oops", Answer.NONE, None),
    "whole stream": (
        True,
        200,
        make_stream(COMPLETE_TEXT[:9], COMPLETE_TEXT[9:]),
        Answer.COMPLETE,
        None,
    ),
    "stream without end": (
        True,
        200,
        make_stream(COMPLETE_TEXT, end=""),
        Answer.CUT,
        None,
    ),
    "stream cut and ended": (
        True,
        200,
        make_stream(COMPLETE_TEXT[:9]),
        Answer.CUT,
        None,
    ),
    "stream with error": (
        True,
        200,
        make_stream(COMPLETE_TEXT[:9], end=f"data: {RUN_REFUSAL}\n\n"),
        Answer.FAILED,
        True,
    ),
}


class StubEntry(BaseHTTPRequestHandler):
    replies: list[tuple[int, bytes]] = []
    headers_seen: list[dict[str, str]] = []

    def reply(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        self.headers_seen.append(dict(self.headers))
        status, body = self.replies.pop(0)
        self.send_response(status)
        self.send_header("X-Request-Id", "q-1")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = reply  # noqa: N815

    def log_message(self, *args: Any) -> None:
        pass


@pytest.fixture
def target() -> Iterator[Target]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), StubEntry)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    StubEntry.replies, StubEntry.headers_seen = [], []
    yield Target("e1", "127.0.0.1", server.server_port)
    server.shutdown()
    thread.join()
    server.server_close()


def send_request(
    target: Target, tier: str, streamed: bool = False, **options: Any
) -> Any:
    request = PlannedRequest(
        "c-1", 0.0, "shop-a", SMALL.tier(tier), PROMPT, 6, streamed, "k-1"
    )
    tokens = {"shop-a": workspace_token("shop-a")}
    return Sender([target], tokens, **options).run([request])[0]


@pytest.mark.parametrize("name", ANSWERS)
def test_responses_are_compared_with_the_expected_one(
    name: str, target: Target
) -> None:
    streamed, status, body, answer, may_have_run = ANSWERS[name]
    StubEntry.replies = [(status, body)]
    record: SentRecord = send_request(target, "question", streamed)
    assert (record.status, record.answer, record.may_have_run) == (
        status,
        answer,
        may_have_run,
    )
    assert record.request_id == "q-1"
    assert record.intended_at <= record.started_at <= record.finished_at
    assert StubEntry.headers_seen[0]["Authorization"] == "Bearer token-shop-a"


def test_durable_request_is_polled_until_it_has_an_outcome(target: Target) -> None:
    unknown = json.dumps({"reason": "unknown", "may_have_run": False}).encode()
    StubEntry.replies = [(202, b"{}"), (202, b"{}"), (404, unknown)]
    StubEntry.replies += [(200, make_completion(COMPLETE_TEXT))]
    record = send_request(target, "review")
    assert record.accepted
    assert (record.answer, record.may_have_run) == (Answer.COMPLETE, None)


def test_durable_request_without_an_outcome_times_out(target: Target) -> None:
    StubEntry.replies = [(202, b"{}"), *[(404, b"{}")] * 99]
    record = send_request(target, "review", collect_timeout_s=0.5)
    assert (record.accepted, record.answer) == (True, Answer.NONE)


def test_refused_connection_is_recorded_as_an_error() -> None:
    record = send_request(Target("e1", "127.0.0.1", 1), "question")
    assert (record.status, record.answer) == (0, Answer.NONE)
    assert record.error.startswith("ConnectionRefusedError")


def test_demo_sends_a_few_hundred_requests_of_all_tiers() -> None:
    deployment = demo.demo_deployment()
    rate_per_s = demo.LOAD_FACTOR * capacity_per_s(deployment)
    planned = plan(deployment, Shape(demo.SEED, rate_per_s, demo.LOAD_DURATION_S))
    assert 200 <= len(planned) <= 1000
    assert {request.tier for request in planned} == set(deployment.tiers)


def test_measures_count_complete_responses_and_wasted_prefill() -> None:
    complete = SentRecord("a", "shop-a", "tag", "furnace", Kind.MODEL, "a")
    complete.answer = Answer.COMPLETE
    complete.intended_at, complete.started_at, complete.finished_at = 1.0, 2.5, 3.0
    shed = SentRecord("b", "shop-a", "tag", "furnace", Kind.MODEL, "b", status=429)
    (row,) = goodput_by_tier([complete, shed])
    assert (row.sent, row.complete, row.shed, row.share) == (2, 1, 1, 0.5)
    assert row.median_latency_s == 2.0
    events = [
        RunEvent("f1", "end", "q", "a", 3.0, "", "v1", outcome, 100, 40)
        for outcome in ("done", "failed", "cancelled")
    ]
    work = prefill_work(events)
    assert (work.computed, work.cached, work.wasted) == (180, 120, 120)


def test_timeline_page_escapes_what_it_shows() -> None:
    page = timeline_page("t", [{"at": 1, "text": "<b>"}, {"other": None}])
    assert "&lt;b&gt;" in page
    assert "<b>" not in page
