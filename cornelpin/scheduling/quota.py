"""Token buckets of workspaces, shared by all entries without a call to the store.

A workspace over its limit sends through all entries at once. Each entry keeps a replica
of every workspace's bucket and subtracts the usage that its peers report.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.scheduling.routing import Workspace

OVERAGE_SHARE = 0.5
"""Part of the tolerated overage by which rates and bursts are raised, so that requests
at the edge of a limit are not refused because a peer's count arrives late."""
SLACK_SHARE = 0.5
"""Part of the tolerated slack from which debts are paid that entries run up together
before they know of each other, so that later requests within the limit are not refused
for them. The rest covers the debts themselves."""
USAGE_HALF_LIFE_S = 1.0
"""Half-life of the sum of peers' usage that is kept for a workspace without a bucket at
this entry, seconds: about the time in which a bucket fills."""
UNUSED_SHARE_FOR_FULL = 0.3
"""Part of a workspace's rate that peers must leave unused for its new bucket to start
full."""
MIN_WAIT_S = 0.05
"""Shortest Retry-After, seconds: one client round trip and its scheduling."""


@attrs.define
class _TimedAmount:
    """An amount as of a monotonic time: a bucket's level, or a decaying usage sum."""

    level: float
    at: float


@attrs.frozen
class QuotaTolerance:
    """How far the platform lets all entries together exceed a workspace's limit.

    Attributes:
        overage: Part of rate and burst.
        slack: Tokens per window in addition.
        window_s: Length of the sliding window, seconds.
    """

    overage: float = 0.1
    slack: float = 0.0
    window_s: float = 8.0

    @property
    def factor(self) -> float:
        """Factor on rates and bursts."""
        return 1.0 + OVERAGE_SHARE * self.overage

    def repayment_rate(self, workspace: Workspace) -> float:
        """Returns the tokens per second by which a debt shrinks beyond the rate."""
        return SLACK_SHARE * self.slack / self.window_s if workspace.by_tokens else 0.0


@attrs.frozen
class FleetView:
    """Numbers of entries from which this entry receives reports, and of all entries.

    Attributes:
        heard: Number of live entries: those from which reports arrive, and this one.
        known: Number of entries believed to be running, this one included.
        unaccounted: Number of further entries that may be running: those that this
            entry stopped hearing together with most others, and those that it has not
            heard yet since its start.
    """

    heard: int = 1
    known: int = 1
    unaccounted: int = 0

    @property
    def all_entries(self) -> int:
        """Number of entries that may be running."""
        return self.known + self.unaccounted

    @property
    def sure_fraction(self) -> float:
        """Share of a limit that no entry outside of the live ones uses."""
        return self.heard / self.all_entries

    @property
    def rate_fraction(self) -> float:
        """Share of each rate that the live entries may use together.

        A majority uses the whole rate. The remaining entries, if they run, are in a
        minority partition and use no more than their own share.
        """
        if 2 * self.heard > self.known:
            return 1.0
        return self.heard / self.known


class Quotas:
    """This entry's replica of the buckets of all workspaces.

    Args:
        started: Monotonic time of this entry's start.
        tolerance: How far limits may be exceeded.
    """

    def __init__(self, started: float, tolerance: QuotaTolerance | None = None) -> None:
        self._started = started
        self._tolerance = tolerance or QuotaTolerance()
        self._buckets: dict[str, _TimedAmount] = {}
        self._used: dict[str, float] = {}
        self._last_totals: dict[tuple[str, str], dict[str, float]] = {}
        self._usage_without_bucket: dict[str, _TimedAmount] = {}

    @property
    def used(self) -> Mapping[str, float]:
        """Amounts used at this entry since its start, by workspace."""
        return self._used

    def admit(
        self, workspace: Workspace, amount: float, now: float, fleet: FleetView
    ) -> float | None:
        """Takes an amount from a bucket, or returns the time to wait if over limit.

        An amount larger than the whole bucket is taken from a full one, whose level
        then is negative.

        Args:
            workspace: The caller's workspace.
            amount: Tokens or requests, according to the workspace's unit.
            now: Monotonic time in seconds.
            fleet: Numbers of live entries and of all entries.

        Returns:
            None if the amount was taken, else seconds until the bucket holds it or is
            full.
        """
        if workspace.rate_per_s <= 0:
            return None
        factor = self._tolerance.factor * fleet.rate_fraction
        rate = workspace.rate_per_s * factor
        burst = max(1.0, workspace.burst * factor)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._new_bucket(workspace.name, rate, burst, now)
        elapsed_s = now - bucket.at
        if bucket.level < 0:
            repayment = elapsed_s * self._tolerance.repayment_rate(workspace)
            bucket.level = min(0.0, bucket.level + repayment * fleet.rate_fraction)
        bucket.level = min(burst, bucket.level + elapsed_s * rate)
        bucket.at = now
        needed = min(amount, burst)
        if bucket.level < needed:
            return max(MIN_WAIT_S, (needed - bucket.level) / rate)
        self._spend(workspace.name, amount)
        return None

    def _new_bucket(
        self, name: str, rate: float, burst: float, now: float
    ) -> _TimedAmount:
        """Returns a new bucket, filled according to the recent usage of peers.

        Usage before the start of this entry is unknown to it, so the level is at most
        what was refilled since then.
        """
        level = min(burst, (now - self._started) * rate)
        used = self._usage_without_bucket.pop(name, None)
        if used is not None:
            decayed = used.level * 0.5 ** ((now - used.at) / USAGE_HALF_LIFE_S)
            # Usage at a constant rate r decays to a sum of r * half-life / ln 2.
            used_share = decayed * math.log(2) / (USAGE_HALF_LIFE_S * rate)
            level *= min(1.0, max(0.0, (1.0 - used_share) / UNUSED_SHARE_FOR_FULL))
        self._buckets[name] = _TimedAmount(level, now)
        return self._buckets[name]

    def _record_peer_usage(self, name: str, amount: float, now: float) -> None:
        """Adds to the usage of a workspace without a bucket at this entry."""
        used = self._usage_without_bucket.setdefault(name, _TimedAmount(0.0, now))
        used.level = used.level * 0.5 ** ((now - used.at) / USAGE_HALF_LIFE_S) + amount
        used.at = now

    def level(self, workspace: str) -> float:
        """Returns the level of a workspace's bucket, as last computed."""
        bucket = self._buckets.get(workspace)
        return bucket.level if bucket is not None else 0.0

    def refund(self, workspace: str, amount: float) -> None:
        """Puts the amount of a request that was not run back into the bucket."""
        if workspace in self._buckets:
            self._spend(workspace, -amount)

    def merge_peer_usage(
        self, peer: tuple[str, str], used: Mapping[str, float], now: float = 0.0
    ) -> None:
        """Subtracts from the buckets what a peer has used since its last report.

        Args:
            peer: Name and incarnation of the peer.
            used: Amounts used at the peer since its start, by workspace; those of
                workspaces left out are unchanged.
            now: Monotonic time in seconds.
        """
        previous = self._last_totals.setdefault(peer, {})
        for workspace, total in used.items():
            bucket = self._buckets.get(workspace)
            amount = total - previous.get(workspace, 0.0)
            if bucket is not None:
                bucket.level -= amount
            else:
                self._record_peer_usage(workspace, amount, now)
            previous[workspace] = total

    def forget_peer(self, peer: tuple[str, str]) -> None:
        """Drops the last reported totals of a peer that has stopped."""
        self._last_totals.pop(peer, None)

    def _spend(self, workspace: str, amount: float) -> None:
        self._buckets[workspace].level -= amount
        self._used[workspace] = self._used.get(workspace, 0.0) + amount
