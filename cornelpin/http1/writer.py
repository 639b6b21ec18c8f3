"""Writes large messages in parts, as the peer takes them."""

from __future__ import annotations

import fcntl
import termios
from array import array
from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

PART_BYTES = 32_768
"""Size of the parts in which a message is passed to the transport, which copies what
the peer does not take at once."""


class SupportsFileno(Protocol):
    """A socket, or the view of one that a transport gives."""

    def fileno(self) -> int:
        """Returns its file descriptor."""


def untaken_bytes(sock: SupportsFileno) -> int:
    """Returns the number of bytes in the kernel that the peer has not taken."""
    count = array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except (OSError, ValueError):  # Closed, or not available for sockets.
        return 0
    return count[0]


class PartWriter:
    """Writes to a transport without copying a large message whole.

    Args:
        transport: The transport; its protocol passes on ``pause_writing`` and
            ``resume_writing``.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._parts: deque[memoryview] = deque()
        self._queued = 0
        self._paused = False
        self._closing = False
        transport.set_write_buffer_limits(high=PART_BYTES, low=0)

    @property
    def unsent(self) -> int:
        """Number of bytes that were not passed to the kernel yet."""
        return self._queued + self._transport.get_write_buffer_size()

    @property
    def paused(self) -> bool:
        """Whether the peer takes less than is written."""
        return self._paused

    def kernel_bytes(self) -> int:
        """Returns the number of bytes in the kernel that the peer has not taken."""
        sock = self._transport.get_extra_info("socket")
        return 0 if sock is None else untaken_bytes(sock)

    def write(self, data: bytes) -> None:
        """Writes a message or a part of one; a large one is kept until it is sent."""
        if not self._parts and not self._paused and len(data) <= PART_BYTES:
            self._transport.write(data)
            return
        self._parts.append(memoryview(data))
        self._queued += len(data)
        self._feed()

    def close(self) -> None:
        """Closes the transport after all is sent."""
        self._closing = True
        self._feed()

    def clear(self) -> None:
        """Drops what was not passed to the transport."""
        self._parts.clear()
        self._queued = 0

    def pause(self) -> None:
        """Called when the transport's buffer is full."""
        self._paused = True

    def resume(self) -> None:
        """Called when the transport's buffer is empty."""
        self._paused = False
        self._feed()

    def _feed(self) -> None:
        while self._parts and not self._paused:
            part = self._parts.popleft()
            if len(part) > PART_BYTES:
                self._parts.appendleft(part[PART_BYTES:])
                part = part[:PART_BYTES]
            self._queued -= len(part)
            self._transport.write(part)
        if self._closing and not self._parts:
            self._transport.close()
