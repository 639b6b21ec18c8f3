"""Test harness: entries on loopback addresses with stand-ins for the platform."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import tempfile
from typing import TYPE_CHECKING, Any

from cornelpin.gateway.app import Entry
from cornelpin.gateway.logs import LineWriter
from cornelpin.platform import load_host_settings
from standins.fleet.server import FleetServer
from standins.fleet.store import FleetStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

FIRST_PORT = 20_000
"""First port of the first xdist worker. Workers and harnesses share no ports."""
PORTS_PER_WORKER = 1_000
PORTS_PER_HARNESS = 5
# Without xdist the tenth range is used, as by a tenth worker.
_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw9").removeprefix("gw"))
_harness_numbers = itertools.count()

LIMITS = {
    "max_header_bytes": 4096,
    "max_body_bytes": 20_000,
    "header_timeout_ms": 400,
    "idle_timeout_ms": 1000,
}


def route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route as stored in a configuration."""
    return {
        "name": prefix.strip("/"),
        "host": "shop.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "app",
        "max_attempts": 2,
        "allow_anonymous": True,
        "target_gap_ms": 400,
        **fields,
    }


def config(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Returns a configuration as stored by the operator."""
    return {
        "version": version,
        "routes": [
            route("/safe/", "safe"),
            route("/unsafe/", "unsafe", max_attempts=1),
            route("/stream/", "stream", max_attempts=1),
            route("/stream/resumable/", "stream", resumable=True),
            route("/keyed/", "safe", allow_anonymous=False),
        ],
        "services": [{"name": "app", "health_path": "/health", "max_conns": 50}],
        "limits": LIMITS,
        "tenants": [
            {"name": "blue", "api_keys": ["key-blue"], "priority": 1},
            {
                "name": "small",
                "api_keys": ["key-small"],
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": 1000,
                "burst": 1000,
            },
        ],
        **fields,
    }


class Harness:
    """A store, servers and entries.

    Attributes:
        store: Stand-in for the store.
        servers: Stand-ins for backend servers.
        entries: The entries under test.
        port: First port of this harness.
    """

    def __init__(self) -> None:
        self.store = FleetStore()
        self.servers: list[FleetServer] = []
        self.entries: list[Entry] = []
        first = FIRST_PORT + PORTS_PER_WORKER * _worker
        self.port = (
            first + (PORTS_PER_HARNESS * next(_harness_numbers)) % PORTS_PER_WORKER
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def add_server(self, **fields: Any) -> FleetServer:
        """Starts a server and registers it."""
        server = FleetServer("app", **fields)
        await server.start()
        self.servers.append(server)

        def register() -> None:
            self.store.put("servers", server.id, server.store_spec())

        register()
        server.on_crash = register
        return server

    def settings(self, number: int, **fields: Any) -> dict[str, Any]:
        """Returns the content of an entry's settings file."""
        ip = f"127.0.0.{10 + number}"
        store_ip, store_port = self.store.server.address
        return {
            "node": f"front-{number}",
            "zone": "here",
            "ip": ip,
            "listen": {"front": f"{ip}:{self.port}", "ready": f"{ip}:{self.port + 1}"},
            "internal_ports": [self.port + 2, self.port + 4],
            # The platform adapter uses only the IP address of a seed.
            "seeds": [f"127.0.0.10:{self.port + 3}"],
            "limits": {"memory_mb": 150, "max_fds": 1000},
            "provider": {"address": f"{store_ip}:{store_port}"},
            **fields,
        }

    async def add_entry(self, **fields: Any) -> Entry:
        """Starts an entry and waits until it is ready."""
        number = len(self.entries)
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(self.settings(number, **fields), file)
        settings = load_host_settings(file.name)
        lines = LineWriter(os.open(os.devnull, os.O_WRONLY))
        entry = Entry(settings, file.name, lines)
        self.entries.append(entry)
        self._tasks.append(asyncio.create_task(entry.run()))
        await until(lambda: entry.state.ready)
        return entry

    async def close(self) -> None:
        """Stops all entries and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            entry.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self.servers:
            await server.server.stop()
        await self.store.server.stop()


@contextlib.asynccontextmanager
async def run_harness(
    *,
    entries: int = 1,
    servers: int = 1,
    settings: dict[str, Any] | None = None,
    **fields: Any,
) -> AsyncIterator[Harness]:
    """Runs a harness whose entries have a configuration and a list of servers.

    ``settings`` are further settings of the entries, ``fields`` those of the
    configuration.
    """
    harness = Harness()
    await harness.store.server.start("127.0.0.1")
    harness.store.put("config", "main", config(**fields))
    for _ in range(servers):
        await harness.add_server()
    for _ in range(entries):
        await harness.add_entry(**(settings or {}))
    try:
        yield harness
    finally:
        await harness.close()


async def until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Polls until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)
