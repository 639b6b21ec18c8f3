"""Runs at a side: requests that were granted to its backend server."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from cornelpin.backends import CancelToken
from cornelpin.daemon.messages import Chunk, End, Head, NotRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.messages import Grant
    from cornelpin.daemon.peer import Peer

RESUME_WINDOW_S = 10.0
RETAIN_S = 60.0
RETAIN_KEPT_S = 600.0


class Run:
    """One run; implements ``Sink`` and keeps the answer until it is collected."""

    def __init__(self, grant: Grant, peer: Peer) -> None:
        self.grant = grant
        self.cancel = CancelToken()
        self.started = time.monotonic()
        self.first_part: float | None = None
        self.ended: float | None = None
        self.orphaned: float | None = None
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
    def part_count(self) -> int:
        """Number of parts received so far."""
        return len(self._parts)

    def begin_at(self, offset: int) -> None:
        """Sets the position of the first part of a run resumed at the engine."""
        self._base = offset

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Takes status and headers."""
        with self._lock:
            self._head = Head(self.request_id, status, headers)
            self._send(self._head)

    def parts(self, parts: list[bytes]) -> None:
        """Takes consecutive body parts."""
        if self.first_part is None:
            self.first_part = time.monotonic()
        with self._lock:
            offset = self._base + len(self._parts)
            self._parts += parts
            self._send(Chunk(self.request_id, offset, parts))

    def end(self, outcome: str, detail: str) -> None:
        """Marks the answer as complete or broken."""
        with self._lock:
            self.ended = time.monotonic()
            count = self._base + len(self._parts)
            self._end = End(self.request_id, count, outcome, detail)
            self._send(self._end)

    def refuse(self, reason: str, detail: str) -> None:
        """Ends the run as one that never reached the backend server."""
        with self._lock:
            self.ended = time.monotonic()
            self._send(NotRun(self.request_id, reason, detail))

    def attach(self, peer: Peer, offset: int) -> bool:
        """Sends the rest of the answer to a new session.

        Returns:
            Whether this run holds the part at the offset.
        """
        with self._lock:
            if offset < self._base or offset > self._base + len(self._parts):
                return False
            self._peer = peer
            self.orphaned = None
            if self._head is not None:
                self._send(self._head)
            rest = self._parts[offset - self._base :]
            if rest:
                self._send(Chunk(self.request_id, offset, rest))
            if self._end is not None:
                self._send(self._end)
            return True

    def detach(self, peer: Peer) -> None:
        """Notes that the session of the entry has ended."""
        with self._lock:
            if self._peer is peer:
                self._peer = None
                self.orphaned = time.monotonic()

    def stale(self, now: float) -> bool:
        """Whether an ended run's answer need not be kept any longer."""
        retain_s = RETAIN_KEPT_S if self.grant.keep else RETAIN_S
        return self.ended is not None and now - self.ended > retain_s

    def abandoned(self, now: float) -> bool:
        """Whether nobody has come back for a running request in time."""
        return (
            self.ended is None
            and not self.grant.keep
            and self.orphaned is not None
            and now - self.orphaned > RESUME_WINDOW_S
        )

    def _send(self, msg: object) -> None:
        if self._peer is not None:
            self._peer.send(msg)


class RunTable:
    """All runs of a side, by request id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: dict[str, Run] = {}

    def add(self, run: Run) -> bool:
        """Adds a run; returns whether its id was new."""
        with self._lock:
            if run.request_id in self._runs:
                return False
            self._runs[run.request_id] = run
            return True

    def find(self, request_id: str) -> Run | None:
        """Returns a run by request id."""
        with self._lock:
            return self._runs.get(request_id)

    def forget(self, request_id: str) -> None:
        """Drops an ended run whose answer was collected."""
        with self._lock:
            run = self._runs.get(request_id)
            if run is not None and run.ended is not None:
                del self._runs[request_id]

    def running(self) -> list[Run]:
        """Returns the runs that have not ended."""
        with self._lock:
            return [run for run in self._runs.values() if run.ended is None]

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
            for request_id in [i for i, r in self._runs.items() if r.stale(now)]:
                del self._runs[request_id]
            abandoned = [r for r in self._runs.values() if r.abandoned(now)]
        for run in abandoned:
            on_abandoned(run)
