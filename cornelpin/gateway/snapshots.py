"""Snapshots of an entry's watch caches, copied by entries whose caches are behind."""

from __future__ import annotations

import asyncio
import struct
import time
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

if TYPE_CHECKING:
    from collections.abc import Callable

FETCH_TIMEOUT_S = 1.0
"""Time limit of a transfer of some kilobytes over one connection."""
MAX_SNAPSHOT_BYTES = 8_388_608
"""Size limit of a snapshot; a transfer that announces more fails."""
READ_BYTES = 65_536
"""Most bytes read at once."""
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


@attrs.define
class Fetched:
    """A snapshot fetched from another entry, or a failed transfer.

    Attributes:
        snapshot: The snapshot; None if the transfer failed.
        size: Bytes received.
        took_s: Duration of the transfer in seconds.
        reason: Why it failed; empty if it did not.
    """

    snapshot: dict[str, Any] | None = None
    size: int = 0
    took_s: float = 0.0
    reason: str = ""


async def fetch_snapshot(ip: str, port: int) -> Fetched:
    """Fetches another entry's snapshot."""
    fetched = Fetched()
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
            snapshot = msgpack.unpackb(await _read_frame(reader, fetched))
            fetched.snapshot = snapshot if isinstance(snapshot, dict) else None
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as exc:
        fetched.reason = str(exc) or type(exc).__name__
    finally:
        fetched.took_s = time.monotonic() - began
        if writer is not None:
            writer.close()
    return fetched


async def _read_frame(reader: asyncio.StreamReader, fetched: Fetched) -> bytes:
    """Returns the content of a frame; counts the bytes as they arrive."""
    (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if size > MAX_SNAPSHOT_BYTES:
        raise ValueError(f"a snapshot of {size} bytes")
    parts = []
    while fetched.size < size:
        part = await reader.read(min(READ_BYTES, size - fetched.size))
        if not part:
            raise ValueError(f"closed after {fetched.size} of {size} bytes")
        parts.append(part)
        fetched.size += len(part)
    return b"".join(parts)
