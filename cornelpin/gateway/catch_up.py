"""Catching up with entries whose copies of the store's objects are newer."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.revision import NO_REVISION, Revision
from cornelpin.gateway import logs
from cornelpin.gateway.snapshot_source import ERAS, IN_FORCE
from cornelpin.gateway.snapshots import KINDS, fetch_changes, unpack

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.gateway.peer import Peer
    from cornelpin.gateway.peers import Peers
    from cornelpin.gateway.watch_cache import WatchCache

CHECK_S = 0.05
"""Interval at which the revisions of the peers are compared with the own ones."""
WATCH_LAG_S = 0.3
"""Time for which this entry's own watch may lag behind a peer before it copies from the
peer."""
WIDE_LINK_SHARE = 0.5
"""Share of the widest link of the peers to copy from at which a link is wide, too."""
FAILED_PEER_S = 3.0
"""Time for which a peer from which a copy failed is asked only if there is no other:
about what it takes until a dead one is not live any more, and some retries."""


class CatchUp:
    """Copies from a peer what it has beyond this entry's watch caches.

    It runs beside the entry's other periodic work, which a slow peer must not delay.

    Args:
        caches: Watch caches by kind.
        peers: The other entries.
        port: Port of their snapshot servers.
        watches: Returns whether this entry watches a kind itself.
        version_in_force: Returns the version of the configuration in force.
        apply_config: Called with a stored configuration and its source.

    Attributes:
        copied_bytes: Bytes received from peers.
    """

    def __init__(
        self,
        caches: Mapping[str, WatchCache],
        peers: Peers,
        port: int,
        *,
        watches: Callable[[str], bool],
        version_in_force: Callable[[], int],
        apply_config: Callable[[Any, str], None],
    ) -> None:
        self._caches = caches
        self._peers = peers
        self._port = port
        self._watches = watches
        self._version_in_force = version_in_force
        self._apply_config = apply_config
        # Monotonic time since which a peer has had a newer revision, by kind.
        self._behind_since: dict[str, float] = {}
        # Monotonic time of the last failed copy, by the peer's address.
        self._failed_at: dict[str, float] = {}
        self.copied_bytes = 0

    async def run(self) -> None:
        """Compares revisions and copies until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            ahead = self._peers_ahead(time.monotonic())
            if ahead:
                await self._copy_from(self._select(ahead, time.monotonic()))

    def _peers_ahead(self, now: float) -> list[Peer]:
        """Returns the peers that are ahead for longer than this entry's watch may lag.

        They are those of the first kind for which there are any.
        """
        live = list(self._peers.live_peers().values())
        for kind, cache in self._caches.items():
            ahead = [p for p in live if p.revision(kind) > cache.revision]
            if not ahead:
                # No live peer knows a later change, so the cache was current when the
                # store last responded to any of them.
                cache.confirm(
                    max((p.store_seen_at.get(kind, 0.0) for p in live), default=0.0)
                )
            if self._overdue(kind, ahead, now):
                return ahead
        # A peer has another configuration in force than its store objects for a moment
        # after each change, and for longer if this entry started while a restored store
        # held an older one.
        version = self._version_in_force()
        ahead = [p for p in live if p.revision(IN_FORCE).number > version]
        return ahead if self._overdue(IN_FORCE, ahead, now) else []

    def _overdue(self, name: str, ahead: list[Peer], now: float) -> bool:
        """Returns whether peers are ahead and this entry should not wait any longer.

        Args:
            name: Kind of the objects, or IN_FORCE.
            ahead: The peers that are ahead.
            now: Monotonic time in seconds.
        """
        if not ahead:
            self._behind_since.pop(name, None)
            return False
        since = self._behind_since.setdefault(name, now)
        if now - since >= WATCH_LAG_S:
            return True
        return name != IN_FORCE and not self._watches(name)

    def _select(self, ahead: list[Peer], now: float) -> Peer:
        """Returns one of the peers with wide links, at random to spread the load."""
        sound = [
            p
            for p in ahead
            if now - self._failed_at.get(p.ip, float("-inf")) >= FAILED_PEER_S
        ]
        candidates = sound or ahead
        widest = max(p.link_mbps for p in candidates)
        return random.choice(
            [p for p in candidates if p.link_mbps >= WIDE_LINK_SHARE * widest]
        )

    async def _copy_from(self, peer: Peer) -> None:
        request = {IN_FORCE: self._version_in_force()}
        for kind, cache in self._caches.items():
            request |= cache.revision.export(kind)
        fetched = await fetch_changes(peer.ip, self._port, request)
        self.copied_bytes += fetched.size
        transfer = {
            "peer": peer.ip,
            "bytes": fetched.size,
            "took_ms": round(1e3 * fetched.took_s),
        }
        try:
            if fetched.response is not None:
                self._load(fetched.response, transfer)
        except (ValueError, TypeError, KeyError, AttributeError) as exc:
            fetched.reason = f"malformed: {exc!r}"
        if fetched.reason:
            self._failed_at[peer.ip] = time.monotonic()
            logs.warning("store.copy_failed", reason=fetched.reason, **transfer)

    def _load(self, response: dict[str, Any], transfer: dict[str, Any]) -> None:
        """Loads a response, or the whole snapshot of a peer of an earlier build."""
        kinds = response.get(KINDS)
        if IN_FORCE in response:
            spec = response[IN_FORCE]
            spec = spec if kinds is None else unpack(spec)
            self._apply_config(spec, f"in force at {transfer['peer']}")
        for kind, cache in self._caches.items():
            if kinds is None:
                number, objects = response.get(kind, (NO_REVISION.number, {}))
                # Builds before the eras of the store name none.
                fields = response.get(ERAS, {}) | {kind: number}
                revision = changed = Revision.decode(fields, kind)
            elif kind in kinds:
                fields, changed_fields, packed = kinds[kind]
                revision = Revision.decode(fields, kind)
                changed = Revision.decode(changed_fields, kind)
                objects = unpack(packed)
            else:
                continue
            if cache.load_snapshot(revision, changed, objects):
                logs.event(
                    "store.copied", kind=kind, revision=revision.number, **transfer
                )
