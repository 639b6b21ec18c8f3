"""Server side of HTTP/1.1 connections: one asyncio task per connection."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Protocol

import attrs
import h11

from cornelpin.http1.client import limit_reads, set_socket_options

if TYPE_CHECKING:
    pass

Headers = list[tuple[bytes, bytes]]

MAX_PENDING_BYTES = 65_536
"""Reading pauses when more bytes than this were received since the parser last ran out
of data."""
CLOSE_LINGER_S = 0.5
"""Time for which a connection stays open after the response to a bad request, seconds.
The rest of the request is read meanwhile: closing with unread data sends a reset, on
which the client may discard the response."""
MAX_WRITE_BUFFER_BYTES = 65_536
"""Unsent bytes above which ``Responder.write`` waits."""
MAX_HEAD_BYTES = 1_048_576
"""Size of a head up to which the parser reads it. The limits of the app are lower and
may change while a connection is open."""
CHUNKED = (b"transfer-encoding", b"chunked")


@attrs.frozen
class Limits:
    """Limits on one connection.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        header_timeout_s: Time for the whole head from its first byte, seconds.
        idle_timeout_s: Time without data between requests or within a body, seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class ClientRequest:
    """A complete request.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        headers: Headers with names in lower case.
        body: Body without its transfer framing.
        received: Monotonic time of its first byte.
        completed: Monotonic time of its last byte.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received: float
    completed: float


class BadRequest(Exception):
    """A request that violates HTTP or exceeds a limit.

    Args:
        status: HTTP status of the response.
        reason: Body of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ConnectionEnded(Exception):
    """The connection ends without a response.

    The client has closed it, or no request has begun within the idle timeout.
    """


class Application(Protocol):
    """What a connection needs from the program that serves its requests."""

    def limits(self) -> Limits:
        """Returns the current limits."""

    def closing(self) -> bool:
        """Returns whether connections close after their next response."""

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Responds to a request."""

    def bad_request_headers(self, exc: BadRequest, conn: ClientConnection) -> Headers:
        """Returns the headers of the response to a bad request."""


class Responder:
    """Writes one response.

    Attributes:
        started: Whether the head was written.
        finished: Whether the response is complete.
    """

    def __init__(self, conn: ClientConnection, request_method: bytes) -> None:
        self._conn = conn
        self._method = request_method
        self.started = False
        self.finished = False

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response; adds its Content-Length."""
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        self.start(status, framed)
        if body and self._method != b"HEAD":
            self._conn.send(h11.Data(data=body))
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Writes the head of a response."""
        self.started = True
        if self._conn.app.closing():
            headers = [*headers, (b"connection", b"close")]
        self._conn.send(h11.Response(status_code=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Writes a part of the body; waits while the client reads too slowly."""
        self._conn.send(h11.Data(data=data))
        await self._conn.drain()

    def finish(self) -> None:
        """Ends the response as complete."""
        self._conn.send(h11.EndOfMessage())
        self.finished = True

    def abort(self) -> None:
        """Aborts the connection, so that the response does not look complete."""
        self._conn.abort()


class ClientConnection(asyncio.Protocol):
    """A connection that a client opened.

    Attributes:
        app: The program that serves its requests.
        serving: Whether the app is serving a request.
    """

    def __init__(self, app: Application) -> None:
        self.app = app
        self._limits = app.limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # Bytes received of a head that is not complete yet.
        self._head_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._data_arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False
        self._pending_bytes = 0
        self._first_byte_at: float | None = None
        self._last_response_at = time.monotonic()
        self.serving = False

    @property
    def unsent(self) -> bool:
        """Whether a part of a response has not been passed to the kernel yet."""
        return (
            self._transport is not None
            and not self._disconnected
            and self._transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options and starts the connection's task."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        limit_reads(transport)
        transport.set_write_buffer_limits(MAX_WRITE_BUFFER_BYTES)
        set_socket_options(transport)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the parser; pauses reading over the limit."""
        if self._first_byte_at is None:
            self._begin_request()
        if self._http.their_state is h11.IDLE:
            self._head_bytes += len(data)
        self._http.receive_data(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > MAX_PENDING_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._data_arrived.set()

    def _begin_request(self) -> None:
        """Notes the first byte of a request, and the limits in force at that time."""
        self._first_byte_at = time.monotonic()
        self._head_bytes = len(self._http.trailing_data[0])
        self._limits = self._with_longer_idle_timeout(self.app.limits())

    def eof_received(self) -> bool:
        """Handles the client's end of stream as a disconnect."""
        self._on_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection as a disconnect."""
        self._on_disconnect()

    def pause_writing(self) -> None:
        """Applies backpressure: the client reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Ends the backpressure."""
        self._writable.set()

    def send(self, event: h11.Event) -> None:
        """Writes a part of a response."""
        data = self._http.send(event)
        if data and self._transport is not None and not self._disconnected:
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer has room."""
        await self._writable.wait()

    def abort(self) -> None:
        """Closes the connection at once, dropping unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being read or served."""
        if (
            not self.serving
            and self._first_byte_at is None
            and self._transport is not None
        ):
            self._transport.close()

    def _on_disconnect(self) -> None:
        self._disconnected = True
        self._writable.set()
        self._data_arrived.set()
        if self.serving and self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Serves one request after another until the connection is to be closed."""
        try:
            while await self._serve_one():
                pass
        except (ConnectionEnded, asyncio.CancelledError):
            pass
        finally:
            if self._transport is not None:
                self._transport.close()

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        try:
            req = await self._read_request()
        except BadRequest as exc:
            await self._respond_to_bad_request(exc)
            return False
        responder = Responder(self, req.method)
        self.serving = True
        try:
            await self.app.serve(req, responder)
        finally:
            self.serving = False
        if not responder.finished:
            self.abort()
            return False
        return self._next_cycle()

    def _next_cycle(self) -> bool:
        """Prepares for the next request; returns False if there can be none."""
        self._last_response_at = time.monotonic()
        if self._disconnected or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._limits = self._with_longer_idle_timeout(self.app.limits())
        self._first_byte_at = None
        if self._http.trailing_data[0]:
            self._begin_request()
        return True

    def _with_longer_idle_timeout(self, limits: Limits) -> Limits:
        """Returns new limits, but never shortens the connection's idle timeout.

        A client may know the longer one and reuse the connection until it has passed.
        """
        idle_s = max(limits.idle_timeout_s, self._limits.idle_timeout_s)
        return attrs.evolve(limits, idle_timeout_s=idle_s)

    async def _read_request(self) -> ClientRequest:
        head = await self._next_event()
        assert isinstance(head, h11.Request)
        headers = list(head.headers)
        _check_framing(headers)
        size = len(head.target) + sum(len(n) + len(v) + 4 for n, v in headers)
        if size > self._limits.header_bytes:
            raise BadRequest(431, f"head over {self._limits.header_bytes} bytes")
        if self._http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = await self._read_body()
        return ClientRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=headers,
            body=body,
            received=self._first_byte_at or time.monotonic(),
            completed=time.monotonic(),
        )

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            size += len(event.data)
            if size > self._limits.body_bytes:
                raise BadRequest(413, f"body over {self._limits.body_bytes} bytes")
            parts.append(bytes(event.data))

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                status = exc.error_status_hint
                raise BadRequest(status, str(exc)) from exc
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                if isinstance(event, h11.ConnectionClosed):
                    raise ConnectionEnded
                return event
            await self._wait_for_data()

    async def _wait_for_data(self) -> None:
        if self._disconnected:
            raise ConnectionEnded
        if (
            self._http.their_state is h11.IDLE
            and self._head_bytes > self._limits.header_bytes
        ):
            raise BadRequest(431, f"head over {self._limits.header_bytes} bytes")
        if self._pending_bytes > MAX_PENDING_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._pending_bytes = 0
        self._data_arrived.clear()
        try:
            async with asyncio.timeout_at(self._read_deadline()):
                await self._data_arrived.wait()
        except TimeoutError:
            if self._first_byte_at is None:
                # A new configuration may allow connections to be idle for longer.
                self._limits = self._with_longer_idle_timeout(self.app.limits())
                if time.monotonic() < self._read_deadline():
                    return
                raise ConnectionEnded from None
            raise BadRequest(408, "the request came too slowly") from None

    def _read_deadline(self) -> float:
        """Returns the loop time by which the next bytes must arrive.

        The clock of asyncio's default event loop is ``time.monotonic()``.
        """
        if self._first_byte_at is None:
            return self._last_response_at + self._limits.idle_timeout_s
        if self._http.their_state is h11.IDLE:
            return self._first_byte_at + self._limits.header_timeout_s
        return time.monotonic() + self._limits.idle_timeout_s

    async def _respond_to_bad_request(self, exc: BadRequest) -> None:
        """Responds to a request that could not be read, then closes the connection."""
        headers = self.app.bad_request_headers(exc, self)
        body = str(exc).encode()
        framed = [
            *headers,
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        self.send(h11.Response(status_code=exc.status, headers=framed))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        await asyncio.sleep(CLOSE_LINGER_S)


def _check_framing(headers: Headers) -> None:
    """Rejects requests whose length is ambiguous, against request smuggling."""
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequest(400, "both Transfer-Encoding and Content-Length")
    if names.count(b"host") > 1 or names.count(b"content-length") > 1:
        raise BadRequest(400, "a repeated Host or Content-Length")
