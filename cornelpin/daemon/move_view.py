"""The moves as this process knows them: spread state, brakes, version choice."""

from __future__ import annotations

import hashlib
import threading
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from cornelpin.core.move_state import MoveBook, MoveRecord, MoveState
from cornelpin.daemon.move_messages import Brake, MoveNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

# A few requests stay with the old version while the new one is judged, so that
# there is like work to compare with.
MAX_JUDGED_SHARE = 0.9
HASH_RANGE = 1 << 64


@attrs.define
class VersionQuota:
    """Keeps the new version of a route within its share of the requests seen here.

    Attributes:
        stage: Attempt and stage of the move that the counts belong to.
        share: Share of the new version.
        requests: Requests of the route.
        assigned: Those among them for the new version.
    """

    stage: tuple[str, int]
    share: float
    requests: int = 0
    assigned: int = 0

    def admit(self, wanted: bool) -> bool:
        """Counts a request; returns whether it may go to the new version."""
        self.requests += 1
        allowed = wanted and self.assigned <= self.share * self.requests
        self.assigned += allowed
        return allowed


class MoveView:
    """Keeps the highest state of the moves and the brakes; spreads both."""

    def __init__(self, process: Process, peers: Callable[[], list[Peer]]) -> None:
        self._process = process
        self._peers = peers
        self._lock = threading.Lock()
        self._brakes: dict[str, Brake] = {}
        self._quotas: dict[str, VersionQuota] = {}
        self.book = MoveBook()

    def send_initial_state(self, peer: Peer) -> None:
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

    def brake_reason(self, attempt: str) -> str:
        """Returns the reason of the brake on an attempt, or an empty string."""
        brake = self._brakes.get(attempt)
        return brake.reason if brake is not None else ""

    def active_records(self) -> list[MoveRecord]:
        """Returns the records of moves that have not ended."""
        return [r for r in self.book.records.values() if not r.state.final]

    def choose_version(self, route: str, request_id: str) -> str:
        """Chooses the version of a new request by the share of the route's move."""
        record = self._record_of(route)
        if record is None:
            return self._default(route)
        if not record.splits or self.brake_reason(record.attempt):
            return record.from_version
        with self._lock:
            key = (record.attempt, record.stage)
            quota = self._quotas.get(route)
            share = min(record.share, MAX_JUDGED_SHARE)
            if quota is None or (quota.stage, quota.share) != (key, share):
                quota = VersionQuota(key, share)
                self._quotas[route] = quota
            chosen = quota.admit(_in_share(record, request_id))
        return record.to_version if chosen else record.from_version

    def valid_version(self, route: str, version: str) -> str:
        """Returns the version to use now for a request that was given one."""
        record = self._record_of(route)
        if record is None:
            return self._default(route)
        usable = record.splits and not self.brake_reason(record.attempt)
        if version == record.to_version and usable:
            return version
        return record.from_version

    def _record_of(self, route: str) -> MoveRecord | None:
        return next((r for r in self.active_records() if r.route == route), None)

    def _default(self, route: str) -> str:
        cfg = self._process.view.config.routes.get(route)
        default = (cfg.version if cfg is not None else None) or ""
        return self._kept_version(route, default)

    def _kept_version(self, route: str, default: str) -> str:
        """Returns the old version if a move to the default was taken back.

        A controller that was paused just before it switched the route may do so
        after its successor has taken the move back.
        """
        for record in self._taken_back():
            if record.route == route and record.to_version == default:
                return record.from_version
        return default

    def _taken_back(self) -> list[MoveRecord]:
        records = self.book.records.values()
        return [r for r in records if r.state is MoveState.TAKEN_BACK]

    def fallback_version(self, route: str, version: str) -> str:
        """Returns the version to use where the chosen one is not loaded."""
        for record in self.active_records():
            if record.route == route and record.to_version == version:
                return record.from_version
        return version

    def refuses(self, route: str, version: str) -> bool:
        """Whether no request may start on a version of a route any more."""
        braked = [r for r in self.active_records() if self.brake_reason(r.attempt)]
        return any(
            record.route == route and record.to_version == version
            for record in (*braked, *self._taken_back())
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
