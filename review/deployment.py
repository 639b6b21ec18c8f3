"""A small deployment on loopback addresses: entries, a store, servers and clients.

The entries are the project's own processes, started with the command of the deploy
file. The store is the project's stand-in (``standins.fleet.store``); the servers and
the clients are small stand-ins of this module. All of them run in the event loop of the
script, so that it sees what was sent, run and answered.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

import attrs

from standins.fleet.store import FleetStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
ZONES = ("catania-a", "siracusa-b", "messina-c")
START_TIMEOUT_S = 20.0
TIME_LIMIT_S = 112.0
"""Time after which a case is ended, in seconds."""
RESTART_S = 0.5
"""Delay after which the platform starts a process again that has ended."""
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 58,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_slack": 140000,
    "canary_share": 0.1,
    "canary_slack": 50,
    "rollback_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
}
"""Bounds of the site ``tempra-log``."""
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
"""Limits of the example of a configuration (``fleetbench wire``)."""


class Record:
    """The record of a case: a line for each thing that was seen, with its time.

    Args:
        path: Path of the file.
    """

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def at(self) -> float:
        """Returns the seconds since the record was begun."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.at():8.3f} {text}\n")
        self._file.flush()

    def verdict(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self.line(text)
        print(text, flush=True)


# Clients.


@attrs.define
class Answer:
    """What a client got for a request.

    Attributes:
        status: Status; zero if the connection ended without a complete answer.
        headers: Headers, names in lower case.
        body: The body.
        complete: Whether the whole answer was received.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    complete: bool = False


class Client:
    """A client with one connection that it keeps open.

    Args:
        address: Address of an entry.
        receive_buffer: Size of the socket's receive buffer; None for the default.
    """

    def __init__(
        self, address: tuple[str, int], receive_buffer: int | None = None
    ) -> None:
        self._address = address
        self._receive_buffer = receive_buffer
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects, unless the connection is open."""
        if self.writer is not None and not self.writer.is_closing():
            assert self.reader is not None
            if not self.reader.at_eof():
                return
        sock = socket.socket()
        if self._receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=65_536
        )

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def send(
        self,
        request_id: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        deadline_ms: int,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a whole request."""
        await self.open()
        assert self.writer is not None
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
        ]
        lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def read(self, timeout_s: float, pace: float | None = None) -> Answer:
        """Reads an answer; one that is not complete in time counts as none.

        Args:
            timeout_s: Time for the whole answer in seconds.
            pace: Bytes of the body per second that it reads; None for no limit.
        """
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._read(answer, pace)
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        return answer

    async def _read(self, answer: Answer, pace: float | None) -> None:
        assert self.reader is not None
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        for line in lines:
            name, colon, text = line.partition(":")
            if colon:
                answer.headers[name.strip().lower()] = text.strip()
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await self.reader.readline()).strip() or b"x", 16):
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readline()
        else:
            left = int(answer.headers.get("content-length", "0"))
            parts = []
            while left:
                part = await self.reader.read(min(left, 16_384))
                if not part:
                    raise asyncio.IncompleteReadError(b"", left)
                parts.append(part)
                left -= len(part)
                if pace is not None:
                    await asyncio.sleep(len(part) / pace)
            answer.body = b"".join(parts)
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()


async def ask(
    address: tuple[str, int], request_id: str, path: str, **fields: Any
) -> Answer:
    """Sends a request on a connection of its own and reads the answer."""
    client = Client(address)
    timeout_s = fields["deadline_ms"] / 1000 + 1.0
    try:
        await client.send(request_id, path, **fields)
        return await client.read(timeout_s)
    except (OSError, TimeoutError):
        return Answer()
    finally:
        client.close()


# Servers.


@attrs.frozen
class Received:
    """A request as a server got it; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id that the client gave it."""
        return self.headers.get("request-id", "")

    @property
    def left_s(self) -> float:
        """Seconds that its client waits."""
        return int(self.headers.get("deadline-ms", "60000")) / 1000


class Server:
    """A server (a runner in the platform's words) with slots and a short queue.

    It runs one request at a time on a connection and usually drops one whose connection
    closes.

    Args:
        deployment: The deployment.
        service: Its service.
        zone: Its zone.
        slots: Requests that it runs at once.
        queue: Requests that wait beyond them; others get 503 with ``Not-Executed``.
        work: Writes the answer to a request that has begun to run.
        dropped: Returns whether it has dropped an idle connection without notice, so
            that what is sent next on it is reset.
        goes_on: Whether it goes on with a request whose connection closes.

    Attributes:
        id: Its id, new at each start.
        ran: Ids of the requests that began to run, with the time.
        running: Number of requests that run.
        down: Whether it has crashed and is not back yet.
    """

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        zone: str,
        *,
        slots: int,
        queue: int,
        work: Callable[[Server, Received, asyncio.StreamWriter], Awaitable[None]],
        dropped: Callable[[asyncio.StreamWriter], bool] = lambda writer: False,
        goes_on: bool = False,
    ) -> None:
        self._deployment = deployment
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self._work = work
        self.dropped = dropped
        self.goes_on = goes_on
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.id = ""
        self.address = ("127.0.0.1", 0)
        self.ran: list[tuple[float, str]] = []
        self.running = 0
        self.down = True

    async def start(self) -> None:
        """Starts a new incarnation and registers it."""
        self.id = f"i-{random.randrange(16**8):08x}"
        self._free, self._waiting, self.running = asyncio.Semaphore(self.slots), 0, 0
        self.down = False
        self._listener = await asyncio.start_server(self._accept, *self.address)
        self.address = self._listener.sockets[0].getsockname()[:2]
        self.register()

    def register(self, state: str = "ready") -> None:
        """Writes its entry to the store."""
        spec = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self._deployment.store.put("servers", self.id, spec)

    def stop(self) -> None:
        """Resets all connections and stops listening."""
        self.down = True
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def crash(self, back_s: float) -> None:
        """Crashes; it is back as a new incarnation after some seconds."""
        if self.down:
            return
        old = self.id
        asyncio.get_running_loop().call_soon(self.stop)
        self.down = True

        async def back() -> None:
            await asyncio.sleep(back_s)
            self._deployment.store.remove("servers", old)
            await self.start()

        self._deployment.spawn(back())

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            name, colon, text = line.partition(":")
            if colon:
                headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        method, path, _ = first.split(" ")
        req = Received(method, path, headers, body)
        if req.headers.get("target-instance", self.id) != self.id:
            self.answer(writer, req, 421, b"")
            return True
        if self.dropped(writer):
            self._deployment.record.line(f"{self.id} resets {req.id}, unread")
            writer.transport.abort()
            return False
        return await self._handle_until_closed(req, reader, writer)

    async def _handle_until_closed(
        self,
        req: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self._free.locked() and self._waiting >= self.queue:
            self.answer(writer, req, 503, b"", {"Not-Executed": "1"})
            return True
        work = asyncio.create_task(self._run(req, writer))
        while not work.done():
            await asyncio.wait({work}, timeout=0.01)
            if reader.at_eof() or writer.transport.is_closing():
                if self.goes_on:
                    self._deployment.spawn(work_to_end(work))
                else:
                    work.cancel()
                    await asyncio.wait({work})
                return False
        work.result()
        return True

    async def _run(self, req: Received, writer: asyncio.StreamWriter) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        slot = self._free
        self.running += 1
        self.ran.append((self._deployment.record.at(), req.id))
        self._deployment.record.line(f"{self.id} runs {req.id}")
        try:
            async with asyncio.timeout(req.left_s):
                await self._work(self, req, writer)
            await writer.drain()
        except TimeoutError:
            self.answer(writer, req, 504, b"late")
        except OSError:
            # The connection was reset meanwhile.
            pass
        finally:
            self.running = max(0, self.running - 1)
            slot.release()

    def head(
        self, req: Received, status: int, headers: dict[str, str] | None = None
    ) -> bytes:
        """Returns the beginning of an answer, without the blank line."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Request-Id: {req.id}",
            f"Instance-Id: {self.id}",
            f"Server-Load: {self.running},{self._waiting},{self.slots}",
            "Keep-Alive: timeout=15",
        ]
        if "Not-Executed" not in (headers or {}) and status != 421:
            lines.append(f"Response-Seal: {self.id}.{req.id}.{status}")
        lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
        return "\r\n".join(lines).encode() + b"\r\n"

    def answer(
        self,
        writer: asyncio.StreamWriter,
        req: Received,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Writes a whole answer."""
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        writer.write(self.head(req, status, headers) + length + body)

    async def stream(
        self, writer: asyncio.StreamWriter, req: Received, events: int, gap_s: float
    ) -> None:
        """Writes a stream of events."""
        head = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(self.head(req, 200, head) + b"\r\n")
        begin = int(req.headers.get("last-event-id", "0")) + 1
        for number in range(begin, events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")


async def work_to_end(work: asyncio.Task[None]) -> None:
    """Waits for the end of a run that nobody reads any more."""
    await asyncio.wait({work})


# Entries.


@attrs.define(eq=False)
class Entry:
    """An entry process, started with the command of the deploy file.

    Attributes:
        name: Name of its machine.
        ip: Loopback address of its machine.
        port: First port; the same on all machines.
        folder: Folder of its settings and output.
        process: The process; None before its start.
        started: Record's time of the last start.
    """

    name: str
    ip: str
    port: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    started: float = 0.0

    @property
    def address(self) -> tuple[str, int]:
        """Address at which it takes clients."""
        return self.ip, self.port

    @property
    def running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts its process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CORNELPIN_SETTINGS": str(self.folder / f"{self.name}.json"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=output, stderr=subprocess.STDOUT
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if it runs."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills its process and waits for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self) -> float:
        """Returns the resident memory of its process in MB; zero if it has ended."""
        if not self.running:
            return 0.0
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1_048_576


class Deployment:
    """Store, servers and entries of a case.

    Args:
        record: The record.
        entries: Number of entries.
        memory_mb: Memory of a machine with an entry.

    Attributes:
        store: Stand-in of the platform's store.
        entries: The entries.
        servers: The servers.
    """

    def __init__(self, record: Record, *, entries: int, memory_mb: int = 300) -> None:
        self.record = record
        self.store = FleetStore()
        self.servers: list[Server] = []
        self._folder = tempfile.TemporaryDirectory(prefix="cornelpin-review-")
        self._memory_mb = memory_mb
        self._tasks: set[asyncio.Task[None]] = set()
        ips = [f"127.0.{random.randrange(2, 250)}.{11 + i}" for i in range(entries)]
        port = _free_ports(ips, 5)
        self.entries = [
            Entry(f"front-{i + 1}", ip, port, Path(self._folder.name))
            for i, ip in enumerate(ips)
        ]

    async def __aenter__(self) -> Deployment:
        """Returns the deployment, to be started."""
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Ends everything that was started."""
        await self.stop()

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Runs a coroutine beside the others until the end."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, config: dict[str, Any], servers: list[Server]) -> None:
        """Starts everything and waits until all entries are ready."""
        await self.store.server.start("127.0.0.1")
        self.store.put("config", "main", config)
        self.servers = servers
        for server in servers:
            await server.start()
        for entry in self.entries:
            self._write_settings(entry)
            entry.start()
            entry.started = self.record.at()
        await asyncio.gather(*(self.until_ready(entry) for entry in self.entries))

    def _write_settings(self, entry: Entry) -> None:
        port, number = entry.port, self.entries.index(entry)
        store = self.store.server.address
        document = {
            "node": entry.name,
            "role": "entry",
            "class": "front",
            "serves": ["front", "control"],
            "ip": entry.ip,
            "zone": ZONES[number % len(ZONES)],
            "region": "sicilia-est",
            "zones": dict.fromkeys(ZONES, "sicilia-est"),
            "listen": {
                "front": f"{entry.ip}:{port}",
                "ready": f"{entry.ip}:{port + 1}",
                "control": f"{entry.ip}:{port + 2}",
            },
            "internal_ports": [port + 3, port + 4],
            "seeds": [f"{other.ip}:{port + 2}" for other in self.entries[:3]],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": self._memory_mb,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "provider": {
                "address": f"{store[0]}:{store[1]}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        path = Path(self._folder.name) / f"{entry.name}.json"
        path.write_text(json.dumps(document))

    async def restart(self, entry: Entry) -> None:
        """Starts the process of an entry again after it has ended, as the platform."""
        await asyncio.sleep(RESTART_S)
        entry.start()
        entry.started = self.record.at()

    async def until_ready(self, entry: Entry) -> None:
        """Waits until an entry is ready.

        Raises:
            TimeoutError: If it is not ready in time.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready(entry):
                await asyncio.sleep(0.1)

    async def is_ready(self, entry: Entry) -> bool:
        """Returns whether an entry's readiness probe succeeds."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(entry.ip, entry.port + 1)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def log_lines(self, words: str) -> list[str]:
        """Returns the lines of all entries' output that contain some words."""
        return [
            line
            for path in sorted(Path(self._folder.name).glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if words in line
        ]

    async def stop(self) -> None:
        """Ends everything that was started."""
        for task in list(self._tasks):
            task.cancel()
        for entry in self.entries:
            entry.kill()
        for server in self.servers:
            server.stop()
        await self.store.server.stop()
        self._folder.cleanup()


def _free_ports(ips: list[str], count: int) -> int:
    """Returns the first of some ports in a row that are free at all addresses."""
    for _ in range(200):
        first = random.randrange(21_000, 32_000)
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((ip, port))
        except OSError:
            continue
        return first
    raise OSError("no free ports")


def route(prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "allow_anonymous": False,
        "session_affinity": False,
        "resumable": False,
        **fields,
    }


def config(
    routes: list[dict[str, Any]], services: list[str], version: int = 7
) -> dict[str, Any]:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 370,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": LIMITS,
        "tenants": [
            {
                "name": "hule930",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": 149913,
                "burst": 149913,
            }
        ],
    }


def main(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Runs a case and exits with 1 if a rule was broken, 0 if not, 2 if it failed.

    Args:
        case: Called with the record and whether there is a disruption; returns whether
            the rule held.
        folder: Folder of the record.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.line(f"begins, disruption: {trouble}")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes that were started if the script is ended early.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await case(record, trouble)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        record.verdict(f"could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    record.verdict("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
