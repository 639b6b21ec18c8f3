"""HTTP client with one persistent connection per thread."""

from __future__ import annotations

import http.client
import select
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import urlsplit

from attrs import frozen

DEFAULT_TIMEOUT_S = 2.0
MIN_STATUS, MAX_STATUS = 200, 599
"""Range of the statuses of final responses."""


@frozen
class Response:
    """Status, headers and body of an HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class NotSent:
    """No connection could be made, so the server never received the request."""

    reason: str


@dataclass(frozen=True)
class NoResponse:
    """The request may have reached the server, but no complete response arrived."""

    reason: str


class HttpClient:
    """Sends requests to one server.

    Args:
        url: Base URL of the server, with http or https.
        timeout_s: Timeout in seconds of a connection attempt and of each read.
    """

    def __init__(self, url: str, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise ValueError(f"{url!r} is not an http or https URL with a host")
        self._secure = parts.scheme == "https"
        self._host = parts.hostname
        self._port = parts.port
        self._base = parts.path.rstrip("/")
        self._timeout_s = timeout_s
        self._local = threading.local()

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> Response | NotSent | NoResponse:
        """Sends a request and reads the response.

        Args:
            method: HTTP method.
            path: Path and query below the base URL.
            body: Request body.
            headers: Request headers.
            wait_s: Seconds for which the server may hold the request (long poll).
        """
        try:
            conn = self._connection()
        except OSError as exc:
            self.close()
            return NotSent(f"cannot connect: {exc}")
        try:
            conn.sock.settimeout(self._timeout_s + wait_s)
            conn.request(method, self._base + path, body=body, headers=headers or {})
            resp = conn.getresponse()
            if not MIN_STATUS <= resp.status <= MAX_STATUS:
                raise http.client.BadStatusLine(str(resp.status))
            return Response(resp.status, dict(resp.headers), resp.read())
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            return NoResponse(f"no response: {exc or type(exc).__name__}")

    def close(self) -> None:
        """Closes the connection of this thread."""
        conn = self._local.__dict__.pop("conn", None)
        if conn is not None:
            conn.close()

    def _connection(self) -> http.client.HTTPConnection:
        conn = getattr(self._local, "conn", None)
        if conn is None or conn.sock is None or _closed_by_server(conn):
            self.close()
            conn = self._local.conn = self._new_connection()
            conn.connect()
        return conn

    def _new_connection(self) -> http.client.HTTPConnection:
        cls = (
            http.client.HTTPSConnection if self._secure else http.client.HTTPConnection
        )
        return cls(self._host, self._port, timeout=self._timeout_s)


def _closed_by_server(conn: http.client.HTTPConnection) -> bool:
    """Whether the server closed an idle connection.

    A write on such a connection fails only after it is sent, so its outcome would look
    unknown although the server never read it.
    """
    poll = select.poll()
    poll.register(conn.sock, select.POLLIN)
    return bool(poll.poll(0))
