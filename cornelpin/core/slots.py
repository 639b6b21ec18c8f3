"""Slots of one backend server, with a share for each tier.

A tier may hold its share. It may borrow more while the other tiers have not used the
rest of late, so that long work is not held back on a server that is otherwise idle.
"""

from __future__ import annotations

import collections
import math
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

PEAK_WINDOW_S = 5.0
PERIOD_S = 0.5
# Share of the slots that is never lent: a borrowed slot comes back only at the end
# of a long run.
KEPT_SHARE = 0.25


@attrs.define
class _Period:
    """Peak use within a short period.

    Attributes:
        began: Monotonic time of its beginning in seconds.
        used: Most slots in use.
        others: Most slots that tiers other than the named one held.
    """

    began: float
    used: int = 0
    others: dict[str, int] = attrs.field(factory=dict)

    def note(self, held: dict[str, int]) -> None:
        """Takes the present use."""
        used = sum(held.values())
        for tier, count in held.items():
            peak = self.others.get(tier, self.used)
            self.others[tier] = max(peak, used - count)
        self.used = max(self.used, used)


class SlotTable:
    """Counts the requests running on one backend server; not thread-safe."""

    def __init__(
        self, total: int, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.total = total
        self._clock = clock
        self._held: dict[str, int] = {}
        self._periods: collections.deque[_Period] = collections.deque()
        self._note()

    @property
    def used(self) -> int:
        """Number of slots in use."""
        return sum(self._held.values())

    @property
    def free(self) -> int:
        """Number of free slots."""
        return max(0, self.total - self.used)

    def allows(self, tier: str, slot_share: float) -> bool:
        """Whether one more request of a tier may start now."""
        if self.free == 0:
            return False
        held = self._held.get(tier, 0)
        limit = max(1, math.floor(slot_share * self.total))
        return held < limit or held < self._lent(tier)

    def acquire(self, tier: str) -> Callable[[], None]:
        """Takes a slot and returns the function that gives it back, once."""
        self._held[tier] = self._held.get(tier, 0) + 1
        self._note()
        held = [tier]

        def release() -> None:
            if held:
                self._held[held.pop()] -= 1
                self._note()

        return release

    def _lent(self, tier: str) -> int:
        """Returns the slots that the other tiers' recent peak leaves to a tier."""
        self._note()
        peak = max(p.others.get(tier, p.used) for p in self._periods)
        return self.total - max(peak, math.ceil(KEPT_SHARE * self.total))

    def _note(self) -> None:
        """Takes the present use into the latest period and drops old ones."""
        now = self._clock()
        if not self._periods or now - self._periods[-1].began > PERIOD_S:
            self._periods.append(_Period(now))
        self._periods[-1].note(self._held)
        while self._periods[0].began < now - PEAK_WINDOW_S:
            self._periods.popleft()
