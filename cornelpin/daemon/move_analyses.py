"""Judgements of the running moves in one process, and the local brake."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from cornelpin.core.canary_analysis import Assessment, CanaryAnalysis, Tally
from cornelpin.daemon.move_messages import Brake

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornelpin.daemon.move_view import MoveView
    from cornelpin.daemon.process import Process

NO_ASSESSMENT = Assessment(
    bad=False, accepted=False, suspicious=False, reason="", runs=0
)


class MoveAnalyses:
    """One judgement for each attempt; brakes an attempt judged bad at once."""

    def __init__(self, process: Process, view: MoveView) -> None:
        self._process = process
        self._view = view
        self._lock = threading.Lock()
        self._judges: dict[str, CanaryAnalysis] = {}

    def add_tallies(
        self, attempt: str, source: str, incarnation: str, tallies: Iterable[Tally]
    ) -> None:
        """Takes cumulative tallies of a side."""
        records = {record.attempt: record for record in self._view.active_records()}
        record = records.get(attempt)
        if record is None:
            return
        move = self._process.view.config.moves.get(record.name)
        if move is None:
            return
        with self._lock:
            self._judges = {a: j for a, j in self._judges.items() if a in records}
            judge = self._judges.setdefault(attempt, CanaryAnalysis(move.max_bad_share))
            judge.add_tallies(source, incarnation, tallies)
            opinion = judge.assess()
        if opinion.bad:
            self._view.brake(Brake(record.name, attempt, opinion.reason))

    def assess(self, attempt: str) -> Assessment:
        """Returns the judgement on an attempt so far."""
        with self._lock:
            judge = self._judges.get(attempt)
            return judge.assess() if judge is not None else NO_ASSESSMENT
