"""Malformed calls, patches and frames against a running cluster.

Each is refused with its reason, changes nothing and leaves the processes serving.
"""

from __future__ import annotations

import http.client
import json
import random
import socket
import struct

import msgpack
import pytest
from openai import OpenAI

from benchmarks.cluster_settings import workspace_token
from benchmarks.testbed import OPERATOR_TOKEN, Testbed
from cornelpin.daemon.messages import MAX_FRAME_BYTES, Hello, encode

SEED = 31
TIMEOUT_S = 20
ENTRY = "e1"


def first_workspace(running: Testbed) -> str:
    return sorted(running.deployment.workspaces)[0]


def call(
    running: Testbed, method: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, dict[str, str], bytes]:
    conn = http.client.HTTPConnection(
        "127.0.0.1", running.ports[ENTRY], timeout=TIMEOUT_S
    )
    try:
        conn.request(method, path, body or None, headers)
        resp = conn.getresponse()
        return resp.status, dict(resp.headers.items()), resp.read()
    finally:
        conn.close()


def assert_serving(running: Testbed) -> None:
    client = OpenAI(
        api_key=workspace_token(first_workspace(running)),
        base_url=f"http://127.0.0.1:{running.ports[ENTRY]}/v1",
        max_retries=0,
    )
    answer = client.completions.create(
        model=running.deployment.model_route, prompt="still there? #out=2"
    )
    assert len(answer.choices[0].text.split()) == 2


@pytest.mark.parametrize("chat", [False, True], ids=["completion", "chat"])
@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_unmodified_openai_client_works(
    running: Testbed, chat: bool, stream: bool
) -> None:
    client = OpenAI(
        api_key=workspace_token(first_workspace(running)),
        base_url=f"http://127.0.0.1:{running.ports[ENTRY]}/v1",
        max_retries=0,
    )
    model = running.deployment.model_route
    assert model in [row.id for row in client.models.list()]
    text = "a question #out=7"
    if chat:
        response = client.chat.completions.create(
            model=model, messages=[{"role": "user", "content": text}], stream=stream
        )
    else:
        response = client.completions.create(model=model, prompt=text, stream=stream)
    events = list(response) if stream else [response]
    choices = [choice for event in events for choice in event.choices]
    if chat and stream:
        words = "".join(choice.delta.content or "" for choice in choices).split()
    elif chat:
        words = choices[0].message.content.split()
    else:
        words = "".join(choice.text for choice in choices).split()
    assert len(words) == 7


COMPLETIONS = "/v1/completions"
BODY = {"model": "furnace", "prompt": "x #out=1"}

# Method, path, body, changed headers, expected status and reason.
BAD_CALLS = [
    ("GET", COMPLETIONS, None, {}, 400, "bad_request"),
    ("PUT", "/v1/chat/completions", BODY, {}, 400, "bad_request"),
    ("POST", "/v1/models", BODY, {}, 400, "bad_request"),
    ("GET", "/", None, {}, 404, "no_route"),
    ("GET", "/v2/completions", None, {}, 404, "no_route"),
    ("GET", "/v1/services/", None, {}, 404, "no_route"),
    ("GET", "/v1/services/none/x", None, {}, 404, "no_route"),
    ("GET", "/v1/services/furnace/x", None, {}, 404, "no_route"),
    ("POST", COMPLETIONS, b"", {}, 400, "bad_request"),
    ("POST", COMPLETIONS, b"{", {}, 400, "bad_request"),
    ("POST", COMPLETIONS, b"\xff\xfe", {}, 400, "bad_request"),
    ("POST", COMPLETIONS, b"[" * 100_000, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, [], {}, 400, "bad_request"),
    ("POST", COMPLETIONS, "text", {}, 400, "bad_request"),
    ("POST", COMPLETIONS, None, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {"model": 1}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {"model": None}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {"model": ["furnace"]}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {"model": "other"}, {}, 404, "no_route"),
    ("POST", COMPLETIONS, {"model": ""}, {}, 404, "no_route"),
    ("POST", COMPLETIONS, {**BODY, "max_tokens": 0}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**BODY, "max_tokens": -5}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**BODY, "max_tokens": "9"}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**BODY, "max_tokens": 1.5}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**BODY, "max_tokens": True}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, BODY, {"Authorization": ""}, 401, "unauthorized"),
    ("POST", COMPLETIONS, BODY, {"Authorization": "Bearer"}, 401, "unauthorized"),
    ("POST", COMPLETIONS, BODY, {"Authorization": "Bearer no"}, 401, "unauthorized"),
    ("POST", COMPLETIONS, BODY, {"Authorization": "Basic eDp5"}, 401, "unauthorized"),
    ("POST", COMPLETIONS, BODY, {"X-Cornelpin-Tier": "gold"}, 403, "forbidden"),
    ("POST", COMPLETIONS, BODY, {"X-Cornelpin-Timeout-S": "0"}, 400, "bad_request"),
    ("POST", COMPLETIONS, BODY, {"X-Cornelpin-Timeout-S": "-1"}, 400, "bad_request"),
    ("POST", COMPLETIONS, BODY, {"X-Cornelpin-Timeout-S": "x"}, 400, "bad_request"),
    ("POST", COMPLETIONS, BODY, {"X-Cornelpin-Timeout-S": "nan"}, 400, "bad_request"),
    ("POST", COMPLETIONS, BODY, {"X-Cornelpin-Timeout-S": "1e9"}, 400, "bad_request"),
    ("GET", "/admin/v1/config", None, {}, 401, "unauthorized"),
    ("GET", "/v1/models", None, {"Authorization": "Bearer é"}, 401, "unauthorized"),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "changed", "status", "reason"), BAD_CALLS
)
def test_bad_call_is_refused_with_its_reason(
    running: Testbed,
    method: str,
    path: str,
    body: object,
    changed: dict[str, str],
    status: int,
    reason: str,
) -> None:
    raw = body if isinstance(body, bytes) else b""
    if body is not None and not isinstance(body, bytes):
        raw = json.dumps(body).encode()
    token = workspace_token(first_workspace(running))
    headers = {"Authorization": f"Bearer {token}", **changed}
    actual_status, response_headers, answer = call(running, method, path, raw, headers)
    document = json.loads(answer)
    assert (actual_status, document["reason"]) == (status, reason)
    assert document["may_have_run"] is False
    assert document["request_id"] == response_headers["X-Request-Id"]
    assert response_headers["Content-Type"] == "application/problem+json"
    assert_serving(running)


# Body of the patch call, expected status and reason.
BAD_PATCHES = [
    (b"", 400, "bad_request"),
    (b"{}", 400, "bad_request"),
    ({"base": "1", "patch": {}}, 400, "bad_request"),
    ({"base": True, "patch": {}}, 400, "bad_request"),
    ({"base": 1.0, "patch": {}}, 400, "bad_request"),
    ({"base": 1, "patch": []}, 400, "bad_request"),
    ({"base": 1}, 400, "bad_request"),
    ({"base": 0, "patch": {}}, 409, "stale_number"),
    ({"base": -1, "patch": {}}, 409, "stale_number"),
    ({"base": 999, "patch": {}}, 409, "stale_number"),
    ({"patch": {"tier": {}}}, 422, "invalid_patch"),
    ({"patch": {"tiers": None}}, 422, "invalid_patch"),
    ({"patch": {"tiers": []}}, 422, "invalid_patch"),
    ({"patch": {"tiers": {"question": {"urgency": -1}}}}, 422, "invalid_patch"),
    ({"patch": {"tiers": {"question": {"urgency": 0.5}}}}, 422, "invalid_patch"),
    ({"patch": {"tiers": {"question": {"urgent": 1}}}}, 422, "invalid_patch"),
    ({"patch": {"tiers": {"question": {"max_wait_s": 0}}}}, 422, "invalid_patch"),
    ({"patch": {"tiers": {"question": {"slot_share": 2}}}}, 422, "invalid_patch"),
    ({"patch": {"tiers": {"question": {"durable": "no"}}}}, 422, "invalid_patch"),
    ({"patch": {"routes": {"furnace": {"tier": "x"}}}}, 422, "invalid_patch"),
    ({"patch": {"routes": {"furnace": {"kind": "x"}}}}, 422, "invalid_patch"),
    ({"patch": {"routes": {"furnace": None}}}, 422, "invalid_patch"),
    ({"patch": {"routes": {"n": {}}}}, 422, "invalid_patch"),
    ({"patch": {"backend_servers": None}}, 422, "invalid_patch"),
    ({"patch": {"hosts": {"h": {"address": "x"}}}}, 422, "invalid_patch"),
    ({"patch": {"hosts": {"h": {"address": "1.2.3.4:5"}}}}, 422, "invalid_patch"),
    ({"patch": {"entries": {"e1": {"http_port": 0}}}}, 422, "invalid_patch"),
    ({"patch": {"entries": {"e1": {"peer_port": 70000}}}}, 422, "invalid_patch"),
    ({"patch": {"operators": {"a": {"token_sha256": ["x"]}}}}, 422, "invalid_patch"),
    ({"patch": {"moves": {"m": {}}}}, 422, "invalid_patch"),
    ({"patch": {"moves": {"m": {"route": "furnace"}}}}, 422, "invalid_patch"),
    ({"patch": {"retention": {"answers_s": -1}}}, 422, "invalid_patch"),
]


@pytest.mark.parametrize(("body", "status", "reason"), BAD_PATCHES)
def test_bad_patch_changes_nothing(
    running: Testbed, body: object, status: int, reason: str
) -> None:
    number = running.config_number()
    if isinstance(body, dict) and "patch" in body and reason == "invalid_patch":
        body = {"base": number, **body}
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    actual_status, _, answer = call(
        running, "POST", "/admin/v1/config/patches", raw, headers
    )
    document = json.loads(answer)
    assert (actual_status, document["reason"]) == (status, reason)
    if reason == "invalid_patch":
        assert document["faults"]
        assert all(fault["path"].startswith("$") for fault in document["faults"])
    if reason == "stale_number":
        assert document["current"] == number
    assert running.config_number() == number


def make_frame(payload: bytes) -> bytes:
    return struct.pack(">I", len(payload)) + payload


HELLO = encode(Hello(1, 1, "x", "entry", "i", b"n" * 16), stamp=1)

BAD_FRAMES = {
    "nothing": b"",
    "text": b"GET / HTTP/1.1\r\n\r\n",
    "oversized": struct.pack(">I", MAX_FRAME_BYTES + 1),
    "largest length": b"\xff" * 8,
    "empty frame": make_frame(b""),
    "not msgpack": make_frame(b"\xc1"),
    "number": make_frame(msgpack.packb(1)),
    "empty list": make_frame(msgpack.packb([])),
    "unknown code": make_frame(msgpack.packb([9999, 1])),
    "list as code": make_frame(msgpack.packb([[1], 1])),
    "negative stamp": make_frame(msgpack.packb([1, -1, 1, 1, "x", "entry", "i", b"n"])),
    "few fields": make_frame(msgpack.packb([1, 1, 1])),
    "wrong types": make_frame(msgpack.packb([1, 1, "1", 1, "x", "entry", "i", b"n"])),
    "boolean version": make_frame(
        msgpack.packb([1, 1, True, 1, "x", "entry", "i", b""])
    ),
    "later versions only": encode(Hello(7, 9, "x", "entry", "i", b"n"), stamp=1),
    "message before hello": make_frame(msgpack.packb([14, 1, "r"])),
    "hello twice": HELLO + HELLO,
    "false proof": HELLO + make_frame(msgpack.packb([2, 1, b"0" * 32])),
    "cut frame": HELLO[:-3],
    "deep nesting": make_frame(b"\x91" * 100_000),
}


@pytest.mark.parametrize("name", BAD_FRAMES)
@pytest.mark.parametrize("process", [ENTRY, "side-f1"])
def test_bad_frame_closes_only_its_own_connection(
    running: Testbed, process: str, name: str
) -> None:
    placements = {p.name: p for p in (*running.entries, *running.sides.values())}
    address = ("127.0.0.1", placements[process].peer_port)
    with socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(BAD_FRAMES[name])
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while data := sock.recv(65_536):
            received += data
    # An unauthenticated peer receives at most the hello and the proof.
    assert len(received) < 1024
    assert_serving(running)


def test_process_serves_after_random_frames(running: Testbed) -> None:
    address = ("127.0.0.1", running.sides["f1"].peer_port)
    rng = random.Random(SEED)
    for _ in range(50):
        with socket.create_connection(address, TIMEOUT_S) as sock:
            sock.sendall(make_frame(rng.randbytes(64)))
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65_536):
                pass
    assert_serving(running)


def test_workspace_cannot_see_requests_of_others(running: Testbed) -> None:
    headers = {"Authorization": f"Bearer {workspace_token(first_workspace(running))}"}
    body = json.dumps(BODY).encode()
    _, response_headers, _ = call(running, "POST", COMPLETIONS, body, headers)
    others = sorted(running.deployment.workspaces)[1:]
    answers = set()
    for name in others:
        other_headers = {"Authorization": f"Bearer {workspace_token(name)}"}
        path = f"/v1/requests/{response_headers['X-Request-Id']}"
        known = call(running, "GET", path, b"", other_headers)[0]
        unknown = call(running, "GET", "/v1/requests/r-none", b"", other_headers)[0]
        answers |= {known, unknown}
    assert answers == {404}


def test_answers_and_refusals_are_counted(running: Testbed) -> None:
    assert_serving(running)
    call(running, "POST", COMPLETIONS, b"{}", {})
    _, response_headers, text = call(running, "GET", "/metrics", b"", {})
    lines = text.decode().splitlines()
    counted = [line for line in lines if line.startswith("cornelpin_requests_total{")]
    assert any('outcome="answered"' in line for line in counted)
    assert any('outcome="unauthorized"' in line for line in counted)
    assert response_headers["Content-Type"].startswith("text/plain")


def test_large_invalid_limit_is_not_sent_back_whole(running: Testbed) -> None:
    body = {"model": running.deployment.model_route, "max_tokens": [[]] * 100_000}
    token = workspace_token(first_workspace(running))
    status, _, received = call(
        running,
        "POST",
        "/v1/completions",
        json.dumps(body).encode(),
        {"Authorization": f"Bearer {token}"},
    )
    assert status == 400
    assert len(received) < 2_000
    assert b"max_tokens is [[], " in received
