"""Queue of reservations at a side: who goes first and who is shed first.

Urgency and shedding are two orders. Urgency decides which reservation gets the
next free slot; the shed order decides which one is dropped when the queue is
full. A reservation that has spent much of its allowed wait is at risk: while one
waits, no tier of a lower shed order gets a slot, so a tier is only shed after the
lower ones have stopped being served. Within a tier, workspaces share by tokens.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.drain import DrainMeter

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

AT_RISK_SHARE = 0.3
MAX_AT_RISK_S = 4.0
DEFAULT_CAPACITY = 2000
FLOOR_HOLD_S = 1.5
RANK_DELAY_S = 0.25
SHED_MARGIN_S = 0.75
LOWEST_ORDER = -(2**31)
# Largest share of the time left that is kept for answering: an estimate that is too
# long refuses a request no earlier than this.
ANSWER_SHARE = 0.25


def risk_window_s(wait_s: float) -> float:
    """Returns how long before the end of its wait a request is at risk."""
    return min(AT_RISK_SHARE * wait_s, MAX_AT_RISK_S)


def longest_wait_s(max_wait_s: float, left_s: float, answer_s: float) -> float:
    """Returns how long a request may wait and still be answered in time.

    Args:
        max_wait_s: Longest wait of its tier in seconds.
        left_s: Seconds to its deadline.
        answer_s: Estimated seconds from its grant to the end of its answer.
    """
    return min(max_wait_s, left_s - min(answer_s, ANSWER_SHARE * left_s))


@attrs.frozen
class TierPolicy:
    """The part of a tier's configuration that orders reservations.

    Attributes:
        shed_order: Tiers with a lower value are shed first.
        urgency: Tiers with a lower value go first.
        slot_share: Share of the slots that requests of the tier may hold.
        queue_share: Share of the queue that requests of the tier may fill.
    """

    shed_order: int = 0
    urgency: int = 0
    slot_share: float = 1.0
    queue_share: float = 1.0


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
        placed_at: Monotonic time of placement in seconds.
        wait_s: Seconds the reservation may wait.
        fingerprint: Digest of the request's content.
        rank: Place of this side in the entry's order of preference, from zero.
    """

    request_id: str
    owner: object
    tier: str
    workspace: str
    version: str
    cost: int
    placed_at: float
    wait_s: float
    fingerprint: str = ""
    rank: int = 0

    @property
    def order_time(self) -> float:
        """Time that orders reservations of a workspace.

        A request waits at several sides. Each puts those first that prefer it, or
        all would ask for the same oldest request and hold slots for it in vain.
        """
        return self.placed_at + self.rank * RANK_DELAY_S

    def at_risk(self, now: float) -> bool:
        """Whether little of the allowed waiting time is left."""
        return self.placed_at + self.wait_s - now < risk_window_s(self.wait_s)


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
        self._drain = DrainMeter(clock)
        self._shed_floor = LOWEST_ORDER
        self._shed_until = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def policy(self, tier: str) -> TierPolicy:
        """Returns the ordering of a tier; unknown tiers are shed first."""
        return self.tiers.get(tier, TierPolicy(shed_order=-1, urgency=1_000))

    @property
    def drain_per_s(self) -> float:
        """Reservations that leave the queue for a slot, here or elsewhere."""
        return self._drain.per_s()

    def place(self, res: Reservation) -> list[Reservation]:
        """Adds a reservation.

        Returns:
            The reservations shed to keep the queue and the share of each tier
            within their capacity; they may include the new one.
        """
        self._join(res.workspace)
        self._waiting[res.request_id] = res
        shed = self._over_share(res.tier)
        if len(self._waiting) > self.capacity:
            shed.append(min(self._waiting.values(), key=self._shed_key))
            del self._waiting[shed[-1].request_id]
        return self._shed(shed)

    def take_next(
        self, share_left: Callable[[Reservation], bool], *, may_exceed: bool
    ) -> Reservation | None:
        """Removes and returns the reservation that goes first, if any may go.

        Args:
            share_left: Whether a reservation's tier has slots of its share left.
            may_exceed: Whether one at risk may exceed its share of the slots where
                only tiers that are shed before it could use the slot.
        """
        now = self._clock()
        floor = self.shed_floor()
        waiting = [r for r in self._waiting.values() if self._order(r) >= floor]
        best = min(filter(share_left, waiting), key=self._order_key, default=None)
        if best is None and may_exceed:
            at_risk = (res for res in waiting if res.at_risk(now))
            best = min(at_risk, key=self._order_key, default=None)
        return best and self.remove_granted(best)

    def find(self, wanted: Callable[[Reservation], bool]) -> Reservation | None:
        """Returns the first reservation that a predicate selects."""
        return next(filter(wanted, self._waiting.values()), None)

    def remove_granted(self, res: Reservation) -> Reservation:
        """Removes a reservation that gets a slot."""
        del self._waiting[res.request_id]
        self._charge(res, res.cost)
        self._drain.count()
        return res

    def shed_floor(self) -> int:
        """Returns the lowest shed order that may get a slot now.

        It is the highest order at risk or, for a while, the highest shed.
        """
        now = self._clock()
        at_risk = (self._order(r) for r in self._waiting.values() if r.at_risk(now))
        shed = self._shed_floor if now < self._shed_until else LOWEST_ORDER
        return max(shed, max(at_risk, default=LOWEST_ORDER))

    def withdraw(self, request_id: str, *, owner: object) -> Reservation | None:
        """Removes a reservation by request id if the owner placed it.

        One whose wait was not over got its slot elsewhere. Its workspace is charged
        here too: a workspace that is served by other sides would else stay the least
        served, and its requests would be asked for first, and in vain.
        """
        res = self._waiting.get(request_id)
        if res is None or res.owner is not owner:
            return None
        del self._waiting[request_id]
        if self._clock() - res.placed_at > res.wait_s - SHED_MARGIN_S:
            self._shed([res])
        else:
            self._charge(res, res.cost)
            self._drain.count()
        return res

    def drop(self, unwanted: Callable[[Reservation], bool]) -> list[Reservation]:
        """Removes and returns all reservations that a predicate selects."""
        dropped = [res for res in self._waiting.values() if unwanted(res)]
        for res in dropped:
            del self._waiting[res.request_id]
        return dropped

    def expired(self) -> list[Reservation]:
        """Removes and returns the reservations that have waited too long."""
        now = self._clock()
        return self._shed(self.drop(lambda res: now - res.placed_at > res.wait_s))

    def _join(self, workspace: str) -> None:
        """Gives an idle workspace no credit for the time that it did not wait."""
        busy = {res.workspace for res in self._waiting.values()}
        if workspace not in busy:
            least = min((self._served[name] for name in busy), default=0.0)
            self._served[workspace] = max(self._served.get(workspace, 0.0), least)

    def _charge(self, res: Reservation, tokens: float) -> None:
        share = self.shares.get(res.workspace, 1.0) or 1.0
        self._served[res.workspace] += tokens / share

    def _over_share(self, tier: str) -> list[Reservation]:
        """Removes the youngest of a tier that fills more than its queue share."""
        limit = max(1, int(self.policy(tier).queue_share * self.capacity))
        mine = [res for res in self._waiting.values() if res.tier == tier]
        if len(mine) <= limit:
            return []
        youngest = max(mine, key=lambda res: res.placed_at)
        del self._waiting[youngest.request_id]
        return [youngest]

    def _shed(self, reservations: list[Reservation]) -> list[Reservation]:
        """Holds the tiers back that are shed before any of these."""
        now = self._clock()
        orders = [self._order(res) for res in reservations]
        if now < self._shed_until:
            orders.append(self._shed_floor)
        if reservations:
            self._shed_floor = max(orders)
            self._shed_until = now + FLOOR_HOLD_S
        return reservations

    def _order(self, res: Reservation) -> int:
        return self.policy(res.tier).shed_order

    def _order_key(self, res: Reservation) -> tuple:
        policy = self.policy(res.tier)
        served = self._served.get(res.workspace, 0.0)
        return (policy.urgency, -policy.shed_order, served, res.order_time)

    def _shed_key(self, res: Reservation) -> tuple:
        return (self.policy(res.tier).shed_order, -res.placed_at)
