"""Collects evidence on moves at a side: tallies ended runs and reports them."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.backends import DONE, FAILED, RunResult
from cornelpin.core.run_comparison import (
    MIN_PARTS,
    RunComparison,
    Sample,
    load_class,
    size_class,
)
from cornelpin.daemon.move_messages import MoveEvidence

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.move_state import MoveRecord
    from cornelpin.daemon.move_analyses import MoveAnalyses
    from cornelpin.daemon.move_view import MoveView
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.runs import Run

# Runs of a version that fail within this time of each other while their server is
# down count as one failure. Independent of the window of ``crash_detector``.
CRASH_WINDOW_S = 2.0
# Requests that crashed the old version are remembered up to this number.
MAX_FINGERPRINTS = 1000


class EvidenceCollector:
    """Compares the runs of the old and the new version at one backend server.

    Args:
        process: The process.
        view: State of the moves in this process.
        analyses: Canary analyses in this process.
        peers: Returns the sessions with entries.
        server_crashed: Returns whether the backend server is down.
    """

    def __init__(
        self,
        process: Process,
        view: MoveView,
        analyses: MoveAnalyses,
        peers: Callable[[], list[Peer]],
        *,
        server_crashed: Callable[[], bool],
    ) -> None:
        self._process = process
        self._view = view
        self._analyses = analyses
        self._peers = peers
        self._comparisons: dict[str, RunComparison] = {}
        self._server_crashed = server_crashed
        self._last_crash_at: dict[str, float] = {}
        self._poison_fingerprints: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def observe(self, run: Run, end: RunResult, running: int) -> None:
        """Adds an ended run to the comparison of each active move of its route.

        Args:
            run: The run.
            end: Its outcome.
            running: Number of runs on the server when it ended.
        """
        if end.outcome not in (DONE, FAILED):
            return
        for record in self._view.active_records():
            if record.route == run.grant.route:
                self._add(record, run, end, running)

    def report(self) -> None:
        """Adds the tallies to the local analyses and sends them to all entries."""
        active = {record.attempt for record in self._view.active_records()}
        for attempt, comparison in list(self._comparisons.items()):
            if attempt not in active:
                del self._comparisons[attempt]
                continue
            tallies = comparison.tallies()
            self._analyses.add_tallies(
                attempt,
                self._process.settings.name,
                self._process.incarnation,
                tallies,
            )
            rows = [list(attrs.astuple(tally)) for tally in tallies]
            for peer in self._peers():
                peer.send(MoveEvidence(attempt, rows))

    def _add(self, record: MoveRecord, run: Run, end: RunResult, running: int) -> None:
        version = run.grant.version
        if version not in (record.from_version, record.to_version):
            return
        connection_failed = end.outcome == FAILED and end.connection_failed
        if (
            connection_failed
            and self._server_crashed()
            and self._excluded_after_crash(record, run)
        ):
            return
        comparison = self._comparisons.setdefault(record.attempt, RunComparison())
        sample = _sample(run, end, running)
        if version == record.to_version:
            comparison.add_new(sample)
            if sample.failed:
                self.report()
        else:
            comparison.add_old(sample)

    def _excluded_after_crash(self, record: MoveRecord, run: Run) -> bool:
        """Records a crash; returns whether the run that failed in it is no evidence.

        A run is excluded if the crash is already counted, or if its request has also
        crashed the old version, so that the request may be the cause.
        """
        version = run.grant.version
        if version == record.from_version:
            self._poison_fingerprints[run.grant.fingerprint] = None
            while len(self._poison_fingerprints) > MAX_FINGERPRINTS:
                self._poison_fingerprints.popitem(last=False)
        elif run.grant.fingerprint in self._poison_fingerprints:
            return True
        return self._record_crash(version)

    def _record_crash(self, version: str) -> bool:
        """Records the time of a crash; returns whether it was already counted."""
        now = time.monotonic()
        previous = self._last_crash_at.get(version, -CRASH_WINDOW_S)
        self._last_crash_at[version] = now
        return now - previous < CRASH_WINDOW_S


def _sample(run: Run, end: RunResult, running: int) -> Sample:
    ended = run.ended_at or time.monotonic()
    first = run.first_part_at or ended
    count = run.part_count
    timed = end.outcome == DONE and count >= MIN_PARTS
    return Sample(
        tier=run.grant.tier,
        size_class=size_class(run.grant.cost),
        load_class=load_class(running),
        at=time.monotonic(),
        failed=end.outcome == FAILED,
        token_s=(ended - first) / (count - 1) if timed else 0.0,
        first_s=first - run.started_at if end.outcome == DONE else 0.0,
    )
