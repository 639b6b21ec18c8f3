"""The daemon's HTTP server: handlers in threads behind an event loop's connections."""

from __future__ import annotations

import http.client
import json
import socket
import threading
import time
from typing import TYPE_CHECKING

import pytest

from benchmarks.processes import LOOPBACK, PortAllocator
from benchmarks.waiting import wait_until
from cornelpin.daemon.http.messages import HttpRequest, HttpResponse, json_response
from cornelpin.daemon.http.server import HttpServer
from cornelpin.daemon.settings import LimitSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 10.0
THREADS = 4


class Handler:
    """Records what it is asked and responds by path.

    Attributes:
        closed: Set when a stream was closed.
        release: Lets responses to ``/wait`` go on.
        most: Highest number of requests that were handled at once.
    """

    def __init__(self) -> None:
        self.closed = threading.Event()
        self.release = threading.Event()
        self.most = 0
        self._running = 0
        self._lock = threading.Lock()

    def __call__(self, req: HttpRequest) -> HttpResponse:
        with self._lock:
            self._running += 1
            self.most = max(self.most, self._running)
        try:
            return self._respond(req)
        finally:
            with self._lock:
                self._running -= 1

    def _respond(self, req: HttpRequest) -> HttpResponse:
        match req.path:
            case "/stream":
                return HttpResponse(200, {}, self._stream())
            case "/wait":
                assert self.release.wait(TIMEOUT_S)
            case "/error":
                raise ValueError(req.path)
            case "/bad-name":
                return HttpResponse(200, {"a b": "c"}, [b""])
            case "/bad-value":
                return HttpResponse(200, {"a": "\u20ac"}, [b""])
        document = {"method": req.method, "path": req.path, "query": req.query}
        document |= {"body": req.body.decode(), "x": req.header("X-Test")}
        return json_response(document)

    def _stream(self) -> Iterator[bytes]:
        try:
            while True:
                yield b"part\n"
        finally:
            self.closed.set()


class Running:
    """A server with its handler.

    Args:
        allocator: Allocates its port.
    """

    def __init__(self, allocator: PortAllocator) -> None:
        self.allocator = allocator
        self.port = allocator.allocate()
        self.handler = Handler()
        limits = LimitSettings(memory_mb=128, max_fds=600)
        HttpServer(
            self.handler,
            address=LOOPBACK,
            port=self.port,
            threads=THREADS,
            limits=limits,
        ).start()

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(LOOPBACK, self.port, timeout=TIMEOUT_S)

    def raw(self, data: bytes) -> bytes:
        """Sends bytes and returns what comes until the connection is closed."""
        with socket.create_connection((LOOPBACK, self.port), TIMEOUT_S) as sock:
            sock.sendall(data)
            received = b""
            while part := sock.recv(65_536):
                received += part
        return received


@pytest.fixture(scope="module")
def running() -> Running:
    return Running(PortAllocator())


TARGETS = {
    "/a%20b/c?d=%20&e": ("/a b/c", "d=%20&e"),
    "http://e/f?g": ("/f", "g"),
    "http://e": ("/", ""),
    "/": ("/", ""),
}


@pytest.mark.parametrize("target", TARGETS)
def test_request_is_passed_on(running: Running, target: str) -> None:
    lines = f"PUT {target} HTTP/1.1", "Host: e", "X-Test: 1", "x-test: 2"
    more = "Content-Length: 4", "Connection: close", "", "body"
    received = running.raw("\r\n".join((*lines, *more)).encode())
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    document = json.loads(received.partition(b"\r\n\r\n")[2])
    path, query = TARGETS[target]
    assert document == {
        "method": "PUT",
        "path": path,
        "query": query,
        "body": "body",
        "x": "1, 2",
    }


def test_started_server_takes_connections() -> None:
    allocator = PortAllocator()
    refused = []
    for _ in range(20):
        sock = socket.socket()
        server = Running(allocator)
        refused.append(sock.connect_ex((LOOPBACK, server.port)))
        sock.close()
    assert refused == [0] * 20


@pytest.mark.parametrize("path", ["/error", "/bad-name", "/bad-value"])
def test_failure_of_a_handler_may_have_run(running: Running, path: str) -> None:
    conn = running.connect()
    conn.request("GET", path)
    resp = conn.getresponse()
    document = json.loads(resp.read())
    assert resp.status == 502
    assert document["may_have_run"] is True


def test_head_has_no_body_and_requests_ahead_are_in_order(running: Running) -> None:
    request = "{} /{} HTTP/1.1\r\nHost: e\r\n{}\r\n"
    received = running.raw(
        request.format("HEAD", "a", "").encode()
        + request.format("GET", "b", "").encode()
        + request.format("GET", "c", "Connection: close\r\n").encode()
    )
    assert received.count(b"HTTP/1.1 200 OK") == 3
    assert b'"path": "/a"' not in received
    assert received.index(b'"path": "/b"') < received.index(b'"path": "/c"')


def test_stream_is_closed_when_its_client_leaves(running: Running) -> None:
    running.handler.closed.clear()
    conn = running.connect()
    conn.request("GET", "/stream")
    resp = conn.getresponse()
    assert resp.read(5) == b"part\n"
    assert not running.handler.closed.is_set()
    resp.close()
    conn.close()
    assert running.handler.closed.wait(TIMEOUT_S)


def test_handlers_of_clients_that_left_count_until_they_end(running: Running) -> None:
    handler = running.handler
    handler.release.clear()
    handler.most = 0
    for _ in range(THREADS):
        conn = running.connect()
        conn.request("GET", "/wait")
    wait_until(lambda: handler.most == THREADS, TIMEOUT_S, "all threads are used")
    conn.close()
    waiting = running.connect()
    waiting.request("GET", "/after")
    # Time enough for its handler to be called if a thread counts as free.
    time.sleep(0.3)
    handler.release.set()
    assert waiting.getresponse().status == 200
    assert handler.most == THREADS
