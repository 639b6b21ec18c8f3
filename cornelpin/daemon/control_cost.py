"""Measures bytes and CPU time of control traffic: all that serves no single request."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import TYPE_CHECKING

from cornelpin.daemon.claim_messages import ClaimAsk, ClaimReply
from cornelpin.daemon.messages import (
    Ask,
    Cancel,
    Chunk,
    End,
    Gone,
    Grant,
    Head,
    NotRun,
    Reserve,
    Resume,
    Withdraw,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

REQUEST_MESSAGES = frozenset(
    {
        Ask,
        Cancel,
        Chunk,
        ClaimAsk,
        ClaimReply,
        End,
        Gone,
        Grant,
        Head,
        NotRun,
        Reserve,
        Resume,
        Withdraw,
    }
)


def is_control(msg: object) -> bool:
    """Whether a message between processes belongs to no single request."""
    return type(msg) not in REQUEST_MESSAGES


class ControlCost:
    """Counts bytes of control messages and CPU time of control tasks and messages.

    Attributes:
        sent_bytes: Bytes of control frames sent to peers.
        received_bytes: Bytes of control frames received from peers.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._finished_cpu_s = 0.0
        self._running: dict[int, tuple[int, float]] = {}
        self._lock = threading.Lock()

    @property
    def cpu_s(self) -> float:
        """CPU time in seconds, including that of tasks still running."""
        with self._lock:
            running_s = sum(map(_elapsed_s, self._running.values()))
            return self._finished_cpu_s + running_s

    def add_sent(self, size_bytes: int) -> None:
        """Adds the size of a control frame sent."""
        with self._lock:
            self.sent_bytes += size_bytes

    def add_received(self, size_bytes: int) -> None:
        """Adds the size of a control frame received."""
        with self._lock:
            self.received_bytes += size_bytes

    def add_cpu(self, cpu_s: float) -> None:
        """Adds the CPU time spent handling a control message."""
        with self._lock:
            self._finished_cpu_s += cpu_s

    def metered(
        self, child: Callable[[threading.Event], None]
    ) -> Callable[[threading.Event], None]:
        """Wraps a supervisor's child so that its CPU time is counted."""

        def metered_child(stop: threading.Event) -> None:
            with self._metering():
                child(stop)

        return metered_child

    @contextlib.contextmanager
    def _metering(self) -> Iterator[None]:
        ident = threading.get_ident()
        clock_id = time.pthread_getcpuclockid(ident)
        with self._lock:
            self._running[ident] = (clock_id, time.thread_time())
        try:
            yield
        finally:
            # The clock of a thread must not be read after the thread has ended.
            with self._lock:
                self._finished_cpu_s += _elapsed_s(self._running.pop(ident))


def _elapsed_s(clock: tuple[int, float]) -> float:
    clock_id, since_s = clock
    return time.clock_gettime(clock_id) - since_s
