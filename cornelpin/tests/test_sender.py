"""The load generator's sender distinguishes broken connections from wrong responses.

A connection that breaks is permitted; a truncated or wrong response that ends like a
complete one violates the check ``wrong_answer``.
"""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Iterator

import pytest

from benchmarks.checker import Evidence, run_checks
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.load import Sender, Target
from benchmarks.records import Answer
from benchmarks.workload import PlannedRequest
from standins.answers import expected_answer

PROMPT = "why did the quench curve bend #out=3"
TOKENS = expected_answer(PROMPT, 3).split()
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Request-Id: q-1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def token(text: str) -> bytes:
    return chunk(b'data: {"choices": [{"text": " %s"}]}\n\n' % text.encode())


WHOLE = b"".join(map(token, TOKENS))
DONE = chunk(b"data: [DONE]\n\n")
LAST_CHUNK = b"0\r\n\r\n"

# What the server writes before it closes the connection, and how the sender must
# classify it.
BODIES: dict[str, tuple[bytes, Answer]] = {
    "whole": (WHOLE + DONE + LAST_CHUNK, Answer.COMPLETE),
    "broken between two chunks": (token(TOKENS[0]), Answer.BROKEN),
    "broken within a chunk": (WHOLE[:-20], Answer.BROKEN),
    "broken within a chunk size": (token(TOKENS[0]) + b"2", Answer.BROKEN),
    "broken before the first chunk": (b"", Answer.BROKEN),
    "ended cleanly without the end marker": (WHOLE + LAST_CHUNK, Answer.CUT),
    "ended cleanly after one token": (token(TOKENS[0]) + LAST_CHUNK, Answer.CUT),
    "end marker after one token": (
        token(TOKENS[0]) + DONE + LAST_CHUNK,
        Answer.CUT,
    ),
    "tokens of another answer": (token("abc") + DONE + LAST_CHUNK, Answer.WRONG),
}


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


def serve_once(listener: socket.socket, body: bytes) -> None:
    conn, _ = listener.accept()
    with conn, conn.makefile("rb") as request:
        headers = http.client.parse_headers(_after_request_line(request))
        request.read(int(headers["Content-Length"]))
        conn.sendall(HEAD + body)


def _after_request_line(request: object) -> object:
    request.readline()  # type: ignore[attr-defined]
    return request


@pytest.mark.parametrize("name", BODIES)
def test_broken_connection_is_distinguished_from_truncated_response(
    name: str, listener: socket.socket
) -> None:
    body, expected = BODIES[name]
    server = threading.Thread(target=serve_once, args=(listener, body))
    server.start()
    tier = DEPLOYMENTS["small"]().tier("question")
    request = PlannedRequest("c-1", 0.0, "shop-a", tier, PROMPT, 3, streamed=True)
    sender = Sender(
        [Target("e1", "127.0.0.1", listener.getsockname()[1])], {"shop-a": "t"}
    )
    (record,) = sender.run([request])
    server.join()
    assert record.answer is expected
    found = {violation.check for violation in run_checks(Evidence([record], []))}
    seems_complete = expected in (Answer.CUT, Answer.WRONG)
    assert found == ({"wrong_answer"} if seems_complete else set())
