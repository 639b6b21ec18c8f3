"""The state of the moves in this process: emergency stops and choice of versions."""

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

# Some requests stay with the old version during the analysis of the new one, so that
# there is similar work to compare with.
MAX_ANALYSED_SHARE = 0.9
HASH_RANGE = 1 << 64


@attrs.define
class VersionQuota:
    """Limits the new version of a route to its share of the requests at this process.

    The hash of the request id selects the share on average only; the count keeps
    several selected requests in a row from exceeding it.

    Attributes:
        stage: Attempt and stage of the move for which requests are counted.
        share: Share of the new version.
        requests: Number of requests of the route.
        assigned: Number of ``requests`` assigned to the new version.
    """

    stage: tuple[str, int]
    share: float
    requests: int = 0
    assigned: int = 0

    def admit(self, in_share: bool) -> bool:
        """Counts a request; returns whether the new version may serve it.

        Args:
            in_share: Whether the request is in the share of the new version.
        """
        self.requests += 1
        allowed = in_share and self.assigned <= self.share * self.requests
        self.assigned += allowed
        return allowed


class MoveView:
    """Keeps the newest state of the moves and their emergency stops.

    Both are propagated to all peers. An emergency stop is called a brake in messages,
    names and the timeline (``Brake``, ``move.braked``).

    Attributes:
        book: The newest known state of the moves.
    """

    def __init__(self, process: Process, peers: Callable[[], list[Peer]]) -> None:
        self._process = process
        self._peers = peers
        self._lock = threading.Lock()
        self._emergency_stops: dict[str, Brake] = {}
        self._quotas: dict[str, VersionQuota] = {}
        self.book = MoveBook()

    def send_initial_state(self, peer: Peer) -> None:
        """Sends the state and the emergency stops to a new peer."""
        with self._lock:
            book, stops = self.book, list(self._emergency_stops.values())
        if book.number:
            peer.send(MoveNews(book.number, book.encode()))
        for brake in stops:
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
        """Applies and propagates a state if its number is higher.

        Returns:
            Whether it is now in force.
        """
        with self._lock:
            if book.number <= self.book.number:
                return False
            previous, self.book = self.book, book
            attempts = {record.attempt for record in book.records.values()}
            self._emergency_stops = {
                a: b for a, b in self._emergency_stops.items() if a in attempts
            }
        self._record_changes(previous, book)
        for peer in self._peers():
            peer.send(MoveNews(book.number, book.encode()))
        return True

    def brake(self, brake: Brake) -> None:
        """Stops an attempt here and propagates the stop to all peers."""
        with self._lock:
            if brake.attempt in self._emergency_stops:
                return
            self._emergency_stops[brake.attempt] = brake
        logger.warning("emergency stop of move {}: {}", brake.move, brake.reason)
        self._process.ring.record("move.braked", move=brake.move, detail=brake.reason)
        for peer in self._peers():
            peer.send(brake)

    def brake_reason(self, attempt: str) -> str:
        """Returns why an attempt was stopped, or an empty string if it was not."""
        brake = self._emergency_stops.get(attempt)
        return brake.reason if brake is not None else ""

    def active_records(self) -> list[MoveRecord]:
        """Returns the records of moves that have not ended."""
        return [r for r in self.book.records.values() if not r.state.final]

    def choose_version(self, route: str, request_id: str) -> str:
        """Chooses the version of a new request by the share of the route's move."""
        record = self._active_record(route)
        if record is None:
            return self._default_version(route)
        if not record.splits or self.brake_reason(record.attempt):
            return record.from_version
        with self._lock:
            key = (record.attempt, record.stage)
            quota = self._quotas.get(route)
            share = min(record.share, MAX_ANALYSED_SHARE)
            if quota is None or (quota.stage, quota.share) != (key, share):
                quota = VersionQuota(key, share)
                self._quotas[route] = quota
            chosen = quota.admit(_in_share(record, request_id))
        return record.to_version if chosen else record.from_version

    def recheck_version(self, route: str, version: str) -> str:
        """Returns the version to use now for a request that was assigned one earlier.

        The move may have been stopped or have ended since.
        """
        record = self._active_record(route)
        if record is None:
            return self._default_version(route)
        usable = record.splits and not self.brake_reason(record.attempt)
        if version == record.to_version and usable:
            return version
        return record.from_version

    def _active_record(self, route: str) -> MoveRecord | None:
        return next((r for r in self.active_records() if r.route == route), None)

    def _default_version(self, route: str) -> str:
        route_config = self._process.view.config.routes.get(route)
        default = (route_config.version if route_config is not None else None) or ""
        return self._unless_rolled_back(route, default)

    def _unless_rolled_back(self, route: str, default: str) -> str:
        """Returns the default, or the old version if the move to it was rolled back.

        A controller that was paused just before it switched the route may do so after
        its successor has rolled the move back.
        """
        for record in self._rolled_back():
            if record.route == route and record.to_version == default:
                return record.from_version
        return default

    def _rolled_back(self) -> list[MoveRecord]:
        records = self.book.records.values()
        return [r for r in records if r.state is MoveState.TAKEN_BACK]

    def fallback_version(self, route: str, version: str) -> str:
        """Returns the version to use where the assigned one is not loaded."""
        for record in self.active_records():
            if record.route == route and record.to_version == version:
                return record.from_version
        return version

    def refuses(self, route: str, version: str) -> bool:
        """Whether no new request of a route may start on a version."""
        braked = [r for r in self.active_records() if self.brake_reason(r.attempt)]
        return any(
            record.route == route and record.to_version == version
            for record in (*braked, *self._rolled_back())
        )

    def _record_changes(self, previous: MoveBook, book: MoveBook) -> None:
        for name, record in book.records.items():
            if previous.records.get(name) != record:
                detail = f"{record.state.value} at {record.share:.0%} {record.reason}"
                self._process.ring.record("move.state", move=name, detail=detail)


def _in_share(record: MoveRecord, request_id: str) -> bool:
    text = f"{record.attempt}/{request_id}".encode()
    fraction = int.from_bytes(hashlib.sha256(text).digest()[:8], "big") / HASH_RANGE
    return fraction < min(record.share, MAX_ANALYSED_SHARE)
