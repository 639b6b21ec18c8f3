"""One entry process with low limits, and what is measured of it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
from pathlib import Path
from typing import TYPE_CHECKING, Any

from benchmarks.fault_soak.fleet import EntryProcess, Fleet
from cornelpin.tests.crowds import Door
from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import route
from standins.fleet.server import FleetServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PORT = 31_000
"""First port of the entry. These tests run alone, after all others."""
MIB = 1_048_576
MEMORY_MB = 96
MAX_FDS = 600
FILES = 200
"""Descriptors of ``MAX_FDS`` that the platform reserves for files."""
LIMITS = {
    "max_header_bytes": 32_768,
    "max_body_bytes": MIB,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
INTERNAL_LIMIT = 8_192
"""Limit of heads and of bodies at the addresses for the platform's own calls."""
RUN_S = 0.5
RESPONSE_BYTES = 524_288
"""Size of the server's responses to the crowd."""
SLOTS = 50
ROUTE_TIMEOUT_MS = 60_000
ANSWER_TIMEOUT_S = 30.0
"""Time for which an ordinary caller tries again."""
SAMPLE_S = 0.02
CALLERS, READY, SNAPSHOTS, METRICS = range(4)
PORT_OFFSETS = {CALLERS: 0, READY: 1, SNAPSHOTS: 2, METRICS: 4}
ORDINARY = "/ordinary/x"


class CrowdFleet(Fleet):
    """A fleet whose entry has low limits."""

    def write_settings(self, entry: EntryProcess, **fields: Any) -> None:
        """Writes an entry's settings file."""
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        super().write_settings(entry, limits=limits, **fields)


class CrowdBed:
    """An entry process, a server for the crowd and one for ordinary callers.

    Attributes:
        fleet: The store and the processes.
        entry: The entry.
        sound: The server of ordinary callers.
        peak_bytes: Highest sum of resident memory and of bytes received and not read.
        peak_sockets: Highest number of sockets.
    """

    def __init__(self) -> None:
        self.fleet = CrowdFleet(entries=1, servers=1, port=PORT)
        self.sound = FleetServer("sound", slots=SLOTS)
        self.peak_bytes = 0
        self.peak_sockets = 0
        self._sampler: asyncio.Task[None] | None = None

    @property
    def entry(self) -> EntryProcess:
        """The entry."""
        return self.fleet.entries[0]

    def door(self, listener: int, path: str = "/") -> Door:
        """Returns a door of the entry."""
        internal = listener != CALLERS
        return Door(
            address=(self.entry.ip, PORT + PORT_OFFSETS[listener]),
            path=path,
            head_bytes=INTERNAL_LIMIT if internal else LIMITS["max_header_bytes"],
            body_bytes=INTERNAL_LIMIT if internal else LIMITS["max_body_bytes"],
        )

    async def start(self) -> None:
        """Starts all, with the configuration of these tests."""
        crowded = self.fleet.servers[0]
        crowded.slots = SLOTS
        body = b"x" * RESPONSE_BYTES
        head = b"HTTP/1.1 200 X\r\n%%s\r\nContent-Length: %d\r\n\r\n" % len(body)
        crowded.behaviour.answer_s = RUN_S
        crowded.behaviour.raw = (head + body, "keep")
        await self.fleet.start()
        await self.sound.start()
        self.fleet.store.put("servers", self.sound.id, self.sound.store_spec())
        assert self.entry.process is not None
        resource.prlimit(
            self.entry.process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)
        )
        self.fleet.configure(
            routes=[
                route("/safe/", "safe", timeout_ms=ROUTE_TIMEOUT_MS),
                route(
                    "/ordinary/",
                    "safe",
                    service="sound",
                    timeout_ms=ROUTE_TIMEOUT_MS,
                ),
            ],
            services=[
                {"name": name, "health_path": "/h", "max_conns": 200}
                for name in ("app", "sound")
            ],
            limits=LIMITS,
        )
        assert await self.ordinary_request_is_answered()
        self._sampler = asyncio.ensure_future(self._sample())

    async def stop(self) -> None:
        """Ends all."""
        if self._sampler is not None:
            self._sampler.cancel()
        await self.fleet.stop()
        await self.sound.server.stop()

    async def ordinary_request_is_answered(self) -> bool:
        """Returns whether a caller that tries again for a while gets its response."""
        door = self.door(CALLERS, ORDINARY)
        return await self._until_status(door.address, door.path, 200)

    async def is_ready(self) -> bool:
        """Returns whether the readiness probe gets 200, tried again for a while."""
        door = self.door(READY, "/-/readiness")
        return await self._until_status(door.address, door.path, 200)

    async def _until_status(
        self, address: tuple[str, int], path: str, status: int
    ) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while self.entry.running:
                    response = await self._try(address, path)
                    if response is not None and response.status == status:
                        return True
                    await asyncio.sleep(0.1)
        return False

    async def _try(self, address: tuple[str, int], path: str) -> Response | None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(3.0):
                return await fetch(address, path)
        return None

    async def _sample(self) -> None:
        """Records the highest memory and the highest number of descriptors."""
        assert self.entry.process is not None
        folder = Path(f"/proc/{self.entry.process.pid}")
        while True:
            with contextlib.suppress(OSError, StopIteration):
                used = peak_memory(folder) + unread_bytes(self.entry.ip)
                self.peak_bytes = max(self.peak_bytes, used)
                self.peak_sockets = max(self.peak_sockets, count_sockets(folder))
            await asyncio.sleep(SAMPLE_S)


def peak_memory(folder: Path) -> int:
    """Returns the highest resident memory of a process so far, in bytes."""
    lines = (folder / "status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmHWM"))
    return 1_024 * int(line.split()[1])


def unread_bytes(ip: str, port: int | None = None) -> int:
    """Returns the bytes that wait in the kernel for the processes at an address.

    Args:
        ip: The address.
        port: Port at which a process listens; None for all.
    """
    number = int.from_bytes(bytes(map(int, ip.split("."))), "little")
    prefix = f"{number:08X}:" if port is None else f"{number:08X}:{port:04X}"
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # Connections only: of a listening socket, the field holds its backlog.
        if fields[1].startswith(prefix) and fields[3] != "0A":
            total += int(fields[4].partition(":")[2], 16)
    return total


def count_sockets(folder: Path) -> int:
    """Returns the number of sockets of a process."""
    count = 0
    for link in (folder / "fd").iterdir():
        with contextlib.suppress(OSError):
            count += os.readlink(link).startswith("socket:")
    return count


@contextlib.asynccontextmanager
async def run_crowd_bed() -> AsyncIterator[CrowdBed]:
    """Runs an entry process for one test."""
    bed = CrowdBed()
    try:
        await bed.start()
        yield bed
    finally:
        await bed.stop()
