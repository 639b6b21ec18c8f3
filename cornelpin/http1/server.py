"""HTTP/1.1 connections of clients: one task each, one request at a time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Protocol

import attrs
import h11

from cornelpin.http1.client import set_socket_options

if TYPE_CHECKING:
    pass

Headers = list[tuple[bytes, bytes]]

MAX_PENDING_BYTES = 262_144
"""Bytes read ahead of the handler before reading pauses."""
CLOSE_LINGER_S = 0.5
"""Time in which the rest of a refused request is read, so that its answer is not lost
to a reset."""
MAX_WRITE_BUFFER = 262_144
CHUNKED = (b"transfer-encoding", b"chunked")


@attrs.frozen
class Limits:
    """Bounds on one connection, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class ClientRequest:
    """A whole request.

    Attributes:
        method: As sent.
        target: Path and query as sent.
        headers: Names in lower case.
        body: Without its framing.
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
    """A request that breaks the protocol or a limit."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ClientDisconnected(Exception):
    """The client has closed the connection."""


class Application(Protocol):
    """What a connection asks of the program that it belongs to."""

    def limits(self) -> Limits:
        """Returns the bounds now in force."""

    def closing(self) -> bool:
        """Returns whether connections are to end with their next answer."""

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Answers a request."""

    def bad_request(self, exc: BadRequest, conn: ClientConnection) -> Headers:
        """Returns the headers of the answer to a bad request."""


class Responder:
    """Writes one answer."""

    def __init__(self, conn: ClientConnection, request_method: bytes) -> None:
        self._conn = conn
        self._method = request_method
        self.started = False
        self.finished = False

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole answer."""
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        self.start(status, framed)
        if body and self._method != b"HEAD":
            self._conn.send(h11.Data(data=body))
        self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Writes the head of an answer."""
        self.started = True
        if self._conn.app.closing():
            headers = [*headers, (b"connection", b"close")]
        self._conn.send(h11.Response(status_code=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Writes a part of the body, and waits for a slow client."""
        self._conn.send(h11.Data(data=data))
        await self._conn.drain()

    def finish(self) -> None:
        """Ends the answer as complete."""
        self._conn.send(h11.EndOfMessage())
        self.finished = True

    def abort(self) -> None:
        """Breaks the connection, so that the answer does not look complete."""
        self._conn.abort()


class ClientConnection(asyncio.Protocol):
    """A connection that a client opened."""

    def __init__(self, app: Application) -> None:
        self.app = app
        self._limits = app.limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._data = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._gone = False
        self._pending = 0
        self._first_byte: float | None = None
        self._last_active = time.monotonic()
        self.serving = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection's task."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(MAX_WRITE_BUFFER)
        set_socket_options(transport)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the client."""
        if self._first_byte is None:
            self._first_byte = time.monotonic()
        self._http.receive_data(data)
        self._pending += len(data)
        if self._pending > MAX_PENDING_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._data.set()

    def eof_received(self) -> bool:
        """Takes the client's end of the connection as its leaving."""
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the loss of the connection as the client's leaving."""
        self._leave()

    def pause_writing(self) -> None:
        """Notes that the client reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Notes that the client reads again."""
        self._writable.set()

    def send(self, event: h11.Event) -> None:
        """Writes a part of an answer."""
        data = self._http.send(event)
        if data and self._transport is not None and not self._gone:
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits until a slow client has read enough."""
        await self._writable.wait()

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Ends the connection if no request is being read or answered."""
        if (
            not self.serving
            and self._first_byte is None
            and self._transport is not None
        ):
            self._transport.close()

    def _leave(self) -> None:
        self._gone = True
        self._writable.set()
        self._data.set()
        if self.serving and self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            while await self._serve_one():
                pass
        except (ClientDisconnected, asyncio.CancelledError):
            pass
        finally:
            if self._transport is not None:
                self._transport.close()

    async def _serve_one(self) -> bool:
        try:
            req = await self._read_request()
        except BadRequest as exc:
            await self._refuse(exc)
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
        self._last_active = time.monotonic()
        if self._gone or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._first_byte = time.monotonic() if self._http.trailing_data[0] else None
        self._limits = self._wider(self.app.limits())
        return True

    def _wider(self, limits: Limits) -> Limits:
        """Returns new limits without cutting an idle time that was granted before."""
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
            received=self._first_byte or time.monotonic(),
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
                    raise ClientDisconnected
                return event
            await self._more()

    async def _more(self) -> None:
        if self._gone:
            raise ClientDisconnected
        if self._pending > MAX_PENDING_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._pending = 0
        self._data.clear()
        try:
            async with asyncio.timeout_at(self._read_until()):
                await self._data.wait()
        except TimeoutError:
            if self._first_byte is None:
                raise ClientDisconnected from None
            raise BadRequest(408, "the request came too slowly") from None

    def _read_until(self) -> float:
        """Returns the loop's time until which the next bytes must come."""
        if self._first_byte is None:
            return self._last_active + self._limits.idle_timeout_s
        if self._http.their_state is h11.IDLE:
            return self._first_byte + self._limits.header_timeout_s
        return time.monotonic() + self._limits.idle_timeout_s

    async def _refuse(self, exc: BadRequest) -> None:
        """Answers a request that could not be read, then ends the connection."""
        headers = self.app.bad_request(exc, self)
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
    """Refuses requests whose end two readers could place differently."""
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequest(400, "both Transfer-Encoding and Content-Length")
    if names.count(b"host") > 1 or names.count(b"content-length") > 1:
        raise BadRequest(400, "a repeated Host or Content-Length")
