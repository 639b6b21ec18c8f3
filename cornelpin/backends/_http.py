"""HTTP exchanges with a backend server over ``http.client``."""

from __future__ import annotations

import contextlib
import http.client
import socket
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from cornelpin.backends._registry import CANCELLED, FAILED, NOT_RUN, RunResult

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.backends._registry import CancelToken

# Also the read timeout of short requests.
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 600.0
READ_BYTES = 65_536


class Unreachable(Exception):
    """No connection to the backend server, so the request has not run."""


class HttpExchange:
    """One request and its response on a separate connection."""

    def __init__(self, url: str, *, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        parts = urlsplit(url)
        self._conn = http.client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=CONNECT_TIMEOUT_S
        )
        self._read_timeout_s = read_timeout_s

    def open(self) -> None:
        """Connects.

        Raises:
            Unreachable: If the connection fails.
        """
        try:
            self._conn.connect()
        except OSError as exc:
            raise Unreachable(str(exc)) from exc
        self._conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._conn.sock.settimeout(self._read_timeout_s)

    def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> http.client.HTTPResponse:
        """Sends the request and returns the response when its head has arrived."""
        self._conn.request(method, path, body=body or None, headers=dict(headers))
        return self._conn.getresponse()

    def interrupt_on(self, cancel: CancelToken) -> None:
        """Shuts down the connection when the run is cancelled."""
        sock = self._conn.sock

        def interrupt() -> None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

        cancel.on_cancel(interrupt)

    def close(self) -> None:
        """Closes the connection."""
        self._conn.close()


def perform(
    url: str, cancel: CancelToken, action: Callable[[HttpExchange], RunResult]
) -> RunResult:
    """Performs a cancellable run on a separate connection.

    Args:
        url: Base URL of the backend server.
        cancel: Shuts down the connection when the run is cancelled.
        action: Sends the request and forwards the response.

    Returns:
        The result of the action, or of the failure that interrupted it.
    """
    exchange = HttpExchange(url)
    try:
        exchange.open()
        exchange.interrupt_on(cancel)
        return action(exchange)
    except Unreachable as exc:
        return RunResult(NOT_RUN, str(exc), connection_failed=True)
    except (OSError, http.client.HTTPException, ValueError) as exc:
        if cancel.cancelled:
            return RunResult(CANCELLED)
        return RunResult(FAILED, f"{type(exc).__name__}: {exc}", connection_failed=True)
    finally:
        exchange.close()


def short_request(url: str, method: str, path: str, body: bytes = b"") -> tuple:
    """Performs a short exchange and returns status and body.

    Raises:
        OSError: If the server cannot be reached or the exchange breaks.
    """
    exchange = HttpExchange(url, read_timeout_s=CONNECT_TIMEOUT_S)
    try:
        exchange.open()
        resp = exchange.send(method, path, {"Content-Type": "application/json"}, body)
        return resp.status, resp.read()
    except (Unreachable, http.client.HTTPException) as exc:
        raise OSError(str(exc)) from exc
    finally:
        exchange.close()
