"""Watch caches of several entries beside a store that is restored from old copies.

No acknowledged configuration is forgotten by an entry, no cache goes back to a state
that a later one has replaced, and all converge once the operator has written again what
was lost.
"""

from __future__ import annotations

import asyncio
import copy
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cornelpin.core.revision import Revision
from cornelpin.gateway.watch_cache import WatchCache
from cornelpin.platform import Listing, StoreObject, StoreUnavailable, WatchResult
from properties.profiles import run_settings

ENTRIES = 3
NAME = "main"
entries = st.integers(min_value=0, max_value=ENTRIES - 1)


class RestorableStore:
    """A store of one kind; its first era is 1."""

    def __init__(self) -> None:
        self.revision = Revision(1, 1)
        self.objects: dict[str, StoreObject] = {}
        self.events: list[StoreObject] = []
        self.copies = [copy.deepcopy((self.revision, self.objects, self.events))]
        self.down = False

    def put(self, name: str, spec: int) -> None:
        self.revision = Revision(self.revision.era, self.revision.number + 1)
        self.objects[name] = StoreObject(name, self.revision, spec)
        self.events.append(self.objects[name])

    def restore(self, which: int) -> None:
        revision, objects, events = copy.deepcopy(self.copies[which])
        era = self.revision.era + 1

        def renumbered(stored: StoreObject) -> StoreObject:
            number = stored.revision.number
            return StoreObject(stored.name, Revision(era, number), stored.spec)

        self.revision = Revision(era, revision.number)
        self.objects = {n: renumbered(o) for n, o in objects.items()}
        self.events = [renumbered(o) for o in events]
        del self.copies[which + 1 :]

    async def list(self, kind: str) -> Listing:
        if self.down:
            raise StoreUnavailable("down")
        return Listing(tuple(self.objects.values()), self.revision)

    async def watch(self, kind: str, revision: Revision, wait_s: float) -> WatchResult:
        if self.down:
            raise StoreUnavailable("down")
        if revision.era != self.revision.era or revision > self.revision:
            return WatchResult((), revision, history_lost=True)
        changes = tuple(e for e in self.events if e.revision > revision)
        return WatchResult(changes, self.revision)


class StoreErasMachine(RuleBasedStateMachine):
    @initialize()
    def start(self) -> None:
        self.store = RestorableStore()
        self.written = 0
        self.in_force = [0] * ENTRIES
        self.recoveries = [0] * ENTRIES
        self.seen = [Revision()] * ENTRIES
        self.caches = [self._make_cache(number) for number in range(ENTRIES)]

    def _make_cache(self, number: int) -> WatchCache:
        store: Any = self.store
        return WatchCache(
            store,
            "things",
            on_list=lambda objects: [self._apply(number, o) for o in objects],
            on_change=lambda change: self._apply(number, change),
            on_recovery=lambda: self._recover(number),
        )

    def _apply(self, number: int, stored: StoreObject) -> None:
        # As GatewayState.apply_config: an older version is ignored.
        if stored.name == NAME:
            self.in_force[number] = max(self.in_force[number], stored.spec)

    def _recover(self, number: int) -> None:
        self.recoveries[number] += 1

    @rule()
    def write(self) -> None:
        self.written += 1
        self.store.put(NAME, self.written)

    @rule(name=st.sampled_from("ab"))
    def write_other(self, name: str) -> None:
        self.store.put(name, 0)

    @rule()
    def keep_copy(self) -> None:
        store = self.store
        state = (store.revision, store.objects, store.events)
        store.copies.append(copy.deepcopy(state))

    @rule(age=st.integers(min_value=0, max_value=3))
    def restore(self, age: int) -> None:
        self.store.restore(max(0, len(self.store.copies) - 1 - age))

    @rule(down=st.booleans())
    def set_down(self, down: bool) -> None:
        self.store.down = down

    @rule(number=entries)
    def list_all(self, number: int) -> None:
        try:
            asyncio.run(self._list(self.caches[number]))
        except StoreUnavailable:
            return

    @rule(number=entries)
    def watch(self, number: int) -> None:
        cache = self.caches[number]
        try:
            if asyncio.run(self._watch_once(cache)):
                asyncio.run(self._list(cache))
        except StoreUnavailable:
            return

    async def _list(self, cache: WatchCache) -> None:
        cache._handle_listing(await self.store.list("things"))

    async def _watch_once(self, cache: WatchCache) -> bool:
        result = await self.store.watch("things", cache.revision, 0.0)
        if result.history_lost:
            return True
        for change in result.changes:
            cache._apply(change)
        cache.revision = max(cache.revision, result.revision)
        return False

    @rule(source=entries, into=entries)
    def copy_from_peer(self, source: int, into: int) -> None:
        # As CatchUp: only what changed after the revision of the copying entry.
        peer, cache = self.caches[source], self.caches[into]
        if peer.changed > cache.revision:
            cache.load_snapshot(peer.revision, peer.changed, peer.snapshot())

    @rule(number=entries)
    def restart(self, number: int) -> None:
        self.caches[number] = self._make_cache(number)
        self.in_force[number] = 0
        self.seen[number] = Revision()

    @rule()
    def settle(self) -> None:
        """The operator writes again what was lost, and every entry catches up."""
        self.store.down = False
        if self.written:
            self.store.put(NAME, self.written)
        for number in range(1, ENTRIES):
            self.watch(number)
        self.copy_from_peer(1, 0)
        for cache in self.caches:
            assert cache.objects == self.store.objects
        assert set(self.in_force) == {self.written}

    @invariant()
    def caches_never_go_back(self) -> None:
        for number, cache in enumerate(self.caches):
            assert cache.revision >= self.seen[number]
            if cache.revision.era > max(1, self.seen[number].era) > 0:
                known = self.seen[number] != Revision()
                assert self.recoveries[number] or not known
            self.seen[number] = cache.revision
            assert cache.changed <= cache.revision
            for stored in cache.objects.values():
                assert stored.revision <= cache.changed

    @invariant()
    def configuration_in_force_never_goes_back(self) -> None:
        before = getattr(self, "checked", [0] * ENTRIES)
        for number, version in enumerate(self.in_force):
            assert version >= before[number] or version == 0
        self.checked = list(self.in_force)


# 10,000 steps.
StoreErasMachine.TestCase.settings = run_settings(200, stateful_step_count=50)
TestStoreEras = StoreErasMachine.TestCase
