"""Keyed and durable requests through the entries of a running cluster.

Guards against a key that runs twice or gets another answer on a retry, keys and durable
requests that leak between workspaces, claims written for requests without a key, and
durable requests that only the accepting entry can return.
"""

from __future__ import annotations

import http.client
import json
import time
import uuid
from collections.abc import Iterator

import pytest
from attrs import frozen

from benchmarks.cluster_settings import workspace_token
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.testbed import Testbed
from benchmarks.waiting import wait_until

SEED = 37
TIMEOUT_S = 30
SETTLE_INTERVAL_S = 1.0
OWN, OTHER = "shop-a", "shop-b"
SERVICE = "/v1/services/registry/calls"
MODEL = "/v1/completions"


@frozen
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> dict[str, object]:
        return json.loads(self.body)


@pytest.fixture(scope="module")
def testbed() -> Iterator[Testbed]:
    with Testbed(DEPLOYMENTS["small"](), seed=SEED) as testbed:
        yield testbed
    testbed.remove_folder()


def call(
    testbed: Testbed,
    entry: str,
    path: str,
    body: object = None,
    *,
    method: str = "POST",
    workspace: str = OWN,
    **headers: str,
) -> Reply:
    sent = {"Authorization": f"Bearer {workspace_token(workspace)}"}
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    conn = http.client.HTTPConnection(
        "127.0.0.1", testbed.ports[entry], timeout=TIMEOUT_S
    )
    try:
        conn.request(method, path, json.dumps(body) if body else None, sent)
        resp = conn.getresponse()
        return Reply(resp.status, dict(resp.headers.items()), resp.read())
    finally:
        conn.close()


def prompt(text: str, *, stream: bool = False, tokens: int = 5) -> dict[str, object]:
    words = f"{text} #out={tokens}"
    return {"model": "furnace", "prompt": words, "max_tokens": tokens, "stream": stream}


def count_runs(testbed: Testbed, key: str) -> int:
    starts = [event for event in testbed.run_events() if event.event == "start"]
    return sum(event.key == key for event in starts)


def collect(testbed: Testbed, entry: str, location: str) -> Reply:
    replies = []

    def final() -> bool:
        replies.append(call(testbed, entry, location, method="GET"))
        return replies[-1].status != 202

    wait_until(final, TIMEOUT_S, "the durable request is final")
    return replies[-1]


@pytest.mark.parametrize(
    ("path", "body"),
    [
        (SERVICE, {"call": "a release"}),
        (MODEL, prompt("whole")),
        (MODEL, prompt("streamed", stream=True)),
    ],
    ids=["service", "whole", "stream"],
)
def test_retry_gets_the_first_answer(testbed: Testbed, path: str, body: object) -> None:
    key = uuid.uuid4().hex
    first = call(testbed, "e1", path, body, Idempotency_Key=key)
    again = call(testbed, "e2", path, body, Idempotency_Key=key)
    assert first.status == again.status == 200
    assert first.body == again.body
    assert first.headers["X-Request-Id"] == again.headers["X-Request-Id"]


def test_service_runs_a_key_once(testbed: Testbed) -> None:
    key = uuid.uuid4().hex
    for entry in ("e1", "e2", "e1"):
        call(testbed, entry, SERVICE, {"call": "once"}, Idempotency_Key=key)
    assert count_runs(testbed, key) == 1


@pytest.mark.parametrize(
    ("path", "first", "second"),
    [
        (SERVICE, {"call": 1}, {"call": 2}),
        (MODEL, prompt("one"), prompt("two")),
        (MODEL, prompt("one"), prompt("one", stream=True)),
    ],
)
def test_key_used_with_another_request_is_refused(
    testbed: Testbed, path: str, first: object, second: object
) -> None:
    key = uuid.uuid4().hex
    call(testbed, "e1", path, first, Idempotency_Key=key)
    reply = call(testbed, "e2", path, second, Idempotency_Key=key)
    assert (reply.status, reply.document["reason"]) == (409, "key_reused")


def test_keys_of_workspaces_are_independent(testbed: Testbed) -> None:
    key = uuid.uuid4().hex
    for workspace in (OWN, OTHER):
        body = {"call": workspace}
        reply = call(
            testbed, "e1", SERVICE, body, workspace=workspace, Idempotency_Key=key
        )
        assert reply.status == 200
    assert count_runs(testbed, key) == 2


def test_request_without_a_key_writes_no_claim(testbed: Testbed) -> None:
    before = count_settled_claim_writes(testbed)
    call(testbed, "e1", MODEL, prompt("no key"))
    call(testbed, "e1", SERVICE, {"call": "no key"})
    assert count_settled_claim_writes(testbed) == before


def count_settled_claim_writes(testbed: Testbed) -> int:
    """Counts claim writes once the outcomes of earlier calls are written too."""
    counts = [count_claim_writes(testbed)]

    def settled() -> bool:
        time.sleep(SETTLE_INTERVAL_S)
        counts.append(count_claim_writes(testbed))
        return counts[-1] == counts[-2]

    wait_until(settled, TIMEOUT_S, "no more claims are written")
    return counts[-1]


def count_claim_writes(testbed: Testbed) -> int:
    log = testbed.client("objects").call("GET", "/log").body
    return sum(entry["key"].startswith("claims/") for entry in log)


@pytest.mark.parametrize("entry", ["e1", "e2"])
def test_durable_request_can_be_collected_at_any_entry(
    testbed: Testbed, entry: str
) -> None:
    body = prompt("a review", tokens=20)
    headers = {"X_Cornelpin_Tier": "review", "Prefer": "respond-async"}
    accepted = call(testbed, "e1", MODEL, body, **headers)
    assert accepted.status == 202
    reply = collect(testbed, entry, accepted.headers["Location"])
    assert reply.status == 200
    assert len(reply.document["choices"][0]["text"].split()) == 20  # type: ignore[index]


def test_durable_request_without_prefer_async_returns_its_answer(
    testbed: Testbed,
) -> None:
    reply = call(testbed, "e1", MODEL, prompt("sync"), X_Cornelpin_Tier="review")
    assert reply.status == 200


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_durable_request_is_not_found_for_another_workspace(
    testbed: Testbed, method: str
) -> None:
    headers = {"X_Cornelpin_Tier": "review", "Prefer": "respond-async"}
    accepted = call(testbed, "e1", MODEL, prompt("private"), **headers)
    seen = call(
        testbed, "e2", accepted.headers["Location"], method=method, workspace=OTHER
    )
    unknown = call(testbed, "e2", "/v1/requests/r-0", method=method, workspace=OTHER)
    assert seen.status == unknown.status == 404
    assert seen.document["detail"] == unknown.document["detail"]
    assert collect(testbed, "e1", accepted.headers["Location"]).status == 200


def test_cancelled_request_returns_its_cancellation(testbed: Testbed) -> None:
    headers = {"X_Cornelpin_Tier": "review", "Prefer": "respond-async"}
    accepted = call(testbed, "e1", MODEL, prompt("long", tokens=400), **headers)
    location = accepted.headers["Location"]
    assert call(testbed, "e2", location, method="DELETE").status == 200
    reply = collect(testbed, "e1", location)
    assert reply.document["reason"] == "cancelled"
