"""Canary analyses of the active moves in one process, and the local emergency stop."""

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
    """Keeps one analysis for each attempt of a move; stops a bad attempt at once."""

    def __init__(self, process: Process, view: MoveView) -> None:
        self._process = process
        self._view = view
        self._lock = threading.Lock()
        self._analyses: dict[str, CanaryAnalysis] = {}

    def add_tallies(
        self, attempt: str, source: str, incarnation: str, tallies: Iterable[Tally]
    ) -> None:
        """Adds cumulative tallies of a side to the analysis of an attempt.

        Args:
            attempt: Id of the attempt.
            source: Name of the side.
            incarnation: Incarnation of the side.
            tallies: Its tallies.
        """
        records = {record.attempt: record for record in self._view.active_records()}
        record = records.get(attempt)
        if record is None:
            return
        move = self._process.view.config.moves.get(record.name)
        if move is None:
            return
        with self._lock:
            self._analyses = {
                key: value for key, value in self._analyses.items() if key in records
            }
            analysis = self._analyses.setdefault(
                attempt, CanaryAnalysis(move.max_bad_share)
            )
            analysis.add_tallies(source, incarnation, tallies)
            assessment = analysis.assess()
        if assessment.bad:
            self._view.brake(Brake(record.name, attempt, assessment.reason))

    def assess(self, attempt: str) -> Assessment:
        """Returns the current assessment of an attempt."""
        with self._lock:
            analysis = self._analyses.get(attempt)
            return analysis.assess() if analysis is not None else NO_ASSESSMENT
