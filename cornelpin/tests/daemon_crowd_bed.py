"""An entry and a side of the daemon with low limits, and what is measured of them."""

from __future__ import annotations

import asyncio
import contextlib
import resource
from pathlib import Path
from typing import Any

from benchmarks.cluster_settings import ProcessAddress, workspace_token
from benchmarks.deployment import Deployment, Service, Tier
from benchmarks.processes import LOOPBACK
from benchmarks.records import Kind
from benchmarks.testbed import Testbed
from cornelpin.tests.crowd_bed import count_sockets, peak_memory, unread_bytes
from cornelpin.tests.crowds import Door
from cornelpin.tests.fleet_client import Response, fetch

MIB = 1_048_576
MEMORY_MB = 128
MAX_FDS = 600
FILES = 200
"""Descriptors of ``MAX_FDS`` that are not for sockets."""
LIMITS = {
    "max_body_bytes": MIB,
    "header_bytes": 32_768,
    "memory_mb": MEMORY_MB,
    "max_fds": MAX_FDS,
}
ENTRY = "e1"
SERVICE = "r1"
ROUTE = "/v1/services/registry/x"
CROWD, ORDINARY = "crowd", "ordinary"
ANSWER_TIMEOUT_S = 30.0
"""Time for which an ordinary caller tries again."""
SAMPLE_S = 0.02
RESET_PEAK = "5"
"""What resets a process's highest resident memory, written to its ``clear_refs``."""


def deployment(*, max_wait_s: float = 10.0) -> Deployment:
    """Describes one entry and one service with two workspaces.

    Args:
        max_wait_s: Time for which a request may wait, seconds.
    """
    tier = Tier(
        name="release",
        route="registry",
        kind=Kind.SERVICE,
        shed_order=40,
        urgency=0,
        share=1.0,
        max_wait_s=max_wait_s,
        timeout_s=2.0 * max_wait_s,
    )
    return Deployment(
        name="crowds",
        model_route="",
        service_route="registry",
        data_centres=("dc-1",),
        entries=(ENTRY,),
        engines=(),
        services=(Service(name=SERVICE, host="host-r1"),),
        tiers=(tier,),
        workspaces={CROWD: 1.0, ORDINARY: 1.0},
    )


class LimitedTestbed(Testbed):
    """A testbed whose daemons have low limits."""

    def _add_daemon(
        self, process: ProcessAddress, role: str, extra: dict[str, Any]
    ) -> None:
        super()._add_daemon(process, role, {**extra, "limits": LIMITS})
        child = self.processes[process.name].child
        assert child is not None
        resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Probe:
    """Asks one process of a testbed and measures it.

    Args:
        testbed: The testbed.
        name: Name of the process.

    Attributes:
        peak_bytes: Highest sum of resident memory and of bytes received and not read.
        peak_sockets: Highest number of sockets.
    """

    def __init__(self, testbed: LimitedTestbed, name: str) -> None:
        self._testbed = testbed
        self._process = testbed.processes[name]
        addresses = [*testbed.entries, *testbed.sides.values()]
        self._address = next(a for a in addresses if a.name == name)
        self.peak_bytes = 0
        self.peak_sockets = 0

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self._process.running

    def door(self, path: str, *, peers: bool = False) -> Door:
        """Returns a door of the process.

        Args:
            path: Path of the requests.
            peers: Whether it is the address for other processes of the system.
        """
        token = workspace_token(CROWD).encode()
        address = self._address
        return Door(
            address=(LOOPBACK, address.peer_port if peers else address.http_port),
            path=path,
            head_bytes=LIMITS["header_bytes"],
            body_bytes=LIMITS["max_body_bytes"],
            fields=(b"Authorization: Bearer " + token,),
        )

    async def measure(self) -> None:
        """Records the highest memory and number of sockets until it is cancelled."""
        assert self._process.child is not None
        folder = Path(f"/proc/{self._process.child.pid}")
        ports = self._address.http_port, self._address.peer_port
        (folder / "clear_refs").write_text(RESET_PEAK)
        while True:
            with contextlib.suppress(OSError, StopIteration):
                unread = sum(unread_bytes(LOOPBACK, port) for port in ports)
                self.peak_bytes = max(self.peak_bytes, peak_memory(folder) + unread)
                self.peak_sockets = max(self.peak_sockets, count_sockets(folder))
            await asyncio.sleep(SAMPLE_S)

    async def ordinary_request_is_answered(self) -> bool:
        """Returns whether a caller of the entry that tries again gets its response."""
        entry = self._testbed.entries[0]
        address = LOOPBACK, entry.http_port
        token = workspace_token(ORDINARY)
        return await self._until_ok(
            address, ROUTE, {"Authorization": f"Bearer {token}"}
        )

    async def models_are_listed(self) -> bool:
        """Returns whether the entry answers what needs no service."""
        headers = {"Authorization": f"Bearer {workspace_token(ORDINARY)}"}
        return await self._until_ok(
            (LOOPBACK, self._address.http_port), "/v1/models", headers
        )

    async def is_ready(self) -> bool:
        """Returns whether the process says that it is ready, asked for a while."""
        return await self._until_ok((LOOPBACK, self._address.http_port), "/readyz", {})

    async def metrics(self) -> str:
        """Returns the process's metrics."""
        address = LOOPBACK, self._address.http_port
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return (await fetch(address, "/metrics")).body.decode()

    async def _until_ok(
        self, address: tuple[str, int], path: str, headers: dict[str, str]
    ) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while self.running:
                    response = await self._try(address, path, headers)
                    if response is not None and response.status == 200:
                        return True
                    await asyncio.sleep(0.1)
        return False

    async def _try(
        self, address: tuple[str, int], path: str, headers: dict[str, str]
    ) -> Response | None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(3.0):
                return await fetch(address, path, headers=headers)
        return None
