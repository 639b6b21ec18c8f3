"""Moves at an entry: their state, analysis, metrics and controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from opentelemetry.metrics import Observation

from cornelpin.core.canary_analysis import tallies_of
from cornelpin.core.move_state import MoveState
from cornelpin.core.move_store import MoveStore
from cornelpin.daemon.move_analyses import MoveAnalyses
from cornelpin.daemon.move_controller import MoveController
from cornelpin.daemon.move_messages import MoveEvidence, VersionReply
from cornelpin.daemon.move_view import MoveView

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.config import Move
    from cornelpin.core.configstore import Submission
    from cornelpin.daemon.links import Link
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.stores.objects import ObjectStore

UNKNOWN_REASON = "this entry has not heard of the state, and the store does not answer"


class EntryMoves:
    """Tracks and analyses the moves, and runs the controller while it holds the lease.

    Args:
        process: The process.
        objects: The object store.
        peers: Returns the sessions with all peers.
        links_of: Returns the links to the given backend servers.
        submit: Submits a patch to the configuration, with its base number and author.
    """

    def __init__(
        self,
        process: Process,
        objects: ObjectStore,
        peers: Callable[[], list[Peer]],
        *,
        links_of: Callable[[tuple[str, ...]], list[Link]],
        submit: Callable[..., Submission],
    ) -> None:
        self._process = process
        self._objects = objects
        self.view = MoveView(process, peers)
        self._analyses = MoveAnalyses(process, self.view)
        self.controller = MoveController(
            process,
            objects,
            self.view,
            self._analyses,
            links_of=links_of,
            submit=submit,
        )
        process.meters.add_gauge("cornelpin_move_state", self._states)
        process.meters.add_gauge("cornelpin_move_share", self._shares)

    def handle(self, peer: Peer, msg: Any, link: Link | None = None) -> bool:
        """Handles a message about moves; returns whether it was one."""
        match msg:
            case MoveEvidence():
                tallies = tallies_of(msg.rows)
                self._analyses.add_tallies(
                    msg.attempt, peer.name, peer.incarnation, tallies
                )
            case VersionReply():
                if link is not None:
                    self.controller.loader.on_reply(link, msg)
            case _:
                return self.view.handle(msg)
        return True

    def rows(self) -> list[dict[str, Any]]:
        """Returns a status row for each move of the configuration."""
        return self._rows(known=self._ensure_state())

    def _rows(self, known: bool) -> list[dict[str, Any]]:
        moves = self._process.view.config.moves.values()
        return [self._row(move, known) for move in moves]

    def _metric_rows(self) -> list[dict[str, Any]]:
        """Returns the rows for metrics; none before the state is known."""
        return self._rows(known=True) if self.view.book.number else []

    def _states(self) -> list[Observation]:
        """Returns 1 for the current state of each move and 0 for the other states."""
        return [
            Observation(
                int(row["state"] == state.value),
                {"move": row["name"], "route": row["route"], "state": state.value},
            )
            for row in self._metric_rows()
            for state in MoveState
        ]

    def _shares(self) -> list[Observation]:
        return [
            Observation(row["share"], {"move": row["name"], "route": row["route"]})
            for row in self._metric_rows()
        ]

    def _ensure_state(self) -> bool:
        """Reads the state from the store if needed; returns whether it is known."""
        if self.view.book.number or not self._process.view.config.moves:
            return True
        store = MoveStore(self._objects)
        if not store.load(self.view.book):
            return False
        self.view.publish(store.book)
        return True

    def _row(self, move: Move, known: bool) -> dict[str, Any]:
        record = self.view.book.records.get(move.name)
        row = {
            "name": move.name,
            "route": move.route,
            "from": move.from_version,
            "to": move.to_version,
            "finish_by": move.finish_by,
            "state": "planned" if known else "unknown",
            "share": 0.0,
            "reason": "" if known else UNKNOWN_REASON,
            "runs_judged": 0,
            "evidence": "",
        }
        if record is None or record.to_version != move.to_version:
            return row
        brake_reason = (
            "" if record.state.final else self.view.brake_reason(record.attempt)
        )
        assessment = self._analyses.assess(record.attempt)
        return row | {
            "state": record.state.value,
            "share": 0.0 if brake_reason else record.share,
            "reason": f"braked: {brake_reason}" if brake_reason else record.reason,
            "runs_judged": assessment.runs,
            "evidence": assessment.reason,
        }
