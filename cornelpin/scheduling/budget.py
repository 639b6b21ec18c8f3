"""Retry budget of a service, split over the entries.

When many sends fail at once, retrying each of them would double the load on the servers
that are left.
"""

from __future__ import annotations

from collections import deque

import attrs

BUDGET_SHARE = 0.8
"""Part of the platform's budget that is used. The rest is a margin: each entry counts
its own sliding window, which differs a little from that of the whole fleet."""


@attrs.frozen
class BudgetBounds:
    """Bounds that the platform sets on retries.

    Attributes:
        ratio: Retries allowed per request.
        extra: Further retries allowed per window, for all entries together.
        window_s: Length of the sliding window, seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """Limits the retries of one service at this entry over a sliding window."""

    def __init__(self, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Counts a request for the service."""
        self._requests.append(now)
        _expire(self._requests, now - self._bounds.window_s)

    def take(self, now: float, entries: int, *, part: float = 1.0) -> bool:
        """Takes one retry from the budget; returns False if none is left.

        Args:
            now: Monotonic time in seconds.
            entries: Number of entries that share the budget.
            part: Part of the budget that may be used up.
        """
        if not self.has_room(now, entries, part=part):
            return False
        self._retries.append(now)
        return True

    def has_room(self, now: float, entries: int, *, part: float = 1.0) -> bool:
        """Returns whether a retry is left in the budget; for arguments see ``take``."""
        _expire(self._requests, now - self._bounds.window_s)
        _expire(self._retries, now - self._bounds.window_s)
        own = self._bounds.ratio * len(self._requests)
        limit = BUDGET_SHARE * (own + self._bounds.extra / max(1, entries))
        return len(self._retries) + 1 <= part * limit


def _expire(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
