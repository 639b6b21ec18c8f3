"""Admission control of one backend server.

Holds, under one lock, the sessions of the entries, the queue of reservations, and the
slots. When a reservation may start, the side holds a slot for it and sends an ``Ask``
to its entry, which replies with a ``Grant`` or, if it no longer grants the request to
this side, with ``Gone``.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.reservations import Reservation, ReservationQueue
from cornelpin.core.slots import SlotTable
from cornelpin.daemon.runs import Run

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.core.reservations import TierPolicy
    from cornelpin.daemon.messages import Grant
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.runs import RunTable
    from cornelpin.daemon.suspicion_sync import SuspicionSync

# A held slot is released if its entry does not send the grant within this time.
ASK_TIMEOUT_S = 2.0
# A request beyond its tier's share gets a slot only if more than this many are free.
SPARE_SLOTS = 1
# Pause of admission after the backend server was unreachable.
UNREACHABLE_PAUSE_S = 0.5


@attrs.define(eq=False)
class _PendingAsk:
    """A slot held for a reservation while its entry is asked for the grant."""

    res: Reservation
    release: Callable[[], None]
    asked_at: float


@attrs.frozen
class Started:
    """A run that may start now, and the function that releases its slot."""

    run: Run
    release: Callable[[], None]


@attrs.frozen
class Refused:
    """The grant is refused: it starts no run, now or later."""


@attrs.frozen
class Duplicate:
    """This grant, or a later one of the same request, was received before."""


class Admission:
    """Decides which requests may start on the backend server; thread-safe.

    A request is suspect if its content is suspected of crashing backend servers. It
    runs alone: it starts once all slots are free, and nothing starts beside it.

    Each ``Peer`` is the session of one entry.
    """

    def __init__(self, slots: int, runs: RunTable, suspicions: SuspicionSync) -> None:
        self._runs = runs
        self._suspicions = suspicions
        self._suspect_running = False
        self._paused_until = 0.0
        self._cond = threading.Condition()
        self._queue = ReservationQueue()
        self._slots = SlotTable(slots)
        self._pending_asks: dict[str, _PendingAsk] = {}
        self._sessions: dict[str, Peer] = {}
        self._closed = False

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def slots(self) -> SlotTable:
        """The slots of the backend server."""
        return self._slots

    @property
    def pending_asks(self) -> int:
        """Number of slots held until the entry that was asked sends its grant."""
        return len(self._pending_asks)

    @property
    def drain_per_s(self) -> float:
        """Reservations per second that leave the queue for a slot."""
        with self._cond:
            return self._queue.drain_per_s

    def set_policies(
        self, tiers: Mapping[str, TierPolicy], shares: Mapping[str, float]
    ) -> None:
        """Sets the policies of the tiers and the weights of the workspaces."""
        with self._cond:
            self._queue.tiers = tiers
            self._queue.shares = shares
            self._cond.notify_all()

    def stop(self) -> list[Reservation]:
        """Stops admission until ``reopen``; returns the queued reservations."""
        with self._cond:
            self._closed = True
            dropped = self._queue.drop(lambda res: True)
            self._cond.notify_all()
        return dropped

    def reopen(self) -> None:
        """Admits reservations and direct grants again after ``stop``."""
        with self._cond:
            self._closed = False

    # Sessions

    def peers(self) -> list[Peer]:
        """Returns the current session of each entry."""
        with self._cond:
            return list(self._sessions.values())

    def open(self, peer: Peer) -> Peer | None:
        """Makes a session the current one of its entry; returns the one replaced."""
        with self._cond:
            older = self._sessions.get(peer.name)
            self._sessions[peer.name] = peer
            return older

    def close(self, peer: Peer) -> None:
        """Removes a session unless a newer one has replaced it.

        Its reservations remain until ``drop_reservations``.
        """
        with self._cond:
            if self._sessions.get(peer.name) is peer:
                del self._sessions[peer.name]

    def drop_reservations(self, peer: Peer) -> None:
        """Drops reservations and held slots of an ended or replaced session."""
        with self._cond:
            self._queue.drop(lambda res: res.owner is peer)
            dropped = [i for i, a in self._pending_asks.items() if a.res.owner is peer]
            for request_id in dropped:
                self._pending_asks.pop(request_id).release()
            self._cond.notify_all()

    def pause(self) -> None:
        """Pauses admission for a moment: the backend server is unreachable."""
        with self._cond:
            self._paused_until = time.monotonic() + UNREACHABLE_PAUSE_S

    # Reservations and slots

    def reserve(self, res: Reservation) -> list[Reservation]:
        """Queues a reservation; returns the reservations shed to make room for it.

        After ``stop`` the reservation itself is returned.
        """
        with self._cond:
            if self._closed:
                return [res]
            shed = self._queue.place(res)
            self._cond.notify_all()
        return shed

    def withdraw(self, peer: Peer, request_id: str) -> None:
        """Removes a session's reservation."""
        with self._cond:
            self._queue.withdraw(request_id, owner=peer)

    def release_pending(self, peer: Peer, request_id: str) -> None:
        """Releases the slot held for a request that its entry does not grant."""
        with self._cond:
            if self._pop_pending_ask(peer, request_id) is not None:
                self._cond.notify_all()

    def start(self, peer: Peer, grant: Grant) -> Started | Refused | Duplicate:
        """Adds the run of a grant if the grant may start.

        This and the replacement of sessions happen under one lock: once a newer
        session of the entry is open, a grant on an older one cannot start a run.
        """
        with self._cond:
            release = self._slot_for(peer, grant)
            if release is None:
                return Refused()
            run = Run(grant, peer)
            if self._runs.add(run):
                return Started(run, self._notifying(release))
            release()
            return Duplicate()

    def resume(self, run: Run, peer: Peer) -> Started | Refused | Duplicate:
        """Adds a run that is in progress at the backend server; it occupies a slot."""
        with self._cond:
            if self._sessions.get(peer.name) is not peer:
                return Refused()
            if not self._runs.add(run):
                return Duplicate()
            release = self._slots.acquire(run.grant.tier)
            return Started(run, self._notifying(release))

    def _pop_pending_ask(self, peer: Peer, request_id: str) -> Reservation | None:
        """Releases the slot held for a request, if this session was asked for it."""
        ask = self._pending_asks.get(request_id)
        if ask is None or ask.res.owner is not peer:
            return None
        del self._pending_asks[request_id]
        ask.release()
        return ask.res

    def _slot_for(self, peer: Peer, grant: Grant) -> Callable[[], None] | None:
        if self._sessions.get(peer.name) is not peer:
            return None
        if self._pop_pending_ask(peer, grant.request_id) is not None:
            # The lock is held since the release, so the slot is still free. It is
            # acquired again with the tier and the fingerprint of the grant.
            return self._acquire(grant.tier, grant.fingerprint)
        if not grant.direct or self._closed or len(self._queue) or self._is_blocked():
            return None
        if self._slots.used and self._suspicions.is_suspect(grant.fingerprint):
            return None
        policy = self._queue.policy(grant.tier)
        # The shed floor reserves free slots for higher tiers with requests at risk.
        if policy.shed_order < self._queue.shed_floor():
            return None
        if not self._slots.allows(grant.tier, policy.slot_share):
            return None
        return self._acquire(grant.tier, grant.fingerprint)

    def _is_blocked(self) -> bool:
        """Whether nothing may start: a suspect runs alone or admission is paused."""
        return self._suspect_running or time.monotonic() < self._paused_until

    def _acquire(self, tier: str, fingerprint: str) -> Callable[[], None]:
        """Acquires a slot; while a suspect holds one, nothing may start beside it."""
        release = self._slots.acquire(tier)
        if not self._suspicions.is_suspect(fingerprint):
            return release
        self._suspect_running = True

        def release_suspect() -> None:
            self._suspect_running = False
            release()

        return release_suspect

    def _take_next(self) -> Reservation | None:
        suspect = self._queue.find(
            lambda res: self._suspicions.is_suspect(res.fingerprint)
        )
        if suspect is not None:
            # Running requests drain first, so that the suspect runs alone.
            return None if self._slots.used else self._queue.remove_granted(suspect)
        spare = self._slots.free > min(SPARE_SLOTS, self._slots.total - 1)
        return self._queue.take_next(self._share_left, may_exceed=spare)

    def take_next_to_ask(self, timeout_s: float) -> Reservation | None:
        """Removes the first reservation that may start and holds a slot for it.

        Waits up to the timeout and returns None if there is none now.
        """
        with self._cond:
            if self._slots.free == 0 or self._is_blocked():
                self._cond.wait(timeout_s)
                return None
            res = self._take_next()
            if res is None:
                self._cond.wait(timeout_s)
                return None
            release = self._acquire(res.tier, res.fingerprint)
            self._pending_asks[res.request_id] = _PendingAsk(
                res, release, time.monotonic()
            )
            return res

    def sweep(self) -> list[Reservation]:
        """Releases slots held for overdue grants; returns the expired reservations."""
        now = time.monotonic()
        with self._cond:
            expired = self._queue.expired()
            late = [
                i
                for i, a in self._pending_asks.items()
                if now - a.asked_at > ASK_TIMEOUT_S
            ]
            for request_id in late:
                self._pending_asks.pop(request_id).release()
            self._cond.notify_all()
        return expired

    def _share_left(self, res: Reservation) -> bool:
        """Whether the tier of a reservation has slots of its share left."""
        policy = self._queue.policy(res.tier)
        return self._slots.allows(res.tier, policy.slot_share)

    def _notifying(self, release: Callable[[], None]) -> Callable[[], None]:
        """Returns a release function that locks and wakes the loop asking entries."""

        def release_and_notify() -> None:
            with self._cond:
                release()
                self._cond.notify_all()

        return release_and_notify
