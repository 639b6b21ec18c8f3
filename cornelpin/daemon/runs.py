"""Runs at a side: requests granted to its backend server.

The side keeps each response until its entry has it, so that an entry can resume on a
new session, and remembers which runs it started, so that none is started twice.
"""

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

# A running request without a session is abandoned after this time.
RESUME_WINDOW_S = 10.0
# A response that is not collected is kept for this time after its end.
RESPONSE_RETENTION_S = 60.0
DURABLE_RESPONSE_RETENTION_S = 600.0
# Dropped runs whose attempt numbers are remembered, to detect late grants.
MAX_PAST_RUNS = 100_000
# Upper bound of the delay of a message between processes.
MAX_MESSAGE_DELAY_S = 60.0


@attrs.frozen
class _PastRun:
    """What the side keeps of a dropped run."""

    attempt: int
    started_at: float


class Run:
    """One run; buffers the response until the entry has collected it.

    Implements ``backends.ResponseSink``: the driver passes it the response.

    Attributes:
        grant: The grant that started the run.
        cancel: Token that cancels the call to the backend server.
        started_at: Monotonic time in seconds of the start.
        first_part_at: Monotonic time in seconds of the first body part.
        ended_at: Monotonic time in seconds of the end, None while the run is in flight.
        orphaned_at: Monotonic time in seconds since which no session is attached.
    """

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
        self._first_offset = 0
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
        """Sends the entry a message that is not part of the response.

        Takes no lock, as only the parts of the response must keep their order.
        """
        peer = self._peer
        if peer is not None:
            peer.send(msg)

    def set_first_offset(self, offset: int) -> None:
        """Sets the offset of the first part of a run resumed at the backend server."""
        self._first_offset = offset

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Receives status and headers."""
        with self._lock:
            self._head = Head(self.request_id, status, headers, self.attempt)
            self._send(self._head)

    def parts(self, parts: list[bytes]) -> None:
        """Receives consecutive body parts."""
        if self.first_part_at is None:
            self.first_part_at = time.monotonic()
        with self._lock:
            offset = self._first_offset + len(self._parts)
            self._parts += parts
            self._send(Chunk(self.request_id, offset, parts, self.attempt))

    def end(self, outcome: str, detail: str) -> None:
        """Ends the run; the outcome says whether the response is complete."""
        with self._lock:
            self.ended_at = time.monotonic()
            count = self._first_offset + len(self._parts)
            self._end = End(self.request_id, count, outcome, detail, self.attempt)
            self._send(self._end)

    def refuse(self, reason: str, detail: str) -> None:
        """Ends a run that never reached the backend server."""
        with self._lock:
            self.ended_at = time.monotonic()
            self._send(NotRun(self.request_id, reason, detail, self.attempt))

    def attach(self, peer: Peer, offset: int) -> bool:
        """Attaches a new session and sends it the rest of the response.

        Args:
            peer: The session.
            offset: Number of parts that the entry has received.

        Returns:
            Whether the parts from the offset on are buffered here.
        """
        with self._lock:
            if offset < self._first_offset or offset > self._first_offset + len(
                self._parts
            ):
                return False
            self._peer = peer
            self.orphaned_at = None
            if self._head is not None:
                self._send(self._head)
            rest = self._parts[offset - self._first_offset :]
            if rest:
                self._send(Chunk(self.request_id, offset, rest, self.attempt))
            if self._end is not None:
                self._send(self._end)
            return True

    def detach(self, peer: Peer) -> None:
        """Detaches a session that has ended."""
        with self._lock:
            if self._peer is peer:
                self._peer = None
                self.orphaned_at = time.monotonic()

    def is_expired(self, now: float) -> bool:
        """Whether the response has been kept for the retention period."""
        retain_s = (
            DURABLE_RESPONSE_RETENTION_S if self.grant.keep else RESPONSE_RETENTION_S
        )
        return self.ended_at is not None and now - self.ended_at > retain_s

    def is_abandoned(self, now: float) -> bool:
        """Whether no session has resumed a running request in time.

        A durable request is never abandoned: another entry collects its response.
        """
        return (
            self.ended_at is None
            and not self.grant.keep
            and self.orphaned_at is not None
            and now - self.orphaned_at > RESUME_WINDOW_S
        )

    def _send(self, msg: object) -> None:
        """Sends a part of the response; requires the lock, which keeps the order."""
        if self._peer is not None:
            self._peer.send(msg)


class RunTable:
    """All runs of a side by request id, and the attempts of those it dropped.

    Args:
        past_limit: Maximum number of dropped runs to remember.
    """

    def __init__(self, past_limit: int = MAX_PAST_RUNS) -> None:
        self._lock = threading.Lock()
        self._runs: dict[str, Run] = {}
        self._past: collections.OrderedDict[str, _PastRun] = collections.OrderedDict()
        self._past_limit = past_limit
        # Latest start, in monotonic seconds, of a dropped run no longer remembered.
        self._forgotten_until = 0.0

    def add(self, run: Run) -> bool:
        """Adds a run unless this or a later attempt is known.

        Cancels an earlier attempt that is still running.
        """
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
        """Whether a grant certainly did not start a run here.

        Args:
            request_id: Id of the request.
            attempt: Number of the grant.
            age_s: Seconds from the grant until the ``Resume`` message was sent.

        Returns:
            False also for a grant so old that its run may have been forgotten.
        """
        with self._lock:
            known = self._runs.get(request_id) or self._past.get(request_id)
            if known is not None and known.attempt >= attempt:
                return False
            # ``age_s`` ends when ``Resume`` was sent; the delay bounds its transit.
            earliest_grant_at = time.monotonic() - age_s - MAX_MESSAGE_DELAY_S
            return earliest_grant_at > self._forgotten_until

    def remove_refused(self, run: Run) -> None:
        """Removes a run that never reached the backend server.

        Its attempt is not remembered among the dropped runs, as it did not run.
        """
        with self._lock:
            if self._runs.get(run.request_id) is run:
                del self._runs[run.request_id]

    def forget(self, request_id: str) -> None:
        """Drops an ended run whose response was collected."""
        with self._lock:
            run = self._runs.get(request_id)
            if run is not None and run.ended_at is not None:
                self._drop(run)

    def _drop(self, run: Run) -> None:
        """Replaces a run by its attempt number; evicts the oldest of these."""
        del self._runs[run.request_id]
        self._past[run.request_id] = _PastRun(run.attempt, run.started_at)
        self._past.move_to_end(run.request_id)
        while len(self._past) > self._past_limit:
            _, oldest = self._past.popitem(last=False)
            self._forgotten_until = max(self._forgotten_until, oldest.started_at)

    def running(self) -> list[Run]:
        """Returns the runs that have not ended."""
        with self._lock:
            return [run for run in self._runs.values() if run.ended_at is None]

    def detach(self, peer: Peer) -> None:
        """Detaches a session that has ended from all runs."""
        with self._lock:
            runs = list(self._runs.values())
        for run in runs:
            run.detach(peer)

    def sweep(self, on_abandoned: Callable[[Run], None]) -> None:
        """Drops runs with expired responses and reports the abandoned ones."""
        now = time.monotonic()
        with self._lock:
            for run in [run for run in self._runs.values() if run.is_expired(now)]:
                self._drop(run)
            abandoned = [r for r in self._runs.values() if r.is_abandoned(now)]
        for run in abandoned:
            on_abandoned(run)
