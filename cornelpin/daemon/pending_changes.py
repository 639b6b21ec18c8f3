"""Changes of records that wait for the next write of their shard."""

from __future__ import annotations

import threading

from cornelpin.core.claims import Change, NotStored, Outcome


class PendingChange:
    """A change that waits for its shard's next write."""

    def __init__(self, key: str, change: Change, due: float) -> None:
        self.key = key
        self.change = change
        self.due = due
        self._lock = threading.Lock()
        self._settled = threading.Event()
        self._outcome: Outcome | NotStored | None = None
        self._under_way = False
        self._unresolved = False

    @property
    def settled(self) -> bool:
        """Whether the outcome is known or nobody waits for it any more."""
        return self._settled.is_set()

    def begin(self) -> bool:
        """Notes that a write is about to carry the change, unless it is settled."""
        with self._lock:
            self._under_way = self._outcome is None
            return self._under_way

    def end(self, *, unresolved: bool) -> None:
        """Notes that the write ended without settling the change."""
        with self._lock:
            self._under_way = False
            self._unresolved = self._unresolved or unresolved

    def settle(self, outcome: Outcome | NotStored) -> None:
        """Sets the outcome unless there is one."""
        with self._lock:
            self._outcome = self._outcome or outcome
            self._settled.set()

    def wait(self, timeout_s: float | None) -> Outcome | NotStored:
        """Waits for the outcome; after the time limit the change is given up."""
        if not self._settled.wait(timeout_s):
            self._give_up()
        assert self._outcome is not None
        return self._outcome

    def _give_up(self) -> None:
        with self._lock:
            unresolved = self._under_way or self._unresolved
            given_up = NotStored("the object store gave no answer in time", unresolved)
            self._outcome = self._outcome or given_up
            self._settled.set()
