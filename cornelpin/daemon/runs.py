"""Runs at a side: requests that were granted to its backend server."""

from __future__ import annotations

import collections
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.backends import CancelToken
from cornelpin.daemon.messages import Chunk, End, Head, NotRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.messages import Grant
    from cornelpin.daemon.peer import Peer

RESUME_WINDOW_S = 10.0
RESPONSE_RETENTION_S = 60.0
DURABLE_RESPONSE_RETENTION_S = 600.0
MAX_PAST_RUNS = 100_000
MESSAGE_DELAY_S = 60.0


@attrs.frozen
class _Past:
    """What is remembered of a dropped run."""

    attempt: int
    started_at: float


class Run:
    """One run; implements ``Sink`` and keeps the answer until it is collected."""

    def __init__(self, grant: Grant, peer: Peer) -> None:
        self.grant = grant
        self.cancel = CancelToken()
        self.started_at = time.monotonic()
        self.first_part_at: float | None = None
        self.ended_at: float | None = None
        self.orphaned_at: float | None = None
        self._lock = threading.Lock()
        self._peer: Peer | None = peer
        self._head: Head | None = None
        self._parts: list[bytes] = []
        self._base = 0
        self._end: End | None = None

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.grant.request_id

    @property
    def attempt(self) -> int:
        """Number of the grant."""
        return self.grant.attempt

    @property
    def part_count(self) -> int:
        """Number of parts received so far."""
        return len(self._parts)

    def send_to_entry(self, msg: Any) -> None:
        """Sends a message to the entry that the run belongs to, if it is there."""
        peer = self._peer
        if peer is not None:
            peer.send(msg)

    def set_first_offset(self, offset: int) -> None:
        """Sets the position of the first part of a run resumed at the engine."""
        self._base = offset

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Takes status and headers."""
        with self._lock:
            self._head = Head(self.request_id, status, headers, self.attempt)
            self._send(self._head)

    def parts(self, parts: list[bytes]) -> None:
        """Takes consecutive body parts."""
        if self.first_part_at is None:
            self.first_part_at = time.monotonic()
        with self._lock:
            offset = self._base + len(self._parts)
            self._parts += parts
            self._send(Chunk(self.request_id, offset, parts, self.attempt))

    def end(self, outcome: str, detail: str) -> None:
        """Marks the answer as complete or broken."""
        with self._lock:
            self.ended_at = time.monotonic()
            count = self._base + len(self._parts)
            self._end = End(self.request_id, count, outcome, detail, self.attempt)
            self._send(self._end)

    def refuse(self, reason: str, detail: str) -> None:
        """Ends the run as one that never reached the backend server."""
        with self._lock:
            self.ended_at = time.monotonic()
            self._send(NotRun(self.request_id, reason, detail, self.attempt))

    def attach(self, peer: Peer, offset: int) -> bool:
        """Sends the rest of the answer to a new session.

        Returns:
            Whether this run holds the part at the offset.
        """
        with self._lock:
            if offset < self._base or offset > self._base + len(self._parts):
                return False
            self._peer = peer
            self.orphaned_at = None
            if self._head is not None:
                self._send(self._head)
            rest = self._parts[offset - self._base :]
            if rest:
                self._send(Chunk(self.request_id, offset, rest, self.attempt))
            if self._end is not None:
                self._send(self._end)
            return True

    def detach(self, peer: Peer) -> None:
        """Notes that the session of the entry has ended."""
        with self._lock:
            if self._peer is peer:
                self._peer = None
                self.orphaned_at = time.monotonic()

    def is_expired(self, now: float) -> bool:
        """Whether an ended run's answer need not be kept any longer."""
        retain_s = (
            DURABLE_RESPONSE_RETENTION_S if self.grant.keep else RESPONSE_RETENTION_S
        )
        return self.ended_at is not None and now - self.ended_at > retain_s

    def is_abandoned(self, now: float) -> bool:
        """Whether nobody has come back for a running request in time."""
        return (
            self.ended_at is None
            and not self.grant.keep
            and self.orphaned_at is not None
            and now - self.orphaned_at > RESUME_WINDOW_S
        )

    def _send(self, msg: object) -> None:
        if self._peer is not None:
            self._peer.send(msg)


class RunTable:
    """All runs of a side, by request id, and a memory of those it dropped."""

    def __init__(self, past_limit: int = MAX_PAST_RUNS) -> None:
        self._lock = threading.Lock()
        self._runs: dict[str, Run] = {}
        self._past: collections.OrderedDict[str, _Past] = collections.OrderedDict()
        self._past_limit = past_limit
        self._past_from = 0.0

    def add(self, run: Run) -> bool:
        """Adds a run unless this or a later attempt is known already."""
        with self._lock:
            known = self._runs.get(run.request_id) or self._past.get(run.request_id)
            if known is not None and known.attempt >= run.attempt:
                return False
            older = self._runs.get(run.request_id)
            self._runs[run.request_id] = run
        if older is not None and older.ended_at is None:
            older.cancel.cancel()
        return True

    def find(self, request_id: str) -> Run | None:
        """Returns a run by request id."""
        with self._lock:
            return self._runs.get(request_id)

    def never_started(self, request_id: str, attempt: int, age_s: float) -> bool:
        """Whether a grant of a given age surely did not start a run here."""
        with self._lock:
            known = self._runs.get(request_id) or self._past.get(request_id)
            if known is not None and known.attempt >= attempt:
                return False
            granted = time.monotonic() - age_s - MESSAGE_DELAY_S
            return granted > self._past_from

    def remove_refused(self, run: Run) -> None:
        """Drops a run that never reached the backend server."""
        with self._lock:
            if self._runs.get(run.request_id) is run:
                del self._runs[run.request_id]

    def forget(self, request_id: str) -> None:
        """Drops an ended run whose answer was collected."""
        with self._lock:
            run = self._runs.get(request_id)
            if run is not None and run.ended_at is not None:
                self._drop(run)

    def _drop(self, run: Run) -> None:
        """Keeps only the id of a run; the oldest ids are given up."""
        del self._runs[run.request_id]
        self._past[run.request_id] = _Past(run.attempt, run.started_at)
        self._past.move_to_end(run.request_id)
        while len(self._past) > self._past_limit:
            _, oldest = self._past.popitem(last=False)
            self._past_from = max(self._past_from, oldest.started_at)

    def running(self) -> list[Run]:
        """Returns the runs that have not ended."""
        with self._lock:
            return [run for run in self._runs.values() if run.ended_at is None]

    def detach(self, peer: Peer) -> None:
        """Notes the end of a session in all runs."""
        with self._lock:
            runs = list(self._runs.values())
        for run in runs:
            run.detach(peer)

    def sweep(self, on_abandoned: Callable[[Run], None]) -> None:
        """Cancels abandoned runs and forgets stale answers."""
        now = time.monotonic()
        with self._lock:
            for run in [run for run in self._runs.values() if run.is_expired(now)]:
                self._drop(run)
            abandoned = [r for r in self._runs.values() if r.is_abandoned(now)]
        for run in abandoned:
            on_abandoned(run)
