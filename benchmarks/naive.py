"""The naive baseline: round robin over all servers, no tiers, retries on any error.

It serves the callers' HTTP interface of an entry and forwards to the backend servers
directly. Run it with ``python -m benchmarks.naive``; it prints ``ready PORT``.
"""

from __future__ import annotations

import argparse
import http.client
import itertools
import secrets
import signal
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import urlsplit

from attrs import define, field, frozen
from waitress.server import create_server

THREADS = 96
MAX_ATTEMPTS = 3
DEFAULT_TIMEOUT_S = 60.0
READ_BYTES = 65536
SERVER_ERROR = 500
BAD_GATEWAY = "502 Bad Gateway"
SERVICE_PREFIX = "/v1/services/"
PASSED_HEADERS = ("Content-Type", "Idempotency-Key")
CONNECTION_ERRORS = (OSError, http.client.HTTPException)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class BackendServerError(Exception):
    """A backend server responded with a server error."""


@frozen
class Call:
    """A caller's request as it is sent to a backend server."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    timeout_s: float


@frozen
class Reply:
    """A response whose body has not been read yet."""

    conn: http.client.HTTPConnection
    response: http.client.HTTPResponse

    def parts(self) -> Iterator[bytes]:
        """Yields the body as it arrives."""
        try:
            while part := self.response.read1(READ_BYTES):
                yield part
        finally:
            self.conn.close()


@define
class RoundRobin:
    """Round robin over the backend servers of one kind."""

    urls: list[str]
    _next_index: Iterator[int] = field(factory=itertools.count)

    def call(self, call: Call) -> Reply:
        """Sends a call to one server after the other until one responds.

        Raises:
            BackendServerError: The last attempt failed with a server error.
            OSError: The last attempt failed without a response.
        """
        for _ in range(MAX_ATTEMPTS - 1):
            try:
                return self._send_to_next(call)
            except (BackendServerError, *CONNECTION_ERRORS):
                continue
        return self._send_to_next(call)

    def _send_to_next(self, call: Call) -> Reply:
        url = urlsplit(self.urls[next(self._next_index) % len(self.urls)])
        conn = http.client.HTTPConnection(
            url.hostname or "", url.port, timeout=call.timeout_s
        )
        try:
            conn.request(call.method, call.path, call.body, call.headers)
            response = conn.getresponse()
            if response.status >= SERVER_ERROR:
                raise BackendServerError(f"status {response.status}")
        except BaseException:
            conn.close()
            raise
        return Reply(conn, response)


@frozen
class NaiveApp:
    """The WSGI application."""

    models: RoundRobin
    services: RoundRobin

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Forwards one request to a backend server."""
        request_id = f"n-{secrets.token_hex(12)}"
        pool, call = self._route(environ, request_id)
        try:
            reply = pool.call(call)
        except (BackendServerError, *CONNECTION_ERRORS):
            start_response(BAD_GATEWAY, [("X-Request-Id", request_id)])
            return [b""]
        response = reply.response
        headers = [
            ("X-Request-Id", request_id),
            ("Content-Type", response.headers.get("Content-Type") or "text/plain"),
        ]
        start_response(f"{response.status} {response.reason}", headers)
        return reply.parts()

    def _route(
        self, environ: dict[str, Any], request_id: str
    ) -> tuple[RoundRobin, Call]:
        path = environ["PATH_INFO"]
        headers = {name: _header(environ, name) for name in PASSED_HEADERS}
        call = Call(
            method=environ["REQUEST_METHOD"],
            path=path,
            body=environ["wsgi.input"].read(),
            headers={
                "X-Request-Id": request_id,
                **{name: value for name, value in headers.items() if value},
            },
            timeout_s=float(
                _header(environ, "X-Cornelpin-Timeout-S") or DEFAULT_TIMEOUT_S
            ),
        )
        is_service = path.startswith(SERVICE_PREFIX)
        return (self.services if is_service else self.models), call


def _header(environ: dict[str, Any], name: str) -> str:
    key = name.upper().replace("-", "_")
    prefix = "" if key == "CONTENT_TYPE" else "HTTP_"
    return str(environ.get(f"{prefix}{key}", ""))


def _stop(*_: object) -> None:
    sys.exit(0)


def main() -> None:
    """Serves until SIGTERM."""
    parser = argparse.ArgumentParser(description="The naive baseline.")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--models", required=True, help="URLs separated by commas")
    parser.add_argument("--services", required=True, help="URLs separated by commas")
    arguments = parser.parse_args()
    app = NaiveApp(
        RoundRobin(arguments.models.split(",")),
        RoundRobin(arguments.services.split(",")),
    )
    server = create_server(
        app,
        host=arguments.address,
        port=arguments.port,
        threads=THREADS,
        # Each part of a stream is sent at once, not buffered.
        send_bytes=1,
        asyncore_use_poll=True,
        connection_limit=4000,
        backlog=1024,
    )
    signal.signal(signal.SIGTERM, _stop)
    print(f"ready {arguments.port}", flush=True)
    server.run()


if __name__ == "__main__":
    main()
