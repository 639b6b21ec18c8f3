"""Client side of an HTTP/1.1 connection: one request at a time, without pipelining."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING, Any

import h11

from cornelpin.http1.writer import PART_BYTES, PartWriter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

MAX_STATUS = 599
"""Highest status that HTTP has (RFC 9110, section 15)."""
CONNECT_TIMEOUT_S = 0.6
"""Connect timeout, shorter than the 1 s after which the kernel resends a lost SYN, so
that the request is sent to another server sooner. A host without power never
responds."""
MAX_HEAD_BYTES = 65_536
"""Maximum size of a response's head."""
READ_BYTES = 32_768
"""Most bytes read at once."""
MAX_PENDING_BYTES = 65_536
"""Reading pauses when more bytes than this were received since the parser last ran out
of data."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP keep-alive: a connection without traffic to a failed peer ends after 3 s."""
USER_TIMEOUT_MS = 3_000
"""Age of unacknowledged data at which the kernel closes a connection: a peer behind a
network partition is detected within the time after which the platform counts it as
lost."""

Event = Any
Headers = list[tuple[bytes, bytes]]


class ConnectionFailed(Exception):
    """The connection could not be opened; no request was sent.

    Attributes:
        refused: Whether the host responded that nothing listens at the address.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class ConnectionBroken(Exception):
    """The connection ended or violated HTTP before a response was complete."""


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Sets TCP_NODELAY, and keep-alive probes that detect a failed peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Limits what a transport reads at once, and so the memory of a connection.

    asyncio has no public setting; other event loops may lack the attribute.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = READ_BYTES


class HttpConnection(asyncio.Protocol):
    """A persistent connection to a server.

    Attributes:
        exchanges: Number of exchanges (request and response) begun on it.
        opened_at: Monotonic time at which it was opened.
        waits: Number of times that the reader has waited for data.
        received_bytes: Number of bytes received.
        retired: Whether it takes no further request after the current one.
        closed: Whether its descriptor is closed.
        on_closed: Called then.
        refused: Ids of the requests that were refused on it. A copy of a refusal may
            arrive later, so they are not sent on it again.
    """

    def __init__(self) -> None:
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._writer: PartWriter | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._eof = False
        self._eof_parsed = False
        self._cut_request = False
        self._error: Exception | None = None
        self._busy = False
        self._unusable = False
        self.retired = False
        self.closed = False
        self.on_closed: Callable[[], None] = lambda: None
        self._pending_bytes = 0
        self._request: tuple[bytes, bytes, Headers] | None = None
        self.exchanges = 0
        self.opened_at = float("inf")
        self.waits = 0
        self.received_bytes = 0
        self.refused: set[str] = set()

    @classmethod
    async def open(
        cls, address: tuple[str, int], *, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> HttpConnection:
        """Opens a connection.

        Raises:
            ConnectionFailed: If the connection is refused or times out.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(cls, *address)
        except (OSError, TimeoutError) as exc:
            raise ConnectionFailed(
                str(exc) or type(exc).__name__,
                refused=isinstance(exc, ConnectionRefusedError),
            ) from exc
        return conn

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent now."""
        ended = self._unusable or self.retired or self._eof or self._error
        return not (self._busy or ended)

    @property
    def pending_bytes(self) -> int:
        """Number of bytes received since the parser last ran out of data."""
        return self._pending_bytes

    @property
    def ended_by_peer(self) -> bool:
        """Whether the peer closed or reset the connection.

        A time-out or an unreachable host ends it as well, without any sign of the peer.
        """
        reset = isinstance(self._error, ConnectionError)
        return self._eof or (reset and not self._unusable)

    @property
    def send_finished(self) -> bool:
        """Whether all bytes written so far were passed to the kernel."""
        return self._writer is not None and not self._writer.unsent

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: Sequence[bytes]
    ) -> None:
        """Sends a whole request.

        Args:
            method: Method.
            target: Path and query.
            headers: Headers, without those of the body's framing.
            body: Parts of the body; they must not be changed before they are sent.

        Raises:
            ConnectionBroken: If the connection is not reusable; nothing was sent.
        """
        if not self.reusable or self._writer is None:
            raise ConnectionBroken("connection has ended")
        framed = [*headers]
        if body or method not in {b"GET", b"HEAD", b"DELETE"}:
            framed.append((b"content-length", str(sum(map(len, body))).encode()))
        self._request = (method, target, framed)
        if self.exchanges:
            self._http.start_next_cycle()
        head = self._http.send(
            h11.Request(method=method, target=target, headers=framed)
        )
        self._busy = True
        self.exchanges += 1
        for part in self._join_small([head or b"", *self._finish_request(body)]):
            self._writer.write(part)

    def _finish_request(self, body: Sequence[bytes]) -> Iterator[bytes]:
        for part in body:
            yield from self._http.send_with_data_passthrough(h11.Data(data=part)) or ()
        yield from self._http.send_with_data_passthrough(h11.EndOfMessage()) or ()

    @staticmethod
    def _join_small(parts: list[bytes]) -> list[bytes]:
        """Joins the parts of a small request, so that it is sent in one packet."""
        return [b"".join(parts)] if sum(map(len, parts)) <= PART_BYTES else parts

    async def next_event(self) -> Event:
        """Returns the next part of the response.

        Raises:
            ConnectionBroken: If the connection ended first or violated HTTP.
        """
        while (event := self.next_received_event()) is None:
            await self._wait_for_data()
        return event

    def next_received_event(self) -> Event | None:
        """Returns the next part of the response, or None if it has not arrived yet.

        Raises:
            ConnectionBroken: If the response violated HTTP.
        """
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise ConnectionBroken(f"not HTTP: {exc}") from exc
        if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
            raise ConnectionBroken(f"not HTTP: status {event.status_code}")
        return None if event is h11.NEED_DATA else event

    async def _wait_for_data(self) -> None:
        if self._error is not None:
            raise ConnectionBroken(str(self._error))
        if self._cut_request:
            # What ends with the connection may be a part of the response.
            raise ConnectionBroken("closed before the request was sent")
        if self._eof:
            if self._eof_parsed:
                raise ConnectionBroken("closed by the server")
            self._eof_parsed = True
            self._http.receive_data(b"")
            return
        if self._pending_bytes > MAX_PENDING_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._pending_bytes = 0
        self.waits += 1
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def retire(self) -> None:
        """Takes no further request after the current one.

        Called when something has arrived that was not asked for, so that more of it may
        follow.
        """
        self.retired = True

    def skip_response(self) -> None:
        """Prepares to read one more response to the current request.

        The caller has read a response that belongs to a different request; only a
        faulty server sends such a response. The parser is restarted as if the
        request had just been sent, since it expects one response per request.
        """
        if self._request is None:
            return
        self.retire()
        trailing = self._http.trailing_data[0]
        method, target, headers = self._request
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # The body is not repeated; with a Content-Length, h11 would require it.
        repeated = [(n, v) for n, v in headers if n != b"content-length"]
        self._http.send(h11.Request(method=method, target=target, headers=repeated))
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)

    def finish(self) -> None:
        """Ends an exchange; the connection is reusable only if it was complete."""
        self._busy = False
        complete = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        if not complete or self._http.trailing_data[0] or not self.send_finished:
            self._unusable = True

    def abort(self) -> None:
        """Closes the connection at once, dropping unsent data."""
        self._unusable = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes an idle connection."""
        self._unusable = True
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = PartWriter(transport)
        limit_reads(transport)
        self.opened_at = time.monotonic()
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the parser, or aborts if no response is due.

        Reading pauses above ``MAX_PENDING_BYTES``.
        """
        if not self._busy:
            self.abort()
            return
        self._http.receive_data(data)
        self.received_bytes += len(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > MAX_PENDING_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def pause_writing(self) -> None:
        """Waits with the rest of a large request: the server reads slowly."""
        assert self._writer is not None
        self._writer.pause()

    def resume_writing(self) -> None:
        """Writes the next part of it."""
        assert self._writer is not None
        self._writer.resume()

    def eof_received(self) -> bool:
        """Records the server's end of stream."""
        self._eof = True
        self._cut_request = self._busy and not self._request_taken()
        self._wake()
        return False

    def _request_taken(self) -> bool:
        """Returns whether all bytes of the request have arrived at the server."""
        assert self._writer is not None
        return self.send_finished and not self._writer.kernel_bytes()

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the loss of the connection."""
        if not self._eof:
            self._error = exc or ConnectionResetError("connection lost")
        if self._writer is not None:
            self._writer.clear()
        self._wake()
        self.closed = True
        self.on_closed()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a header; the name is in lower case."""
    return next((text for found, text in headers if found == name), None)
