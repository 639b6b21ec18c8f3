"""Lease in the object store, with a fencing token for each acquisition.

Clocks of different hosts are never compared. A contender acquires the lease only after
it has observed one unchanged version of the lease object for the lease duration; the
holder relies on the lease for a shorter time, counted from before its last renewal. A
holder that was paused for longer than the lease duration is harmless: its fencing token
is lower than the next holder's, and its conditional writes fail.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable

from attrs import frozen

from cornelpin.stores.objects import (
    Conflict,
    Found,
    Missing,
    ObjectStore,
    Unavailable,
    Unchanged,
    Unknown,
    Written,
)

LEASE_DURATION_S = 4.0
# Fractions of the lease duration: how long a holder relies on a renewal, and the mean
# interval between renewals.
HOLD_SHARE = 0.6
RENEW_SHARE = 0.25
# Relative jitter of the interval between renewals.
JITTER = 0.3


@frozen
class LeaseValue:
    """Content of the lease object.

    Attributes:
        holder: Name and incarnation of the holder.
        fence: Fencing token of this acquisition.
        renewal: Number of renewals since the acquisition.
    """

    holder: str
    fence: int
    renewal: int = 0

    def encode(self) -> bytes:
        """Encodes the value for the object store."""
        return json.dumps([self.holder, self.fence, self.renewal]).encode()

    @classmethod
    def decode(cls, value: bytes) -> LeaseValue:
        """Decodes a value from the object store.

        Raises:
            ValueError: If the value is malformed.
        """
        holder, fence, renewal = json.loads(value)
        return cls(str(holder), int(fence), int(renewal))


@frozen
class _Observation:
    """The lease object as last read.

    Attributes:
        value: Its content, None if it does not exist.
        version: Its version, 0 if it does not exist.
        since: Monotonic time in seconds of the first read of this version.
    """

    value: LeaseValue | None
    version: int
    since: float


class Lease:
    """Acquires and renews one lease; call :meth:`step` after each :attr:`pause_s`.

    Args:
        objects: The object store.
        key: Key of the lease object.
        holder: Name of this contender, unique to this run of the process.
        duration_s: Seconds without a change after which another contender may acquire
            the lease.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        objects: ObjectStore,
        key: str,
        holder: str,
        *,
        duration_s: float = LEASE_DURATION_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._objects = objects
        self._key = key
        self._holder = holder
        self._duration_s = duration_s
        self._clock = clock
        self._observed: _Observation | None = None
        self._held: LeaseValue | None = None
        self._held_version = 0
        self._reliable_until = 0.0

    @property
    def fence(self) -> int:
        """Fencing token of the current acquisition, 0 without one."""
        return self._held.fence if self._held is not None else 0

    @property
    def held(self) -> bool:
        """Whether this contender may act as the holder now."""
        return self._held is not None and self._clock() < self._reliable_until

    @property
    def pause_s(self) -> float:
        """Jittered time until the next step, in seconds."""
        return self._duration_s * RENEW_SHARE * random.uniform(1 - JITTER, 1 + JITTER)

    def step(self) -> bool:
        """Renews the lease, or acquires it if no contender renews it.

        Returns:
            Whether this contender holds the lease.
        """
        if self._held is not None:
            self._renew(self._held)
        else:
            self._contend()
        return self.held

    def release(self) -> None:
        """Releases the lease, so that a successor does not wait for its end."""
        if self._held is None:
            return
        free = LeaseValue("", self._held.fence, self._held.renewal + 1)
        self._objects.put(self._key, free.encode(), if_version=self._held_version)
        self._held = None

    def _renew(self, held: LeaseValue) -> None:
        value = LeaseValue(held.holder, held.fence, held.renewal + 1)
        self._write(value, self._held_version)

    def _contend(self) -> None:
        observed = self._observe()
        if observed is None:
            return
        free = observed.value is None or observed.value.holder == ""
        if not free and self._clock() - observed.since < self._duration_s:
            return
        fence = observed.value.fence + 1 if observed.value is not None else 1
        self._write(LeaseValue(self._holder, fence), observed.version)

    def _observe(self) -> _Observation | None:
        """Reads the lease object; a failed read restarts the observation."""
        known = self._observed.version if self._observed is not None else None
        found = self._objects.get(self._key, unless_version=known)
        if isinstance(found, Unavailable):
            self._observed = None
        elif isinstance(found, Missing):
            self._observed = _Observation(None, 0, self._clock())
        elif isinstance(found, Found):
            same = (
                self._observed is not None and found.version == self._observed.version
            )
            if not same:
                value = LeaseValue.decode(found.value)
                self._observed = _Observation(value, found.version, self._clock())
        elif isinstance(found, Unchanged):
            pass
        return self._observed

    def _write(self, value: LeaseValue, version: int) -> None:
        started = self._clock()
        outcome = self._objects.put(self._key, value.encode(), if_version=version)
        if isinstance(outcome, Unknown):
            outcome = self._resolve(value)
        if isinstance(outcome, Written):
            self._held = value
            self._held_version = outcome.version
            self._reliable_until = started + self._duration_s * HOLD_SHARE
        elif isinstance(outcome, Conflict):
            self._held = None
            self._observed = None

    def _resolve(self, value: LeaseValue) -> Written | Conflict | Unavailable:
        """Reads the object back to resolve a write with an unknown outcome.

        Returns Unavailable if the write is not confirmed; the next step tries again.
        """
        found = self._objects.get(self._key)
        if isinstance(found, Found):
            if found.value == value.encode():
                return Written(found.version)
            stored = LeaseValue.decode(found.value)
            held = self._held
            if held is not None and (stored.holder, stored.fence) == (
                held.holder,
                held.fence,
            ):
                return Unavailable("the renewal was not written")
            return Conflict(found.version)
        return Unavailable("the write is not confirmed")
