"""What a process spends on control: everything that no single request causes."""

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
    """Whether a message between processes is not about a single request."""
    return type(msg) not in REQUEST_MESSAGES


class ControlCost:
    """Counts bytes of control messages and processor time of control tasks.

    Attributes:
        sent_bytes: Bytes of the control frames sent to peers.
        received_bytes: Bytes of the control frames received from peers.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._ended_s = 0.0
        self._clocks: dict[int, tuple[int, float]] = {}
        self._lock = threading.Lock()

    @property
    def cpu_s(self) -> float:
        """Processor time in seconds of the tasks counted so far."""
        with self._lock:
            running_s = sum(map(_elapsed_s, self._clocks.values()))
            return self._ended_s + running_s

    def add_sent(self, size_bytes: int) -> None:
        """Counts a control frame sent."""
        with self._lock:
            self.sent_bytes += size_bytes

    def add_received(self, size_bytes: int) -> None:
        """Counts a control frame received."""
        with self._lock:
            self.received_bytes += size_bytes

    def add_cpu(self, cpu_s: float) -> None:
        """Counts the processor time that handling a control message took."""
        with self._lock:
            self._ended_s += cpu_s

    def metered(
        self, child: Callable[[threading.Event], None]
    ) -> Callable[[threading.Event], None]:
        """Returns a supervisor's child whose processor time is counted."""

        def metered_child(stop: threading.Event) -> None:
            with self._counting():
                child(stop)

        return metered_child

    @contextlib.contextmanager
    def _counting(self) -> Iterator[None]:
        ident = threading.get_ident()
        clock_id = time.pthread_getcpuclockid(ident)
        with self._lock:
            self._clocks[ident] = (clock_id, time.thread_time())
        try:
            yield
        finally:
            # The clock of a thread that has ended must not be read.
            with self._lock:
                self._ended_s += _elapsed_s(self._clocks.pop(ident))


def _elapsed_s(clock: tuple[int, float]) -> float:
    clock_id, since_s = clock
    return time.clock_gettime(clock_id) - since_s
