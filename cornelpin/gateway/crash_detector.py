"""Finds out whether servers have crashed whose connections ended."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from cornelpin.gateway import logs
from cornelpin.http1.client import ConnectionFailed, HttpConnection
from cornelpin.scheduling.crash_evidence import CrashEvidence

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.scheduling.crash_evidence import BrokenRun, Incarnation
    from cornelpin.scheduling.servers import BackendServer, ServerList

PROBE_DELAY_S = 0.02
"""Time before the first attempt to connect: a process that ends closes its sockets one
after the other, the listening one perhaps last."""
MAX_PROBES = 3
"""Attempts to connect while nothing responds. The loss of a packet tells nothing."""


class CrashDetector:
    """Opens a connection to each server that may have crashed.

    A health check would take one of the server's slots, and count towards its limit.

    Args:
        servers: The last known list of servers.
        on_crash: Called with an incarnation that has ended and its broken runs.
        on_refuted: Called with an incarnation whose supposed crash is refuted.
    """

    def __init__(
        self,
        servers: ServerList,
        *,
        on_crash: Callable[[Incarnation, list[BrokenRun]], None],
        on_refuted: Callable[[Incarnation], None],
    ) -> None:
        self._servers = servers
        self._on_crash = on_crash
        self._on_refuted = on_refuted
        self._evidence = CrashEvidence()
        self._tasks: set[asyncio.Task[None]] = set()

    def suspect(self, server: BackendServer, run: BrokenRun) -> None:
        """Takes note of a run whose connection its server, or the network, ended.

        Runs of a server that stops as planned are not suspicious.
        """
        if self._servers.is_leaving(server.incarnation):
            return
        if self._evidence.suspect(server.incarnation, run, time.monotonic()):
            task = asyncio.get_running_loop().create_task(self._probe(server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self.review()

    def review(self) -> None:
        """Confirms crashes of which the list of servers tells."""
        now = time.monotonic()
        for incarnation in self._evidence.ended(self._servers, now):
            self._confirm(incarnation, "another incarnation is registered")

    def on_replaced(self, server: BackendServer) -> None:
        """Takes note that another server responded at a server's address."""
        self._confirm(server.incarnation, "another server is at its address")

    def on_response(self, server: BackendServer, connected_at: float) -> None:
        """Takes note of a response on a connection opened at a monotonic time."""
        now = time.monotonic()
        if self._evidence.refute(server.incarnation, connected_at, now):
            logs.warning("server.crash_refuted", server=server.id)
            self._on_refuted(server.incarnation)

    def close(self) -> None:
        """Ends the attempts to connect."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, server: BackendServer) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        for _ in range(MAX_PROBES):
            try:
                conn = await HttpConnection.open(server.address)
            except ConnectionFailed as exc:
                if exc.refused:
                    self._confirm(server.incarnation, str(exc))
                    return
            else:
                conn.close()
                logs.event("server.reachable", server=server.id)
                return

    def _confirm(self, incarnation: Incarnation, reason: str) -> None:
        runs = self._evidence.confirm(incarnation, time.monotonic())
        if runs:
            logs.event(
                "server.crashed", server=incarnation[0], runs=len(runs), reason=reason
            )
            self._on_crash(incarnation, runs)
