"""Helpers that start stand-ins as processes and call them, and a test of shutdown."""

from __future__ import annotations

import http.client
import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import attrs
import pytest

CALL_TIMEOUT_S = 60.0
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02


@attrs.frozen
class Response:
    """A response; ``connection_lost`` if the connection broke before its end."""

    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    connection_lost: bool = False

    def json(self) -> Any:
        return json.loads(self.body)


@attrs.frozen
class StandIn:
    """A running stand-in process."""

    process: subprocess.Popen[str]
    port: int

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        connection = self._send(method, path, body, headers)
        try:
            response = connection.getresponse()
            status, response_headers = response.status, response.headers
            try:
                return Response(status, response_headers, response.read())
            except http.client.IncompleteRead as error:
                return Response(
                    status, response_headers, error.partial, connection_lost=True
                )
        except (http.client.HTTPException, OSError):
            return Response(connection_lost=True)
        finally:
            connection.close()

    def disconnect_after_headers(
        self, method: str, path: str, body: Any, headers: Mapping[str, str]
    ) -> None:
        """Sends a request and disconnects after the response headers."""
        connection = self._send(method, path, body, headers)
        connection.getresponse().close()
        connection.close()

    def _send(
        self, method: str, path: str, body: Any, headers: Mapping[str, str] | None
    ) -> http.client.HTTPConnection:
        payload = body if isinstance(body, bytes) or body is None else json.dumps(body)
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=CALL_TIMEOUT_S
        )
        connection.request(method, path, payload, dict(headers or {}))
        return connection


@contextmanager
def running_stand_in(name: str, *options: str) -> Iterator[StandIn]:
    """Starts a stand-in and stops it with SIGTERM at the end of the block."""
    process = subprocess.Popen(
        [sys.executable, "-m", f"standins.{name}", *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        state, port = process.stdout.readline().split()
        assert state == "ready"
        yield StandIn(process, int(port))
    finally:
        process.terminate()
        exit_code = process.wait(30)
        assert process.stdout is not None
        process.stdout.close()
    # 3 is the exit code of an injected crash.
    assert exit_code in (0, 3)


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_INTERVAL_S)


@pytest.mark.parametrize("name", ["engine", "objects", "service", "hosts", "weights"])
def test_stand_in_exits_with_zero_on_sigterm(name: str) -> None:
    with running_stand_in(name) as stand_in:
        assert stand_in.call("GET", "/nothing/here").status in (200, 404)
    assert stand_in.process.returncode == 0
