"""Starts stand-ins for the tests and calls them."""

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
WAIT_LIMIT_S = 60.0
POLL_S = 0.02


@attrs.frozen
class Answer:
    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    broken: bool = False

    def json(self) -> Any:
        return json.loads(self.body)


@attrs.frozen
class StandIn:
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
    ) -> Answer:
        connection = self._send(method, path, body, headers)
        try:
            response = connection.getresponse()
            status, got = response.status, response.headers
            try:
                return Answer(status, got, response.read())
            except http.client.IncompleteRead as error:
                return Answer(status, got, error.partial, broken=True)
        except (http.client.HTTPException, OSError):
            return Answer(broken=True)
        finally:
            connection.close()

    def leave(
        self, method: str, path: str, body: Any, headers: Mapping[str, str]
    ) -> None:
        """Sends a request and goes away after the answer's first bytes."""
        connection = self._send(method, path, body, headers)
        connection.getresponse().close()
        connection.close()

    def _send(
        self, method: str, path: str, body: Any, headers: Mapping[str, str] | None
    ) -> http.client.HTTPConnection:
        raw = body if isinstance(body, bytes) or body is None else json.dumps(body)
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=CALL_TIMEOUT_S
        )
        connection.request(method, path, raw, dict(headers or {}))
        return connection


@contextmanager
def running(name: str, *options: str) -> Iterator[StandIn]:
    process = subprocess.Popen(
        [sys.executable, "-m", f"standins.{name}", *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        word, port = process.stdout.readline().split()
        assert word == "ready"
        yield StandIn(process, int(port))
    finally:
        process.terminate()
        code = process.wait(30)
        assert process.stdout is not None
        process.stdout.close()
    assert code in (0, 3)


def wait_until(condition: Callable[[], bool]) -> None:
    limit = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < limit
        time.sleep(POLL_S)


@pytest.mark.parametrize("name", ["engine", "objects", "service", "hosts", "weights"])
def test_stand_in_ends_cleanly_on_sigterm(name: str) -> None:
    with running(name) as stand_in:
        assert stand_in.call("GET", "/nothing/here").status in (200, 404)
    assert stand_in.process.returncode == 0
