"""Workspace limits that several entries enforce without coordination.

The shares of the live entries must add up to the limit, also after one disconnects.
"""

from __future__ import annotations

import pytest

from cornelpin.core.config import Limits
from cornelpin.core.execution import Reason, Refusal
from cornelpin.core.limits import EntryShare, RateLimiter, entry_share


class FakeClock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    ("name", "lost", "expected"),
    [
        ("e1", [], EntryShare(0, 3)),
        ("e3", [], EntryShare(2, 3)),
        ("e3", ["e1"], EntryShare(1, 2)),
        ("e2", ["e1", "e2", "e3"], EntryShare(0, 1)),
    ],
)
def test_shares_follow_the_live_entries(name, lost, expected):
    assert entry_share(name, ["e1", "e2", "e3"], lost) == expected


@pytest.mark.parametrize("limit", [1, 2, 3, 7, 100])
@pytest.mark.parametrize("live", [1, 2, 3, 8])
def test_shares_of_a_count_add_up_to_it(limit, live):
    shares = [EntryShare(rank, live).of_count(limit) for rank in range(live)]
    assert sum(shares) == limit
    assert max(shares) - min(shares) <= 1


def count_admitted(limits, *, live, seconds, per_s, tokens=1):
    """Returns how many requests pass at a steady rate to each live entry."""
    clock = FakeClock()
    limiters = [RateLimiter(clock) for _ in range(live)]
    count = 0
    for _ in range(int(seconds * per_s)):
        clock.now += 1 / per_s
        for rank, limiter in enumerate(limiters):
            try:
                limiter.admit("w", limits, EntryShare(rank, live), tokens)
                count += 1
            except Refusal as exc:
                assert exc.reason is Reason.OVER_LIMIT
                assert exc.retry_after_s > 0
    return count


@pytest.mark.parametrize("live", [1, 2, 4])
@pytest.mark.parametrize(
    ("limits", "tokens", "expected"),
    [
        (Limits(requests_per_s=20.0), 1, 20 * 60),
        (Limits(tokens_per_s=1000.0), 100, 10 * 60),
        (Limits(requests_per_s=20.0, tokens_per_s=1000.0), 100, 10 * 60),
        (Limits(requests_per_s=0.5), 1, 30),
    ],
)
def test_rate_limit_holds_across_entries(live, limits, tokens, expected):
    count = count_admitted(limits, live=live, seconds=60, per_s=50, tokens=tokens)
    assert expected * 0.9 <= count <= expected * 1.1 + 4 * live


def test_unlimited_workspace_is_not_refused():
    assert count_admitted(Limits(), live=2, seconds=5, per_s=50) == 500
