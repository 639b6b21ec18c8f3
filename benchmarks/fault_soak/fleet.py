"""Starts the fleet under soak: entry processes, stand-ins and proxies between them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from benchmarks.fault_soak.proxy import Proxy
from cornelpin.platform import SETTINGS_VARIABLE
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import config, route
from standins.fleet.server import FleetServer
from standins.fleet.store import FleetStore

START_TIMEOUT_S = 15.0
GRACE_S = 8.0
"""Grace period between SIGTERM and SIGKILL, as on the platform."""
READY_TIMEOUT_S = 1.0
"""Time limit of a readiness probe: the platform probes once a second."""
LINK_SLACK_S = 0.5
"""Time around the fault of a link in which responses may be lost or late."""
DATA_CENTRES = ("north", "south")
COLD_PER_S = 6.0
"""Requests per second that a cold server takes from all entries."""
EVACUATION_S = 5.0
"""Time within which an evacuated data centre must get no more requests, as on the
platform."""


@attrs.define
class EntryProcess:
    """One entry process.

    Attributes:
        number: Number of the entry, part of its address.
        settings: Path of the settings file.
        log: Path of the file with stdout and stderr.
        process: The last process started, None before the first start.
        started_at: Loop time of its last start.
        faults: Begin and end, in loop time, of each time in which the process did not
            run or was paused, and of the recovery after it.
        paused: Whether the process is stopped by SIGSTOP.
        faulty_until: Monotonic time until which a fault may fail its requests.
    """

    number: int
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    started_at: float = 0.0
    faults: list[tuple[float, float]] = attrs.field(factory=list)
    paused: bool = False
    faulty_until: float = 0.0

    @property
    def ip(self) -> str:
        """Loopback address of the entry."""
        return f"127.0.1.{10 + self.number}"

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts the process; ends one that a concurrent fault has started."""
        self.kill()
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cornelpin.gateway"],
                env=os.environ | {SETTINGS_VARIABLE: str(self.settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.started_at = asyncio.get_running_loop().time()
        self.paused = False

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@attrs.frozen
class Limit:
    """A limit that a server named for a while.

    Attributes:
        server: The server.
        per_s: The limit in requests per second.
        begin: Loop time from which it was named.
        end: Loop time until which it was named.
    """

    server: FleetServer
    per_s: float
    begin: float
    end: float


@attrs.frozen
class Change:
    """A configuration that was written.

    Attributes:
        version: Its version.
        at: Unix time.
        loop_at: Loop time.
    """

    version: int
    at: float
    loop_at: float


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class Fleet:
    """A store, servers, proxies and entry processes.

    Args:
        entries: Number of entries.
        servers: Number of servers.
        port: First of five ports, the same at all entries' loopback addresses.
        data_centres: Data centres to which both are assigned by turns.

    Attributes:
        version: Version of the configuration in the store.
        limits: Limits that servers have named.
        cold_spells: Times for which servers were cold, as limits of cold servers.
        store_faults: Begin and end of each time in loop time in which entries may not
            have known what the store holds.
        evacuated: Data centres that are evacuated.
        evacuations: Data centre, begin and end of each evacuation, in loop time.
        configured: Configurations written, in order.
        never_ready: Log files of entries that did not become ready in time.
    """

    def __init__(
        self,
        *,
        entries: int,
        servers: int,
        port: int,
        data_centres: tuple[str, ...] = DATA_CENTRES,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="cornelpin-soak-"))
        self.store = FleetStore()
        self.servers = [FleetServer("app", slots=4) for _ in range(servers)]
        self.proxies: dict[str, Proxy] = {}
        self.store_proxies: list[Proxy] = []
        self.entries: list[EntryProcess] = []
        self.version = 1
        # Server id, begin and end of each fault of a link, in loop time.
        self.link_faults: list[tuple[str, float, float]] = []
        # What the operator and the servers wrote last, by kind and name.
        self._written: dict[tuple[str, str], Any] = {}
        self.limits: list[Limit] = []
        self.cold_spells: list[Limit] = []
        self.store_faults: list[tuple[float, float]] = []
        self.evacuated: set[str] = set()
        self.evacuations: list[tuple[str, float, float]] = []
        self.configured: list[Change] = []
        self.never_ready: list[str] = []
        self._count = entries
        self._port = port
        self._data_centres = data_centres

    async def start(self) -> None:
        """Starts everything and waits until all entries are ready."""
        await self.store.server.start("127.0.0.1")
        self.configure()
        for number, server in enumerate(self.servers):
            server.zone = self._data_centre(number)
            await server.start()
            proxy = self.proxies[server.id] = Proxy(server.server.address)
            await proxy.start()
            self.register_server(server)
        for number in range(self._count):
            proxy = Proxy(self.store.server.address)
            await proxy.start()
            self.store_proxies.append(proxy)
            entry = EntryProcess(
                number,
                self.folder / f"entry-{number}.json",
                self.folder / f"entry-{number}.log",
            )
            self.entries.append(entry)
            self.write_settings(entry)
            entry.start()
        await asyncio.gather(*(self.wait_ready(entry) for entry in self.entries))

    async def stop(self) -> None:
        """Ends everything that was started."""
        for entry in self.entries:
            entry.kill()
        for proxy in [*self.proxies.values(), *self.store_proxies]:
            await proxy.stop()
        for server in self.servers:
            await server.server.stop()
        await self.store.server.stop()

    def _data_centre(self, number: int) -> str:
        return self._data_centres[number % len(self._data_centres)]

    def caller_address(self, entry: EntryProcess) -> tuple[str, int]:
        """Returns the address at which an entry accepts callers."""
        return entry.ip, self._port

    def configure(self, **fields: Any) -> None:
        """Puts the next version of the configuration in the store."""
        self.version += 1
        self.configured.append(Change(self.version, time.time(), _loop_time()))
        routes = [
            route("/safe/", "safe", allow_anonymous=False),
            route("/unsafe/", "unsafe", max_attempts=1, allow_anonymous=False),
            route("/stream/", "stream", max_attempts=1, allow_anonymous=False),
            route("/stream/resumable/", "stream", resumable=True),
        ]
        services = [{"name": "app", "health_path": "/h", "cold_per_s": COLD_PER_S}]
        fields = {"routes": routes, "services": services} | fields
        self._put("config", "main", config(self.version, **fields))

    def evacuate(self, data_centre: str) -> None:
        """Orders that the servers of a data centre get no requests."""
        self._put("evacuations", data_centre, {})

    def end_evacuation(self, data_centre: str) -> None:
        """Takes such an order back."""
        self._written.pop(("evacuations", data_centre), None)
        self.store.remove("evacuations", data_centre)

    def _put(self, kind: str, name: str, spec: Any) -> None:
        self._written[kind, name] = spec
        self.store.put(kind, name, spec)

    def write_again(self) -> None:
        """Writes what a restore of the store may have lost, as its authors do.

        They also take back again what a restore has brought back.
        """
        for name in self.store.objects("evacuations"):
            if ("evacuations", name) not in self._written:
                self.store.remove("evacuations", name)
        for (kind, name), spec in self._written.items():
            if self.store.objects(kind).get(name) != spec:
                self.store.put(kind, name, spec)

    def store_faulty(self, begin: float, end: float) -> bool:
        """Returns whether entries may have missed objects of the store in a time."""
        return any(b < end and begin < e for b, e in self.store_faults)

    def link_faulty(self, server: FleetServer, at: float) -> bool:
        """Returns whether the link to a server had a fault around a loop time."""
        return any(
            server.id == server_id and begin - LINK_SLACK_S < at < end + LINK_SLACK_S
            for server_id, begin, end in self.link_faults
        )

    def register_server(self, server: FleetServer, state: str = "ready") -> None:
        """Writes a server to the store, with the address of its proxy."""
        ip, port = self.proxies[server.id].address
        spec = server.store_spec(state) | {"address": f"{ip}:{port}"}
        self._put("servers", server.id, spec)

    def write_settings(self, entry: EntryProcess, **fields: Any) -> None:
        """Writes an entry's settings file."""
        ip, port = entry.ip, self._port
        store_ip, store_port = self.store_proxies[entry.number].address
        document = {
            "node": f"front-{entry.number}",
            "zone": self._data_centre(entry.number),
            "ip": ip,
            "listen": {"front": f"{ip}:{port}", "ready": f"{ip}:{port + 1}"},
            "internal_ports": [port + 2, port + 4],
            # Entries use only the IP address of a seed, not its port.
            "seeds": [f"127.0.1.10:{port + 3}", f"127.0.1.11:{port + 3}"],
            "provider": {"address": f"{store_ip}:{store_port}"},
            "bounds": {"grace_s": GRACE_S, "evacuate_ms": 1e3 * EVACUATION_S},
            "zones": dict.fromkeys(self._data_centres, "region"),
        }
        entry.settings.write_text(json.dumps(document | fields))

    async def wait_ready(self, entry: EntryProcess) -> None:
        """Waits until an entry is ready or another fault has replaced its process."""
        process = entry.process
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while entry.process is process and not await self._ready(entry):
            if not entry.running:
                # A SIGHUP during start-up ends the process if it arrives before the
                # signal is ignored. The platform restarts an entry that ends.
                entry.start()
                process = entry.process
            if loop.time() - started_at > START_TIMEOUT_S:
                self.never_ready.append(entry.log.name)
                return
            await asyncio.sleep(0.05)

    async def _ready(self, entry: EntryProcess) -> bool:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                response = await fetch((entry.ip, self._port + 1), "/-/readiness")
        except (OSError, TimeoutError):
            return False
        return response.status == 200
