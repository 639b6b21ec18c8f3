"""A server that answers as soon as the head of a request has arrived."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of the server, so that most of an upload stays with the sender."""
RESET_LINGER = struct.pack("ii", 1, 0)
"""Socket option by which the close of a connection is a reset."""
DELAY_S = 0.03
"""Time between two steps, in which the other side handles the first."""
ENDINGS = (
    "reset",
    "close",
    "half-close, reset",
    "half-close, reset at once",
    "half-close, close",
    "keep",
)
"""How the connection ends after the answer. A close is a reset if a part of the request
has arrived and was not read."""


class EarlyServer:
    """Writes fixed bytes after each head, reads no body and ends the connection.

    Args:
        answer: Returns the answer for the head of a request.
        ending: One of ``ENDINGS``.

    Attributes:
        address: IP address and port.
        heads: Heads of the requests received.
    """

    def __init__(self, answer: Callable[[bytes], bytes], ending: str) -> None:
        self._answer = answer
        self._ending = ending
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.address = ("", 0)
        self.heads: list[bytes] = []

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Starts listening on a free port."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((ip, 0))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=RECEIVE_BUFFER_BYTES
        )
        self.address = sock.getsockname()[:2]

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.heads.append(head)
            writer.write(self._answer(head))
            await writer.drain()
            await asyncio.sleep(DELAY_S)
            await self._end(writer)

    async def _end(self, writer: asyncio.StreamWriter) -> None:
        if self._ending.startswith("half-close"):
            writer.write_eof()
            if not self._ending.endswith("at once"):
                await asyncio.sleep(DELAY_S)
        if "reset" in self._ending:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        if self._ending != "keep":
            writer.transport.abort()
