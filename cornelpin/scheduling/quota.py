"""Rates of workspaces over all entries, without a call to the store.

Load pattern: one workspace sends many times its usual, over all entries at once. Each
entry keeps a replica of every workspace's bucket and subtracts what the others tell
that they used.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.scheduling.routing import Workspace

HEADROOM = 1.05
"""Factor on rate and burst: half of the overage that the platform bears, so that
requests at the edge of a limit are not refused for a peer's delayed count."""
RECENT_S = 1.0
"""Half-life of what peers used of a rate that this entry has not met yet: about the
time in which a bucket fills."""
SPARE_SHARE = 0.3
"""Part of a rate that peers must leave unused for its bucket to be taken for full."""
MIN_WAIT_S = 0.05
"""Shortest advice to come back, one round trip of a client and its scheduling."""


@attrs.define
class _Bucket:
    level: float
    at: float


@attrs.frozen
class Share:
    """Part of the fleet that this entry hears.

    Attributes:
        heard: Entries heard lately, with this one.
        known: Entries believed to run, with this one.
    """

    heard: int = 1
    known: int = 1

    @property
    def rate_fraction(self) -> float:
        """Part of each rate that the entries heard may use together.

        A majority uses the whole: the others, if they run, are cut off and use no
        more than their own part.
        """
        if 2 * self.heard > self.known:
            return 1.0
        return self.heard / self.known


class Quotas:
    """This entry's replica of all workspaces' buckets."""

    def __init__(self, started: float) -> None:
        self._started = started
        self._buckets: dict[str, _Bucket] = {}
        self._used: dict[str, float] = {}
        self._peers: dict[tuple[str, str], dict[str, float]] = {}
        self._unmet: dict[str, _Bucket] = {}

    @property
    def used(self) -> Mapping[str, float]:
        """Amounts that this entry has used since its start, by workspace."""
        return self._used

    def admit(
        self, workspace: Workspace, amount: float, now: float, share: Share
    ) -> float | None:
        """Takes an amount, or says how long to wait.

        Args:
            workspace: The caller's workspace.
            amount: Tokens or requests, by the workspace's unit.
            now: Monotonic time in seconds.
            share: Part of the fleet that this entry hears.

        Returns:
            None if taken; else seconds until the amount would be there.
        """
        if workspace.rate_per_s <= 0:
            return None
        rate = workspace.rate_per_s * HEADROOM * share.rate_fraction
        burst = max(1.0, workspace.burst * HEADROOM * share.rate_fraction)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._first_met(workspace.name, rate, burst, now)
        bucket.level = min(burst, bucket.level + (now - bucket.at) * rate)
        bucket.at = now
        needed = min(amount, burst)
        if bucket.level < needed:
            return max(MIN_WAIT_S, (needed - bucket.level) / rate)
        self._spend(workspace.name, amount)
        return None

    def _first_met(self, name: str, rate: float, burst: float, now: float) -> _Bucket:
        """Returns a new bucket, as full as peers have left it of late."""
        level = min(burst, (now - self._started) * rate)
        used = self._unmet.pop(name, None)
        if used is not None:
            faded = used.level * 0.5 ** ((now - used.at) / RECENT_S)
            used_share = faded * math.log(2) / (RECENT_S * rate)
            level *= min(1.0, max(0.0, (1.0 - used_share) / SPARE_SHARE))
        self._buckets[name] = _Bucket(level, now)
        return self._buckets[name]

    def _use_unmet(self, name: str, amount: float, now: float) -> None:
        used = self._unmet.setdefault(name, _Bucket(0.0, now))
        used.level = used.level * 0.5 ** ((now - used.at) / RECENT_S) + amount
        used.at = now

    def level(self, workspace: str) -> float:
        """Returns what a workspace may use now, as last computed."""
        bucket = self._buckets.get(workspace)
        return bucket.level if bucket is not None else 0.0

    def refund(self, workspace: str, amount: float) -> None:
        """Returns an amount whose request did not run."""
        if workspace in self._buckets:
            self._spend(workspace, -amount)

    def merge_peer_usage(
        self, peer: tuple[str, str], used: Mapping[str, float], now: float = 0.0
    ) -> None:
        """Takes what a peer has used since its start.

        Args:
            peer: Name and incarnation of the peer.
            used: Its amounts by workspace; those left out are unchanged.
            now: Monotonic time in seconds.
        """
        before = self._peers.setdefault(peer, {})
        for workspace, total in used.items():
            bucket = self._buckets.get(workspace)
            amount = total - before.get(workspace, 0.0)
            if bucket is not None:
                bucket.level -= amount
            else:
                self._use_unmet(workspace, amount, now)
            before[workspace] = total

    def forget_peer(self, peer: tuple[str, str]) -> None:
        """Drops the record of a peer that has ended."""
        self._peers.pop(peer, None)

    def _spend(self, workspace: str, amount: float) -> None:
        self._buckets[workspace].level -= amount
        self._used[workspace] = self._used.get(workspace, 0.0) + amount
