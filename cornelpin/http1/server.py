"""Server side of HTTP/1.1 connections: one asyncio task per connection."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING, Any, Protocol

import attrs
import h11

from cornelpin.http1.client import limit_reads, set_socket_options
from cornelpin.http1.memory import Account, NoMemory
from cornelpin.http1.messages import BodyBuffer, HeadBuffer
from cornelpin.http1.pacing import SLICE_S, SMALL_PART_BYTES, STEPS_PER_TURN
from cornelpin.http1.requests import (
    BadRequest,
    ClientRequest,
    ConnectionEnded,
    Limits,
    check_framing,
    content_length,
)
from cornelpin.http1.responder import Responder
from cornelpin.http1.writer import PartWriter

if TYPE_CHECKING:
    from cornelpin.http1.connections import Resources
    from cornelpin.http1.requests import Headers

MAX_PENDING_BYTES = 65_536
"""Reading pauses when more bytes than this were received since the parser last ran out
of data."""
CLOSE_LINGER_S = 0.5
"""Time for which a connection stays open after the response to a bad request, seconds.
The rest of the request is read meanwhile: closing with unread data sends a reset, on
which the client may discard the response."""
RECEIVE_BUFFER_BYTES = 16_384
"""Size asked for the kernel's buffer of received bytes; it allows twice as much. The
bytes of a connection that is not read count as the process's memory."""
CONNECTION_BYTES = 8_192
"""Memory of a connection without a request."""
REQUEST_BYTES = 8_192
"""Memory of a request beside its head and its body."""
HEAD_COPIES = 2
"""Number of times that a head's bytes are in memory."""
FIELD_BYTES = 512
"""Memory of a field beside its bytes, in all forms in which a request holds it."""
COSTLY_FIELDS = 64
"""Number of fields from which a head is parsed in a turn of its own: h11 takes some
5 us for each."""
BODY_SHARE = 1.125
"""Memory of a body by its size."""
BODY_STEP_BYTES = 32_768
"""Memory that is reserved ahead for a body of unknown length."""
SMALL_REQUEST_BYTES = 32_768
"""Memory up to which a request is not ended for what it sends."""
FREE_SMALL_PARTS = 64
"""Small parts of a body that are handled as they come."""
REQUEST_LINE_BYTES = 24
"""Bytes of a head that its limit does not count: method, version, line ends."""
MIN_PROGRESS_BYTES = 1_024
"""Bytes that count as progress of a request."""
MEMORY_WAIT_S = 1.5
"""Longest time for which a request waits for memory: longer than others may stall."""
MEMORY_RETRY_S = (0.5, 1.5)
"""Range of Retry-After, in seconds, for a request that gets no memory: what stalls ends
in that time, and the random value spreads the retries."""
MAX_HEAD_BYTES = 1_048_576
"""Size of a head up to which the parser reads it. The limits of the app are lower and
may change while a connection is open."""
CHUNKED = (b"transfer-encoding", b"chunked")


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


class ClientConnection(asyncio.Protocol):
    """A connection that a client opened.

    Args:
        app: The program that serves its requests.
        resources: What it shares with others.

    Attributes:
        app: The program that serves its requests.
        serving: Whether the app is serving a request.
        account: Memory of the connection.
        progress_at: Monotonic time at which the client last sent or took a part.
        body_share: Memory of a body by its size.
    """

    body_share = BODY_SHARE

    def __init__(self, app: Application, resources: Resources) -> None:
        self.app = app
        self.account = Account(resources.memory)
        self._memory = resources.memory
        self._gate = resources.gate
        self._connections = resources.connections
        self._limits = app.limits()
        self._http = _new_parser()
        self._head = HeadBuffer()
        # Received bytes go to the head's buffer until the head is passed to the parser.
        self._reading_head = True
        self._transport: asyncio.Transport | None = None
        self._writer: PartWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._data_arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False
        self._discarding = False
        self._evicted = False
        self._pending_bytes = 0
        self._progress_bytes = 0
        # Bytes that the client had not taken at the last check.
        self._untaken = 0
        self._small_parts = 0
        self._first_byte_at: float | None = None
        self._last_response_at = self.progress_at = time.monotonic()
        self.serving = False

    @property
    def unsent(self) -> bool:
        """Whether a part of a response has not been passed to the kernel yet."""
        return (
            self._writer is not None
            and not self._disconnected
            and self._writer.unsent > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options and starts the connection's task."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = PartWriter(transport)
        if not self._connections.add(self):
            transport.abort()
            return
        limit_reads(transport)
        set_socket_options(transport)
        self.account.set("connections", CONNECTION_BYTES)
        if self._memory.short:
            self._memory.make_room(CONNECTION_BYTES)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes; pauses reading over the limit."""
        if self._discarding:
            return
        if self._first_byte_at is None:
            self._begin_request()
        if self._reading_head:
            self._head.feed(data)
        else:
            self._http.receive_data(data)
        self._pending_bytes += len(data)
        self._record_received(len(data))
        if self.serving or self._pending_bytes > MAX_PENDING_BYTES:
            self._pause_reading()
        self._data_arrived.set()

    def _record_received(self, size: int) -> None:
        """Counts received bytes as memory and as progress."""
        self._progress_bytes += size
        if self._progress_bytes >= MIN_PROGRESS_BYTES and not self.serving:
            self._record_progress()
        self.account.set("received", max(self._pending_bytes, self._head.size))
        large = self.account.total > CONNECTION_BYTES + SMALL_REQUEST_BYTES
        if large and self._memory.short and self._memory.make_room(size) < size:
            self.evict()

    def _record_progress(self) -> None:
        self._progress_bytes = 0
        self.progress_at = time.monotonic()
        self._connections.wait_for_client(self)

    def _begin_request(self) -> None:
        """Notes the first byte of a request, and the limits in force at that time."""
        self._first_byte_at = time.monotonic()
        self._small_parts = 0
        self._limits = self._with_longer_idle_timeout(self.app.limits())
        if not self.serving:
            self._record_progress()

    def eof_received(self) -> bool:
        """Handles the client's end of stream as a disconnect."""
        self._on_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection as a disconnect."""
        self._connections.discard(self)
        if self._writer is not None:
            self._writer.clear()
        self._on_disconnect()

    def pause_writing(self) -> None:
        """Applies backpressure: the client reads slowly."""
        assert self._writer is not None
        self._writer.pause()
        self._writable.clear()
        self._record_progress()

    def resume_writing(self) -> None:
        """Ends the backpressure, or writes the next part."""
        assert self._writer is not None
        self.progress_at = time.monotonic()
        self._writer.resume()
        self._count_unsent()
        if self._writer.paused:
            return
        self._writable.set()
        if self.serving:
            self._connections.serve(self)

    def send(self, event: h11.Event) -> None:
        """Writes a part of a response."""
        data = self._http.send(event)
        if data and self._writer is not None and not self._disconnected:
            self._writer.write(data)
            self._count_unsent()

    def check_progress(self) -> None:
        """Records progress if the client has taken a part since the last check."""
        if self._writer is None or not self._writer.paused:
            return
        untaken = self._writer.unsent + self._writer.kernel_bytes()
        if untaken != self._untaken:
            self._untaken = untaken
            self._record_progress()

    def _count_unsent(self) -> None:
        assert self._writer is not None
        self.account.set("unsent", self._writer.unsent if self._writer.paused else 0)
        if self._memory.short:
            self._memory.make_room(self.account.held("unsent"))

    async def drain(self) -> None:
        """Waits until the write buffer has room."""
        await self._writable.wait()

    def abort(self) -> None:
        """Closes the connection at once, dropping unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def evict(self) -> None:
        """Ends the request that is being read or the response that is not taken."""
        reading = self._first_byte_at is not None and not self.serving
        if self.unsent or self._discarding or not reading:
            self.abort()
            return
        self._evicted = True
        self._data_arrived.set()

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
        # Once only: both the end of the stream and the loss of the connection get
        # here, and what a handler awaits while it ends is not to be cancelled.
        if self.serving and self._task is not None and not self._task.cancelling():
            self._task.cancel()

    async def _run(self) -> None:
        """Serves one request after another until the connection is to be closed."""
        try:
            while await self._serve_one():
                # Requests that were sent ahead are served in turn with others'.
                if self._head.size:
                    await asyncio.sleep(0)
        except (ConnectionEnded, asyncio.CancelledError):
            pass
        finally:
            self.account.release()
            if self._writer is not None:
                self._writer.close()

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        req = await self._read_or_refuse()
        if req is None:
            return False
        responder = Responder(self, req.method)
        self.serving = True
        self._connections.serve(self)
        handling = self.app.serve(req, responder)
        # Of a request, only the app decides how long its parts are kept.
        del req
        try:
            await handling
        finally:
            self.serving = False
        if not responder.finished:
            self.abort()
            return False
        self.account.release("head", "body")
        await self._sent()
        return self._next_cycle()

    async def _read_or_refuse(self) -> ClientRequest | None:
        """Returns a request; responds to one that can't be read."""
        try:
            return await self._read_request()
        except BadRequest as exc:
            # The frames of its traceback hold what was read.
            refusal = BadRequest(exc.status, str(exc), exc.retry_after_s)
        await self._respond_to_bad_request(refusal)
        return None

    async def _sent(self) -> None:
        """Waits until the client has taken the response.

        Raises:
            ConnectionEnded: If it takes nothing for the idle timeout.
        """
        while self._writer is not None and self._writer.paused:
            try:
                async with asyncio.timeout(self._limits.idle_timeout_s):
                    await self._writable.wait()
            except TimeoutError:
                self.check_progress()
                if time.monotonic() < self.progress_at + self._limits.idle_timeout_s:
                    continue
                self.abort()
                raise ConnectionEnded from None
            if self._disconnected:
                raise ConnectionEnded

    def _next_cycle(self) -> bool:
        """Prepares for the next request; returns False if there can be none."""
        self._last_response_at = time.monotonic()
        if self._disconnected or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        ahead = self._http.trailing_data[0]
        if ahead:
            self._http = _new_parser()
            self._head.feed(ahead)
        else:
            self._http.start_next_cycle()
        self._reading_head = True
        self._pending_bytes = len(ahead)
        self.account.set("received", len(ahead))
        self._limits = self._with_longer_idle_timeout(self.app.limits())
        self._first_byte_at = None
        self._record_progress()
        if ahead:
            self._begin_request()
        return True

    def _with_longer_idle_timeout(self, limits: Limits) -> Limits:
        """Returns new limits, but never shortens the connection's idle timeout.

        A client may know the longer one and reuse the connection until it has passed.
        """
        idle_s = max(limits.idle_timeout_s, self._limits.idle_timeout_s)
        return attrs.evolve(limits, idle_timeout_s=idle_s)

    async def _read_request(self) -> ClientRequest:
        head = await self._read_head()
        headers = list(head.headers)
        check_framing(headers)
        body = await self._read_body(content_length(headers))
        return ClientRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=headers,
            body=body,
            received=self._first_byte_at or time.monotonic(),
            completed=time.monotonic(),
        )

    async def _read_head(self) -> h11.Request:
        """Reads a head; it is parsed when its memory is reserved."""
        while not self._head.complete():
            self._check_head_size()
            await self._wait_for_data()
        self._check_head_size()
        fields, size = self._head.fields, self._head.head_bytes
        cost = REQUEST_BYTES + HEAD_COPIES * size + FIELD_BYTES * fields
        await self._reserve("head", cost)
        self._http.receive_data(self._head.take())
        self._reading_head = False
        if fields <= COSTLY_FIELDS:
            event = self._received_event()
        else:
            async with self._gate:
                event = self._received_event()
        while event is None:
            await self._wait_for_data()
            event = self._received_event()
        assert isinstance(event, h11.Request)
        return event

    def _check_head_size(self) -> None:
        limit = self._limits.header_bytes
        if self._head.head_bytes > limit + REQUEST_LINE_BYTES:
            raise BadRequest(431, f"head over {limit} bytes")

    async def _reserve(self, use: str, size: int) -> None:
        """Reserves memory; reading pauses while it waits.

        Raises:
            BadRequest: If there is none in time.
        """
        if self.account.try_reserve(use, size):
            return
        self._connections.serve(self)
        self._pause_reading()
        try:
            await self.account.reserve(use, size, wait_s=MEMORY_WAIT_S)
        except NoMemory as exc:
            raise BadRequest(503, str(exc), random.uniform(*MEMORY_RETRY_S)) from exc
        finally:
            self._resume_reading()
            self._record_progress()

    async def _read_body(self, length: int | None) -> tuple[bytes, ...]:
        """Reads a body.

        Args:
            length: Its size in bytes; None for one in chunks.
        """
        if length is not None:
            self._check_body_size(length)
            await self._reserve("body", int(length * self.body_share))
        if self._http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = BodyBuffer()
        while True:
            if self._small_parts <= FREE_SMALL_PARTS:
                more = self._take_parts(body, steps=STEPS_PER_TURN)
            else:
                async with self._gate:
                    more = self._take_parts(body)
            if more is None:
                return body.take()
            if length is None:
                await self._reserve_ahead(body.size)
            if more:
                await asyncio.sleep(0)
            else:
                await self._wait_for_data()

    async def _reserve_ahead(self, size: int) -> None:
        """Reserves memory for what may follow the received part of a body."""
        held = self.account.held("body") / self.body_share
        if size + BODY_STEP_BYTES > held:
            ahead = min(2 * size, self._limits.body_bytes) + BODY_STEP_BYTES
            await self._reserve("body", int(ahead * self.body_share))

    def _take_parts(self, body: BodyBuffer, *, steps: int | None = None) -> bool | None:
        """Takes received parts of a body, for a slice of time or a number of steps.

        Returns:
            Whether there may be more parts; None if the body is complete.
        """
        until = time.monotonic() + SLICE_S
        while steps != 0 and time.monotonic() < until:
            event = self._received_event()
            if event is None:
                return False
            if isinstance(event, h11.EndOfMessage):
                return None
            self._check_body_size(body.size + len(event.data))
            body.feed(event.data)
            self._small_parts += len(event.data) < SMALL_PART_BYTES
            steps = None if steps is None else steps - 1
        return True

    def _check_body_size(self, size: int) -> None:
        if size > self._limits.body_bytes:
            raise BadRequest(413, f"body over {self._limits.body_bytes} bytes")

    def _received_event(self) -> Any:
        """Returns the next part of the request, or None if it has not arrived yet."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            raise BadRequest(status, str(exc)) from exc
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionEnded
        return None if event in (h11.NEED_DATA, h11.PAUSED) else event

    async def _wait_for_data(self) -> None:
        if self._disconnected:
            raise ConnectionEnded
        self._resume_reading()
        self._pending_bytes = 0
        self.account.set("received", self._head.size)
        if not self._evicted:
            self._data_arrived.clear()
        try:
            async with asyncio.timeout_at(self._read_deadline()):
                await self._data_arrived.wait()
        except TimeoutError:
            if self._data_arrived.is_set() and not self._evicted:
                # Bytes and time-out come in one turn of the loop, as after a pause.
                return
            if self._first_byte_at is None:
                # A new configuration may allow connections to be idle for longer.
                self._limits = self._with_longer_idle_timeout(self.app.limits())
                if time.monotonic() < self._read_deadline():
                    return
                raise ConnectionEnded from None
            self._evicted = True
        if self._evicted:
            raise BadRequest(408, "the request came too slowly")

    def _read_deadline(self) -> float:
        """Returns the loop time by which the next bytes must arrive.

        The clock of asyncio's default event loop is ``time.monotonic()``.
        """
        if self._first_byte_at is None:
            return self._last_response_at + self._limits.idle_timeout_s
        if self._reading_head:
            return self._first_byte_at + self._limits.header_timeout_s
        return time.monotonic() + self._limits.idle_timeout_s

    def _pause_reading(self) -> None:
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing() or transport.is_reading():
            return
        transport.resume_reading()

    def refusal(self, exc: BadRequest) -> tuple[Headers, bytes]:
        """Returns the headers and the body of the response to a bad request."""
        return self.app.bad_request_headers(exc, self), str(exc).encode()

    async def _respond_to_bad_request(self, exc: BadRequest) -> None:
        """Responds to a request that could not be read, then closes the connection.

        What else the client sends is dropped unread.
        """
        self._discarding = True
        self._head.take()
        self.account.release("head", "body", "received")
        headers, body = self.refusal(exc)
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
        self._record_progress()
        self._resume_reading()
        if not self._disconnected:
            self._data_arrived.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_LINGER_S):
                await self._data_arrived.wait()


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
