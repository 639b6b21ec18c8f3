"""A loopback proxy that can delay, reset, silence and cut connections one way."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 16_384


@attrs.define
class Trouble:
    """What is wrong with a link.

    Attributes:
        delay_s: Added to each chunk.
        silent_to: Whether bytes to the server are swallowed.
        silent_back: Whether bytes from the server are swallowed.
        refused: Whether new connections are reset at once.
    """

    delay_s: float = 0.0
    silent_to: bool = False
    silent_back: bool = False
    refused: bool = False


class Proxy:
    """Forwards connections to one server.

    Attributes:
        trouble: What is wrong with the link now.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.trouble = Trouble()
        self.address = ("", 0)
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Ends everything."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.trouble.refused:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, forth=True),
                self._pump(far_reader, writer, forth=False),
            )
        finally:
            self._writers -= {writer, far_writer}
            for each in (writer, far_writer):
                each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forth: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.trouble.delay_s:
                    await asyncio.sleep(self.trouble.delay_s)
                swallowed = (
                    self.trouble.silent_to if forth else self.trouble.silent_back
                )
                if swallowed:
                    continue
                writer.write(data)
                await writer.drain()
        # An end passes on as an end, so that a client that leaves is noticed.
        writer.close()
