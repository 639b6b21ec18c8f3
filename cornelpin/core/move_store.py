"""Reads and writes the state of the moves in the object store."""

from __future__ import annotations

from loguru import logger

from cornelpin.core.move_state import MoveBook
from cornelpin.stores.objects import Found, Missing, ObjectStore, Written

STATE_KEY = "moves/state"
LEASE_KEY = "moves/lease"


class MoveStore:
    """Reads and conditionally replaces the state; only the lease holder may use it."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects
        self._version: int | None = None
        self.book = MoveBook()

    @property
    def known(self) -> bool:
        """Whether ``book`` equals the stored state, as of the last read or write."""
        return self._version is not None

    def forget(self) -> None:
        """Marks the state as unknown, so that the next step reads the store."""
        self._version = None

    def load(self, distributed: MoveBook) -> bool:
        """Reads the state; returns whether it is known now.

        Args:
            distributed: The state with the highest number that this process has
                received. A stored state with a lower number is a stale read; if the
                object is missing, the distributed state is used instead.
        """
        self.forget()
        found = self._objects.get(STATE_KEY)
        if isinstance(found, Missing):
            self.book, self._version = distributed, 0
        elif isinstance(found, Found):
            book = _decoded(found.value)
            if book is not None and book.number >= distributed.number:
                self.book, self._version = book, found.version
        return self.known

    def replace(self, book: MoveBook) -> bool:
        """Replaces the stored state unless another writer has changed it.

        Returns:
            Whether the write is confirmed; otherwise the state has to be read again.
        """
        outcome = self._objects.put(
            STATE_KEY, book.encode(), if_version=self._version or 0
        )
        if not isinstance(outcome, Written):
            self.forget()
            return False
        self.book, self._version = book, outcome.version
        return True


def _decoded(value: bytes) -> MoveBook | None:
    """Decodes a stored state; a malformed one counts as a failed read."""
    try:
        return MoveBook.decode(value)
    except ValueError as exc:
        logger.warning("stored state of the moves is malformed, will retry: {}", exc)
        return None
