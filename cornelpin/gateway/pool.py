"""Pool of keep-alive connections to backend servers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.http1.client import HttpConnection

if TYPE_CHECKING:
    from cornelpin.scheduling.servers import BackendServer

KEEP_MARGIN_S = 0.6
"""Safety margin on a server's idle time-out: it is announced in whole seconds, and a
request takes some milliseconds to arrive."""
DEFAULT_KEEP_S = 4.0
"""Idle time-out assumed if the server announces none."""
MIN_IDLE_LIMIT_S = 0.2
"""Lower bound of a service's idle limit."""
IDLE_LIMIT_DECREASE = 0.5
"""Factor on a service's idle limit when a reused connection turned out to be closed."""
IDLE_LIMIT_INCREASE = 1.02
"""Factor on a service's idle limit at each successful reuse."""
MAX_IDLE_S = 60.0
"""Upper bound of a service's idle limit."""


@attrs.define(eq=False)
class _Idle:
    """An idle connection.

    Attributes:
        conn: The connection.
        since: Monotonic time from which it has been idle.
        usable_s: Seconds of idleness up to which it may be reused: the server's idle
            time-out less KEEP_MARGIN_S.
    """

    conn: HttpConnection
    since: float
    usable_s: float


@attrs.define
class Lease:
    """A connection checked out for one exchange.

    Attributes:
        conn: The connection.
        server: Its server.
        idle_s: Seconds it had been idle; zero if it is new.
        reused: Whether it has carried a request before.
    """

    conn: HttpConnection
    server: BackendServer
    idle_s: float = 0.0
    reused: bool = False


class ConnectionPool:
    """Idle connections by server incarnation, reused in LIFO order.

    A service's idle limit is the time for which its idle connections are assumed
    usable. It adapts where servers close connections earlier than they announce.

    Args:
        limit: Number of open connections from which an idle one is closed for each new
            one; None if it is not limited.

    Attributes:
        opened: Number of connections opened so far.
        open: Number of connections that are open or being opened.
    """

    def __init__(self, limit: int | None = None) -> None:
        self._limit = limit
        self._idle: dict[tuple[str, int], list[_Idle]] = {}
        self._idle_limits: dict[str, float] = {}
        self.opened = 0
        self.open = 0

    def has_idle(self, server: BackendServer) -> bool:
        """Returns whether a usable idle connection to a server exists."""
        now = time.monotonic()
        stack = self._idle.get(server.incarnation, [])
        return bool(stack) and self._usable(server, stack[-1], now)

    async def acquire(self, server: BackendServer, request_id: str) -> Lease:
        """Returns an idle connection if a usable one exists, else a new one.

        Args:
            server: The server.
            request_id: Id of the request to be sent, which was not refused on the
                connection before.

        Raises:
            ConnectionFailed: If none could be opened.
        """
        now = time.monotonic()
        stack = self._idle.get(server.incarnation, [])
        for idle in reversed(stack):
            if request_id in idle.conn.refused:
                continue
            stack.remove(idle)
            if self._usable(server, idle, now):
                return Lease(idle.conn, server, now - idle.since, reused=True)
            idle.conn.close()
        return Lease(await self._open(server), server)

    async def _open(self, server: BackendServer) -> HttpConnection:
        if self._limit is not None and self.open >= self._limit:
            self._close_longest_idle()
        self.opened += 1
        self.open += 1
        try:
            conn = await HttpConnection.open(server.address)
        except BaseException:
            self._on_closed()
            raise
        conn.on_closed = self._on_closed
        if conn.closed:
            self._on_closed()
        return conn

    def _on_closed(self) -> None:
        self.open -= 1

    def _close_longest_idle(self) -> None:
        oldest = min(
            (stack for stack in self._idle.values() if stack),
            key=lambda stack: stack[0].since,
            default=None,
        )
        if oldest is not None:
            oldest.pop(0).conn.close()

    def release(self, lease: Lease, keep_s: float | None) -> None:
        """Returns a connection to the pool after a complete exchange.

        Args:
            lease: The connection's lease.
            keep_s: The server's idle time-out in seconds; None if not announced.
        """
        if lease.reused:
            self.record_reuse(lease)
        if not lease.conn.reusable:
            lease.conn.close()
            return
        keep = DEFAULT_KEEP_S if keep_s is None else keep_s
        idle = _Idle(lease.conn, time.monotonic(), max(0.0, keep - KEEP_MARGIN_S))
        self._idle.setdefault(lease.server.incarnation, []).append(idle)

    def record_stale(self, lease: Lease) -> None:
        """Lowers the service's idle limit: an idle connection had been closed."""
        service = lease.server.service
        limit = min(self._idle_limits.get(service, MAX_IDLE_S), lease.idle_s)
        self._idle_limits[service] = max(MIN_IDLE_LIMIT_S, limit * IDLE_LIMIT_DECREASE)

    def record_reuse(self, lease: Lease) -> None:
        """Raises the service's idle limit: an idle connection still worked."""
        service = lease.server.service
        if service in self._idle_limits:
            self._idle_limits[service] = min(
                MAX_IDLE_S, self._idle_limits[service] * IDLE_LIMIT_INCREASE
            )

    def sweep(self, alive: set[tuple[str, int]]) -> None:
        """Closes connections that are expired or whose server is gone."""
        now = time.monotonic()
        for incarnation, stack in list(self._idle.items()):
            kept = []
            for idle in stack:
                fresh = idle.conn.reusable and now - idle.since < idle.usable_s
                if incarnation in alive and fresh:
                    kept.append(idle)
                else:
                    idle.conn.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]

    def close(self) -> None:
        """Closes all idle connections."""
        self.sweep(set())

    def _usable(self, server: BackendServer, idle: _Idle, now: float) -> bool:
        idle_s = now - idle.since
        limit = min(idle.usable_s, self._idle_limits.get(server.service, MAX_IDLE_S))
        return idle.conn.reusable and idle_s < limit
