"""Leases that show which entries still work on the records they own.

An entry renews its lease by rewriting its object. Other entries treat the lease as
expired when the object's version has not changed for a while by their own clock. A
false expiry is harmless: an entry that takes over a record fences the former owner.
"""

from __future__ import annotations

import threading
import time

import attrs

from cornelpin.stores.objects import Listed, ObjectStore

LEASE_PREFIX = "leases/"
RENEW_INTERVAL_S = 2.0
LEASE_DURATION_S = 6.0
# Leases unchanged for this long are deleted.
STALE_LEASE_RETENTION_S = 600.0


@attrs.frozen
class _ObservedLease:
    """Last observed version of a lease.

    Attributes:
        version: Version of the lease object, 0 if it does not exist.
        since: Monotonic time in seconds at which this version was first observed.
    """

    version: int
    since: float


class EntryLeases:
    """Renews the lease of this entry and observes those of the others."""

    def __init__(self, objects: ObjectStore, *, name: str, incarnation: str) -> None:
        self._objects = objects
        self._name = name
        self._key = lease_key(name, incarnation)
        self._released = False
        self._lock = threading.Lock()
        self._observed: dict[str, _ObservedLease] = {}
        self._changed_at: dict[str, float] = {}

    def refresh(self) -> None:
        """Renews the own lease and lists all others."""
        if not self._released:
            self._objects.put(self._key, b"", if_version=None)
        listed = self._objects.list(LEASE_PREFIX)
        if not isinstance(listed, Listed):
            # No entry can renew during an outage, so all periods restart after it.
            with self._lock:
                self._observed.clear()
            return
        self._observe({item.key: item.version for item in listed.objects})

    def release(self) -> None:
        """Deletes the own lease when this entry stops."""
        self._released = True
        self._objects.delete(self._key)

    def expired(self, name: str, incarnation: str) -> bool:
        """Whether an entry has not renewed its lease within the lease duration."""
        key = lease_key(name, incarnation)
        if key == self._key:
            return False
        now = time.monotonic()
        with self._lock:
            # A lease that was never observed expires one full duration from now.
            observed = self._observed.setdefault(key, _ObservedLease(0, now))
            return now - observed.since > LEASE_DURATION_S

    def live(self) -> set[str]:
        """Returns the names of this entry and those with unexpired leases."""
        now = time.monotonic()
        with self._lock:
            observed = [key for key, s in self._observed.items() if _is_live(s, now)]
        return {self._name, *map(_entry_name, observed)}

    def active_since(self, since: float) -> set[str]:
        """Returns the entries that may have been active since a monotonic time."""
        with self._lock:
            changed = list(self._changed_at.items())
        return {name for name, at in changed if at + LEASE_DURATION_S >= since}

    def _observe(self, versions: dict[str, int]) -> None:
        now = time.monotonic()
        with self._lock:
            for key in {*versions, *self._observed}:
                version = versions.get(key, 0)
                before = self._observed.get(key)
                if before is None or before.version != version:
                    self._observed[key] = _ObservedLease(version, now)
                    self._changed_at[_entry_name(key)] = now
            self._changed_at = {
                name: at
                for name, at in self._changed_at.items()
                if now - at < STALE_LEASE_RETENTION_S
            }
            stale = [
                k
                for k, s in self._observed.items()
                if now - s.since > STALE_LEASE_RETENTION_S
            ]
        for key in stale:
            self._remove_stale(key, listed=key in versions)

    def _remove_stale(self, key: str, *, listed: bool) -> None:
        """Deletes a stale lease object; forgets one that is not listed any more."""
        if listed:
            self._objects.delete(key)
            return
        with self._lock:
            self._observed.pop(key, None)


def _is_live(observed: _ObservedLease, now: float) -> bool:
    return observed.version > 0 and now - observed.since <= LEASE_DURATION_S


def _entry_name(key: str) -> str:
    return key.removeprefix(LEASE_PREFIX).rpartition("/")[0]


def lease_key(name: str, incarnation: str) -> str:
    """Returns the object key of an entry's lease."""
    return f"{LEASE_PREFIX}{name}/{incarnation}"
