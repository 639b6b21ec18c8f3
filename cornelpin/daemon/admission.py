"""Admission at a side: its sessions, queue, slots and the grants it awaits."""

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

ASK_TIMEOUT_S = 2.0
URGENT_SLOTS = 1
UNREACHABLE_PAUSE_S = 0.5


@attrs.define(eq=False)
class _PendingAsk:
    """A slot held for a reservation whose entry was asked for it."""

    res: Reservation
    release: Callable[[], None]
    since: float


@attrs.frozen
class Started:
    """A run that may start now, with the function that gives its slot back."""

    run: Run
    release: Callable[[], None]


@attrs.frozen
class Refused:
    """The grant does not and will not start a run."""


@attrs.frozen
class Duplicate:
    """The grant, or a later one of the same request, is known already."""


class Admission:
    """Decides under one lock what may start on the backend server."""

    def __init__(self, slots: int, runs: RunTable, suspects: SuspicionSync) -> None:
        self._runs = runs
        self._suspicions = suspects
        self._alone = False
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
        """Number of slots held for grants that were asked for."""
        return len(self._pending_asks)

    @property
    def drain_per_s(self) -> float:
        """Reservations that leave the queue for a slot in a second."""
        with self._cond:
            return self._queue.drain_per_s

    def set_policies(
        self, tiers: Mapping[str, TierPolicy], shares: Mapping[str, float]
    ) -> None:
        """Takes the order of the tiers and the shares of the workspaces."""
        with self._cond:
            self._queue.tiers = tiers
            self._queue.shares = shares
            self._cond.notify_all()

    def stop(self) -> list[Reservation]:
        """Admits nothing more; returns the reservations that waited."""
        with self._cond:
            self._closed = True
            dropped = self._queue.drop(lambda res: True)
            self._cond.notify_all()
        return dropped

    def restart(self) -> None:
        """Admits requests again."""
        with self._cond:
            self._closed = False

    # Sessions

    def peers(self) -> list[Peer]:
        """Returns the current sessions."""
        with self._cond:
            return list(self._sessions.values())

    def open(self, peer: Peer) -> Peer | None:
        """Makes a session the current one of its entry; returns the older one."""
        with self._cond:
            older = self._sessions.get(peer.name)
            self._sessions[peer.name] = peer
            return older

    def close(self, peer: Peer) -> None:
        """Forgets a session unless a newer one has replaced it."""
        with self._cond:
            if self._sessions.get(peer.name) is peer:
                del self._sessions[peer.name]

    def detach(self, peer: Peer) -> None:
        """Drops what an ended session had reserved."""
        with self._cond:
            self._queue.drop(lambda res: res.owner is peer)
            lost = [i for i, a in self._pending_asks.items() if a.res.owner is peer]
            for request_id in lost:
                self._pending_asks.pop(request_id).release()
            self._cond.notify_all()

    def pause(self) -> None:
        """Starts nothing for a while: the backend server cannot be reached."""
        with self._cond:
            self._paused_until = time.monotonic() + UNREACHABLE_PAUSE_S

    # Reservations and slots

    def reserve(self, res: Reservation) -> list[Reservation]:
        """Queues a reservation; returns those that are refused or shed for it."""
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
        """Gives back the slot of a request that its entry does not grant."""
        with self._cond:
            if self._take_asked(peer, request_id) is not None:
                self._cond.notify_all()

    def start(self, peer: Peer, grant: Grant) -> Started | Refused | Duplicate:
        """Decides on a grant and, if it may start, adds its run.

        Both happen under one lock with the change of sessions: once a newer session
        of the entry is open, a grant on an older one no longer starts anything.
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
        """Adds a run that the backend server carries already; it takes a slot."""
        with self._cond:
            if self._sessions.get(peer.name) is not peer:
                return Refused()
            if not self._runs.add(run):
                return Duplicate()
            release = self._slots.acquire(run.grant.tier)
            return Started(run, self._notifying(release))

    def _take_asked(self, peer: Peer, request_id: str) -> Reservation | None:
        """Ends the wait for a grant; only the session that was asked may."""
        ask = self._pending_asks.get(request_id)
        if ask is None or ask.res.owner is not peer:
            return None
        del self._pending_asks[request_id]
        ask.release()
        return ask.res

    def _slot_for(self, peer: Peer, grant: Grant) -> Callable[[], None] | None:
        if self._sessions.get(peer.name) is not peer:
            return None
        if self._take_asked(peer, grant.request_id) is not None:
            return self._acquire(grant.tier, grant.fingerprint)
        if not grant.direct or self._closed or len(self._queue) or self._is_held():
            return None
        if self._slots.used and self._suspicions.is_suspect(grant.fingerprint):
            return None
        policy = self._queue.policy(grant.tier)
        if policy.shed_order < self._queue.shed_floor():
            return None
        if not self._slots.allows(grant.tier, policy.slot_share):
            return None
        return self._acquire(grant.tier, grant.fingerprint)

    def _is_held(self) -> bool:
        """Whether nothing may start beside what runs, or at all for a while."""
        return self._alone or time.monotonic() < self._paused_until

    def _acquire(self, tier: str, fingerprint: str) -> Callable[[], None]:
        """Takes a slot; a suspected content keeps the others out."""
        release = self._slots.acquire(tier)
        if not self._suspicions.is_suspect(fingerprint):
            return release
        self._alone = True

        def release_alone() -> None:
            self._alone = False
            release()

        return release_alone

    def _take(self) -> Reservation | None:
        suspect = self._queue.find(
            lambda res: self._suspicions.is_suspect(res.fingerprint)
        )
        if suspect is not None:
            # The backend server drains first, then the suspect runs alone.
            return None if self._slots.used else self._queue.remove_granted(suspect)
        spare = self._slots.free > min(URGENT_SLOTS, self._slots.total - 1)
        return self._queue.take_next(self._startable, may_exceed=spare)

    def take_next_to_ask(self, timeout_s: float) -> Reservation | None:
        """Takes the reservation that goes first and holds a slot for it."""
        with self._cond:
            if self._slots.free == 0 or self._is_held():
                self._cond.wait(timeout_s)
                return None
            res = self._take()
            if res is None:
                self._cond.wait(timeout_s)
                return None
            release = self._acquire(res.tier, res.fingerprint)
            self._pending_asks[res.request_id] = _PendingAsk(
                res, release, time.monotonic()
            )
            return res

    def sweep(self) -> list[Reservation]:
        """Gives up on late grants; returns the reservations that waited too long."""
        now = time.monotonic()
        with self._cond:
            expired = self._queue.expired()
            late = [
                i
                for i, a in self._pending_asks.items()
                if now - a.since > ASK_TIMEOUT_S
            ]
            for request_id in late:
                self._pending_asks.pop(request_id).release()
            self._cond.notify_all()
        return expired

    def _startable(self, res: Reservation) -> bool:
        policy = self._queue.policy(res.tier)
        return self._slots.allows(res.tier, policy.slot_share)

    def _notifying(self, release: Callable[[], None]) -> Callable[[], None]:
        def notify() -> None:
            with self._cond:
                release()
                self._cond.notify_all()

        return notify
