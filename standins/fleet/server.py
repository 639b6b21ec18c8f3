"""A stand-in of a backend server: plain responses, event streams and faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
import weakref
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from standins.fleet.raw_http import RawRequest, RawServer, format_response

if TYPE_CHECKING:
    from collections.abc import Callable

_server_numbers = itertools.count(1)


@attrs.define
class Behaviour:
    """How a server responds.

    Attributes:
        answer_s: Duration of a plain request in seconds.
        events: Number of events in a stream.
        gap_s: Delay before each event in seconds.
        fault: The injected fault: ``""`` (none), ``full`` (503, not executed),
            ``error`` (500), ``crash`` (reset before the response), ``die`` (the
            whole server crashes, as for ``crash_part``), ``cut`` (reset
            within the response), ``mute`` (no response for 60 s),
            ``unsealed`` (no ``Response-Seal``, the header with the server's signature,
            without which the gateway rejects a 2xx response), ``extra`` (a second
            response at once),
            ``late_extra`` (a second response while the connection is idle),
            ``no_length`` (a body that ends with the connection),
            ``partial_no_length`` (such a stream that ends within an event), ``drip``
            (a byte each ``DRIP_S`` after the head or the first event), ``large`` (a
            last event of 16 KB, in a part each ``DRIP_S``), or a key of ``ENDLESS``
            (bytes until the caller closes).
        status: Status of plain responses.
        leaving: Whether all responses say that the server leaves.
        pause: Retry-After of a ``full`` server; none if empty.
        limits: Values of ``Server-Limit`` in all responses, by turns.
        load: Value of ``Server-Load`` in all responses; none if empty.
        raw: Bytes of all responses, in which ``%s`` stands for the headers of a proper
            one, and how the connection ends after them: ``keep``, ``close`` or
            ``reset``. None for proper responses.
        repeat: When a server that has refused the first request of a connection writes
            that refusal once more: ``""`` (never), ``at_once`` (together with it),
            ``idle`` (a moment later), ``next`` (as the next request arrives),
            ``mid_run`` (while the next one runs), ``instead`` (in place of the next
            response).
        refusal: Status of these refusals.
        refusal_has_id: Whether they name the request.
        crash_part: Shared part of a prompt at whose first event the server crashes: it
            resets all connections and becomes another incarnation. None if empty.
        down_s: Seconds for which a crashed server refuses connections before it is back
            and registers.
        forget_s: Seconds of idleness after which it drops a connection without notice:
            what is sent next on it is reset.
    """

    answer_s: float = 0.0
    events: int = 3
    gap_s: float = 0.0
    fault: str = ""
    status: int = 200
    leaving: bool = False
    pause: str = ""
    limits: tuple[str, ...] = ()
    load: str = ""
    raw: tuple[bytes, str] | None = None
    repeat: str = ""
    refusal: int = 503
    refusal_has_id: bool = True
    crash_part: str = ""
    down_s: float = 0.0
    forget_s: float = float("inf")


RESET_S = 0.01
"""Time from a response to the reset after it, so that it is read before, in seconds."""
RESET_LINGER = struct.pack("ii", 1, 0)
"""Socket option by which the close of a connection is a reset."""
REPEAT_S = 0.03
"""Time until a refusal is written once more, in seconds."""
DRIP_S = 0.2
"""Time between two parts of a response that arrives slowly, in seconds."""
ENDLESS = {
    "endless_line": (b"", b"x" * 4_096),
    "endless_head": (b"HTTP/1.1 200 X\r\n", b"X-Junk: junk\r\n" * 200),
    "endless_continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "endless_others": (
        b"",
        format_response(200, {"Request-Id": "another"}, b"not yours") * 40,
    ),
    "endless_rejection": (
        b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 4_096 + b"\r\n",
    ),
    "endless_body": (
        b"HTTP/1.1 200 X\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 4_096 + b"\r\n",
    ),
    "endless_unframed": (b"HTTP/1.1 200 X\r\n%s\r\n\r\n", b"x" * 4_096),
    "endless_small_chunks": (
        b"HTTP/1.1 200 X\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 2_000,
    ),
    "endless_chunk_size": (
        b"HTTP/1.1 200 X\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"x" * 4_096,
    ),
    "endless_trailer": (
        b"HTTP/1.1 200 X\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Junk: junk\r\n" * 200,
    ),
    "endless_small_others": (
        b"",
        format_response(200, {"Request-Id": "another"}, b"")
        + b"HTTP/1.1 100 Continue\r\n\r\n" * 50,
    ),
    "endless_blank_lines": (b"HTTP/1.1 200 X\r\n%s\r\n\r\n", b"x\n\n" * 1_000),
}
"""Bytes of a response that never ends, by fault: those at its beginning and those that
are repeated. ``%s`` stands for the headers of a proper response."""
ENDLESS_EVENTS = {
    "endless_events": (
        b"HTTP/1.1 200 X\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"9\r\ndata: y\n\n\r\n" * 500,
    ),
    "endless_unframed_events": (
        b"HTTP/1.1 200 X\r\n%s\r\n\r\n",
        b"data: y\n\n" * 500,
    ),
}
"""The same of streams of proper events that never end."""


@attrs.frozen
class Notice:
    """A response that told its caller something about the server.

    Attributes:
        at: Loop time of the response.
        request_id: Id of the request.
        pause_s: Pause that it asked for; None if it said that the server leaves.
    """

    at: float
    request_id: str
    pause_s: float | None = None


class FleetServer:
    """A backend server that records what it runs.

    Attributes:
        id: Id of the server, unique in the test process.
        service: Service of the server.
        slots: Number of requests that it states to run at once; it sets no limit.
        zone: Data centre of the server (``zone`` in the store). The gateways of the
            tests are in ``here``.
        version: Version of its software.
        behaviour: How it responds.
        runs: Number of runs by request id.
        requests: Requests that were run.
        cancelled: Ids of requests whose caller disconnected during the run.
        misdirected: Number of requests rejected because they were addressed to
            another server.
        cold_left_ms: Remaining warm-up time that it registers, in ms; of another type
            to register an invalid one.
        born: Number of its incarnation (the platform's field of that name).
        restarts: Loop times of the restarts.
        arrivals: Loop time and id of each request, rejected ones included.
        notices: Responses that said that the server leaves or wants a pause.
        running: Number of requests in flight.
        max_running: Highest number of requests in flight at once.
        endless_bytes: Bytes written of responses that never end.
        crashes: Loop times of the crashes.
        on_crash: Called after such a crash.
    """

    def __init__(
        self,
        service: str,
        *,
        slots: int = 4,
        zone: str = "here",
        version: str = "v1",
    ) -> None:
        self.id = f"i-{next(_server_numbers)}"
        self.service = service
        self.slots = slots
        self.zone = zone
        self.version = version
        self.behaviour = Behaviour()
        self.runs: Counter[str] = Counter()
        self.requests: list[RawRequest] = []
        self.cancelled: list[str] = []
        self.misdirected = 0
        self.born = 0
        self.cold_left_ms: Any = 0
        self.restarts: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        self.notices: list[Notice] = []
        self.running = 0
        self.max_running = 0
        self.endless_bytes = 0
        self.crashes: list[float] = []
        # Refusal of the first request of each connection that gets it once more.
        self._refusals: weakref.WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            weakref.WeakKeyDictionary()
        )
        # Loop time of the last request of each connection.
        self._used_at: weakref.WeakKeyDictionary[asyncio.StreamWriter, float] = (
            weakref.WeakKeyDictionary()
        )
        self._return: asyncio.Task[None] | None = None
        self.on_crash: Callable[[], None] = lambda: None
        self.server = RawServer(self._handle)

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Starts listening on a free port."""
        await self.server.start(ip)

    def store_spec(self, state: str = "ready") -> dict[str, Any]:
        """Returns the server's object spec for the store."""
        ip, port = self.server.address
        return {
            "service": self.service,
            "address": f"{ip}:{port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "born": self.born,
            "cold_left_ms": self.cold_left_ms,
            "seq": 1,
        }

    def restart(self) -> None:
        """Becomes another incarnation under the same id and address."""
        self.born += 1
        self.restarts.append(asyncio.get_running_loop().time())
        self.behaviour = Behaviour()

    def _crashes_on(self, req: RawRequest) -> bool:
        parts = req.headers.get("prompt-prefix", "").split(",")[:-1]
        crash_part = self.behaviour.crash_part
        return crash_part in [part.partition(":")[0] for part in parts]

    def _crash(self) -> None:
        loop = asyncio.get_running_loop()
        self.crashes.append(loop.time())
        if self.behaviour.down_s:
            self.server.refuse_connections()
            self._return = loop.create_task(self._come_back(self.behaviour.down_s))
        else:
            self._register_again()
        self.server.reset_connections()

    async def _come_back(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.server.start(*self.server.address)
        self._register_again()

    def _register_again(self) -> None:
        self.born += 1
        self.on_crash()

    def _has_forgotten(self, writer: asyncio.StreamWriter, now: float) -> bool:
        return now - self._used_at.get(writer, now) > self.behaviour.forget_s

    async def _handle(self, req: RawRequest, writer: asyncio.StreamWriter) -> bool:
        if req.headers.get("target-instance") not in {None, self.id}:
            self.misdirected += 1
            headers = {"Instance-Id": self.id}
            headers["Request-Id"] = req.headers.get("request-id", "")
            writer.write(format_response(421, headers, b""))
            return True
        now = asyncio.get_running_loop().time()
        if self._has_forgotten(writer, now):
            _reset(writer)
            return False
        self._used_at[writer] = now
        request_id = req.headers.get("request-id", "")
        self.arrivals.append((now, request_id))
        if self.behaviour.leaving:
            self.notices.append(Notice(now, request_id))
        if self.behaviour.fault == "full":
            headers = {"Not-Executed": "1", "Request-Id": request_id}
            headers |= self._state_headers()
            if self.behaviour.pause:
                headers["Retry-After"] = self.behaviour.pause
                with contextlib.suppress(ValueError):
                    pause_s = float(self.behaviour.pause)
                    self.notices.append(Notice(now, request_id, pause_s))
            writer.write(format_response(503, headers, b""))
            return True
        if self.behaviour.repeat:
            if writer not in self._refusals:
                return await self._refuse_first(request_id, writer)
            if self.behaviour.repeat == "next":
                writer.write(self._refusals[writer])
        self.runs[request_id] += 1
        self.requests.append(req)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await self._run(req, request_id, writer)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running -= 1

    async def _refuse_first(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        headers = {"Not-Executed": "1"} | self._state_headers()
        if self.behaviour.refusal_has_id:
            headers["Request-Id"] = request_id
        refusal = format_response(self.behaviour.refusal, headers, b"full")
        self._refusals[writer] = refusal
        times = 2 if self.behaviour.repeat == "at_once" else 1
        writer.write(refusal * times)
        if self.behaviour.repeat == "idle":
            await asyncio.sleep(REPEAT_S)
            writer.write(refusal)
        return True

    def _state_headers(self) -> dict[str, str]:
        headers = {"Server-Leaving": "1"} if self.behaviour.leaving else {}
        if self.behaviour.load:
            headers["Server-Load"] = self.behaviour.load
        limits = self.behaviour.limits
        if limits:
            headers["Server-Limit"] = limits[len(self.arrivals) % len(limits)]
        return headers

    async def _run(
        self, req: RawRequest, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        fault = self.behaviour.fault
        if self.behaviour.repeat == "mid_run":
            await asyncio.sleep(REPEAT_S)
            writer.write(self._refusals[writer])
            await asyncio.sleep(REPEAT_S)
        if self.behaviour.repeat == "instead":
            writer.write(self._refusals[writer])
            return True
        if fault == "mute":
            await asyncio.sleep(60)
        if fault in {"crash", "die"}:
            writer.transport.abort() if fault == "crash" else self._crash()
            return False
        headers = {"Request-Id": request_id, "Response-Seal": f"{self.id}.1"}
        headers |= self._state_headers()
        if self.behaviour.raw is not None:
            return await self._write_raw(*self.behaviour.raw, headers, writer)
        if fault == "drip":
            await self._drip(req, headers, writer)
        if fault in ENDLESS | ENDLESS_EVENTS:
            await self._write_without_end(fault, headers, writer)
        if fault == "unsealed":
            del headers["Response-Seal"]
        if req.target.startswith("/stream/"):
            return await self._stream(req, headers, writer)
        await asyncio.sleep(self.behaviour.answer_s)
        status = 500 if fault == "error" else self.behaviour.status
        data = format_response(status, headers, req.target.encode() + b"|" + req.body)
        return await self._write_plain(fault, headers, data, writer)

    async def _drip(
        self, req: RawRequest, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Sends the beginning of a response, then a byte now and then."""
        lines = "\r\n".join(f"{name}: {value}" for name, value in headers.items())
        head = f"HTTP/1.1 200 X\r\n{lines}\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        if req.target.startswith("/stream/"):
            event = b"id: 1\ndata: piece 1\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        while True:
            writer.write(b"1\r\nx\r\n")
            await writer.drain()
            await asyncio.sleep(DRIP_S)

    async def _write_raw(
        self,
        data: bytes,
        ending: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        lines = "\r\n".join(f"{name}: {value}" for name, value in headers.items())
        writer.write(data.replace(b"%s", lines.encode()))
        await writer.drain()
        if ending == "reset":
            await asyncio.sleep(RESET_S)
            _reset(writer)
        return ending == "keep"

    async def _write_without_end(
        self, fault: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        beginning, repeated = (ENDLESS | ENDLESS_EVENTS)[fault]
        lines = "\r\n".join(f"{name}: {value}" for name, value in headers.items())
        writer.write(beginning.replace(b"%s", lines.encode()))
        while True:
            writer.write(repeated)
            self.endless_bytes += len(repeated)
            await writer.drain()
            await asyncio.sleep(0)

    async def _write_plain(
        self,
        fault: str,
        headers: dict[str, str],
        data: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if fault == "cut":
            writer.write(data[:-3])
            await writer.drain()
            writer.transport.abort()
            return False
        if fault == "no_length":
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "HTTP/1.1 200 X\r\nConnection: close\r\n" + "\r\n".join(lines)
            writer.write(head.encode() + b"\r\n\r\nto the end")
            await writer.drain()
            return False
        extra = format_response(
            200, dict(headers, **{"Request-Id": "another"}), b"not yours"
        )
        writer.write(data + extra if fault == "extra" else data)
        await writer.drain()
        if fault == "late_extra":
            await asyncio.sleep(0.02)
            writer.write(extra)
            await writer.drain()
        return True

    async def _write_large_event(
        self, number: int, writer: asyncio.StreamWriter
    ) -> bytes:
        """Writes most of an event of 16 KB slowly; returns the rest of it."""
        writer.write(b"10\r\nid: %03d\ndata: xx\r\n" % number)
        for _ in range(8):
            writer.write(b"800\r\n" + b"x" * 0x800 + b"\r\n")
            await writer.drain()
            await asyncio.sleep(DRIP_S)
        return b"\n\n"

    async def _stream(
        self, req: RawRequest, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        lines = [f"{name}: {value}" for name, value in headers.items()]
        fault = self.behaviour.fault
        if fault in {"no_length", "partial_no_length"}:
            head = "HTTP/1.1 200 X\r\nConnection: close\r\n" + "\r\n".join(lines)
            body = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
            body = body[:-5] if fault == "partial_no_length" else body
            writer.write(head.encode() + b"\r\n\r\n" + body)
            await writer.drain()
            return False
        head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n" + "\r\n".join(lines)
        writer.write(head.encode() + b"\r\n\r\n")
        first = int(req.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.behaviour.events + 1):
            await asyncio.sleep(self.behaviour.gap_s)
            if self._crashes_on(req):
                self._crash()
                return False
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if fault == "large" and number == self.behaviour.events:
                event = await self._write_large_event(number, writer)
            cut = self.behaviour.fault == "cut" and number == self.behaviour.events - 1
            if cut:
                writer.write(f"{len(event):x}\r\n".encode() + event[:5])
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
