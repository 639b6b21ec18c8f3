"""Catching up with entries whose copies of the store's objects are newer."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.revision import NO_REVISION, Revision
from cornelpin.gateway import logs
from cornelpin.gateway.lags import Lags
from cornelpin.gateway.snapshot_source import ERAS, IN_FORCE
from cornelpin.gateway.snapshots import KINDS, Fetched, fetch_changes, unpack

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.gateway.peer import Peer
    from cornelpin.gateway.peers import Peers
    from cornelpin.gateway.watch_cache import WatchCache

CHECK_S = 0.05
"""Interval at which the revisions of the peers are compared with the own ones."""
WATCH_LAG_S = 0.15
"""Time for which this entry's own watch may lag behind a peer before it copies from the
peer."""
STALLED_S = 0.2
"""Time without a byte of the running copies after which one from another peer is begun
beside them: several round trips."""
MAX_COPIES = 4
"""Most copies that run at the same time."""
ASK_STORE_S = 0.5
"""Time for which this entry may be behind before it also asks the store, which others
watch."""
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
        version_in_force: Returns the version of the configuration in force.
        apply_config: Called with a stored configuration and its source.

    Attributes:
        copied_bytes: Bytes received from peers.
        lags: Since when peers have been ahead.
    """

    def __init__(
        self,
        caches: Mapping[str, WatchCache],
        peers: Peers,
        port: int,
        *,
        version_in_force: Callable[[], int],
        apply_config: Callable[[Any, str], None],
    ) -> None:
        self._caches = caches
        self._peers = peers
        self._port = port
        self._version_in_force = version_in_force
        self._apply_config = apply_config
        # Monotonic time of the last failed copy, by the peer's address.
        self._failed_at: dict[str, float] = {}
        self._copies: dict[asyncio.Task[None], Fetched] = {}
        self.copied_bytes = 0
        self.lags = Lags()

    async def run(self) -> None:
        """Compares revisions and copies until cancelled."""
        try:
            while True:
                await asyncio.sleep(CHECK_S)
                self._check(time.monotonic())
        finally:
            for copy in self._copies:
                copy.cancel()

    def _check(self, now: float) -> None:
        """Begins a copy if peers are ahead and none is under way."""
        ahead = self._peers_ahead(now)
        self._ask_store(now)
        self._copies = {t: f for t, f in self._copies.items() if not t.done()}
        stalled = all(
            now - fetched.progress_at >= STALLED_S for fetched in self._copies.values()
        )
        if ahead and stalled and len(self._copies) < MAX_COPIES:
            fetched = Fetched()
            copy = self._copy_from(self._select(ahead, now), fetched)
            self._copies[asyncio.create_task(copy)] = fetched

    def _peers_ahead(self, now: float) -> list[Peer]:
        """Returns the peers that are ahead for longer than this entry's watch may lag.

        They are those of the first kind for which there are any.
        """
        live = self._peers.live_peers()
        overdue: list[Peer] = []
        for kind, cache in self._caches.items():
            ahead = {h: p for h, p in live.items() if p.revision(kind) > cache.revision}
            if not ahead:
                # No live peer knows a later change, so the cache was current when the
                # store last responded to any of them.
                cache.confirm(
                    max(
                        (p.store_seen_at.get(kind, 0.0) for p in live.values()),
                        default=0.0,
                    )
                )
            self.lags.record(kind, ahead, now, way=cache.way)
            lag_s = WATCH_LAG_S if cache.watches else 0.0
            if not overdue and self.lags.age_s(kind, now) >= lag_s:
                overdue = list(ahead.values())
        # A peer has another configuration in force than its store objects for a moment
        # after each change, and for longer if this entry started while a restored store
        # held an older one.
        version = self._version_in_force()
        ahead = {h: p for h, p in live.items() if p.revision(IN_FORCE).number > version}
        self.lags.record(IN_FORCE, ahead, now, way="peer")
        if not overdue and self.lags.age_s(IN_FORCE, now) >= WATCH_LAG_S:
            overdue = list(ahead.values())
        return overdue

    def _ask_store(self, now: float) -> None:
        """Lists kinds for which copying takes long, whoever watches them."""
        for kind, cache in self._caches.items():
            age_s = self.lags.age_s(kind, now)
            if age_s >= ASK_STORE_S and now - cache.listed_at >= age_s:
                cache.list_now()

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

    async def _copy_from(self, peer: Peer, fetched: Fetched) -> None:
        request = {IN_FORCE: self._version_in_force()}
        for kind, cache in self._caches.items():
            request |= cache.revision.export(kind)
        # Until it has succeeded: a peer that does not respond is not asked again soon.
        self._failed_at[peer.ip] = time.monotonic()
        await fetch_changes(peer.ip, self._port, request, fetched)
        self.copied_bytes += fetched.size
        transfer = {
            "peer": peer.ip,
            "bytes": fetched.size,
            "took_ms": round(1e3 * fetched.took_s),
        }
        try:
            if fetched.response is not None and not self._load(
                fetched.response, transfer
            ):
                fetched.reason = "nothing new"
        except (ValueError, TypeError, KeyError, AttributeError) as exc:
            fetched.reason = f"malformed: {exc!r}"
        if fetched.reason:
            logs.warning("store.copy_failed", reason=fetched.reason, **transfer)
        else:
            del self._failed_at[peer.ip]

    def _load(self, response: dict[str, Any], transfer: dict[str, Any]) -> bool:
        """Loads a response, or the whole snapshot of a peer of an earlier build.

        Returns:
            Whether there was anything new in it.
        """
        kinds = response.get(KINDS)
        before = self._version_in_force()
        if IN_FORCE in response:
            spec = response[IN_FORCE]
            spec = spec if kinds is None else unpack(spec)
            self._apply_config(spec, f"peer, in force at {transfer['peer']}")
        new = False
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
                new = True
                logs.event(
                    "store.copied", kind=kind, revision=revision.number, **transfer
                )
        return new or self._version_in_force() > before
