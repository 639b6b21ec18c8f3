"""Enforces workspace limits across all entries without calls to the object store.

Each live entry enforces an equal share of a limit. Liveness comes from heartbeats: the
share of a disconnected entry passes to the others.
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

# Capacity of a token bucket, in seconds of its refill rate.
BURST_S = 1.0


@attrs.frozen
class EntryShare:
    """This entry's share of the workspace limits.

    Attributes:
        rank: Index of this entry among the live ones in order of names.
        live: Number of live entries.
    """

    rank: int = 0
    live: int = 1

    def of_count(self, limit: int) -> int:
        """Returns this entry's share of a count; the shares add up to it."""
        quotient, rest = divmod(limit, self.live)
        return quotient + (self.rank < rest)


def entry_share(
    name: str, entries: Iterable[str], disconnected: Iterable[str]
) -> EntryShare:
    """Returns an entry's share, given all entries and the disconnected ones."""
    live = sorted({name, *entries} - (set(disconnected) - {name}))
    return EntryShare(live.index(name), len(live))


@attrs.define
class _Bucket:
    """Token bucket of one workspace, for requests or for model tokens.

    Attributes:
        level: Amount that the workspace may use now.
        at: Monotonic time in seconds of the last refill.
    """

    level: float
    at: float


class RateLimiter:
    """Enforces the rate limits of all workspaces at this entry with token buckets."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def admit(
        self, workspace: str, limits: Limits, share: EntryShare, tokens: int
    ) -> None:
        """Charges a request to the buckets of its workspace.

        Args:
            workspace: Name of the workspace.
            limits: Limits of the workspace across all entries.
            share: This entry's share of the limits.
            tokens: Estimated prompt and output tokens of the request.

        Raises:
            Refusal: If a bucket is empty.
        """
        demands = {
            "requests": (limits.requests_per_s, 1),
            "tokens": (limits.tokens_per_s, tokens),
        }
        with self._lock:
            buckets = []
            for kind, (rate, amount) in demands.items():
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
        """Returns a bucket after its refill.

        The level may be negative after a request larger than the bucket.
        """
        now = self._clock()
        burst = max(1.0, rate_per_s * BURST_S)
        bucket = self._buckets.setdefault((workspace, kind), _Bucket(burst, now))
        bucket.level = min(burst, bucket.level + (now - bucket.at) * rate_per_s)
        bucket.at = now
        return bucket


def over_limit(workspace: str, retry_after_s: float) -> Refusal:
    """Returns the refusal of a request that exceeds its workspace's limit."""
    return Refusal(
        Reason.OVER_LIMIT,
        detail=f"workspace {workspace} is over its limit",
        retry_after_s=retry_after_s,
    )
