"""An entry's view of the store: configuration, backend servers, roll-out orders."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.revision import NO_REVISION, Revision
from cornelpin.gateway import logs
from cornelpin.gateway.catch_up import CatchUp
from cornelpin.gateway.peer import StoreReport
from cornelpin.gateway.snapshot_source import IN_FORCE, SnapshotSource
from cornelpin.gateway.watch_cache import (
    LONGEST_BACKOFF_S,
    POLL_S,
    RESEND_S,
    WatchCache,
)
from cornelpin.gateway.watcher_selection import (
    ROLLOUT_TIMING,
    WatcherSelection,
    timing_within,
)
from cornelpin.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    EVACUATION_KIND,
    ROLLOUT_KIND,
    SERVER_KIND,
    BadValue,
    ConfigDecoder,
    Store,
    StoreObject,
    config_version,
    decode_server,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cornelpin.gateway.background import Run
    from cornelpin.gateway.peers import Peers
    from cornelpin.gateway.rollouts import RolloutController
    from cornelpin.gateway.state import GatewayState
    from cornelpin.scheduling.servers import BackendServer

CONFIRMED_SHARE = 0.5
"""Part of the platform's bound on changes up to which a confirmation of the
configuration counts: a denial by an older one may be wrong."""
CONFIRM_WAIT_S = 0.25
"""Time for which a denial waits for a response of the store, and between two calls for
that: twice that of a degraded store is not worth waiting for."""
CONFIRM_CHECK_S = 0.01
MAX_ODD = 10_000
"""Most objects that can't be used of which the names are kept."""
PROBING_ENTRIES = 3
"""Number of entries that may each ask a store that does not respond every RESEND_S; if
there are more, each asks less often."""
MAX_PROBE_S = 1.2
"""Longest time between two calls of an entry to a store that does not respond. A store
may respond to this entry alone."""


class StoreView:
    """Watch caches of the store, decoded into the entry's state.

    Args:
        store: Client of the store.
        state: State of the entry.
        peers: The other entries.
        rollout_controller: Receives the operator's roll-out orders.
        dispatch: Called when the servers have changed.

    Attributes:
        snapshot_source: Builds the responses to peers that copy from this entry.
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
        bounds = state.settings.bounds
        self._timing = timing_within(bounds.config_s)
        self._timings = {ROLLOUT_KIND: ROLLOUT_TIMING}
        self._evacuations_era = 0
        self._config_decoder = ConfigDecoder()
        # The configuration in force as it was stored.
        self._config_spec: Any = None
        # Kinds and names of objects that can't be used; each is logged once.
        self._odd: set[tuple[str, str]] = set()
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
        if bounds.evacuation_s is not None:
            self._timings[EVACUATION_KIND] = timing_within(bounds.evacuation_s)
            self._caches[EVACUATION_KIND] = self._make_cache(
                EVACUATION_KIND,
                on_list=self._on_evacuation_list,
                on_change=self._on_evacuation,
                on_recovery=lambda: None,
            )
        self.snapshot_source = SnapshotSource(
            self._caches, lambda: (self._version_in_force(), self._config_spec)
        )
        self._catch_up = CatchUp(
            self._caches,
            peers,
            state.settings.peer_port,
            version_in_force=self._version_in_force,
            apply_config=self._apply_config,
        )
        store.on_new_era = self._on_new_era
        store.on_call = state.count_store_call
        state.confirm_config = self._confirm_config
        state.get_config_confirmed_at = lambda: self._caches[CONFIG_KIND].confirmed_at
        state.get_servers_confirmed_at = lambda: self._caches[SERVER_KIND].confirmed_at

    def _make_cache(self, kind: str, **callbacks: Callable[..., None]) -> WatchCache:
        timing = self._timings.get(kind, self._timing)
        settings = self._state.settings
        selection = WatcherSelection(settings.host, kind, timing, settings.link_mbps)
        return WatchCache(
            self._store,
            kind,
            on_odd=lambda odd: self._log_odd(kind, odd.name, odd.reason),
            on_revision=self._peers.flush,
            on_contact=self._peers.schedule_update,
            on_lost=self._on_lost,
            on_regained=self._refresh_lost,
            watch_wait_s=lambda: selection.wait_s(
                self._peers.live_peers(), time.monotonic()
            ),
            follow_s=timing.follow_s,
            known_elsewhere=lambda: self._known_elsewhere(kind),
            max_backoff_s=lambda: self._max_backoff_s(kind),
            **callbacks,
        )

    def _log_odd(self, kind: str, name: str, reason: str) -> None:
        """Logs an object that can't be used, once."""
        key = (kind, name or reason)
        if key in self._odd or len(self._odd) >= MAX_ODD:
            return
        self._odd.add(key)
        logs.warning(
            "store.odd_object", kind=kind, object=name[:80], reason=reason[:200]
        )

    @property
    def odd_objects(self) -> int:
        """Number of objects that could not be used, since the start."""
        return len(self._odd)

    def _known_elsewhere(self, kind: str) -> Revision:
        live = self._peers.live_peers().values()
        return max((peer.revision(kind) for peer in live), default=NO_REVISION)

    def _on_new_era(self, before: int, after: int) -> None:
        """Lists all kinds again, of which the watches may still wait for changes."""
        logs.event("store.new_era", era=after, before=before)
        for cache in self._caches.values():
            cache.refresh_now()

    def _on_lost(self) -> None:
        """Lists the other kinds: the connections of their watches may be silent."""
        self._peers.schedule_update()
        for cache in self._caches.values():
            if cache.reachable:
                cache.refresh_now()

    def _refresh_lost(self) -> None:
        """Lists the kinds again that were lost: the store responds again."""
        for cache in self._caches.values():
            if not cache.reachable:
                cache.refresh_now()

    def _max_backoff_s(self, kind: str) -> float:
        """Returns the longest time between two calls for a kind that is unavailable.

        While the store answers for no kind, only the configuration is asked for often,
        by all entries together about as often as by a small fleet.
        """
        timing = self._timings.get(kind, self._timing)
        if any(cache.reachable for cache in self._caches.values()):
            return timing.max_backoff_s
        if kind != CONFIG_KIND:
            return LONGEST_BACKOFF_S
        share = self._peers.count / PROBING_ENTRIES
        return min(MAX_PROBE_S, RESEND_S * max(1.0, share))

    def tasks(self) -> Iterator[tuple[str, Run]]:
        """Returns names and functions of the tasks that keep the caches current."""
        for kind, cache in self._caches.items():
            yield f"watch {kind}", cache.run
        yield "catch up", self._catch_up.run

    async def _confirm_config(self) -> bool:
        """Returns whether the configuration is known to be current, or asks the store.

        It is not asked while it is known not to respond, and not for each request.
        """
        bound_s = self._state.settings.bounds.config_s
        if self.config_age_s <= CONFIRMED_SHARE * bound_s:
            return True
        cache = self._caches[CONFIG_KIND]
        if not cache.reachable:
            return False
        if time.monotonic() - cache.listed_at > CONFIRM_WAIT_S:
            cache.list_now()
        until = time.monotonic() + CONFIRM_WAIT_S
        while time.monotonic() < until:
            await asyncio.sleep(CONFIRM_CHECK_S)
            if self.config_age_s <= CONFIRMED_SHARE * bound_s:
                return True
        return False

    @property
    def config_age_s(self) -> float:
        """Seconds since the configuration in force was last known to be current."""
        return time.monotonic() - self._caches[CONFIG_KIND].confirmed_at

    @property
    def behind(self) -> list[str]:
        """Kinds of objects of which other entries have later changes."""
        return self._catch_up.lags.behind()

    def status_rows(self) -> list[dict[str, Any]]:
        """Returns the state of each kind of objects, for operators."""
        now = time.monotonic()
        return [
            {
                "kind": kind,
                "revision": cache.revision.number,
                "era": cache.revision.era,
                "age_s": round(now - cache.confirmed_at, 2)
                if cache.confirmed_at > 0
                else None,
                "way": cache.way,
                "watches": cache.watches,
                "store": "answers" if cache.reachable else "lost",
                "behind": kind in self.behind,
            }
            for kind, cache in self._caches.items()
        ]

    @property
    def outdated(self) -> int:
        """Number of responses of the store that were older than what is known."""
        return sum(cache.outdated for cache in self._caches.values())

    def age_copies(self, suspended_s: float) -> None:
        """Ages all copies by a time that the monotonic clock has not counted."""
        for cache in self._caches.values():
            cache.age(suspended_s)

    @property
    def copied_bytes(self) -> int:
        """Bytes received from peers in copies of their caches."""
        return self._catch_up.copied_bytes

    async def until_reachable(self) -> None:
        """Waits until the last call of a cache succeeded.

        The caches retry at intervals that take the peers' access into account, so that
        other callers need no schedule of their own during an outage.
        """
        while not any(cache.reachable for cache in self._caches.values()):
            await asyncio.sleep(POLL_S)

    def report(self) -> StoreReport:
        """Returns what the other entries get to know of this entry's caches."""
        return StoreReport(self._ages(), self._revisions())

    def _revisions(self) -> dict[str, int]:
        """Returns the revision of the last change of each kind, for messages.

        Under ``IN_FORCE`` the number is the version of the configuration in force.
        """
        fields = {IN_FORCE: self._version_in_force()}
        for kind, cache in self._caches.items():
            fields |= cache.changed.export(kind)
        return fields

    @property
    def era(self) -> int:
        """Latest era of the store that this entry knows, from the store or a peer."""
        eras = (cache.revision.era for cache in self._caches.values())
        return max(self._store.era, *eras)

    def _version_in_force(self) -> int:
        cfg = self._state.config
        return cfg.version if cfg is not None else -1

    def _ages(self) -> dict[str, float]:
        """Returns the seconds since the store last responded to this entry, by kind.

        Kinds whose last call failed are left out.
        """
        now = time.monotonic()
        return {
            kind: round(now - cache.contacted_at, 2)
            for kind, cache in self._caches.items()
            if cache.reachable
        }

    def _on_config_list(self, objects: list[StoreObject]) -> None:
        for stored in objects:
            self._on_config(stored)

    def _on_config(self, change: StoreObject) -> None:
        if change.name != CONFIG_NAME or change.removed:
            return
        way = self._caches[CONFIG_KIND].way
        self._apply_config(change.spec, f"{way}, revision {change.revision.number}")

    def _apply_config(self, spec: Any, source: str) -> None:
        version = config_version(spec)
        if version is not None and version <= self._version_in_force():
            return
        try:
            config = self._config_decoder.decode(spec)
        except BadValue as exc:
            logs.warning("config.malformed", source=source, reason=str(exc))
            return
        self._config_spec = spec
        self._state.apply_config(config, source)

    def _on_server_list(self, objects: list[StoreObject]) -> None:
        servers = [s for o in objects if (s := self._decode_server(o)) is not None]
        current_at = self._caches[SERVER_KIND].replaced_from
        self._state.servers.replace(servers, time.monotonic(), current_at)
        for server in servers:
            self._state.limits.register(server)
        if not self._state.servers_listed:
            # What this process knew before its start is lost.
            self._state.limits.suspect(servers, "this entry started")
        self._state.servers_listed = True
        logs.event("servers.listed", count=len(servers))
        self._dispatch()

    def _on_server(self, change: StoreObject) -> None:
        server = None if change.removed else self._decode_server(change)
        if server is None:
            # What another writer has put in its place names no server to use.
            self._state.servers.remove(change.name, time.monotonic())
            logs.event(
                "server.removed", server=change.name, revision=change.revision.number
            )
            self._dispatch()
            return
        self._state.servers.put(server)
        self._state.limits.register(server)
        logs.event(
            "server.changed",
            server=server.id,
            service=server.service,
            leaving=server.leaving,
            revision=change.revision.number,
        )
        self._dispatch()

    def _on_evacuation_list(self, objects: list[StoreObject]) -> None:
        revision = self._caches[EVACUATION_KIND].revision
        restored = 0 < self._evacuations_era < revision.era
        self._evacuations_era = revision.era
        self._state.replace_evacuations(
            [o.name for o in objects],
            f"list of revision {revision.number}",
            restored=restored,
        )
        self._dispatch()

    def _on_evacuation(self, change: StoreObject) -> None:
        source = f"revision {change.revision.number}"
        if change.removed:
            self._state.end_evacuation(change.name, source)
        else:
            self._state.evacuate(change.name, source)
        self._dispatch()

    def _decode_server(self, change: StoreObject) -> BackendServer | None:
        try:
            return decode_server(change.name, change.spec)
        except BadValue as exc:
            self._log_odd(SERVER_KIND, change.name, str(exc))
            return None
