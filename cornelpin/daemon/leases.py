"""Leases of entries: who still works on the records that it owns.

An entry renews its lease by writing its object again. Others call it expired when
the object's version has not changed for a while by their own clock. A wrong guess
does no harm: whoever takes a record over fences its former owner.
"""

from __future__ import annotations

import threading
import time

import attrs

from cornelpin.stores.objects import Listed, ObjectStore

LEASE_PREFIX = "leases/"
RENEW_INTERVAL_S = 2.0
LEASE_DURATION_S = 6.0
FORGET_S = 600.0


@attrs.frozen
class _Seen:
    """Version of a lease, 0 for none, and since when it has been the same."""

    version: int
    since: float


class EntryLeases:
    """Renews the lease of this entry and watches those of the others."""

    def __init__(self, objects: ObjectStore, *, name: str, incarnation: str) -> None:
        self._objects = objects
        self._name = name
        self._key = lease_key(name, incarnation)
        self._given_back = False
        self._lock = threading.Lock()
        self._seen: dict[str, _Seen] = {}
        self._changed: dict[str, float] = {}

    def refresh(self) -> None:
        """Renews the own lease and looks at all others."""
        if not self._given_back:
            self._objects.put(self._key, b"", if_version=None)
        listed = self._objects.list(LEASE_PREFIX)
        if not isinstance(listed, Listed):
            # Nobody can renew during an outage, so all periods start anew after it.
            with self._lock:
                self._seen.clear()
            return
        self._observe({item.key: item.version for item in listed.objects})

    def release(self) -> None:
        """Removes the own lease, when this entry stops."""
        self._given_back = True
        self._objects.delete(self._key)

    def expired(self, name: str, incarnation: str) -> bool:
        """Whether an entry has not renewed its lease for long enough."""
        key = lease_key(name, incarnation)
        if key == self._key:
            return False
        now = time.monotonic()
        with self._lock:
            seen = self._seen.setdefault(key, _Seen(0, now))
            return now - seen.since > LEASE_DURATION_S

    def live(self) -> set[str]:
        """Returns the names of the entries whose leases are not expired."""
        now = time.monotonic()
        with self._lock:
            seen = [key for key, s in self._seen.items() if _live(s, now)]
        return {self._name, *map(_entry_name, seen)}

    def active_since(self, read_at: float) -> set[str]:
        """Returns the entries that may have worked after a monotonic time."""
        with self._lock:
            changed = list(self._changed.items())
        return {name for name, at in changed if at + LEASE_DURATION_S >= read_at}

    def _observe(self, versions: dict[str, int]) -> None:
        now = time.monotonic()
        with self._lock:
            for key in {*versions, *self._seen}:
                version = versions.get(key, 0)
                known = self._seen.get(key)
                if known is None or known.version != version:
                    self._seen[key] = _Seen(version, now)
                    self._changed[_entry_name(key)] = now
            self._changed = {
                name: at for name, at in self._changed.items() if now - at < FORGET_S
            }
            old = [k for k, s in self._seen.items() if now - s.since > FORGET_S]
        for key in old:
            self._forget(key, listed=key in versions)

    def _forget(self, key: str, *, listed: bool) -> None:
        if listed:
            self._objects.delete(key)
            return
        with self._lock:
            self._seen.pop(key, None)


def _live(seen: _Seen, now: float) -> bool:
    return seen.version > 0 and now - seen.since <= LEASE_DURATION_S


def _entry_name(key: str) -> str:
    return key.removeprefix(LEASE_PREFIX).rpartition("/")[0]


def lease_key(name: str, incarnation: str) -> str:
    """Returns the object key of an entry's lease."""
    return f"{LEASE_PREFIX}{name}/{incarnation}"
