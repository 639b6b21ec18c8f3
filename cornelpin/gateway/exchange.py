"""One send of a request to one backend server, and its outcome."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

import attrs
import h11

from cornelpin.gateway.event_stream import BadEvent, EventSplitter, StreamEvent
from cornelpin.http1.client import ConnectionBroken, ConnectionFailed
from cornelpin.http1.pacing import EVENT_WEIGHT, Pacer, has_too_small_parts
from cornelpin.platform import ResponseInfo, read_response, response_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.gateway.pool import ConnectionPool, Lease
    from cornelpin.gateway.response_memory import ResponseMemory
    from cornelpin.http1.client import Event, Headers
    from cornelpin.scheduling.servers import BackendServer

MAX_BUFFERED_RESPONSE_BYTES = 8_388_608
"""Size limit of a response that is not streamed: it is buffered until complete."""


MAX_FOREIGN_BYTES = 262_144
"""Bytes of other responses, interim responses and rejections that are skipped before
the connection is closed. A faulty server may send them without end."""
MAX_FOREIGN_RESPONSES = 20
"""Number of other and interim responses that are skipped."""
MIN_PROGRESS_BYTES = 1_024
"""Bytes that count as progress of a response: a server that stalls may still send a
byte now and then, and a sound one that is slow sends more."""
FEED_BYTES = 1_024
"""Bytes of a stream that are split into events at once."""
GIVE_UP_CHECK_S = 0.1
"""Interval at which a silent send that may not be given up is looked at again."""
REJECTION_TIMEOUT_S = 0.1
"""Time to read the rest of a rejection: a new connection costs less."""


@attrs.frozen
class OutgoingRequest:
    """A request as it is sent to a server; its body is in parts."""

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: tuple[bytes, ...]


@attrs.frozen
class ServerResponse:
    """A server's complete response.

    Attributes:
        status: HTTP status.
        headers: Headers for the client.
        body: The body; empty if it was streamed.
        sealed: Whether it has a header with the server's signature, as
            ResponseInfo.sealed.
    """

    status: int
    headers: Headers
    body: bytes
    sealed: bool


@attrs.frozen
class NotRun:
    """The request certainly did not run at the server.

    Attributes:
        reason: Cause, for the client and the log.
        reached: Whether the server received the request.
        replaced: Whether another server responded at the address.
        withdrawn: Whether the decision to send was withdrawn in time.
    """

    reason: str
    reached: bool
    replaced: bool = False
    withdrawn: bool = False


@attrs.frozen
class Answered:
    """The server sent a complete response; a stream is already forwarded."""

    response: ServerResponse


@attrs.frozen
class Broken:
    """The request may have run, but its response is incomplete.

    Attributes:
        reason: Cause, for the client and the log.
        disconnected: Whether the server ended the connection.
        idle_s: Seconds for which the connection had been idle before the send; None for
            a new connection.
    """

    reason: str
    disconnected: bool = False
    idle_s: float | None = None


Outcome = NotRun | Answered | Broken


@attrs.frozen
class IdleTimeouts:
    """Longest times without progress of a response before a send is cancelled.

    Progress is the head, a complete event of a stream, or ``MIN_PROGRESS_BYTES``.

    Attributes:
        first_s: Limit in seconds before the first event of a stream, and for other
            responses.
        event_gap_s: Limit in seconds after that event.
    """

    first_s: float
    event_gap_s: float


class ResponseSink(Protocol):
    """Receives the parts of a streamed response and the timing of all responses.

    Attributes:
        sent_at: Monotonic time of the send, set by the sender.
    """

    sent_at: float

    async def on_stream_start(self, status: int, headers: Headers) -> None:
        """Receives the head of a stream, right before its first event."""

    async def on_event(self, data: bytes, event_id: str | None) -> None:
        """Receives one complete event."""

    def on_response_time(self, took_s: float) -> None:
        """Receives the seconds from the send to the response.

        That is the first event of a stream, or the end of another response, which is
        forwarded only when complete.
        """

    def on_response_head(self, info: ResponseInfo) -> None:
        """Receives what a response of the addressed server says about the server."""

    def on_event_gap(self, took_s: float) -> None:
        """Receives the seconds between two events."""


class Exchange:
    """Sends one request to one server and reads the response.

    Args:
        pool: Connections to servers.
        server: The server.
        request: The request to send.
        sink: Receives a streamed response.
        timeouts: Limits on the time without data from the server; None for no limits.
        may_send: Returns whether the request may still be sent to the server.
        may_give_up: Returns whether the send may be given up for a lack of progress.
        memory: Memory for incomplete responses; None for no limit but the one on each.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        server: BackendServer,
        request: OutgoingRequest,
        sink: ResponseSink,
        timeouts: IdleTimeouts | None = None,
        *,
        may_send: Callable[[], bool] = lambda: True,
        may_give_up: Callable[[], bool] = lambda: True,
        memory: ResponseMemory | None = None,
    ) -> None:
        self._pool = pool
        self._server = server
        self._request = request
        self._sink = sink
        self._timeouts = timeouts
        self._may_send = may_send
        self._may_give_up = may_give_up
        self._memory = memory
        self._held = 0
        self._foreign_limit = 0
        self._pacer = Pacer()
        self._waits = 0
        self._forwarding = False
        self._lease: Lease | None = None
        self._info: ResponseInfo | None = None
        self._sent_at = 0.0
        # Monotonic time of the last progress, and bytes received by then.
        self._progress_at = 0.0
        self._progress_bytes = 0
        self._response_started = False
        self._last_event_at = 0.0

    @property
    def connected_at(self) -> float:
        """Monotonic time at which its connection was opened."""
        return float("inf") if self._lease is None else self._lease.conn.opened_at

    async def run(self, *, stream: bool) -> Outcome:
        """Sends the request and reads the response.

        Args:
            stream: Whether a successful response is forwarded event by event.
        """
        try:
            self._lease = await self._pool.acquire(
                self._server, self._request.request_id
            )
        except ConnectionFailed as exc:
            return NotRun(f"no connection: {exc}", reached=False)
        conn = self._lease.conn
        # The decision to send may not hold any more: a connection takes time to open.
        if not self._may_send():
            conn.close()
            return NotRun("withdrawn unsent", reached=False, withdrawn=True)
        try:
            return await self._send_and_read(stream=stream)
        except (ConnectionBroken, BadEvent) as exc:
            if self._lease.reused and not self._response_started:
                self._pool.record_stale(self._lease)
            return Broken(
                str(exc) or type(exc).__name__,
                disconnected=conn.ended_by_peer,
                idle_s=self._lease.idle_s if self._lease.reused else None,
            )
        finally:
            self._hold(0)
            if not conn.reusable:
                conn.abort()

    async def _send_and_read(self, *, stream: bool) -> Outcome:
        assert self._lease is not None
        request = self._request
        self._foreign_limit = self._lease.conn.received_bytes + MAX_FOREIGN_BYTES
        self._sent_at = time.monotonic()
        self._record_progress()
        try:
            self._lease.conn.send(
                request.method, request.target, request.headers, request.body
            )
        except ConnectionBroken as exc:
            return NotRun(str(exc), reached=False)
        except h11.LocalProtocolError as exc:
            self._lease.conn.abort()
            return NotRun(f"not sendable: {exc}", reached=False)
        head, info = await self._read_head()
        if info.not_run:
            await self._finish_not_run()
            return NotRun(
                f"the server answered {head.status_code}",
                reached=True,
                replaced=info.misdirected,
            )
        if stream and head.status_code < 300:
            return await self._forward_stream(head, info)
        return await self._read_buffered(head, info)

    async def _next_part(self) -> Event:
        """Returns the next part of the response.

        Raises:
            ConnectionBroken: If the server disconnects, or the response makes no
                progress for too long.
        """
        assert self._lease is not None
        conn = self._lease.conn
        if self._timeouts is None:
            return await conn.next_event()
        if conn.received_bytes >= self._progress_bytes + MIN_PROGRESS_BYTES:
            self._record_progress()
        limit_s = (
            self._timeouts.event_gap_s if self._forwarding else self._timeouts.first_s
        )
        until = self._progress_at + limit_s
        while True:
            try:
                async with asyncio.timeout(max(0.0, until - time.monotonic())):
                    return await conn.next_event()
            except TimeoutError as exc:
                # After a pause of the process, the part may have arrived in time.
                part = conn.next_received_event()
                if part is not None:
                    self._record_progress()
                    return part
                if self._may_give_up():
                    raise ConnectionBroken(f"no progress for {limit_s:.1f} s") from exc
                until = time.monotonic() + GIVE_UP_CHECK_S

    async def _step(self, size: int, weight: int = 1) -> None:
        """Bounds the work for parts that come without a pause (``Pacer.step``)."""
        assert self._lease is not None
        waits = self._lease.conn.waits
        if waits != self._waits:
            self._waits = waits
            self._pacer.on_wait()
        await self._pacer.step(size, weight)

    def _record_progress(self) -> None:
        assert self._lease is not None
        self._progress_at = time.monotonic()
        self._progress_bytes = self._lease.conn.received_bytes

    async def _read_head(self) -> tuple[h11.Response, ResponseInfo]:
        """Returns the head of this request's response.

        Skips interim responses, and surplus responses to earlier requests on the
        connection, which a faulty server may send; they are recognised by their request
        id.
        """
        assert self._lease is not None
        conn = self._lease.conn
        for _ in range(MAX_FOREIGN_RESPONSES):
            self._check_foreign_bytes()
            part = await self._next_part()
            if isinstance(part, h11.InformationalResponse):
                await self._step(0)
                conn.retire()
                continue
            if not isinstance(part, h11.Response):
                raise ConnectionBroken("closed without an answer")
            info = read_response(part.status_code, list(part.headers))
            if not info.misdirected:
                self._sink.on_response_head(info)
            # On a connection that has carried nothing else, a not-run response may lack
            # the id. On others it may be a copy of an earlier one.
            first = not self._lease.reused and not conn.retired
            if not info.request_id and not (info.not_run and first):
                raise ConnectionBroken("an answer without a request id")
            if info.request_id in {self._request.request_id, ""}:
                self._response_started = True
                self._info = info
                self._record_progress()
                return part, info
            await self._skip_body()
            conn.skip_response()
            await asyncio.sleep(0)
        raise ConnectionBroken(f"{MAX_FOREIGN_RESPONSES} responses before an answer")

    async def _skip_body(self) -> None:
        """Reads and drops the rest of a response.

        No idle time-out applies, only the request's deadline.
        """
        assert self._lease is not None
        conn = self._lease.conn
        while not isinstance(part := await conn.next_event(), h11.EndOfMessage):
            await self._step(len(getattr(part, "data", b"")))
            self._check_foreign_bytes()

    def _check_foreign_bytes(self) -> None:
        """Raises ConnectionBroken if too much was received that is no answer.

        Bytes of the answer may be among them if they arrived together.
        """
        assert self._lease is not None
        conn = self._lease.conn
        if conn.received_bytes > self._foreign_limit + conn.pending_bytes:
            raise ConnectionBroken(f"over {MAX_FOREIGN_BYTES} bytes before an answer")

    async def _finish_not_run(self) -> None:
        """Reads the rest of a not-run response, to keep the connection reusable."""
        assert self._lease is not None
        self._lease.conn.refused.add(self._request.request_id)
        try:
            async with asyncio.timeout(REJECTION_TIMEOUT_S):
                await self._skip_body()
        except (ConnectionBroken, TimeoutError):
            return
        self._release_connection()

    async def _read_buffered(self, head: h11.Response, info: ResponseInfo) -> Outcome:
        """Reads a response that is not streamed up to its end."""
        parts: list[bytes] = []
        size = 0
        while True:
            part = await self._next_part()
            if isinstance(part, h11.EndOfMessage):
                break
            if not isinstance(part, h11.Data):
                raise ConnectionBroken("closed within an answer")
            await self._step(len(part.data))
            parts.append(bytes(part.data))
            size += len(part.data)
            if has_too_small_parts(len(parts), size):
                raise ConnectionBroken(f"{len(parts)} parts in {size} bytes")
            if size > MAX_BUFFERED_RESPONSE_BYTES:
                raise ConnectionBroken(
                    f"an answer over {MAX_BUFFERED_RESPONSE_BYTES} bytes"
                )
            self._hold(size)
        self._release_connection()
        return self._check_buffered(head, info, b"".join(parts))

    def _hold(self, size: int) -> None:
        """Reserves the memory for an incomplete response of this size."""
        if self._memory is None:
            return
        more = size - self._held
        if more > 0 and not self._memory.reserve(more, self._held):
            raise ConnectionBroken(f"no memory for a response of {size} bytes")
        if more < 0:
            self._memory.release(-more)
        self._held = size

    def _check_buffered(
        self, head: h11.Response, info: ResponseInfo, body: bytes
    ) -> Outcome:
        """Returns the outcome of a response that was read to its end."""
        # Servers never encode a body, so an encoded one was changed on the way.
        if head.status_code < 300 and (not info.sealed or info.encoded):
            return Broken("a success without the server's signature or body")
        self._sink.on_response_time(time.monotonic() - self._sent_at)
        headers = response_headers(list(head.headers))
        return Answered(ServerResponse(head.status_code, headers, body, info.sealed))

    async def _forward_stream(self, head: h11.Response, info: ResponseInfo) -> Outcome:
        """Forwards each complete event of a stream to the sink."""
        if not info.sealed or info.encoded:
            return Broken("a stream without the server's signature")
        headers = response_headers(list(head.headers))
        splitter = EventSplitter()
        parts = 0
        while True:
            part = await self._next_part()
            if isinstance(part, h11.EndOfMessage):
                break
            if not isinstance(part, h11.Data):
                raise ConnectionBroken("closed within a stream")
            parts += 1
            data = part.data
            await self._step(len(data))
            for start in range(0, len(data), FEED_BYTES):
                for event in splitter.feed(data[start : start + FEED_BYTES]):
                    await self._forward_event(event, head, headers)
                    parts = 0
            if has_too_small_parts(parts, splitter.size):
                raise ConnectionBroken(f"{parts} parts within an event")
            self._hold(splitter.size)
        if splitter.partial or not self._forwarding:
            raise ConnectionBroken("the stream ended within an event")
        self._release_connection()
        return Answered(ServerResponse(head.status_code, headers, b"", info.sealed))

    async def _forward_event(
        self, event: StreamEvent, head: h11.Response, headers: Headers
    ) -> None:
        now = time.monotonic()
        if not self._forwarding:
            self._forwarding = True
            self._sink.on_response_time(now - self._sent_at)
            await self._sink.on_stream_start(head.status_code, headers)
        else:
            self._sink.on_event_gap(now - self._last_event_at)
        self._last_event_at = now
        await self._sink.on_event(event.data, event.id)
        await self._step(len(event.data), EVENT_WEIGHT)
        # The time that a slow client took is not the server's.
        self._record_progress()

    def _release_connection(self) -> None:
        assert self._lease is not None
        conn = self._lease.conn
        conn.finish()
        keep_alive_s = self._info.keep_alive_s if self._info is not None else None
        if self._info is not None and self._info.closes_connection:
            conn.close()
        self._pool.release(self._lease, keep_alive_s)
