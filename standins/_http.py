"""A small HTTP/1.1 server shared by the stand-ins.

Each stand-in is a ``Handler``: a function from a request to a response.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import re
import select
import signal
import socket
import sys
import threading
from collections.abc import Callable, Iterator, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import attrs

LISTEN_BACKLOG = 256
WRITE_BUFFER_BYTES = 65536
IDLE_CONNECTION_TIMEOUT_S = 300.0
BODYLESS_STATUSES = frozenset({204, 304})


class ConnectionDropError(Exception):
    """Raised by a handler to close the connection without a response."""


@attrs.frozen
class Request:
    """One HTTP request.

    Attributes:
        method: The HTTP method, upper case.
        path: The path, percent-decoded and without the query.
        query: The query parameters; the last value of a repeated name wins.
        headers: The headers, with a case-insensitive ``get``.
        body: The whole body.
        client_disconnected: Returns whether the client has closed its connection.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Any
    body: bytes = b""
    client_disconnected: Callable[[], bool] = lambda: False

    def json(self) -> dict[str, Any]:
        """Returns the body as a JSON object.

        Raises:
            ValueError: If the body is not a JSON object.
        """
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError("the body must be a JSON object")
        return value


@attrs.frozen
class Response:
    """One HTTP response; ``chunks``, if given, is streamed instead of ``body``."""

    status: int = 200
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)
    chunks: Iterator[bytes] | None = None


Handler = Callable[[Request], Response]
RouteHandler = Callable[..., Response]


def json_response(
    value: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a response with ``value`` as its JSON body."""
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return Response(status, json.dumps(value).encode(), all_headers)


def problem(
    status: int, detail: str, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns an error response with a problem document (RFC 9457)."""
    body = json.dumps({"status": status, "detail": detail}).encode()
    all_headers = {"Content-Type": "application/problem+json", **(headers or {})}
    return Response(status, body, all_headers)


class Router:
    """Dispatches requests to handlers by method and path."""

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern[str], RouteHandler]] = []

    def add(self, method: str, pattern: str, handler: RouteHandler) -> None:
        """Adds a route.

        Args:
            method: The HTTP method.
            pattern: Regular expression for the whole path; its groups are passed to
                the handler as arguments.
            handler: Handles the requests of the route.
        """
        self._routes.append((method, re.compile(pattern, re.DOTALL), handler))

    def __call__(self, request: Request) -> Response:
        """Calls the handler of the first matching route, or responds with 404."""
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match and method == request.method:
                return handler(request, *match.groups())
        return problem(404, f"no route for {request.method} {request.path}")


def hashed_uniform(seed: int, *parts: object) -> float:
    """Returns a pseudo-random number in [0, 1), a hash of the seed and the parts.

    Unlike draws from a shared generator, it does not depend on the order in which
    threads run.
    """
    text = ":".join(str(part) for part in (seed, *parts))
    digest = hashlib.sha256(text.encode()).digest()
    return int.from_bytes(digest[:7], "big") / 2.0**56


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = LISTEN_BACKLOG

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Prints the traceback, except for errors of disconnected clients."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


def _handler_class(app: Handler) -> type[BaseHTTPRequestHandler]:
    class _Connection(_BaseConnection):
        def respond(self, request: Request) -> Response:
            return app(request)

    return _Connection


class _BaseConnection(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = WRITE_BUFFER_BYTES
    timeout = IDLE_CONNECTION_TIMEOUT_S

    def respond(self, request: Request) -> Response:
        raise NotImplementedError

    def __getattr__(self, name: str) -> Any:
        # The base class looks up do_METHOD; all methods share one handler here.
        if name.startswith("do_"):
            return self._handle_request
        raise AttributeError(name)

    def log_message(self, format: str, *args: Any) -> None:
        """Logs no requests, so that stderr shows only errors."""

    def _handle_request(self) -> None:
        try:
            request = self._read_request()
            self._write(self._respond(request))
        except (ConnectionDropError, OSError):
            self._abort()

    def _read_request(self) -> Request:
        url = urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        if len(body) < length:
            # The client disconnected while sending: an incomplete body is not handled.
            raise ConnectionDropError
        return Request(
            method=self.command,
            path=unquote(url.path),
            query=dict(parse_qsl(url.query, keep_blank_values=True)),
            headers=self.headers,
            body=body,
            client_disconnected=self._client_disconnected,
        )

    def _respond(self, request: Request) -> Response:
        if self.headers.get("Transfer-Encoding"):
            self.close_connection = True
            return problem(411, "a body needs Content-Length")
        try:
            return self.respond(request)
        except (ValueError, TypeError, KeyError) as error:
            return problem(400, f"bad request: {error!r}")

    def _write(self, response: Response) -> None:
        self.send_response(response.status)
        for name, value in response.headers.items():
            self.send_header(name, value)
        if response.chunks is not None:
            self._write_chunks(response.chunks)
            return
        bodyless = response.status in BODYLESS_STATUSES
        if not bodyless:
            self.send_header("Content-Length", str(len(response.body)))
        self.end_headers()
        if not bodyless and self.command != "HEAD":
            self.wfile.write(response.body)
        self.wfile.flush()

    def _write_chunks(self, chunks: Iterator[bytes]) -> None:
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            self.wfile.flush()
            for chunk in chunks:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                self.wfile.flush()
            self.wfile.write(b"0\r\n\r\n")
            self.wfile.flush()
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()

    def _client_disconnected(self) -> bool:
        try:
            readable, _, _ = select.select([self.connection], [], [], 0)
            return bool(readable) and not self.connection.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def _abort(self) -> None:
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


def argument_parser(description: str) -> argparse.ArgumentParser:
    """Returns an argument parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0, help="0 picks a free port")
    parser.add_argument("--seed", type=int, default=0)
    return parser


def serve(app: Handler, address: str, port: int) -> None:
    """Serves ``app`` until SIGTERM or SIGINT, after printing ``ready PORT``."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    server = _Server((address, port), _handler_class(app))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    print(f"ready {server.server_address[1]}", flush=True)
    stop.wait()
    server.shutdown()
    server.server_close()
