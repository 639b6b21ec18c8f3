"""An entry's view of the store: configuration, backend servers, roll-out orders."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.revision import NO_REVISION, Revision
from cornelpin.gateway import logs
from cornelpin.gateway.snapshots import fetch_snapshot
from cornelpin.gateway.watch_cache import POLL_S, WatchCache
from cornelpin.gateway.watcher_selection import (
    DEFAULT_TIMING,
    ROLLOUT_TIMING,
    is_fresh,
    watch_wait_s,
)
from cornelpin.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    ROLLOUT_KIND,
    SERVER_KIND,
    BadValue,
    Store,
    StoreObject,
    decode_config,
    decode_server,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterator

    from cornelpin.gateway.peer import Peer
    from cornelpin.gateway.peers import Peers
    from cornelpin.gateway.rollouts import RolloutController
    from cornelpin.gateway.state import GatewayState
    from cornelpin.scheduling.servers import BackendServer

PEER_REPORT_TTL_S = 3.5
"""Age up to which another entry's contact with the store shows that the store is
reachable: one watch and the messages that report it."""
PEER_REPORT_DELAY_S = 0.2
"""Allowance for network delay: a peer's contact with the store may be older than its
reported age by this much."""
IN_FORCE = "config.in_force"
"""Name under which messages and snapshots carry the configuration in force, in addition
to the store's objects: a restored store may hold an older one for some seconds."""
ERAS = "eras"
"""Name of the revisions in a snapshot."""
WATCH_LAG_S = 0.3
"""Time for which this entry's own watch may lag behind a peer before it copies from the
peer."""


class StoreView:
    """Watch caches of the store, decoded into the entry's state.

    Args:
        store: Client of the store.
        state: State of the entry.
        peers: The other entries.
        rollout_controller: Receives the operator's roll-out orders.
        dispatch: Called when the servers have changed.

    Attributes:
        copied_bytes: Bytes received from peers in copies of their snapshots.
    """

    def __init__(
        self,
        store: Store,
        state: GatewayState,
        peers: Peers,
        rollout_controller: RolloutController,
        dispatch: Callable[[], None],
    ) -> None:
        self._store = store
        self._state = state
        self._peers = peers
        self._dispatch = dispatch
        self.copied_bytes = 0
        # Monotonic time since which a peer has had a newer revision, by kind.
        self._behind_since: dict[str, float] = {}
        # The configuration in force as it was stored.
        self._config_spec: Any = None
        # Names of malformed servers; each is logged once.
        self._malformed: set[str] = set()
        self._caches = {
            CONFIG_KIND: self._make_cache(
                CONFIG_KIND,
                on_list=self._on_config_list,
                on_change=self._on_config,
                on_recovery=lambda: None,
            ),
            SERVER_KIND: self._make_cache(
                SERVER_KIND,
                on_list=self._on_server_list,
                on_change=self._on_server,
                on_recovery=lambda: state.servers.outage_ended(time.monotonic()),
            ),
            ROLLOUT_KIND: self._make_cache(
                ROLLOUT_KIND,
                on_list=rollout_controller.on_list,
                on_change=rollout_controller.on_change,
                on_recovery=lambda: None,
            ),
        }
        store.on_new_era = self._on_new_era
        state.get_servers_confirmed_at = lambda: self._caches[SERVER_KIND].confirmed_at

    def _make_cache(self, kind: str, **callbacks: Callable[..., None]) -> WatchCache:
        return WatchCache(
            self._store,
            kind,
            on_revision=self._peers.flush,
            on_contact=self._peers.schedule_update,
            watch_wait_s=lambda: self._watch_wait_s(kind),
            peers_reach_store=self._peers_reach_store,
            **callbacks,
        )

    def _on_new_era(self, before: int, after: int) -> None:
        """Lists all kinds again, of which the watches may still wait for changes."""
        logs.event("store.new_era", era=after, before=before)
        for cache in self._caches.values():
            cache.refresh_now()

    def watch_tasks(self) -> Iterator[Coroutine[Any, Any, None]]:
        """Returns the coroutines that keep the caches current, to be run as tasks."""
        return (cache.run() for cache in self._caches.values())

    async def until_reachable(self) -> None:
        """Waits until the last call of a cache succeeded.

        The caches retry at intervals that take the peers' access into account, so that
        other callers need no schedule of their own during an outage.
        """
        while not any(cache.reachable for cache in self._caches.values()):
            await asyncio.sleep(POLL_S)

    def revisions(self) -> dict[str, int]:
        """Returns the revision of each kind, for messages.

        Under ``IN_FORCE`` the number is the version of the configuration in force.
        """
        fields = {IN_FORCE: self._version_in_force()}
        for kind, cache in self._caches.items():
            fields |= cache.revision.export(kind)
        return fields

    @property
    def era(self) -> int:
        """Latest era of the store that this entry knows, from the store or a peer."""
        eras = (cache.revision.era for cache in self._caches.values())
        return max(self._store.era, *eras)

    def _version_in_force(self) -> int:
        cfg = self._state.config
        return cfg.version if cfg is not None else -1

    def ages(self) -> dict[str, float]:
        """Returns the seconds since the store last responded to this entry, by kind.

        Kinds whose last call failed are left out.
        """
        now = time.monotonic()
        return {
            kind: round(now - cache.contacted_at, 2)
            for kind, cache in self._caches.items()
            if cache.reachable
        }

    def snapshot(self) -> dict[str, Any]:
        """Returns revision and objects of each kind, for another entry.

        Under ``IN_FORCE`` the configuration in force is added unless it is among them,
        under ``ERAS`` the fields with the revisions and their eras.
        """
        snapshot: dict[str, Any] = {
            kind: cache.snapshot() for kind, cache in self._caches.items()
        }
        snapshot[ERAS] = self.revisions()
        stored = self._caches[CONFIG_KIND].objects.get(CONFIG_NAME)
        if self._config_spec is not None and (
            stored is None or stored.spec != self._config_spec
        ):
            snapshot[IN_FORCE] = self._config_spec
        return snapshot

    async def catch_up(self) -> None:
        """Copies the objects of a peer that has a newer revision of any kind."""
        now = time.monotonic()
        live = self._peers.live_peers().values()
        for kind, cache in self._caches.items():
            ahead = [p for p in live if p.revision(kind) > cache.revision]
            if not ahead:
                self._behind_since.pop(kind, None)
                # No live peer has a newer revision, so the cache was current when the
                # store last responded to any of them.
                cache.confirm(
                    max((p.store_seen_at.get(kind, 0.0) for p in live), default=0.0)
                )
                continue
            since = self._behind_since.setdefault(kind, now)
            if self._watch_wait_s(kind) is not None and now - since < WATCH_LAG_S:
                continue
            await self._copy_from(random.choice(ahead))
        await self._catch_up_config(list(live), now)

    async def _catch_up_config(self, live: list[Peer], now: float) -> None:
        """Copies the configuration of a peer that has a newer one in force.

        That is so for a moment after each change, and for longer if this entry started
        while a restored store held an older configuration.
        """
        version = self._version_in_force()
        ahead = [p for p in live if p.revision(IN_FORCE).number > version]
        if not ahead:
            self._behind_since.pop(IN_FORCE, None)
        elif now - self._behind_since.setdefault(IN_FORCE, now) >= WATCH_LAG_S:
            await self._copy_from(random.choice(ahead))

    async def _copy_from(self, peer: Peer) -> None:
        fetched = await fetch_snapshot(peer.ip, self._state.settings.peer_port)
        self.copied_bytes += fetched.size
        transfer = {
            "peer": peer.ip,
            "bytes": fetched.size,
            "took_ms": round(1e3 * fetched.took_s),
        }
        snapshot = fetched.snapshot
        if snapshot is None:
            logs.warning("store.copy_failed", reason=fetched.reason, **transfer)
            return
        if IN_FORCE in snapshot:
            self._apply_config(snapshot[IN_FORCE], f"in force at {peer.ip}")
        for kind, cache in self._caches.items():
            number, objects = snapshot.get(kind, (NO_REVISION.number, {}))
            # A snapshot of an earlier build names no eras.
            fields = snapshot.get(ERAS, {}) | {kind: number}
            revision = Revision.decode(fields, kind)
            if cache.load_snapshot(revision, objects):
                logs.event(
                    "store.copied", kind=kind, revision=revision.number, **transfer
                )

    def _peers_reach_store(self, since: float) -> bool:
        """Returns whether a live peer has reached the store since this entry lost it.

        Without that bound, entries that lost the store together would rely on each
        other's older reports.

        Args:
            since: Monotonic time at which this entry lost the store.
        """
        now = time.monotonic()
        within_s = min(PEER_REPORT_TTL_S, now - since - PEER_REPORT_DELAY_S)
        live = self._peers.live_peers().values()
        # Any kind shows that the store is reachable; the watches of servers are short,
        # while those of roll-out orders exceed PEER_REPORT_TTL_S.
        return any(is_fresh(peer, SERVER_KIND, now, within_s) for peer in live)

    def _watch_wait_s(self, kind: str) -> float | None:
        host = self._state.settings.host
        timing = ROLLOUT_TIMING if kind == ROLLOUT_KIND else DEFAULT_TIMING
        return watch_wait_s(
            host, kind, self._peers.live_peers(), time.monotonic(), timing
        )

    def _on_config_list(self, objects: list[StoreObject]) -> None:
        for stored in objects:
            self._on_config(stored)

    def _on_config(self, change: StoreObject) -> None:
        if change.name != CONFIG_NAME or change.removed:
            return
        self._apply_config(change.spec, f"revision {change.revision.number}")

    def _apply_config(self, spec: Any, source: str) -> None:
        try:
            config = decode_config(spec)
        except BadValue as exc:
            logs.warning("config.malformed", source=source, reason=str(exc))
            return
        if config.version > self._version_in_force():
            self._config_spec = spec
        self._state.apply_config(config, source)

    def _on_server_list(self, objects: list[StoreObject]) -> None:
        servers = [s for o in objects if (s := self._decode_server(o)) is not None]
        self._state.servers.replace(servers, time.monotonic())
        self._state.servers_listed = True
        logs.event("servers.listed", count=len(servers))
        self._dispatch()

    def _on_server(self, change: StoreObject) -> None:
        if change.removed:
            self._state.servers.remove(change.name, time.monotonic())
            logs.event(
                "server.removed", server=change.name, revision=change.revision.number
            )
            self._dispatch()
            return
        server = self._decode_server(change)
        if server is None:
            return
        self._state.servers.put(server)
        logs.event(
            "server.changed",
            server=server.id,
            service=server.service,
            leaving=server.leaving,
            revision=change.revision.number,
        )
        self._dispatch()

    def _decode_server(self, change: StoreObject) -> BackendServer | None:
        try:
            return decode_server(change.name, change.spec)
        except BadValue as exc:
            if change.name not in self._malformed:
                self._malformed.add(change.name)
                logs.warning("server.malformed", server=change.name, reason=str(exc))
            return None
