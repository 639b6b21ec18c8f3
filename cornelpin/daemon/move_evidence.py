"""Evidence on moves at a side: ended runs, tallied and reported."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.backends import DONE, FAILED, RunResult
from cornelpin.core.observations import (
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
    from cornelpin.daemon.move_judges import MoveJudges
    from cornelpin.daemon.move_view import MoveView
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.runs import Run

# Runs that fail together because their server died count as one failure.
CRASH_WINDOW_S = 2.0
MAX_FINGERPRINTS = 1000


class EvidenceCollector:
    """Compares the runs of old and new versions at one backend server."""

    def __init__(
        self,
        process: Process,
        view: MoveView,
        judges: MoveJudges,
        peers: Callable[[], list[Peer]],
        *,
        crashed: Callable[[], bool],
    ) -> None:
        self._process = process
        self._view = view
        self._judges = judges
        self._peers = peers
        self._comparisons: dict[str, RunComparison] = {}
        self._crashed = crashed
        self._crashes: dict[str, float] = {}
        self._poison: collections.OrderedDict[str, None] = collections.OrderedDict()

    def observe(self, run: Run, end: RunResult, running: int) -> None:
        """Takes an ended run.

        Args:
            run: The run.
            end: How it ended.
            running: Runs on the server when it ended.
        """
        if end.outcome not in (DONE, FAILED):
            return
        for record in self._view.active():
            if record.route == run.grant.route:
                self._add(record, run, end, running)

    def report(self) -> None:
        """Judges the evidence here and sends it to all entries."""
        active = {record.attempt for record in self._view.active()}
        for attempt, comparison in list(self._comparisons.items()):
            if attempt not in active:
                del self._comparisons[attempt]
                continue
            tallies = comparison.tallies()
            self._judges.take(
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
        broken = end.outcome == FAILED and end.unreachable
        if broken and self._crashed() and self._explained(record, run):
            return
        comparison = self._comparisons.setdefault(record.attempt, RunComparison())
        sample = _sample(run, end, running)
        if version == record.to_version:
            comparison.add_new(sample)
            if sample.failed:
                self.report()
        else:
            comparison.add_old(sample)

    def _explained(self, record: MoveRecord, run: Run) -> bool:
        """Whether a crash is counted already or due to the request itself."""
        version = run.grant.version
        if version == record.from_version:
            self._poison[run.grant.fingerprint] = None
            while len(self._poison) > MAX_FINGERPRINTS:
                self._poison.popitem(last=False)
        elif run.grant.fingerprint in self._poison:
            return True
        return self._same_crash(version)

    def _same_crash(self, version: str) -> bool:
        now = time.monotonic()
        latest = self._crashes.get(version, -CRASH_WINDOW_S)
        self._crashes[version] = now
        return now - latest < CRASH_WINDOW_S


def _sample(run: Run, end: RunResult, running: int) -> Sample:
    ended = run.ended or time.monotonic()
    first = run.first_part or ended
    count = run.part_count
    timed = end.outcome == DONE and count >= MIN_PARTS
    return Sample(
        tier=run.grant.tier,
        size_class=size_class(run.grant.cost),
        load_class=load_class(running),
        at=time.monotonic(),
        failed=end.outcome == FAILED,
        token_s=(ended - first) / (count - 1) if timed else 0.0,
        first_s=first - run.started if end.outcome == DONE else 0.0,
    )
