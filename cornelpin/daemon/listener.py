"""Accepts connections from peers and serves each in a thread of its own."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import TYPE_CHECKING

from loguru import logger

from cornelpin.daemon.messages import ProtocolError
from cornelpin.daemon.peer import PeerClosed, accept

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

BACKLOG = 256
ACCEPT_POLL_S = 0.5
MAX_CONNECTIONS = 1024
ACCEPT_RETRY_S = 0.1
LOG_INTERVAL_S = 5.0
"""Least time between two log lines about connections that break the protocol."""
MAX_HANDSHAKES = 32
"""Connections that may be open without a proof of the shared key: the oldest of them is
closed for a new one."""


class PeerListener:
    """Listens for peers and serves each session in a thread of its own.

    Args:
        process: The process.
        address: IP address to listen on.
        port: Port to listen on.
        serve: Serves a session until it ends.

    Attributes:
        rejected: Connections rejected: beyond the limit or with a protocol error.
    """

    def __init__(
        self,
        process: Process,
        address: str,
        port: int,
        serve: Callable[[Peer], None],
    ) -> None:
        self._process = process
        self._serve = serve
        self._free_connections = threading.BoundedSemaphore(MAX_CONNECTIONS)
        # Threads of connections that are in their handshake, or were closed in it.
        self._free_handshakes = threading.BoundedSemaphore(2 * MAX_HANDSHAKES)
        self._handshakes: dict[socket.socket, None] = {}
        self._lock = threading.Lock()
        self._sock = socket.create_server((address, port), backlog=BACKLOG)
        self._sock.settimeout(ACCEPT_POLL_S)
        self.rejected = 0
        self._logged_at = float("-inf")
        self._unlogged = 0

    def run(self, stop: threading.Event) -> None:
        """Accepts connections until stopped."""
        while not stop.is_set():
            if not self._free_handshakes.acquire(timeout=ACCEPT_POLL_S):
                continue
            sock = self._accept()
            if sock is None:
                self._free_handshakes.release()
                continue
            threading.Thread(
                target=self._serve_connection,
                args=(sock,),
                name="session",
                daemon=True,
            ).start()
        self._sock.close()

    def _accept(self) -> socket.socket | None:
        """Returns a new connection, if there is one and there may be another."""
        try:
            sock, _ = self._sock.accept()
        except TimeoutError:
            return None
        except OSError as exc:
            logger.warning("a peer connection was not accepted: {}", exc)
            time.sleep(ACCEPT_RETRY_S)
            return None
        if not self._free_connections.acquire(blocking=False):
            sock.close()
            self.rejected += 1
            return None
        with self._lock:
            if len(self._handshakes) >= MAX_HANDSHAKES:
                self._end_oldest_handshake()
            self._handshakes[sock] = None
        return sock

    def _end_oldest_handshake(self) -> None:
        oldest = next(iter(self._handshakes))
        del self._handshakes[oldest]
        self.rejected += 1
        with contextlib.suppress(OSError):
            oldest.shutdown(socket.SHUT_RDWR)

    def _serve_connection(self, sock: socket.socket) -> None:
        try:
            self._serve(self._handshake(sock))
        except ProtocolError as exc:
            self.rejected += 1
            self._log_violation(exc)
        except PeerClosed:
            pass
        finally:
            sock.close()
            self._free_connections.release()

    def _handshake(self, sock: socket.socket) -> Peer:
        try:
            return accept(
                sock,
                self._process.identity,
                clock=self._process.clock,
                cost=self._process.control_cost,
            )
        finally:
            with self._lock:
                self._handshakes.pop(sock, None)
            self._free_handshakes.release()

    def _log_violation(self, exc: ProtocolError) -> None:
        """Logs a connection that broke the protocol, with how many were not logged."""
        with self._lock:
            now = time.monotonic()
            if now < self._logged_at + LOG_INTERVAL_S:
                self._unlogged += 1
                return
            unlogged, self._unlogged = self._unlogged, 0
            self._logged_at = now
        logger.warning(
            "peer connection closed after a protocol error: {}; {} others since the "
            "last line",
            exc,
            unlogged,
        )
