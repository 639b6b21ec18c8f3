"""Selects the entries that watch the store.

Dozens of entries would each send the store the same watches. In a large fleet only a
few watch, and the others copy new revisions from them. Hosts with the widest links come
first: the store sends a configuration whole and uncompressed, a peer only what changed.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway.watch_cache import MAX_BACKOFF_S, WATCH_S
from cornelpin.platform import WATCH_SLACK_S, Bounds

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.gateway.peer import Peer

ALL_WATCH = 8
"""Number of entries up to which every entry watches: a few calls per second in
total."""
WATCHERS = 3
"""Number of watching entries in a larger fleet, so that two may fail at once."""
MIN_WAIT_S = 0.2
"""Lower bound of a long poll: a few calls a second."""
RECONNECT_S = 0.4
"""Time from the time-out of a watch to the list of current objects: pauses before the
next watch and the next call, a connection, and a response of a degraded store."""

REPORT_S = 0.5
"""Time from a response of the store to a watcher until the other entries know of it: a
heartbeat and a report to the other data centres."""


@attrs.frozen
class WatchTiming:
    """Timing of the watches of a kind, in seconds.

    Attributes:
        wait_s: Long-poll time in a small fleet.
        short_wait_s: Long-poll time in a larger fleet, so that the watchers' reports
            of the store are recent.
        fresh_s: Age of a watcher's last contact with the store after which the next
            entry takes over: one watch, the message that reports it and a heartbeat.
        max_backoff_s: Longest backoff while the store is unavailable.
    """

    wait_s: float
    short_wait_s: float
    fresh_s: float
    max_backoff_s: float = MAX_BACKOFF_S

    @property
    def follow_s(self) -> float:
        """Longest age of a confirmation that peers with working watches report."""
        return self.wait_s + WATCH_SLACK_S + REPORT_S


def default_timing(contact_s: float) -> WatchTiming:
    """Returns the timing for kinds whose changes must soon be in force.

    Connections may go silent without an error. The platform allows entries a time to
    notice that, and counts what they do by old objects afterwards as wrong.

    Args:
        contact_s: That time in seconds (``Bounds.contact_s``).
    """
    longest_s = max(MIN_WAIT_S, contact_s - WATCH_SLACK_S - RECONNECT_S)
    return WatchTiming(
        wait_s=min(WATCH_S, longest_s), short_wait_s=min(1.0, longest_s), fresh_s=1.8
    )


def evacuation_timing(evacuation_s: float) -> WatchTiming:
    """Returns the timing for orders to evacuate data centres.

    A watch returns at once with a change. Its length only bounds how long a silent
    connection goes unnoticed, which leaves half of the time for the change itself.

    Args:
        evacuation_s: Time within which such an order must be in force, seconds.
    """
    wait_s = max(MIN_WAIT_S, min(WATCH_S, evacuation_s / 2 - WATCH_SLACK_S))
    return WatchTiming(wait_s=wait_s, short_wait_s=wait_s, fresh_s=wait_s + 0.8)


DEFAULT_TIMING = default_timing(Bounds().contact_s)
ROLLOUT_TIMING = WatchTiming(
    wait_s=10.0, short_wait_s=10.0, fresh_s=12.0, max_backoff_s=4.0
)
"""For roll-out orders: the platform charges for each call, roll-outs take longer than
this, and an order received by one entry reaches the others at once."""


def watch_wait_s(
    own: str,
    kind: str,
    peers: Mapping[str, Peer],
    now: float,
    timing: WatchTiming = DEFAULT_TIMING,
    *,
    link_mbps: float = 0.0,
) -> float | None:
    """Returns the long-poll time of this entry's watch; None if others watch.

    Args:
        own: Name of this entry's host.
        kind: Kind of the objects.
        peers: The live peers, by host.
        now: Monotonic time in seconds.
        timing: Timing of the watches of this kind.
        link_mbps: Bandwidth of this entry's link, Mbit/s.
    """
    if len(peers) < ALL_WATCH:
        return timing.wait_s
    own_rank = _rank(own, kind, link_mbps)
    higher_ranked = [
        host
        for host, peer in peers.items()
        if _rank(host, kind, peer.link_mbps) < own_rank
        and is_fresh(peer, kind, now, timing.fresh_s)
    ]
    return timing.short_wait_s if len(higher_ranked) < WATCHERS else None


def is_fresh(peer: Peer, kind: str, now: float, fresh_s: float) -> bool:
    """Returns whether a peer reached the store within the last fresh_s seconds."""
    return now - peer.store_seen_at.get(kind, float("-inf")) < fresh_s


def _rank(host: str, kind: str, link_mbps: float) -> tuple[float, int]:
    return -link_mbps, zlib.crc32(f"{kind} {host}".encode())
