"""HTTP exchanges with a backend server, on a connection each."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from cornelpin.backends._registry import CANCELLED, FAILED, NOT_RUN, RunResult
from cornelpin.http1.blocking import BlockingExchange

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.backends._registry import CancelToken
    from cornelpin.http1.blocking import ResponseHead

# Also the read timeout of short requests.
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 600.0


class Unreachable(Exception):
    """No connection to the backend server, so the request has not run."""


class HttpExchange:
    """One request and its response on a separate connection."""

    def __init__(self, url: str, *, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        parts = urlsplit(url)
        self._address = (parts.hostname or "", parts.port or 80)
        self._host = parts.netloc
        self._read_timeout_s = read_timeout_s
        self._sock: socket.socket | None = None
        self._exchange: BlockingExchange | None = None

    def open(self) -> None:
        """Connects.

        Raises:
            Unreachable: If the connection fails.
        """
        try:
            sock = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
        except OSError as exc:
            raise Unreachable(str(exc)) from exc
        self._sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self._read_timeout_s)
        self._exchange = BlockingExchange(sock, self._host)

    def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> ResponseHead:
        """Sends the request and returns the head of the response when it has arrived.

        Raises:
            OSError: If the exchange breaks.
            ValueError: If the request can't be sent.
        """
        assert self._exchange is not None
        self._exchange.send(method, path, headers, body)
        return self._exchange.read_head()

    def read(self) -> bytes:
        """Returns the next part of the body, empty at the end of a whole response.

        Raises:
            OSError: If the response is cut or malformed.
        """
        assert self._exchange is not None
        return self._exchange.read()

    def read_all(self) -> bytes:
        """Returns the rest of the body; raises as ``read``."""
        assert self._exchange is not None
        return self._exchange.read_all()

    def interrupt_on(self, cancel: CancelToken) -> None:
        """Shuts down the connection when the run is cancelled."""
        exchange = self._exchange
        assert exchange is not None

        def interrupt() -> None:
            with contextlib.suppress(OSError):
                exchange.interrupt()

        cancel.on_cancel(interrupt)

    def close(self) -> None:
        """Closes the connection."""
        if self._sock is not None:
            self._sock.close()


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
    except (OSError, ValueError) as exc:
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
        head = exchange.send(method, path, {"Content-Type": "application/json"}, body)
        return head.status, exchange.read_all()
    except Unreachable as exc:
        raise OSError(str(exc)) from exc
    finally:
        exchange.close()
