"""Which entries watch the store themselves.

Load pattern: dozens of entries of which each would ask the store for the same. Beyond a
handful only a few watch; the others copy from them what is new.
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
"""Entries up to which each watches: a few calls a second in all."""
WATCHERS = 3
"""Entries that watch in a larger fleet: two may be cut off at once."""


@attrs.frozen
class WatchTiming:
    """How long watches of a kind wait.

    Attributes:
        wait_s: In a small fleet.
        short_wait_s: In a larger one, so that what watchers say of the store is fresh.
        fresh_s: Age of a watcher's word after which the next entry watches: one watch,
            the message that tells of it and a beat.
    """

    wait_s: float
    short_wait_s: float
    fresh_s: float


DEFAULT_TIMING = WatchTiming(wait_s=WATCH_S, short_wait_s=1.0, fresh_s=1.8)
"""For what must be in force within the platform's bound on configuration."""
ROLLOUT_TIMING = WatchTiming(wait_s=10.0, short_wait_s=10.0, fresh_s=12.0)
"""For roll-out orders: each call is priced, orders run for longer than this, and an
order that one entry has heard of reaches the others at once."""


def watch_wait_s(
    own: str,
    kind: str,
    peers: Mapping[str, Peer],
    now: float,
    timing: WatchTiming = DEFAULT_TIMING,
) -> float | None:
    """Returns how long this entry's watch is to wait; None if others watch.

    Args:
        own: Name of this entry's host.
        kind: Kind of the objects.
        peers: The entries heard lately, by host.
        now: Monotonic time in seconds.
        timing: How long watches of the kind wait.
    """
    if len(peers) < ALL_WATCH:
        return timing.wait_s
    before = [
        host
        for host, peer in peers.items()
        if _turn(host, kind) < _turn(own, kind)
        and is_fresh(peer, kind, now, timing.fresh_s)
    ]
    return timing.short_wait_s if len(before) < WATCHERS else None


def is_fresh(peer: Peer, kind: str, now: float, fresh_s: float) -> bool:
    """Returns whether a peer has just heard from the store."""
    return now - peer.store_seen_at.get(kind, float("-inf")) < fresh_s


def _turn(host: str, kind: str) -> int:
    return zlib.crc32(f"{kind} {host}".encode())
