"""Selects the entries that watch the store.

Dozens of entries would each send the store the same watches. In a large fleet only a
few watch, and the others copy new revisions from them. Hosts with the widest links come
first: the store sends a configuration whole and uncompressed, a peer only what changed.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway.watch_cache import WATCH_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornelpin.gateway.peer import Peer

ALL_WATCH = 8
"""Number of entries up to which every entry watches: a few calls per second in
total."""
WATCHERS = 3
"""Number of watching entries in a larger fleet, so that two may fail at once."""


@attrs.frozen
class WatchTiming:
    """Timing of the watches of a kind, in seconds.

    Attributes:
        wait_s: Long-poll time in a small fleet.
        short_wait_s: Long-poll time in a larger fleet, so that the watchers' reports
            of the store are recent.
        fresh_s: Age of a watcher's last contact with the store after which the next
            entry takes over: one watch, the message that reports it and a heartbeat.
    """

    wait_s: float
    short_wait_s: float
    fresh_s: float


DEFAULT_TIMING = WatchTiming(wait_s=WATCH_S, short_wait_s=1.0, fresh_s=1.8)
"""For kinds whose changes must be in force within the platform's bound on configuration
delay."""
ROLLOUT_TIMING = WatchTiming(wait_s=10.0, short_wait_s=10.0, fresh_s=12.0)
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
