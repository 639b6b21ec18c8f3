"""Record changes that wait for the next write of their shard."""

from __future__ import annotations

import threading

from cornelpin.core.claims import Change, NotStored, Outcome


class PendingChange:
    """A change that waits for its shard's next write.

    Attributes:
        key: Key of the record.
        change: The change.
        due: Monotonic time in seconds at which its write becomes due.
    """

    def __init__(self, key: str, change: Change, due: float) -> None:
        self.key = key
        self.change = change
        self.due = due
        self._lock = threading.Lock()
        self._settled = threading.Event()
        self._outcome: Outcome | NotStored | None = None
        self._in_flight = False
        self._unresolved = False

    @property
    def settled(self) -> bool:
        """Whether the outcome is known or the wait for it has timed out."""
        return self._settled.is_set()

    def begin_write(self) -> bool:
        """Marks the change as being written; returns False if it is settled."""
        with self._lock:
            self._in_flight = self._outcome is None
            return self._in_flight

    def end_write(self, *, unresolved: bool) -> None:
        """Marks the write as ended without settling the change.

        Args:
            unresolved: Whether the write may still take effect.
        """
        with self._lock:
            self._in_flight = False
            self._unresolved = self._unresolved or unresolved

    def settle(self, outcome: Outcome | NotStored) -> None:
        """Sets the outcome unless there is one."""
        with self._lock:
            self._outcome = self._outcome or outcome
            self._settled.set()

    def wait(self, timeout_s: float | None) -> Outcome | NotStored:
        """Waits for the outcome; abandons the change after the time limit.

        Args:
            timeout_s: Maximum wait in seconds, None for no limit.
        """
        if not self._settled.wait(timeout_s):
            self._abandon()
        assert self._outcome is not None
        return self._outcome

    def _abandon(self) -> None:
        with self._lock:
            unresolved = self._in_flight or self._unresolved
            abandoned = NotStored("the object store gave no answer in time", unresolved)
            self._outcome = self._outcome or abandoned
            self._settled.set()
