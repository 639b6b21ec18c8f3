"""Tickets: an entry's record of one request.

The request is reserved at several sides and granted to one session (the link to a
side) at a time.
"""

from __future__ import annotations

import enum
import queue
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


class State(enum.Enum):
    """Lifecycle state of a ticket."""

    WAITING = "waiting"
    GRANTED = "granted"
    CLOSED = "closed"


@attrs.frozen
class Request:
    """One accepted request of a caller.

    Attributes:
        request_id: Id assigned by the entry; the same for all grants of the request.
        workspace: Name of the caller's workspace.
        route: Name of the route.
        tier: Name of the tier.
        kind: ``model`` or ``service``.
        method: HTTP method.
        path: Path and query at the backend server.
        headers: Headers to forward.
        body: Request body.
        cost: Estimated work in tokens.
        deadline: Monotonic time in seconds by which the response must be complete.
        max_wait_s: Maximum seconds that the request may wait for a slot.
        idempotent: Whether it may run more than once.
        fingerprint: Digest of workspace and content.
        durable: Whether the run continues if the entry fails or disconnects.
        prefix: Chained digests of the prompt's leading blocks.
        prompt_bytes: Length of the prompt in bytes.
    """

    request_id: str
    workspace: str
    route: str
    tier: str
    kind: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    cost: int
    deadline: float
    max_wait_s: float
    idempotent: bool = False
    fingerprint: str = ""
    durable: bool = False
    prefix: tuple[str, ...] = ()
    prompt_bytes: int = 0

    def remaining_s(self) -> float:
        """Returns the seconds left until the deadline."""
        return self.deadline - time.monotonic()


class Ticket:
    """Tracks the reservations and the grant of one request; thread-safe.

    Args:
        req: The request.

    Attributes:
        events: Events for the thread that serves the request, each with the link that
            it came from, if any: messages of a side, the end of its session, or
            ``ticket_table.Evicted`` if this entry sheds the request for a higher tier.
        version: Backend server version that the request requires, or an empty string.
        incarnation: Incarnation of the side that the request was last granted to.
        adopted: Whether this entry took over the granted request of a failed entry.
    """

    def __init__(self, req: Request) -> None:
        self.req = req
        self.events: queue.SimpleQueue[tuple[Any, Any]] = queue.SimpleQueue()
        self.version = ""
        self.incarnation = ""
        self.adopted = False
        self._lock = threading.Lock()
        self._state = State.WAITING
        self._holder: Any = None
        self._reserved: set[Any] = set()
        self._attempt = 0
        self._granted = 0.0
        self._may_have_run = False

    @property
    def attempt(self) -> int:
        """Number of grants so far, which identifies the latest one."""
        return self._attempt

    @property
    def granted_at(self) -> float | None:
        """Monotonic time in seconds of the current grant, None without one."""
        with self._lock:
            return self._granted if self._holder is not None else None

    @property
    def since_grant_s(self) -> float:
        """Seconds since the latest grant, whether or not it is still current."""
        return time.monotonic() - self._granted

    @property
    def holder(self) -> Any:
        """The session the request is granted to, if any."""
        return self._holder

    @property
    def waiting(self) -> bool:
        """Whether the request is neither granted nor closed."""
        return self._state is State.WAITING

    def reserve(self, session: Any) -> bool:
        """Records a reservation at a session; returns whether it should be sent."""
        with self._lock:
            if self._state is not State.WAITING or session in self._reserved:
                return False
            self._reserved.add(session)
            return True

    def reserved(self) -> set[Any]:
        """Returns the sessions that hold a reservation."""
        with self._lock:
            return set(self._reserved)

    def clear_reservations(self) -> set[Any]:
        """Removes all reservations and returns the sessions that held them."""
        with self._lock:
            reserved, self._reserved = self._reserved, set()
            return reserved

    def release(self, session: Any) -> None:
        """Removes the reservation at a session."""
        with self._lock:
            self._reserved.discard(session)

    def resume_from(self, attempt: int) -> None:
        """Sets the number of grants that the request had before this ticket."""
        with self._lock:
            self._attempt = attempt

    def grant(self, session: Any, incarnation: str) -> bool:
        """Grants the request to a session unless it is granted or closed."""
        with self._lock:
            if self._state is not State.WAITING:
                return False
            self._state = State.GRANTED
            self._holder = session
            self._attempt += 1
            self._granted = time.monotonic()
            self._reserved.discard(session)
            self.incarnation = incarnation
            return True

    def held_by(self, session: Any, attempt: int) -> bool:
        """Returns whether the current grant has this session and number."""
        with self._lock:
            return (
                self._state is State.GRANTED
                and self._holder is session
                and self._attempt == attempt
            )

    def requeue(
        self, session: Any, attempt: int, *, may_have_run: bool = False
    ) -> bool:
        """Withdraws a grant, so that the request waits for another one.

        Args:
            session: The session that holds the grant.
            attempt: Number of the grant; has no effect unless it is the current one.
            may_have_run: Whether the request may have run under the grant, as when an
                idempotent one is retried.
        """
        with self._lock:
            if (
                self._state is not State.GRANTED
                or self._holder is not session
                or self._attempt != attempt
            ):
                return False
            self._state = State.WAITING
            self._holder = None
            self._may_have_run = self._may_have_run or may_have_run
            return True

    def close_if_waiting(self) -> bool:
        """Closes the ticket if it is waiting; returns whether it was.

        Unlike :meth:`close`, it leaves a granted request running.
        """
        with self._lock:
            if self._state is not State.WAITING:
                return False
            self._state = State.CLOSED
            return True

    def close(self) -> bool:
        """Closes the ticket; returns whether the request certainly did not run."""
        with self._lock:
            if self._state is State.GRANTED:
                self._may_have_run = True
            self._state = State.CLOSED
            return not self._may_have_run
