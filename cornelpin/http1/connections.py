"""The open connections of a listener, and which of them are closed first."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornelpin.http1.memory import Account, MemoryBudget
    from cornelpin.http1.pacing import TurnGate

STALL_S = 1.0
"""Time without progress after which a connection ends when others need its memory: the
time after which clients of the platform give up an attempt that is not read."""
MIN_FREED_BYTES = 16_384
"""Memory below which nothing is gained by the end of a connection."""


class Connection(Protocol):
    """What is needed of a connection.

    Attributes:
        account: Its memory.
        progress_at: Monotonic time at which it last made progress.
    """

    account: Account
    progress_at: float

    def check_progress(self) -> None:
        """Records progress that was not reported, if there was any."""

    def evict(self) -> None:
        """Ends the request that is being read or the response that is not taken."""

    def abort(self) -> None:
        """Closes the connection at once."""


class OpenConnections:
    """The open connections of a listener.

    Args:
        limit: Number of connections that may be open.

    Attributes:
        limit: Number of connections that may be open.
        closed: Number of connections closed because there were too many.
        evicted: Number of those ended because they held memory without progress.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.closed = 0
        self.evicted = 0
        self._open: set[Connection] = set()
        # Those that wait for their client, in order of their last progress.
        self._waiting: OrderedDict[Connection, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[Connection]:
        return iter(self._open)

    def add(self, conn: Connection) -> bool:
        """Adds a connection; closes the one without progress for the longest time.

        Returns:
            False if there is no room, as all others are being served.
        """
        if len(self._open) >= self.limit and not self._close_one():
            self.closed += 1
            return False
        self._open.add(conn)
        self._waiting[conn] = None
        return True

    def discard(self, conn: Connection) -> None:
        """Removes a connection that has ended."""
        self._open.discard(conn)
        self._waiting.pop(conn, None)

    def wait_for_client(self, conn: Connection) -> None:
        """Called when a connection has made progress and waits for its client."""
        if conn in self._open:
            self._waiting[conn] = None
            self._waiting.move_to_end(conn)

    def serve(self, conn: Connection) -> None:
        """Called when a connection waits for this process: it is not closed."""
        self._waiting.pop(conn, None)

    def evict_stalled(self, size: int) -> int:
        """Ends requests and responses without progress until a size is free.

        Returns:
            Bytes that will be free.
        """
        freed = 0
        before = time.monotonic() - STALL_S
        for conn in list(self._waiting):
            if freed >= size or conn.progress_at > before:
                break
            if conn.account.total < MIN_FREED_BYTES:
                continue
            conn.check_progress()
            if conn.progress_at <= before:
                freed += conn.account.total
                self.evicted += 1
                self._waiting.pop(conn)
                conn.evict()
        return freed

    def _close_one(self) -> bool:
        if not self._waiting:
            return False
        conn = next(iter(self._waiting))
        self.closed += 1
        # Its descriptor is free in the next turn of the loop; its place is now.
        self.discard(conn)
        conn.abort()
        return True


@attrs.frozen
class Resources:
    """What the connections of a listener share.

    Attributes:
        memory: Memory, of all listeners of the process.
        gate: Turns for costly work, of all listeners of the process.
        connections: The open connections of the listener.
    """

    memory: MemoryBudget
    gate: TurnGate
    connections: OpenConnections
