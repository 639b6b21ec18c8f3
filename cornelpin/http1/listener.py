"""Accepts connections, a few in each turn of the event loop."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

BACKLOG = 512
"""Pending connections of a listening socket."""
ACCEPT_BATCH = 16
"""Connections that are accepted before others are closed for them."""
ACCEPT_RETRY_S = 0.1
"""Time without accepting while the process has no descriptor left."""


def listening_socket(address: tuple[str, int], *, receive_bytes: int) -> socket.socket:
    """Returns a bound socket.

    Args:
        address: IP address and port.
        receive_bytes: Size of the kernel's buffer of received bytes of each connection.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    sock.bind(address)
    return sock


class Listener:
    """A listening socket.

    An ``asyncio.Server`` accepts in one turn as many connections as may be pending.

    Args:
        sock: The bound socket.
        factory: Makes the protocol of a connection.
    """

    def __init__(
        self, sock: socket.socket, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        self._sock = sock
        self._factory = factory
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        sock.listen(BACKLOG)
        self._resume()

    def close(self) -> None:
        """Stops listening; open connections stay."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._sock)
        self._sock.close()

    def _resume(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._sock, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:  # No descriptor or no memory.
                self._loop.remove_reader(self._sock)
                self._loop.call_later(ACCEPT_RETRY_S, self._resume)
                return
            conn.setblocking(False)
            task = self._loop.create_task(self._connect(conn))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, conn: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, conn)
        except OSError:  # The client has left.
            conn.close()
