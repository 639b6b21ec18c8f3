"""Accepts connections from peers and serves each in a thread of its own."""

from __future__ import annotations

import socket
import threading
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
        self._sock = socket.create_server((address, port), backlog=BACKLOG)
        self._sock.settimeout(ACCEPT_POLL_S)
        self.rejected = 0

    def run(self, stop: threading.Event) -> None:
        """Accepts connections until stopped."""
        while not stop.is_set():
            try:
                sock, _ = self._sock.accept()
            except TimeoutError:
                continue
            if not self._free_connections.acquire(blocking=False):
                sock.close()
                self.rejected += 1
                continue
            threading.Thread(
                target=self._serve_connection,
                args=(sock,),
                name="session",
                daemon=True,
            ).start()
        self._sock.close()

    def _serve_connection(self, sock: socket.socket) -> None:
        try:
            peer = accept(
                sock,
                self._process.identity,
                clock=self._process.clock,
                cost=self._process.control_cost,
            )
            self._serve(peer)
        except ProtocolError as exc:
            self.rejected += 1
            logger.warning("peer connection closed after a protocol error: {}", exc)
        except PeerClosed:
            pass
        finally:
            sock.close()
            self._free_connections.release()
