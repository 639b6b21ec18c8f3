"""A relay that forwards TCP connections at a limited bandwidth."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 4_096


class SlowLink:
    """Listens on loopback and forwards each connection to an address.

    Args:
        target: Address to which connections are forwarded.
        bytes_per_s: Bandwidth from the target back to the caller, of each connection.

    Attributes:
        address: IP address and port of the listener.
        received_bytes: Number of bytes that the target has sent.
    """

    def __init__(self, target: tuple[str, int], bytes_per_s: float) -> None:
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._silenced: set[asyncio.Task[None]] = set()
        self.address = ("", 0)
        self.received_bytes = 0

    async def __aenter__(self) -> SlowLink:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stops listening and closes all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Silences the open connections for good; new ones work."""
        self._silenced |= self._tasks

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        upstream_reader, upstream_writer = await asyncio.open_connection(*self._target)
        try:
            await asyncio.gather(
                self._forward(task, reader, upstream_writer),
                self._forward(
                    task, upstream_reader, writer, bytes_per_s=self._bytes_per_s
                ),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
            upstream_writer.close()

    async def _forward(
        self,
        task: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        bytes_per_s: float | None = None,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if task in self._silenced:
                continue
            if bytes_per_s is not None:
                self.received_bytes += len(data)
                await asyncio.sleep(len(data) / bytes_per_s)
            writer.write(data)
            await writer.drain()
        if task not in self._silenced:
            with contextlib.suppress(OSError):
                writer.close()
