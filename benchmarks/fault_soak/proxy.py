"""A loopback proxy that can delay, reset and refuse connections or drop their bytes."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 16_384


@attrs.define
class LinkFault:
    """Faults that are injected into a link; they can be combined.

    Attributes:
        delay_s: Delay of each chunk, in seconds.
        drop_to_server: Whether bytes to the server are dropped.
        drop_from_server: Whether bytes from the server are dropped.
        refuse_connections: Whether new connections are reset at once.
    """

    delay_s: float = 0.0
    drop_to_server: bool = False
    drop_from_server: bool = False
    refuse_connections: bool = False


class Proxy:
    """Forwards connections to one server.

    Attributes:
        fault: Current faults of the link; changed in place.
        address: Address that the proxy listens on.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.fault = LinkFault()
        self.address = ("", 0)
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._accept, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Closes the listener and resets all connections."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Drops all that the open connections carry from now on; new ones work."""
        self._silent |= self._writers

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task that is cancelled before its first step would leave its writer open.
        if self.fault.refuse_connections or self._stopped:
            writer.transport.abort()
            return
        self._writers.add(writer)
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers = {writer}
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
            writers.add(server_writer)
            self._writers.add(server_writer)
            await asyncio.gather(
                self._copy(reader, server_writer, to_server=True),
                self._copy(server_reader, writer, to_server=False),
            )
        except OSError:
            writer.transport.abort()
        finally:
            self._writers -= writers
            self._silent -= writers
            for open_writer in writers:
                open_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_server: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault.delay_s:
                    await asyncio.sleep(self.fault.delay_s)
                dropped = (
                    self.fault.drop_to_server
                    if to_server
                    else self.fault.drop_from_server
                )
                if dropped or writer in self._silent:
                    continue
                writer.write(data)
                await writer.drain()
        # Passes on the end of the stream, so that the server sees a client disconnect.
        writer.close()
