"""The moves as this process knows them: spread state, brakes, version choice."""

from __future__ import annotations

import hashlib
import threading
from typing import TYPE_CHECKING, Any

from loguru import logger

from cornelpin.core.move_state import MoveBook, MoveRecord
from cornelpin.daemon.move_messages import Brake, MoveNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

# A few requests stay with the old version while the new one is judged, so that
# there is like work to compare with.
MAX_JUDGED_SHARE = 0.95
HASH_RANGE = 1 << 64


class MoveView:
    """Keeps the highest state of the moves and the brakes; spreads both."""

    def __init__(self, process: Process, peers: Callable[[], list[Peer]]) -> None:
        self._process = process
        self._peers = peers
        self._lock = threading.Lock()
        self._brakes: dict[str, Brake] = {}
        self.book = MoveBook()

    def greet(self, peer: Peer) -> None:
        """Tells a new peer what is known here."""
        with self._lock:
            book, brakes = self.book, list(self._brakes.values())
        if book.number:
            peer.send(MoveNews(book.number, book.encode()))
        for brake in brakes:
            peer.send(brake)

    def handle(self, msg: Any) -> bool:
        """Handles a message about moves; returns whether it was one."""
        match msg:
            case MoveNews():
                if msg.number > self.book.number:
                    self.publish(MoveBook.decode(msg.book))
            case Brake():
                self.brake(msg)
            case _:
                return False
        return True

    def publish(self, book: MoveBook) -> bool:
        """Takes a state and spreads it unless its number is not higher."""
        with self._lock:
            if book.number <= self.book.number:
                return False
            before, self.book = self.book, book
            attempts = {record.attempt for record in book.records.values()}
            self._brakes = {a: b for a, b in self._brakes.items() if a in attempts}
        self._record_changes(before, book)
        for peer in self._peers():
            peer.send(MoveNews(book.number, book.encode()))
        return True

    def brake(self, brake: Brake) -> None:
        """Stops an attempt here at once and tells all peers."""
        with self._lock:
            if brake.attempt in self._brakes:
                return
            self._brakes[brake.attempt] = brake
        logger.warning("move {} braked: {}", brake.move, brake.reason)
        self._process.ring.record("move.braked", move=brake.move, detail=brake.reason)
        for peer in self._peers():
            peer.send(brake)

    def braked(self, attempt: str) -> str:
        """Returns the reason of the brake on an attempt, or an empty string."""
        brake = self._brakes.get(attempt)
        return brake.reason if brake is not None else ""

    def active(self) -> list[MoveRecord]:
        """Returns the records of moves that have not ended."""
        return [r for r in self.book.records.values() if not r.state.final]

    def version(self, route: str, request_id: str) -> str:
        """Chooses the version of a request by the share of the route's move."""
        cfg = self._process.view.config.routes.get(route)
        default = (cfg.version if cfg is not None else None) or ""
        record = next((r for r in self.active() if r.route == route), None)
        if record is None:
            return default
        if not record.splits or self.braked(record.attempt):
            return record.from_version
        chosen = _in_share(record, request_id)
        return record.to_version if chosen else record.from_version

    def other_version(self, route: str, version: str) -> str:
        """Returns the version to use where the chosen one is not loaded."""
        for record in self.active():
            if record.route == route and record.to_version == version:
                return record.from_version
        return version

    def refused(self, route: str, version: str) -> bool:
        """Whether no request may start on a version of a route any more."""
        return any(
            record.route == route
            and record.to_version == version
            and bool(self.braked(record.attempt))
            for record in self.active()
        )

    def _record_changes(self, before: MoveBook, book: MoveBook) -> None:
        for name, record in book.records.items():
            if before.records.get(name) != record:
                detail = f"{record.state.value} at {record.share:.0%} {record.reason}"
                self._process.ring.record("move.state", move=name, detail=detail)


def _in_share(record: MoveRecord, request_id: str) -> bool:
    text = f"{record.attempt}/{request_id}".encode()
    draw = int.from_bytes(hashlib.sha256(text).digest()[:8], "big") / HASH_RANGE
    return draw < min(record.share, MAX_JUDGED_SHARE)
