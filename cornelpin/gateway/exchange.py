"""One request sent to one backend server, and what came of it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

import attrs
import h11

from cornelpin.gateway.event_stream import EventSplitter, EventTooLong
from cornelpin.http1.client import ConnectionBroken, ConnectionFailed
from cornelpin.platform import ResponseInfo, read_response, response_headers

if TYPE_CHECKING:
    from cornelpin.gateway.pool import ConnectionPool, Lease
    from cornelpin.http1.client import Event, Headers
    from cornelpin.scheduling.servers import BackendServer

MAX_BUFFERED_ANSWER = 8_388_608
"""Bytes of a plain answer that are held back until it is whole."""


@attrs.frozen
class OutgoingRequest:
    """What is sent."""

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class ServerResponse:
    """A server's whole answer, or its head if the body is passed on as it comes."""

    status: int
    headers: Headers
    body: bytes
    sealed: bool


@attrs.frozen
class NotRun:
    """The request surely did not run at the server."""

    reason: str
    reached: bool
    """Whether the request arrived at the server at all."""
    replaced: bool = False
    """Whether another server has the address."""


@attrs.frozen
class Answered:
    """A whole answer came; a success was passed on if it was a stream."""

    response: ServerResponse


@attrs.frozen
class Broken:
    """The request may have run and its answer is not whole."""

    reason: str


Outcome = NotRun | Answered | Broken


@attrs.frozen
class IdleTimeouts:
    """How long a server may say nothing before the request is given up there.

    Attributes:
        first_s: Until the head of a plain answer or the first event of a stream.
        pause_s: Between two events.
    """

    first_s: float
    pause_s: float


class ResponseSink(Protocol):
    """Where the parts of a stream go."""

    async def on_stream_start(self, status: int, headers: Headers) -> None:
        """Takes the head, with the first whole event at hand."""

    async def on_event(self, data: bytes, event_id: str | None) -> None:
        """Takes one whole event."""

    def on_first_byte(self, took_s: float) -> None:
        """Takes the time from the send to the first bytes of a body."""

    def on_event_gap(self, took_s: float) -> None:
        """Takes the pause before an event."""


class Exchange:
    """Runs one request at one server."""

    def __init__(
        self,
        pool: ConnectionPool,
        server: BackendServer,
        sent: OutgoingRequest,
        sink: ResponseSink,
        silence: IdleTimeouts | None = None,
    ) -> None:
        self._pool = pool
        self._server = server
        self._sent = sent
        self._sink = sink
        self._silence = silence
        self._begun = False
        self._lease: Lease | None = None
        self._facts: ResponseInfo | None = None
        self._sent_at = 0.0
        self._heard = False

    async def run(self, *, stream: bool) -> Outcome:
        """Sends the request and takes the answer.

        Args:
            stream: Whether a success is passed on event by event.
        """
        try:
            self._lease = await self._pool.acquire(self._server)
        except ConnectionFailed as exc:
            return NotRun(f"no connection: {exc}", reached=False)
        conn = self._lease.conn
        try:
            return await self._converse(stream=stream)
        except (ConnectionBroken, EventTooLong) as exc:
            if self._lease.reused and not self._heard:
                self._pool.record_stale(self._lease)
            return Broken(str(exc) or type(exc).__name__)
        finally:
            if not conn.reusable:
                conn.abort()

    async def _converse(self, *, stream: bool) -> Outcome:
        assert self._lease is not None
        sent = self._sent
        self._sent_at = time.monotonic()
        try:
            self._lease.conn.send(sent.method, sent.target, sent.headers, sent.body)
        except ConnectionBroken as exc:
            return NotRun(str(exc), reached=False)
        except h11.LocalProtocolError as exc:
            self._lease.conn.abort()
            return NotRun(f"not sendable: {exc}", reached=False)
        head, facts = await self._head()
        if facts.not_run:
            await self._rest_of_refusal()
            return NotRun(
                f"the server answered {head.status_code}",
                reached=True,
                replaced=facts.other_server,
            )
        if stream and head.status_code < 300:
            return await self._stream(head, facts)
        return await self._plain(head, facts)

    async def _next_event(self) -> Event:
        """Returns the next part of the answer; a silent server counts as broken off."""
        assert self._lease is not None
        conn = self._lease.conn
        if self._silence is None:
            return await conn.next_event()
        limit_s = self._silence.pause_s if self._begun else self._silence.first_s
        try:
            async with asyncio.timeout(limit_s):
                return await conn.next_event()
        except TimeoutError as exc:
            raise ConnectionBroken(f"silent for {limit_s:.1f} s") from exc

    async def _head(self) -> tuple[h11.Response, ResponseInfo]:
        """Returns the head of our answer; answers for other requests are skipped."""
        assert self._lease is not None
        conn = self._lease.conn
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionBroken("closed without an answer")
            facts = read_response(event.status_code, list(event.headers))
            if not facts.request_id and not facts.not_run:
                raise ConnectionBroken("an answer without a request id")
            if facts.request_id in {self._sent.request_id, ""}:
                self._heard = True
                self._facts = facts
                return event, facts
            await self._skip()
            conn.skip_response()

    async def _skip(self) -> None:
        assert self._lease is not None
        while not isinstance(await self._lease.conn.next_event(), h11.EndOfMessage):
            pass

    async def _rest_of_refusal(self) -> None:
        try:
            await self._skip()
        except ConnectionBroken:
            return
        self._done()

    async def _plain(self, head: h11.Response, facts: ResponseInfo) -> Outcome:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise ConnectionBroken("closed within an answer")
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > MAX_BUFFERED_ANSWER:
                raise ConnectionBroken(f"an answer over {MAX_BUFFERED_ANSWER} bytes")
        self._done()
        return self._judge(head, facts, b"".join(parts))

    def _judge(self, head: h11.Response, facts: ResponseInfo, body: bytes) -> Outcome:
        if head.status_code < 300 and (not facts.sealed or facts.encoded):
            return Broken("a success without the server's signature or body")
        self._sink.on_first_byte(time.monotonic() - self._sent_at)
        headers = response_headers(list(head.headers))
        return Answered(ServerResponse(head.status_code, headers, body, facts.sealed))

    async def _stream(self, head: h11.Response, facts: ResponseInfo) -> Outcome:
        if not facts.sealed or facts.encoded:
            return Broken("a stream without the server's signature")
        headers = response_headers(list(head.headers))
        splitter = EventSplitter()
        last = 0.0
        while True:
            part = await self._next_event()
            if isinstance(part, h11.EndOfMessage):
                break
            if not isinstance(part, h11.Data):
                raise ConnectionBroken("closed within a stream")
            for event in splitter.feed(bytes(part.data)):
                now = time.monotonic()
                if not self._begun:
                    self._begun = True
                    self._sink.on_first_byte(now - self._sent_at)
                    await self._sink.on_stream_start(head.status_code, headers)
                else:
                    self._sink.on_event_gap(now - last)
                last = now
                await self._sink.on_event(event.data, event.id)
        if splitter.partial or not self._begun:
            raise ConnectionBroken("the stream ended within an event")
        self._done()
        return Answered(ServerResponse(head.status_code, headers, b"", facts.sealed))

    def _done(self) -> None:
        assert self._lease is not None
        conn = self._lease.conn
        conn.finish()
        keep_s = self._facts.keep_s if self._facts is not None else None
        if self._facts is not None and self._facts.closing:
            conn.close()
        self._pool.release(self._lease, keep_s)
