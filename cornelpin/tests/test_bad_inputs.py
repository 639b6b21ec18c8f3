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


def workspace(running: Testbed) -> str:
    return sorted(running.described.workspaces)[0]


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
        api_key=workspace_token(workspace(running)),
        base_url=f"http://127.0.0.1:{running.ports[ENTRY]}/v1",
        max_retries=0,
    )
    answer = client.completions.create(
        model=running.described.model_route, prompt="still there? #out=2"
    )
    assert len(answer.choices[0].text.split()) == 2


@pytest.mark.parametrize("chat", [False, True], ids=["completion", "chat"])
@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_an_unmodified_client_works(running: Testbed, chat: bool, stream: bool) -> None:
    client = OpenAI(
        api_key=workspace_token(workspace(running)),
        base_url=f"http://127.0.0.1:{running.ports[ENTRY]}/v1",
        max_retries=0,
    )
    model = running.described.model_route
    assert model in [row.id for row in client.models.list()]
    text = "a question #out=7"
    if chat:
        made = client.chat.completions.create(
            model=model, messages=[{"role": "user", "content": text}], stream=stream
        )
    else:
        made = client.completions.create(model=model, prompt=text, stream=stream)
    events = list(made) if stream else [made]
    choices = [choice for event in events for choice in event.choices]
    if chat and stream:
        words = "".join(choice.delta.content or "" for choice in choices).split()
    elif chat:
        words = choices[0].message.content.split()
    else:
        words = "".join(choice.text for choice in choices).split()
    assert len(words) == 7


COMPLETIONS = "/v1/completions"
GOOD = {"model": "furnace", "prompt": "x #out=1"}

# method, path, body, changed headers, status, reason
BAD_CALLS = [
    ("GET", COMPLETIONS, None, {}, 400, "bad_request"),
    ("PUT", "/v1/chat/completions", GOOD, {}, 400, "bad_request"),
    ("POST", "/v1/models", GOOD, {}, 400, "bad_request"),
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
    ("POST", COMPLETIONS, {**GOOD, "max_tokens": 0}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**GOOD, "max_tokens": -5}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**GOOD, "max_tokens": "9"}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**GOOD, "max_tokens": 1.5}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, {**GOOD, "max_tokens": True}, {}, 400, "bad_request"),
    ("POST", COMPLETIONS, GOOD, {"Authorization": ""}, 401, "unauthorized"),
    ("POST", COMPLETIONS, GOOD, {"Authorization": "Bearer"}, 401, "unauthorized"),
    ("POST", COMPLETIONS, GOOD, {"Authorization": "Bearer no"}, 401, "unauthorized"),
    ("POST", COMPLETIONS, GOOD, {"Authorization": "Basic eDp5"}, 401, "unauthorized"),
    ("POST", COMPLETIONS, GOOD, {"X-Cornelpin-Tier": "gold"}, 403, "forbidden"),
    ("POST", COMPLETIONS, GOOD, {"X-Cornelpin-Timeout-S": "0"}, 400, "bad_request"),
    ("POST", COMPLETIONS, GOOD, {"X-Cornelpin-Timeout-S": "-1"}, 400, "bad_request"),
    ("POST", COMPLETIONS, GOOD, {"X-Cornelpin-Timeout-S": "x"}, 400, "bad_request"),
    ("POST", COMPLETIONS, GOOD, {"X-Cornelpin-Timeout-S": "nan"}, 400, "bad_request"),
    ("POST", COMPLETIONS, GOOD, {"X-Cornelpin-Timeout-S": "1e9"}, 400, "bad_request"),
    ("GET", "/admin/v1/config", None, {}, 401, "unauthorized"),
    ("GET", "/v1/models", None, {"Authorization": "Bearer é"}, 401, "unauthorized"),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "changed", "status", "reason"), BAD_CALLS
)
def test_a_bad_call_is_refused_and_names_its_reason(
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
    token = workspace_token(workspace(running))
    headers = {"Authorization": f"Bearer {token}", **changed}
    got, fields, answer = call(running, method, path, raw, headers)
    document = json.loads(answer)
    assert (got, document["reason"]) == (status, reason)
    assert document["may_have_run"] is False
    assert document["request_id"] == fields["X-Request-Id"]
    assert fields["Content-Type"] == "application/problem+json"
    assert_serving(running)


# body of the patch call, status, reason
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
def test_a_bad_patch_changes_nothing(
    running: Testbed, body: object, status: int, reason: str
) -> None:
    number = running.config_number()
    if isinstance(body, dict) and "patch" in body and reason == "invalid_patch":
        body = {"base": number, **body}
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    got, _, answer = call(running, "POST", "/admin/v1/config/patches", raw, headers)
    document = json.loads(answer)
    assert (got, document["reason"]) == (status, reason)
    if reason == "invalid_patch":
        assert document["faults"]
        assert all(fault["path"].startswith("$") for fault in document["faults"])
    if reason == "stale_number":
        assert document["current"] == number
    assert running.config_number() == number


def frame(payload: bytes) -> bytes:
    return struct.pack(">I", len(payload)) + payload


HELLO = encode(Hello(1, 1, "x", "entry", "i", b"n" * 16), stamp=1)

BAD_FRAMES = {
    "nothing": b"",
    "text": b"GET / HTTP/1.1\r\n\r\n",
    "oversized": struct.pack(">I", MAX_FRAME_BYTES + 1),
    "largest length": b"\xff" * 8,
    "empty frame": frame(b""),
    "not msgpack": frame(b"\xc1"),
    "number": frame(msgpack.packb(1)),
    "empty list": frame(msgpack.packb([])),
    "unknown code": frame(msgpack.packb([9999, 1])),
    "list as code": frame(msgpack.packb([[1], 1])),
    "negative stamp": frame(msgpack.packb([1, -1, 1, 1, "x", "entry", "i", b"n"])),
    "few fields": frame(msgpack.packb([1, 1, 1])),
    "wrong types": frame(msgpack.packb([1, 1, "1", 1, "x", "entry", "i", b"n"])),
    "boolean version": frame(msgpack.packb([1, 1, True, 1, "x", "entry", "i", b""])),
    "later versions only": encode(Hello(7, 9, "x", "entry", "i", b"n"), stamp=1),
    "message before hello": frame(msgpack.packb([14, 1, "r"])),
    "hello twice": HELLO + HELLO,
    "false proof": HELLO + frame(msgpack.packb([2, 1, b"0" * 32])),
    "cut frame": HELLO[:-3],
    "deep nesting": frame(b"\x91" * 100_000),
}


@pytest.mark.parametrize("name", BAD_FRAMES)
@pytest.mark.parametrize("process", [ENTRY, "side-f1"])
def test_a_bad_frame_costs_only_its_own_connection(
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
    # Nothing but the hello and, at most, the proof is told to a stranger.
    assert len(received) < 1024
    assert_serving(running)


def test_random_frames_leave_the_process_serving(running: Testbed) -> None:
    address = ("127.0.0.1", running.sides["f1"].peer_port)
    rng = random.Random(SEED)
    for _ in range(50):
        with socket.create_connection(address, TIMEOUT_S) as sock:
            sock.sendall(frame(rng.randbytes(64)))
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65_536):
                pass
    assert_serving(running)


def test_a_workspace_sees_only_its_own_routes_and_requests(running: Testbed) -> None:
    headers = {"Authorization": f"Bearer {workspace_token(workspace(running))}"}
    body = json.dumps(GOOD).encode()
    _, fields, _ = call(running, "POST", COMPLETIONS, body, headers)
    others = sorted(running.described.workspaces)[1:]
    answers = set()
    for name in others:
        theirs = {"Authorization": f"Bearer {workspace_token(name)}"}
        path = f"/v1/requests/{fields['X-Request-Id']}"
        known = call(running, "GET", path, b"", theirs)[0]
        unknown = call(running, "GET", "/v1/requests/r-none", b"", theirs)[0]
        answers |= {known, unknown}
    assert answers == {404}


def test_answers_and_refusals_are_counted(running: Testbed) -> None:
    assert_serving(running)
    call(running, "POST", COMPLETIONS, b"{}", {})
    _, fields, text = call(running, "GET", "/metrics", b"", {})
    lines = text.decode().splitlines()
    counted = [line for line in lines if line.startswith("cornelpin_requests_total{")]
    assert any('outcome="answered"' in line for line in counted)
    assert any('outcome="unauthorized"' in line for line in counted)
    assert fields["Content-Type"].startswith("text/plain")
