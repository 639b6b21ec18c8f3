"""Queue of reservations at a side: who goes first and who is shed first.

Urgency and shedding are two orders. Urgency decides which reservation gets the
next free slot; the shed order decides which one is dropped when the queue is
full. Within a tier, workspaces share by tokens granted so far.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

AT_RISK_SHARE = 0.7
DEFAULT_CAPACITY = 2000


@attrs.frozen
class TierPolicy:
    """The part of a tier's configuration that orders reservations.

    Attributes:
        shed_order: Tiers with a lower value are shed first.
        urgency: Tiers with a lower value go first.
        slot_share: Share of the slots that requests of the tier may hold.
    """

    shed_order: int = 0
    urgency: int = 0
    slot_share: float = 1.0


@attrs.define(eq=False)
class Reservation:
    """A waiting request, as a side sees it.

    Attributes:
        request_id: Id of the request.
        owner: Session of the entry that holds the request.
        tier: Name of the tier.
        workspace: Name of the workspace.
        version: Backend server version wanted, or an empty string.
        cost: Estimated work in tokens.
        placed: Monotonic time of placement in seconds.
        wait_s: Seconds the reservation may wait.
        fingerprint: Digest of the request's content.
    """

    request_id: str
    owner: object
    tier: str
    workspace: str
    version: str
    cost: int
    placed: float
    wait_s: float
    fingerprint: str = ""

    def at_risk(self, now: float) -> bool:
        """Whether most of the allowed waiting time is spent."""
        return now - self.placed > AT_RISK_SHARE * self.wait_s


class ReservationQueue:
    """Reservations ordered by urgency, fair share and age; not thread-safe."""

    def __init__(
        self,
        *,
        capacity: int = DEFAULT_CAPACITY,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.capacity = capacity
        self.tiers: Mapping[str, TierPolicy] = {}
        self.shares: Mapping[str, float] = {}
        self._clock = clock
        self._waiting: dict[str, Reservation] = {}
        self._served: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def policy(self, tier: str) -> TierPolicy:
        """Returns the ordering of a tier; unknown tiers are shed first."""
        return self.tiers.get(tier, TierPolicy(shed_order=-1, urgency=1_000))

    def place(self, res: Reservation) -> list[Reservation]:
        """Adds a reservation.

        Returns:
            The reservations shed to keep the queue within its capacity; they may
            include the new one.
        """
        if res.workspace not in self._served:
            self._served[res.workspace] = min(self._served.values(), default=0.0)
        self._waiting[res.request_id] = res
        if len(self._waiting) <= self.capacity:
            return []
        victim = min(self._waiting.values(), key=self._shed_key)
        del self._waiting[victim.request_id]
        return [victim]

    def take(self, allowed: Callable[[Reservation], bool]) -> Reservation | None:
        """Removes and returns the reservation that goes first, if any may go."""
        now = self._clock()
        best = min(
            (res for res in self._waiting.values() if allowed(res)),
            key=lambda res: self._order_key(res, now),
            default=None,
        )
        if best is None:
            return None
        del self._waiting[best.request_id]
        share = self.shares.get(best.workspace, 1.0) or 1.0
        self._served[best.workspace] += best.cost / share
        return best

    def withdraw(self, request_id: str, *, owner: object) -> Reservation | None:
        """Removes a reservation by request id if the owner placed it."""
        res = self._waiting.get(request_id)
        if res is None or res.owner is not owner:
            return None
        return self._waiting.pop(request_id)

    def drop(self, unwanted: Callable[[Reservation], bool]) -> list[Reservation]:
        """Removes and returns all reservations that a predicate selects."""
        dropped = [res for res in self._waiting.values() if unwanted(res)]
        for res in dropped:
            del self._waiting[res.request_id]
        return dropped

    def expired(self) -> list[Reservation]:
        """Removes and returns the reservations that have waited too long."""
        now = self._clock()
        return self.drop(lambda res: now - res.placed > res.wait_s)

    def _order_key(self, res: Reservation, now: float) -> tuple:
        policy = self.policy(res.tier)
        served = self._served.get(res.workspace, 0.0)
        if res.at_risk(now):
            return (0, -policy.shed_order, policy.urgency, served, res.placed)
        return (1, policy.urgency, -policy.shed_order, served, res.placed)

    def _shed_key(self, res: Reservation) -> tuple:
        return (self.policy(res.tier).shed_order, -res.placed)
