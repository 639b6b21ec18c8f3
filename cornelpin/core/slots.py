"""Slots of one backend server, with a share for each tier.

A tier may use its share, and may borrow slots that the other tiers have not used within
the last PEAK_WINDOW_S, so that long requests do not wait at an otherwise idle server.
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
# Resolution of the peak use within the window, in seconds.
PERIOD_S = 0.5
# Fraction of the slots that is never lent: a borrowed slot is returned only at the end
# of a long run.
UNLENT_SHARE = 0.25


@attrs.define
class _Period:
    """Peak use within a short period.

    Attributes:
        started_at: Monotonic start time in seconds.
        used: Peak number of slots in use.
        others: By tier: peak number of slots held by the other tiers together. A tier
            that has held no slot is missing; for it, the peak is ``used``.
    """

    started_at: float
    used: int = 0
    others: dict[str, int] = attrs.field(factory=dict)

    def update(self, held: dict[str, int]) -> None:
        """Updates the peaks with the current use."""
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
        self._record_use()

    @property
    def used(self) -> int:
        """Number of slots in use."""
        return sum(self._held.values())

    @property
    def free(self) -> int:
        """Number of free slots."""
        return max(0, self.total - self.used)

    def allows(self, tier: str, slot_share: float) -> bool:
        """Returns whether one more request of a tier may start now."""
        if self.free == 0:
            return False
        held = self._held.get(tier, 0)
        limit = max(1, math.floor(slot_share * self.total))
        return held < limit or held < self._borrowable(tier)

    def acquire(self, tier: str) -> Callable[[], None]:
        """Acquires a slot; returns an idempotent function that releases it."""
        self._held[tier] = self._held.get(tier, 0) + 1
        self._record_use()
        held = [tier]  # emptied by the first release

        def release() -> None:
            if held:
                self._held[held.pop()] -= 1
                self._record_use()

        return release

    def _borrowable(self, tier: str) -> int:
        """Returns the slots that the recent peak of other tiers leaves to a tier."""
        self._record_use()
        peak = max(p.others.get(tier, p.used) for p in self._periods)
        return self.total - max(peak, math.ceil(UNLENT_SHARE * self.total))

    def _record_use(self) -> None:
        """Records the current use in the latest period and drops expired periods."""
        now = self._clock()
        if not self._periods or now - self._periods[-1].started_at > PERIOD_S:
            self._periods.append(_Period(now))
        self._periods[-1].update(self._held)
        while self._periods[0].started_at < now - PEAK_WINDOW_S:
            self._periods.popleft()
