"""Selects the entries that watch the store, and for how long each waits.

One entry, the lead, asks often, so that all know how old their copies are and a store
that fails silently is noticed soon. Some others watch in reserve: they see each change,
but ask seldom. In a large fleet the rest copy new revisions from them. Hosts with the
widest links come first: the store sends a configuration whole and uncompressed, a peer
only what changed.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway.watch_cache import MAX_BACKOFF_S
from cornelpin.platform import WATCH_SLACK_S, Bounds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cornelpin.gateway.peer import Peer

ALL_WATCH = 8
"""Number of entries up to which every entry watches: a few calls per second in
total."""
WATCHERS = 3
"""Number of watching entries in a larger fleet, so that two may fail at once."""
HEARD_S = 1.0
"""Time without a message after which an entry is not relied on to watch: two and a half
heartbeats, less than until it is not live any more."""
UNCONFIRMED_S = 2.5
"""Time without any entry's contact with the store after which an entry watches whatever
its rank."""
UNCONFIRMED_STEP_S = 0.05
"""Time by which the entry of each further rank does so later."""
LEAD_SHARE = 0.2
"""Part of the time within which a change must be in force for which the lead waits."""
MIN_WAIT_S = 0.2
"""Lower bound of a long poll: a few calls a second."""
MAX_LEAD_WAIT_S = 1.0
"""Upper bound of the lead's wait, so that copies are known to be recent."""
RESERVE_WAIT_S = 4.0
"""Long-poll time of the others that watch."""
REPORT_S = 0.6
"""Time from a response of the store to the lead until the other entries know of it: a
heartbeat and a report to the other data centres."""


@attrs.frozen
class WatchTiming:
    """Timing of the watches of a kind, in seconds.

    Attributes:
        lead_wait_s: Long-poll time of the lead.
        wait_s: Long-poll time of the others that watch.
        max_backoff_s: Longest time between two calls while the store is unavailable.
    """

    lead_wait_s: float
    wait_s: float
    max_backoff_s: float = MAX_BACKOFF_S

    @property
    def follow_s(self) -> float:
        """Longest age of a confirmation that peers with working watches report."""
        return self.lead_wait_s + WATCH_SLACK_S + REPORT_S


def timing_within(bound_s: float) -> WatchTiming:
    """Returns the timing for kinds whose changes must soon be in force.

    Connections may go silent without an error. The lead notices it within its wait and
    the slack of a watch, and the others copy from it, in less than half of the time.

    Args:
        bound_s: Time within which a change must be in force, seconds.
    """
    lead_wait_s = min(MAX_LEAD_WAIT_S, max(MIN_WAIT_S, LEAD_SHARE * bound_s))
    return WatchTiming(lead_wait_s=lead_wait_s, wait_s=RESERVE_WAIT_S)


DEFAULT_TIMING = timing_within(Bounds().config_s)
ROLLOUT_TIMING = WatchTiming(lead_wait_s=10.0, wait_s=10.0, max_backoff_s=4.0)
"""For roll-out orders: the platform charges for each call, roll-outs take longer than
this, and an order received by one entry reaches the others at once."""


class WatcherSelection:
    """Decides whether and how this entry watches the objects of one kind.

    Args:
        host: Name of this entry's host.
        kind: Kind of the objects.
        timing: Timing of the watches.
        link_mbps: Bandwidth of this entry's link, Mbit/s.
    """

    def __init__(
        self, host: str, kind: str, timing: WatchTiming, link_mbps: float
    ) -> None:
        self._kind = kind
        self._timing = timing
        self._rank = _rank(host, kind, link_mbps)

    def wait_s(self, peers: Mapping[str, Peer], now: float) -> float | None:
        """Returns the long-poll time of this entry's watch; None if others watch.

        Args:
            peers: The live peers, by host.
            now: Monotonic time in seconds.
        """
        before = [
            peer
            for host, peer in peers.items()
            if _rank(host, self._kind, peer.link_mbps) < self._rank
            and self._may_watch(peer, now)
        ]
        if len(peers) >= ALL_WATCH and not self._is_wanted(len(before), peers, now):
            return None
        lead_age_s = self._contact_age_s(before, now)
        if lead_age_s < self._timing.follow_s:
            return self._timing.wait_s
        return self._timing.lead_wait_s

    def _is_wanted(self, before: int, peers: Mapping[str, Peer], now: float) -> bool:
        """Returns whether the entry of this rank watches in a large fleet.

        If the store has answered none of the others lately, as many try as have lost
        it, since it may answer others; and after some time all do, one after another.

        Args:
            before: Number of peers of higher rank that may watch.
            peers: The live peers, by host.
            now: Monotonic time in seconds.
        """
        contact_age_s = self._contact_age_s(peers.values(), now)
        if contact_age_s < self._timing.follow_s:
            return before < WATCHERS
        lost = sum(self._kind not in peer.store_seen_at for peer in peers.values())
        turn_s = UNCONFIRMED_S + self._timing.lead_wait_s + UNCONFIRMED_STEP_S * before
        return before < max(WATCHERS, lost) or contact_age_s > turn_s

    def _may_watch(self, peer: Peer, now: float) -> bool:
        """Returns whether a peer is heard and has not lost the store for this kind."""
        return now - peer.received_at < HEARD_S and self._kind in peer.store_seen_at

    def _contact_age_s(self, peers: Iterable[Peer], now: float) -> float:
        """Returns the time since the store last answered any of some peers."""
        return now - max(
            (peer.store_seen_at.get(self._kind, float("-inf")) for peer in peers),
            default=float("-inf"),
        )


def _rank(host: str, kind: str, link_mbps: float) -> tuple[float, int]:
    return -link_mbps, zlib.crc32(f"{kind} {host}".encode())
