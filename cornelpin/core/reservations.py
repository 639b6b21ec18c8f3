"""Queue of reservations at a side: priority order, fair sharing and load shedding.

Urgency decides which reservation gets the next free slot; the shed order decides
which one is shed when the queue is full. A reservation near the end of its allowed wait
is at risk: the highest shed order at risk is the shed floor, below which no tier gets a
slot, so that a tier is shed only after the lower ones are no longer served. Within a
tier, workspaces share the slots by weighted tokens: the one with the fewest served
tokens comes first.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.departure_rate import DepartureRate

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# A reservation is at risk in the last part of its allowed wait: this fraction of it,
# but at most so many seconds.
AT_RISK_SHARE = 0.3
MAX_AT_RISK_S = 4.0
DEFAULT_CAPACITY = 2000
# How long the shed floor stays up after a reservation was shed.
SHED_FLOOR_HOLD_S = 1.5
# Delay in the queue order for each rank of the side in the entry's order of preference.
RANK_DELAY_S = 0.25
# A reservation withdrawn less than this before the end of its wait counts as shed.
SHED_MARGIN_S = 0.75
LOWEST_ORDER = -(2**31)
# Largest share of the time left that is reserved for the answer: limits how early a
# request is refused because of an estimate that is too long.
MAX_ANSWER_SHARE = 0.25


def risk_window_s(wait_s: float) -> float:
    """Returns for how many seconds before the end of its wait a request is at risk."""
    return min(AT_RISK_SHARE * wait_s, MAX_AT_RISK_S)


def longest_wait_s(max_wait_s: float, left_s: float, answer_s: float) -> float:
    """Returns how long a request may wait and still be answered by its deadline.

    Args:
        max_wait_s: Maximum wait of its tier in seconds.
        left_s: Seconds until its deadline.
        answer_s: Estimated seconds from its grant to the end of its answer.
    """
    return min(max_wait_s, left_s - min(answer_s, MAX_ANSWER_SHARE * left_s))


@attrs.frozen
class TierPolicy:
    """The part of a tier's configuration that the queue uses.

    Attributes:
        shed_order: Tiers with a lower value are shed first.
        urgency: Tiers with a lower value get free slots first.
        slot_share: Share of the slots that requests of the tier may occupy.
        queue_share: Share of the queue that requests of the tier may fill.
    """

    shed_order: int = 0
    urgency: int = 0
    slot_share: float = 1.0
    queue_share: float = 1.0


@attrs.define(eq=False)
class Reservation:
    """A queued request at a side.

    Attributes:
        request_id: Id of the request.
        owner: Session of the entry that made the reservation.
        tier: Name of the tier.
        workspace: Name of the workspace.
        version: Required backend server version, or an empty string.
        cost: Estimated work in tokens.
        placed_at: Monotonic time in seconds since which the request waits.
        wait_s: Seconds that the reservation may wait.
        fingerprint: Digest of the request's content.
        rank: Rank of this side in the entry's order of preference, from zero.
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
        """Monotonic time in seconds by which reservations of a workspace are ordered.

        A request is queued at several sides, and each side orders the requests that
        prefer another side as if they had arrived later. Otherwise all sides would
        offer slots to the same oldest request, and all but one of these slots would
        be held for nothing.
        """
        return self.placed_at + self.rank * RANK_DELAY_S

    def at_risk(self, now: float) -> bool:
        """Whether little of the allowed wait is left."""
        return self.placed_at + self.wait_s - now < risk_window_s(self.wait_s)


class ReservationQueue:
    """Reservations ordered by urgency, fair share and age; not thread-safe.

    Attributes:
        capacity: Maximum number of reservations.
        tiers: Policies by name of the tier.
        shares: Weights in fair sharing by name of the workspace, 1 if missing.
    """

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
        self._queued: dict[str, Reservation] = {}
        self._served_tokens: dict[str, float] = {}
        self._drain = DepartureRate(clock)
        self._shed_floor = LOWEST_ORDER
        self._shed_until = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    def policy(self, tier: str) -> TierPolicy:
        """Returns the policy of a tier; unknown tiers are shed first, served last."""
        return self.tiers.get(tier, TierPolicy(shed_order=-1, urgency=1_000))

    @property
    def drain_per_s(self) -> float:
        """Reservations per second that leave for a slot here or at another side."""
        return self._drain.per_s()

    def place(self, res: Reservation) -> list[Reservation]:
        """Adds a reservation.

        Returns:
            The reservations shed to keep the queue within its capacity and the tier
            within its share; they may include the new one.
        """
        self._activate(res.workspace)
        self._queued[res.request_id] = res
        shed = self._over_share(res.tier)
        if len(self._queued) > self.capacity:
            shed.append(min(self._queued.values(), key=self._shed_key))
            del self._queued[shed[-1].request_id]
        return self._raise_shed_floor(shed)

    def take_next(
        self, share_left: Callable[[Reservation], bool], *, may_exceed: bool
    ) -> Reservation | None:
        """Removes and returns the first reservation that may get a slot, if any.

        Args:
            share_left: Whether a reservation's tier has slots of its share left.
            may_exceed: Whether a reservation at risk may exceed its tier's share of
                the slots. It may do so only if no reservation at or above the shed
                floor is within its share.
        """
        now = self._clock()
        floor = self.shed_floor()
        eligible = [r for r in self._queued.values() if self._shed_order(r) >= floor]
        best = min(filter(share_left, eligible), key=self._order_key, default=None)
        if best is None and may_exceed:
            at_risk = (res for res in eligible if res.at_risk(now))
            best = min(at_risk, key=self._order_key, default=None)
        return best and self.remove_granted(best)

    def find(self, wanted: Callable[[Reservation], bool]) -> Reservation | None:
        """Returns the first reservation, in order of arrival, that matches."""
        return next(filter(wanted, self._queued.values()), None)

    def remove_granted(self, res: Reservation) -> Reservation:
        """Removes a reservation that gets a slot and charges its workspace."""
        del self._queued[res.request_id]
        self._charge(res, res.cost)
        self._drain.record_departure()
        return res

    def shed_floor(self) -> int:
        """Returns the lowest shed order that may get a slot now.

        It is the highest shed order of a reservation at risk or, for
        ``SHED_FLOOR_HOLD_S``, of one that was shed.
        """
        now = self._clock()
        at_risk = (self._shed_order(r) for r in self._queued.values() if r.at_risk(now))
        shed = self._shed_floor if now < self._shed_until else LOWEST_ORDER
        return max(shed, max(at_risk, default=LOWEST_ORDER))

    def withdraw(self, request_id: str, *, owner: object) -> Reservation | None:
        """Removes a reservation by request id if the owner placed it.

        If its wait was over or would be within ``SHED_MARGIN_S``, it counts as shed.
        Otherwise the request got a slot at another side. Its workspace is charged here
        too: otherwise a workspace served by other sides would remain
        the least served one, and slots would be offered to its requests for nothing.
        """
        res = self._queued.get(request_id)
        if res is None or res.owner is not owner:
            return None
        del self._queued[request_id]
        if self._clock() - res.placed_at > res.wait_s - SHED_MARGIN_S:
            self._raise_shed_floor([res])
        else:
            self._charge(res, res.cost)
            self._drain.record_departure()
        return res

    def drop(self, unwanted: Callable[[Reservation], bool]) -> list[Reservation]:
        """Removes and returns all matching reservations."""
        dropped = [res for res in self._queued.values() if unwanted(res)]
        for res in dropped:
            del self._queued[res.request_id]
        return dropped

    def expired(self) -> list[Reservation]:
        """Sheds and returns the reservations that have exceeded their wait."""
        now = self._clock()
        return self._raise_shed_floor(
            self.drop(lambda res: now - res.placed_at > res.wait_s)
        )

    def _activate(self, workspace: str) -> None:
        """Raises an idle workspace's served tokens to those of the least served one.

        So idle time earns no credit.
        """
        active = {res.workspace for res in self._queued.values()}
        if workspace not in active:
            least = min((self._served_tokens[name] for name in active), default=0.0)
            self._served_tokens[workspace] = max(
                self._served_tokens.get(workspace, 0.0), least
            )

    def _charge(self, res: Reservation, tokens: float) -> None:
        weight = self.shares.get(res.workspace, 1.0) or 1.0
        self._served_tokens[res.workspace] += tokens / weight

    def _over_share(self, tier: str) -> list[Reservation]:
        """Removes the newest reservation of a tier that exceeds its queue share."""
        limit = max(1, int(self.policy(tier).queue_share * self.capacity))
        same_tier = [res for res in self._queued.values() if res.tier == tier]
        if len(same_tier) <= limit:
            return []
        newest = max(same_tier, key=lambda res: res.placed_at)
        del self._queued[newest.request_id]
        return [newest]

    def _raise_shed_floor(self, reservations: list[Reservation]) -> list[Reservation]:
        """Raises the shed floor to the highest shed order of these; returns them.

        For ``SHED_FLOOR_HOLD_S``, tiers that are shed before these get no slot.
        """
        now = self._clock()
        orders = [self._shed_order(res) for res in reservations]
        if now < self._shed_until:
            orders.append(self._shed_floor)
        if reservations:
            self._shed_floor = max(orders)
            self._shed_until = now + SHED_FLOOR_HOLD_S
        return reservations

    def _shed_order(self, res: Reservation) -> int:
        return self.policy(res.tier).shed_order

    def _order_key(self, res: Reservation) -> tuple:
        policy = self.policy(res.tier)
        served = self._served_tokens.get(res.workspace, 0.0)
        return (policy.urgency, -policy.shed_order, served, res.order_time)

    def _shed_key(self, res: Reservation) -> tuple:
        return (self.policy(res.tier).shed_order, -res.placed_at)
