"""A minimal HTTP/1.1 server whose handlers write raw bytes.

Handlers can thus violate the protocol on purpose.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@attrs.frozen
class RawRequest:
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RawServer:
    """Passes each request to a handler that writes the response.

    Args:
        handle: Writes the response; returns whether to keep the connection open.

    Attributes:
        address: IP address and port of the listener.
        connections_accepted: Number of connections accepted so far.
    """

    def __init__(
        self, handle: Callable[[RawRequest, asyncio.StreamWriter], Awaitable[bool]]
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False
        self.address = ("", 0)
        self.connections_accepted = 0

    async def start(self, ip: str, port: int = 0) -> None:
        """Starts listening, by default on a free port."""
        self._server = await asyncio.start_server(self._accept, ip, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        await asyncio.sleep(0)

    def refuse_connections(self) -> None:
        """Stops listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    def reset_connections(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task that is cancelled before its first step would leave its writer open.
        if self._stopped:
            writer.transport.abort()
            return
        self._writers.add(writer)
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections_accepted += 1
        try:
            while (req := await read_request(reader)) is not None:
                if not await self._handle_until_disconnect(req, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Connections are cancelled when the event loop stops; nothing to report.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_until_disconnect(
        self,
        req: RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs the handler; cancels it when the caller closes the connection."""
        task = asyncio.ensure_future(self._handle(req, writer))
        while not task.done():
            await asyncio.wait({task}, timeout=0.01)
            if reader.at_eof() or writer.transport.is_closing():
                task.cancel()
                await asyncio.wait({task})
                return False
        return task.result()


async def read_request(reader: asyncio.StreamReader) -> RawRequest | None:
    """Returns the next request, or None at the end of the connection.

    A body needs ``Content-Length``.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    request_line, *lines = head.split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return RawRequest(method, target, headers, body)


def format_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a response with ``Content-Length``."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
