"""Moves at a side: orders, evidence, and refusals after an emergency stop."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from cornelpin.daemon.move_analyses import MoveAnalyses
from cornelpin.daemon.move_evidence import EvidenceCollector
from cornelpin.daemon.move_messages import VersionOrder
from cornelpin.daemon.move_orders import VersionOrderHandler
from cornelpin.daemon.move_view import MoveView

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.backends import Backend, RunResult
    from cornelpin.daemon.messages import Grant
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.runs import Run, RunTable

REPORT_INTERVAL_S = 0.5
ORDER_THREADS = 4


class SideMoves:
    """Executes orders, reports evidence and refuses runs after an emergency stop.

    Args:
        process: The process.
        backend: Driver of the backend server.
        runs: Runs on the backend server.
        peers: Returns the sessions with entries.
        on_loaded: Called after the loaded versions have changed.
    """

    def __init__(
        self,
        process: Process,
        backend: Backend,
        runs: RunTable,
        peers: Callable[[], list[Peer]],
        *,
        on_loaded: Callable[[], None],
    ) -> None:
        self.view = MoveView(process, peers)
        self._runs = runs
        analyses = MoveAnalyses(process, self.view)
        self._evidence = EvidenceCollector(
            process,
            self.view,
            analyses,
            peers,
            # Only servers with versions take part in moves; one that reports none is
            # unreachable, or has none loaded after a restart.
            server_crashed=lambda: not backend.versions(),
        )
        executor = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix="order")
        self._orders = VersionOrderHandler(
            backend, executor, self.view, in_use=self._in_use, on_done=on_loaded
        )

    def handle(self, peer: Peer, msg: Any) -> bool:
        """Handles a message about moves; returns whether it was one."""
        if isinstance(msg, VersionOrder):
            self._orders.handle(peer, msg)
            return True
        return self.view.handle(msg)

    def refuses(self, grant: Grant, loaded: list[str]) -> bool:
        """Whether a granted request may not start on its version."""
        version = grant.version
        if not version:
            return False
        missing = bool(loaded) and version not in loaded
        unavailable = missing or version in self._orders.unloading
        return unavailable or self.view.refuses(grant.route, version)

    def observe(self, run: Run, end: RunResult) -> None:
        """Adds an ended run to the evidence."""
        self._evidence.observe(run, end, len(self._runs.running()))

    def report(self) -> None:
        """Sends the evidence to the entries."""
        self._evidence.report()

    def _in_use(self, version: str) -> bool:
        return any(run.grant.version == version for run in self._runs.running())
