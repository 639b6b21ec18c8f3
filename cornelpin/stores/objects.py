"""Interface of the object store, and the outcomes of its calls."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from dataclasses import dataclass

from attrs import frozen

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True)
class Found:
    """The object exists."""

    value: bytes
    version: int


@dataclass(frozen=True)
class Unchanged:
    """The object still has the version known to the caller."""


@dataclass(frozen=True)
class Missing:
    """The object does not exist."""


@dataclass(frozen=True)
class Written:
    """The write took effect."""

    version: int


@dataclass(frozen=True)
class Deleted:
    """The object no longer exists."""


@dataclass(frozen=True)
class Conflict:
    """The object has another version (0 if it does not exist); nothing changed."""

    version: int


@dataclass(frozen=True)
class Unavailable:
    """The call failed or was rejected; a write has certainly had no effect.

    Most causes are temporary; a rejection (such as 413, too large) may be permanent.
    """

    reason: str


@dataclass(frozen=True)
class Unknown:
    """The write may or may not have taken effect, now or later."""

    reason: str


@frozen
class ListedObject:
    """Key and version of a listed object."""

    key: str
    version: int


@dataclass(frozen=True)
class Listed:
    """The objects under a prefix in order of their keys."""

    objects: tuple[ListedObject, ...]


@frozen
class CallCounts:
    """Numbers of calls to an object store, by kind."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class CallCounter:
    """Counts the calls of this process across all threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts = {"reads": 0, "writes": 0, "watches": 0}

    def add(self, kind: str) -> None:
        """Counts one call; the kind is reads, writes or watches."""
        with self._lock:
            self._counts[kind] += 1

    def counts(self) -> CallCounts:
        """Returns a snapshot of the counts."""
        with self._lock:
            return CallCounts(**self._counts)


class ObjectStore(ABC):
    """Versioned objects by key with conditional updates and watches."""

    def __init__(self) -> None:
        self.calls = CallCounter()

    @abstractmethod
    def get(
        self, key: str, *, unless_version: int | None = None
    ) -> Found | Unchanged | Missing | Unavailable:
        """Reads an object unless it has the given version."""

    @abstractmethod
    def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> Written | Conflict | Unavailable | Unknown:
        """Writes an object if it has the given version.

        Args:
            key: Key of the object.
            value: New content.
            if_version: Version to replace, 0 if the object must not exist, None to
                write unconditionally.
        """

    @abstractmethod
    def delete(
        self, key: str, *, if_version: int | None = None
    ) -> Deleted | Conflict | Missing | Unavailable | Unknown:
        """Deletes an object if it has the given version."""

    @abstractmethod
    def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Found | Unchanged | Missing | Unavailable:
        """Waits until an object has a version above the given one.

        Args:
            key: Key of the object.
            after: Version known to the caller.
            wait_s: Longest wait in seconds.

        Returns:
            The newer object, or ``Unchanged`` if there was none within ``wait_s``. For
            an object that does not exist, a store may return ``Missing`` instead.
        """

    @abstractmethod
    def list(self, prefix: str) -> Listed | Unavailable:
        """Lists the objects whose keys start with a prefix."""
