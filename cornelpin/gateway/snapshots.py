"""Snapshots of an entry's watch caches, copied by entries whose caches are behind.

The copying entry sends its revisions and gets only the kinds of objects that have
changed since, compressed. An entry of an earlier build sends nothing and gets a whole
snapshot, and one that answers with a whole snapshot is understood.
"""

from __future__ import annotations

import asyncio
import struct
import time
import zlib
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

from cornelpin.http1.listener import listening_socket
from cornelpin.http1.memory import Account
from cornelpin.http1.server import RECEIVE_BUFFER_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.http1.connections import OpenConnections
    from cornelpin.http1.memory import MemoryBudget

IDLE_TIMEOUT_S = 1.0
"""Longest time without a byte of a transfer: several round trips on a full link."""
TRANSFER_TIMEOUT_S = 10.0
"""Longest duration of a transfer. A whole configuration takes about 2 s uncompressed on
the narrowest link."""
REQUEST_WAIT_S = 0.5
"""Time for which the request of a connected entry is awaited: a lost packet is sent
again within it."""
MAX_SNAPSHOT_BYTES = 8_388_608
"""Size limit of a snapshot, compressed or not; a larger one is not read."""
MAX_REQUEST_BYTES = 65_536
BACKLOG = 64
"""Connections that wait to be accepted, and that are accepted at once."""
READ_BYTES = 65_536
"""Most bytes read at once."""
COMPRESSION_LEVEL = 1
"""Fastest level of zlib; a configuration of many routes shrinks to a sixth."""
KINDS = "kinds"
"""Field of a response with the changed kinds; whole snapshots do not have it."""
LENGTH = struct.Struct(">I")
"""Prefix of a request and of a response: its length in bytes."""


def pack(content: Any) -> bytes:
    """Returns a part of a snapshot in compressed form."""
    return zlib.compress(msgpack.packb(content), COMPRESSION_LEVEL)


def unpack(data: bytes) -> Any:
    """Returns the content of ``pack``.

    Raises:
        ValueError: If the data is malformed or larger than MAX_SNAPSHOT_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as exc:
        raise ValueError(f"not compressed: {exc}") from exc
    if not decompressor.eof:
        raise ValueError(f"truncated, or over {MAX_SNAPSHOT_BYTES} bytes")
    return msgpack.unpackb(content)


class SnapshotServer:
    """Sends each entry that connects what has changed since its revisions.

    Args:
        changes: Returns the response to a request.
        whole: Returns a whole snapshot, for entries of earlier builds.
        memory: Memory of the responses.
        transfers: The open connections; the oldest ends for a new one.
    """

    def __init__(
        self,
        changes: Callable[[Mapping[str, Any]], dict[str, Any]],
        whole: Callable[[], dict[str, Any]],
        memory: MemoryBudget,
        transfers: OpenConnections,
    ) -> None:
        self._changes = changes
        self._whole = whole
        self._memory = memory
        self._transfers = transfers
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Starts listening for other entries."""
        self._server = await asyncio.start_server(
            self._serve,
            sock=listening_socket((ip, port), receive_bytes=RECEIVE_BUFFER_BYTES),
            limit=MAX_REQUEST_BYTES,
            backlog=BACKLOG,
        )

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        transfer = _Transfer(Account(self._memory), writer)
        if not self._transfers.add(transfer):
            transfer.abort()
            return
        try:
            data = msgpack.packb(await self._response(reader))
            transfer.account.set("unsent", 2 * len(data))
            if self._memory.short and not self._memory.make_room(len(data)):
                raise ValueError(f"no memory for {len(data)} bytes")
            writer.write(LENGTH.pack(len(data)) + data)
            writer.close()
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                await writer.wait_closed()
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            transfer.abort()
            transfer.account.release()
            self._transfers.discard(transfer)

    async def _response(self, reader: asyncio.StreamReader) -> dict[str, Any]:
        try:
            async with asyncio.timeout(REQUEST_WAIT_S):
                (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
                if size > MAX_REQUEST_BYTES:
                    raise ValueError(f"a request of {size} bytes")
                request = msgpack.unpackb(await reader.readexactly(size))
        except TimeoutError:
            return self._whole()
        return self._changes(request if isinstance(request, dict) else {})


class _Transfer:
    """An open connection of a ``SnapshotServer``."""

    def __init__(self, account: Account, writer: asyncio.StreamWriter) -> None:
        self.account = account
        self.progress_at = time.monotonic()
        self._writer = writer

    def check_progress(self) -> None:
        """Does nothing: a transfer has a time limit."""

    def evict(self) -> None:
        """Closes the connection."""
        self.abort()

    def abort(self) -> None:
        """Closes the connection."""
        self._writer.transport.abort()


@attrs.define
class Fetched:
    """A response fetched from another entry, or a failed transfer.

    Attributes:
        response: The response; None if the transfer failed.
        size: Bytes received.
        progress_at: Monotonic time at which the transfer began, or bytes last arrived.
        took_s: Duration of the transfer in seconds.
        reason: Why it failed; empty if it did not.
    """

    response: dict[str, Any] | None = None
    size: int = 0
    progress_at: float = attrs.field(factory=time.monotonic)
    took_s: float = 0.0
    reason: str = ""


async def fetch_changes(
    ip: str,
    port: int,
    revisions: Mapping[str, Any],
    fetched: Fetched | None = None,
) -> Fetched:
    """Fetches what another entry's caches have beyond some revisions.

    Args:
        ip: Address of the other entry.
        port: Port of its SnapshotServer.
        revisions: Revisions of this entry's caches (``Revision.export``).
        fetched: Object to fill, which shows the progress meanwhile.
    """
    fetched = Fetched() if fetched is None else fetched
    began = time.monotonic()
    writer = None
    request = msgpack.packb(dict(revisions))
    try:
        async with asyncio.timeout(TRANSFER_TIMEOUT_S):
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, port)
            writer.write(LENGTH.pack(len(request)) + request)
            response = msgpack.unpackb(await _read_frame(reader, fetched))
            if not isinstance(response, dict):
                raise ValueError(f"not a snapshot but {type(response).__name__}")
            fetched.response = response
    except (OSError, TimeoutError, ValueError) as exc:
        fetched.reason = str(exc) or type(exc).__name__
    finally:
        fetched.took_s = time.monotonic() - began
        if writer is not None:
            writer.close()
    return fetched


async def _read_frame(reader: asyncio.StreamReader, fetched: Fetched) -> bytes:
    """Returns the content of a frame; counts the bytes as they arrive."""
    prefix = await _read_part(reader, LENGTH.size)
    while len(prefix) < LENGTH.size:
        prefix += await _read_part(reader, LENGTH.size - len(prefix))
    (size,) = LENGTH.unpack(prefix)
    if size > MAX_SNAPSHOT_BYTES:
        raise ValueError(f"a snapshot of {size} bytes")
    parts = []
    while fetched.size < size:
        part = await _read_part(reader, min(READ_BYTES, size - fetched.size))
        parts.append(part)
        fetched.size += len(part)
        fetched.progress_at = time.monotonic()
    return b"".join(parts)


async def _read_part(reader: asyncio.StreamReader, size: int) -> bytes:
    """Returns up to ``size`` bytes as soon as there are any."""
    async with asyncio.timeout(IDLE_TIMEOUT_S):
        part = await reader.read(size)
    if not part:
        raise ValueError("closed within a transfer")
    return part
