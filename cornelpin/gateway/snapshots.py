"""Snapshots of an entry's watch caches, copied by entries whose caches are behind."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, Any

import msgpack

if TYPE_CHECKING:
    from collections.abc import Callable

FETCH_TIMEOUT_S = 1.0
"""Time limit of a transfer of some kilobytes over one connection."""
MAX_SNAPSHOT_BYTES = 8_388_608
"""Size limit of a snapshot; a transfer that announces more fails."""
LENGTH = struct.Struct(">I")
"""Prefix of a snapshot: its length in bytes."""


class SnapshotServer:
    """Sends a snapshot to each entry that connects.

    Args:
        snapshot: Returns the current snapshot.
    """

    def __init__(self, snapshot: Callable[[], dict[str, Any]]) -> None:
        self._snapshot = snapshot
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Starts listening for other entries."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            data = msgpack.packb(self._snapshot())
            writer.write(LENGTH.pack(len(data)) + data)
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await writer.drain()
        except (OSError, TimeoutError):
            writer.transport.abort()
        finally:
            writer.close()


async def fetch_snapshot(ip: str, port: int) -> dict[str, Any] | None:
    """Returns another entry's snapshot, or None if the transfer fails."""
    writer = None
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
            (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
            if size > MAX_SNAPSHOT_BYTES:
                return None
            snapshot = msgpack.unpackb(await reader.readexactly(size))
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return snapshot if isinstance(snapshot, dict) else None
