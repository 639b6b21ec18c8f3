"""Bare HTTP/1.1 that can also be spoken wrongly."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@attrs.frozen
class RawRequest:
    """A request as it came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RawServer:
    """Hands each request of each connection to a handler that writes the answer.

    Args:
        handle: Writes the answer; returns whether the connection goes on.
    """

    def __init__(
        self, handle: Callable[[RawRequest, asyncio.StreamWriter], Awaitable[bool]]
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ("", 0)
        self.connections_accepted = 0

    async def start(self, ip: str, port: int = 0) -> None:
        """Listens, by default on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        await asyncio.sleep(0)

    def reset_connections(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections_accepted += 1
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if not await self._handle_until_left(req, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The loop ends connections by cancelling; there is nobody to tell.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_until_left(
        self,
        req: RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs the handler; ends it when the caller closes the connection."""
        handling = asyncio.ensure_future(self._handle(req, writer))
        while not handling.done():
            await asyncio.wait({handling}, timeout=0.01)
            if reader.at_eof() or writer.transport.is_closing():
                handling.cancel()
                await asyncio.wait({handling})
                return False
        return handling.result()


async def read_request(reader: asyncio.StreamReader) -> RawRequest | None:
    """Returns the next request with a length, or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return RawRequest(method, target, headers, body)


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
