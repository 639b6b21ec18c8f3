"""Admission at a side: its sessions, queue, slots and the grants it awaits."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.reservations import Reservation, ReservationQueue
from cornelpin.core.slots import SlotTable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.core.reservations import TierPolicy
    from cornelpin.daemon.messages import Grant
    from cornelpin.daemon.peer import Peer

ASK_TIMEOUT_S = 2.0


@attrs.define(eq=False)
class _Asked:
    """A slot held for a reservation whose entry was asked for it."""

    res: Reservation
    release: Callable[[], None]
    since: float


class Admission:
    """Decides under one lock what may start on the backend server."""

    def __init__(self, slots: int) -> None:
        self._cond = threading.Condition()
        self._queue = ReservationQueue()
        self._slots = SlotTable(slots)
        self._asked: dict[str, _Asked] = {}
        self._sessions: dict[str, Peer] = {}
        self._closed = False

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def slots(self) -> SlotTable:
        """The slots of the backend server."""
        return self._slots

    @property
    def asked(self) -> int:
        """Number of slots held for grants that were asked for."""
        return len(self._asked)

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
            lost = [i for i, a in self._asked.items() if a.res.owner is peer]
            for request_id in lost:
                self._asked.pop(request_id).release()
            self._cond.notify_all()

    # Reservations and slots

    def reserve(self, res: Reservation) -> list[Reservation]:
        """Queues a reservation; returns those that are shed for it."""
        with self._cond:
            shed = self._queue.place(res)
            self._cond.notify_all()
        return shed

    def withdraw(self, request_id: str) -> None:
        """Removes a reservation."""
        with self._cond:
            self._queue.withdraw(request_id)

    def gone(self, request_id: str) -> None:
        """Gives back the slot of a request that its entry does not grant."""
        with self._cond:
            asked = self._asked.pop(request_id, None)
            if asked is not None:
                asked.release()
                self._cond.notify_all()

    def slot_for(self, peer: Peer, grant: Grant) -> Callable[[], None] | None:
        """Returns the release of a grant's slot, or None if it may not start."""
        with self._cond:
            asked = self._asked.pop(grant.request_id, None)
            current = self._sessions.get(peer.name) is peer
            if asked is not None and current:
                return self._notifying(asked.release)
            if asked is not None:
                asked.release()
            if not grant.direct or not current or self._closed:
                return None
            policy = self._queue.policy(grant.tier)
            if len(self._queue) or not self._slots.allows(
                grant.tier, policy.slot_share
            ):
                return None
            return self._notifying(self._slots.acquire(grant.tier))

    def next_asked(self, timeout_s: float) -> Reservation | None:
        """Takes the reservation that goes first and holds a slot for it."""
        with self._cond:
            res = self._queue.take(self._startable)
            if res is None:
                self._cond.wait(timeout_s)
                return None
            release = self._slots.acquire(res.tier)
            self._asked[res.request_id] = _Asked(res, release, time.monotonic())
            return res

    def sweep(self) -> list[Reservation]:
        """Gives up on late grants; returns the reservations that waited too long."""
        now = time.monotonic()
        with self._cond:
            expired = self._queue.expired()
            late = [i for i, a in self._asked.items() if now - a.since > ASK_TIMEOUT_S]
            for request_id in late:
                self._asked.pop(request_id).release()
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
