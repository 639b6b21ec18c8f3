"""Limits of workspaces over all entries, without a call to the object API.

Each live entry enforces an equal share of a limit. The shares follow the heartbeats: an
entry that is lost leaves its share to the others.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.execution import Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.core.config import Limits

BURST_S = 1.0


@attrs.frozen
class EntryShare:
    """This entry's part in the limits.

    Attributes:
        rank: Place of this entry among the live ones, from zero.
        live: Number of live entries.
    """

    rank: int = 0
    live: int = 1

    def of_count(self, limit: int) -> int:
        """Returns this entry's part of a whole number; the parts add up to it."""
        whole, rest = divmod(limit, self.live)
        return whole + (self.rank < rest)


def entry_share(name: str, entries: Iterable[str], lost: Iterable[str]) -> EntryShare:
    """Returns an entry's share, given all entries and those known to be lost."""
    live = sorted({name, *entries} - (set(lost) - {name}))
    return EntryShare(live.index(name), len(live))


@attrs.define
class _Bucket:
    """Amount that a workspace may use now, refilled at a rate."""

    level: float
    at: float


class RateLimiter:
    """Enforces the rates of all workspaces at this entry."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def admit(
        self, workspace: str, limits: Limits, share: EntryShare, tokens: int
    ) -> None:
        """Counts a request against its workspace's rates.

        Raises:
            Refusal: If a rate is exceeded.
        """
        wanted = {
            "requests": (limits.requests_per_s, 1),
            "tokens": (limits.tokens_per_s, tokens),
        }
        with self._lock:
            buckets = []
            for kind, (rate, amount) in wanted.items():
                if rate is not None:
                    bucket = self._refilled(workspace, kind, rate / share.live)
                    buckets.append((bucket, amount, rate / share.live))
            for bucket, _, rate_per_s in buckets:
                if bucket.level <= 0:
                    wait_s = -bucket.level / rate_per_s
                    raise over_limit(workspace, max(wait_s, 1 / rate_per_s))
            for bucket, amount, _ in buckets:
                bucket.level -= amount

    def _refilled(self, workspace: str, kind: str, rate_per_s: float) -> _Bucket:
        """Returns a bucket at its present level; a large amount leaves a debt."""
        now = self._clock()
        burst = max(1.0, rate_per_s * BURST_S)
        bucket = self._buckets.setdefault((workspace, kind), _Bucket(burst, now))
        bucket.level = min(burst, bucket.level + (now - bucket.at) * rate_per_s)
        bucket.at = now
        return bucket


def over_limit(workspace: str, retry_after_s: float) -> Refusal:
    """Returns the refusal of a request over its workspace's limit."""
    return Refusal(
        Reason.OVER_LIMIT,
        detail=f"workspace {workspace} is over its limit",
        retry_after_s=retry_after_s,
    )
