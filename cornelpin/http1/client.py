"""One HTTP/1.1 connection to a server, for one request at a time."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import h11

if TYPE_CHECKING:
    from collections.abc import Sequence

CONNECT_TIMEOUT_S = 0.6
"""Time for a new connection: a dropped opening packet comes again only after seconds,
and a host without power answers nothing."""
MAX_HEAD_BYTES = 65_536
HIGH_WATER_BYTES = 262_144
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
"""Unacknowledged data older than this ends a connection: a peer behind a cut is found
within the time in which the platform counts hosts as out of touch."""

Event = Any
Headers = list[tuple[bytes, bytes]]


class ConnectionFailed(Exception):
    """The connection could not be opened: nothing was sent."""


class ConnectionBroken(Exception):
    """The connection ended or spoke nonsense within an exchange."""


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Makes a connection notice a peer that is gone."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class HttpConnection(asyncio.Protocol):
    """A client's side of a kept connection."""

    def __init__(self) -> None:
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._eof = False
        self._fed_eof = False
        self._lost: Exception | None = None
        self._busy = False
        self._spoiled = False
        self._unread = 0
        self._request: tuple[bytes, bytes, Headers] | None = None
        self.exchanges = 0

    @classmethod
    async def open(
        cls, address: tuple[str, int], *, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> HttpConnection:
        """Opens a connection.

        Raises:
            ConnectionFailed: If that fails or takes too long.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(cls, *address)
        except (OSError, TimeoutError) as exc:
            raise ConnectionFailed(str(exc) or type(exc).__name__) from exc
        return conn

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent now."""
        return not (self._busy or self._spoiled or self._eof or self._lost)

    @property
    def send_finished(self) -> bool:
        """Whether the whole request has left this process."""
        return (
            self._transport is not None and not self._transport.get_write_buffer_size()
        )

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Sends a whole request.

        Raises:
            ConnectionBroken: If the connection has ended; nothing was sent.
        """
        if not self.reusable or self._transport is None:
            raise ConnectionBroken("connection has ended")
        framed = [*headers]
        if body or method not in {b"GET", b"HEAD", b"DELETE"}:
            framed.append((b"content-length", str(len(body)).encode()))
        self._request = (method, target, framed)
        if self.exchanges:
            self._http.start_next_cycle()
        head = self._http.send(
            h11.Request(method=method, target=target, headers=framed)
        )
        rest = self._finish_request(body)
        self._busy = True
        self.exchanges += 1
        self._transport.write(head + rest)

    def _finish_request(self, body: bytes) -> bytes:
        data = self._http.send(h11.Data(data=body)) if body else b""
        return (data or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    async def next_event(self) -> Event:
        """Returns the next part of the answer.

        Raises:
            ConnectionBroken: If the connection ended first or broke the protocol.
        """
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise ConnectionBroken(f"not HTTP: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            await self._more()

    async def _more(self) -> None:
        if self._lost is not None:
            raise ConnectionBroken(str(self._lost))
        if self._eof:
            if self._fed_eof:
                raise ConnectionBroken("closed by the server")
            self._fed_eof = True
            self._http.receive_data(b"")
            return
        if self._unread > HIGH_WATER_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._unread = 0
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def skip_response(self) -> None:
        """Makes ready for the next answer after one that was for another request."""
        if self._request is None:
            return
        trailing = self._http.trailing_data[0]
        method, target, headers = self._request
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        kept = [(n, v) for n, v in headers if n != b"content-length"]
        self._http.send(h11.Request(method=method, target=target, headers=kept))
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)

    def finish(self) -> None:
        """Notes the end of an exchange whose whole answer was read."""
        self._busy = False
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done or self._http.trailing_data[0] or not self.send_finished:
            self._spoiled = True

    def abort(self) -> None:
        """Ends the connection at once."""
        self._spoiled = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Ends an idle connection."""
        self._spoiled = True
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; those that come between exchanges belong to no request."""
        if not self._busy:
            self.abort()
            return
        self._http.receive_data(data)
        self._unread += len(data)
        if self._unread > HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Notes that the server sends no more."""
        self._eof = True
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end of the connection."""
        if not self._eof:
            self._lost = exc or ConnectionResetError("connection lost")
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a header, its name in lower case."""
    return next((text for found, text in headers if found == name), None)
