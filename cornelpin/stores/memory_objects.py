"""In-memory object store with fault injection, for tests."""

from __future__ import annotations

import threading

from cornelpin.stores.objects import (
    Conflict,
    Deleted,
    Found,
    Listed,
    ListedObject,
    Missing,
    ObjectStore,
    Unavailable,
    Unchanged,
    Unknown,
    Written,
)


class MemoryObjectStore(ObjectStore):
    """Keeps objects in a dict.

    Attributes:
        outage: Whether every call fails without effect.
        lose_answers: How many of the next writes take effect but return ``Unknown``.
        lose_writes: How many of the next writes have no effect and return ``Unknown``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.outage = False
        self.lose_answers = 0
        self.lose_writes = 0
        self._objects: dict[str, Found] = {}
        self._version = 0
        self._changed = threading.Condition()

    def get(
        self, key: str, *, unless_version: int | None = None
    ) -> Found | Unchanged | Missing | Unavailable:
        """Reads an object unless it has the given version."""
        self.calls.add("reads")
        with self._changed:
            return self._read(key, unless_version)

    def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> Written | Conflict | Unavailable | Unknown:
        """Writes an object if it has the given version."""
        self.calls.add("writes")
        with self._changed:
            failed = self._check_write(key, if_version)
            if failed is not None:
                return failed
            self._version += 1
            self._objects[key] = Found(value, self._version)
            self._changed.notify_all()
            return self._drop_response() or Written(self._version)

    def delete(
        self, key: str, *, if_version: int | None = None
    ) -> Deleted | Conflict | Missing | Unavailable | Unknown:
        """Deletes an object if it has the given version."""
        self.calls.add("writes")
        with self._changed:
            failed = self._check_write(key, if_version)
            if failed is not None:
                return failed
            if self._objects.pop(key, None) is None:
                return Missing()
            self._changed.notify_all()
            return self._drop_response() or Deleted()

    def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Found | Unchanged | Missing | Unavailable:
        """Waits until an object has a version above the given one."""
        self.calls.add("watches")
        with self._changed:
            self._changed.wait_for(lambda: self._ends_watch(key, after), wait_s)
            if self.outage:
                return Unavailable("outage")
            found = self._objects.get(key)
            newer = found is not None and found.version > after
            return found if newer and found else Unchanged()

    def list(self, prefix: str) -> Listed | Unavailable:
        """Lists the objects whose keys start with a prefix."""
        self.calls.add("reads")
        with self._changed:
            if self.outage:
                return Unavailable("outage")
            found = sorted(self._objects.items())
            return Listed(
                tuple(
                    ListedObject(k, v.version) for k, v in found if k.startswith(prefix)
                )
            )

    def _ends_watch(self, key: str, after: int) -> bool:
        found = self._objects.get(key)
        return self.outage or (found is not None and found.version > after)

    def _read(
        self, key: str, unless_version: int | None
    ) -> Found | Unchanged | Missing | Unavailable:
        if self.outage:
            return Unavailable("outage")
        found = self._objects.get(key)
        if found is None:
            return Missing()
        return Unchanged() if found.version == unless_version else found

    def _check_write(
        self, key: str, if_version: int | None
    ) -> Conflict | Unavailable | Unknown | None:
        if self.outage:
            return Unavailable("outage")
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return Unknown("write lost")
        found = self._objects.get(key)
        current = found.version if found else 0
        if if_version is not None and if_version != current:
            return Conflict(current)
        return None

    def _drop_response(self) -> Unknown | None:
        if self.lose_answers == 0:
            return None
        self.lose_answers -= 1
        return Unknown("answer lost")
