"""Local cache of the store's objects of one kind, kept current by list and watch."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.revision import NO_REVISION, Revision
from cornelpin.gateway import logs
from cornelpin.gateway.repeated_calls import RepeatedCalls
from cornelpin.platform import Listing, Store, StoreObject, StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_S = 0.2
"""Interval at which an entry checks whether it has to watch the store itself."""
WATCH_S = 2.5
"""Longest long-poll time of a watch. It bounds how long a dead watch goes unnoticed;
``watcher_selection.default_timing`` shortens it where the platform expects more."""
FIRST_BACKOFF_S = 0.1
"""First time between two calls while the store is unavailable; it doubles."""
RESEND_S = 0.4
"""Time without a response after which a call is repeated beside the first one: twice
that of a degraded store. Calls that were pending while the store was silent get no
response after its return."""
MAX_CALLS = 4
"""Most calls pending at the same time."""
MAX_BACKOFF_S = 0.8
"""Longest time between two calls while the store is unavailable, for kinds whose
changes must soon be in force: well under the platform's bound on that."""
JITTER = (0.75, 1.0)
"""Range of the random factor on the time between two calls."""
LONGEST_BACKOFF_S = 4.0
"""Longest time between two calls of any kind."""
RETRY_CHECK_S = 0.05
"""Interval at which a cache checks whether a call is due."""
PEER_COPY_BACKOFF_S = 4.0
"""Longest time between two calls while other entries reach the store and this one
copies from them: the platform charges for store calls, and no change is missed."""
PEER_REPORT_DELAY_S = 0.2
"""Allowance for network delay: a peer's contact with the store may be older than its
reported age by this much."""
BATCH_S = 0.1
"""Pause after changes before the next watch, so that one call returns several: a small
part of the bounds on configuration delay and on draining servers."""


class WatchCache:
    """The last known objects of one kind.

    Args:
        store: Client of the store.
        kind: Kind of the objects.
        on_list: Called with all objects after a list call or a peer's snapshot.
        on_change: Called with each change.
        on_recovery: Called when the store responds again after an outage, and before
            its objects are replaced by those of a restored store.
        on_revision: Called when a watch has returned changes.
        on_contact: Called after each response of the store.
        on_lost: Called when a call of the store fails for the first time.
        on_regained: Called when the store responds again after that.
        watch_wait_s: Returns the long-poll time of a watch in seconds; None if other
            entries watch.
        follow_s: Age of a peer's confirmation up to which this entry leaves calls to
            its peers, in seconds.
        max_backoff_s: Returns the longest time between two calls while the store is
            unavailable, in seconds.

    Attributes:
        kind: Kind of the objects.
        revision: Revision of the store up to which the cache is complete.
        changed: Revision of the last change of an object of this kind. The store counts
            changes of all kinds, so ``revision`` may be much higher.
        objects: Objects by name.
        confirmed_at: Monotonic time at which the cache was last known to be current,
            from the store or from a peer.
        contacted_at: Monotonic time of the store's last response to this entry.
        replaced_from: Monotonic time at which the objects were last known to be current
            before they were last replaced.
        reachable: Whether the last call to the store succeeded.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        *,
        on_list: Callable[[list[StoreObject]], None],
        on_change: Callable[[StoreObject], None],
        on_recovery: Callable[[], None],
        on_revision: Callable[[], None] = lambda: None,
        on_contact: Callable[[], None] = lambda: None,
        on_lost: Callable[[], None] = lambda: None,
        on_regained: Callable[[], None] = lambda: None,
        watch_wait_s: Callable[[], float | None] = lambda: WATCH_S,
        follow_s: float = 0.0,
        max_backoff_s: Callable[[], float] = lambda: MAX_BACKOFF_S,
    ) -> None:
        self.kind = kind
        self.revision = NO_REVISION
        self.changed = NO_REVISION
        self.objects: dict[str, StoreObject] = {}
        self.confirmed_at = float("-inf")
        self.contacted_at = float("-inf")
        self.replaced_from = float("-inf")
        self.reachable = True
        self._store = store
        self._on_list = on_list
        self._on_change = on_change
        self._on_recovery = on_recovery
        self._on_revision = on_revision
        self._on_contact = on_contact
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._watch_wait_s = watch_wait_s
        self._follow_s = follow_s
        self._max_backoff_s = max_backoff_s
        self._lost_at = float("-inf")
        # Whether all objects must be listed before changes can be watched.
        self._list_due = True
        # Set to list all objects at once.
        self._refresh = asyncio.Event()
        # Set to end a watch.
        self._interrupt = asyncio.Event()
        self._following = False
        self._backoff_s = FIRST_BACKOFF_S

    async def run(self) -> None:
        """Keeps the cache current until cancelled."""
        while True:
            self._refresh.clear()
            self._interrupt.clear()
            if self._list_due or self.revision == NO_REVISION:
                await self._list_until_current()
            elif (watch_wait_s := self._watch_wait_s()) is not None:
                await self._watch(watch_wait_s)
            else:
                await asyncio.sleep(POLL_S)

    def refresh_now(self) -> None:
        """Interrupts a watch or a backoff, so that the objects are listed at once."""
        self._backoff_s = FIRST_BACKOFF_S
        self._refresh.set()
        self._interrupt.set()

    def load_snapshot(
        self, revision: Revision, changed: Revision, objects: dict[str, list[Any]]
    ) -> bool:
        """Loads a peer's snapshot if it is newer; returns whether it was.

        A running watch is interrupted, to be started again from the new revision.

        Args:
            revision: Revision of the snapshot.
            changed: Revision of the last change in it.
            objects: Revision number, spec and status of each object by name, as in
                ``snapshot``.
        """
        if revision <= self.revision:
            return False
        loaded = [
            StoreObject(name, Revision(revision.era, number), spec, status)
            for name, (number, spec, status) in objects.items()
        ]
        self.replaced_from = self.confirmed_at
        self._replace(loaded, revision, changed)
        self._interrupt.set()
        return True

    def snapshot(self) -> dict[str, list[Any]]:
        """Returns the objects for a peer, as ``load_snapshot`` takes them.

        All of them are of the era of ``revision``.
        """
        return {
            c.name: [c.revision.number, c.spec, c.status] for c in self.objects.values()
        }

    async def _list_until_current(self) -> None:
        """Lists all objects; repeats the call until one is answered."""
        calls = RepeatedCalls(lambda: self._store.list(self.kind), MAX_CALLS)
        due_at = float("-inf")
        try:
            while self._list_due:
                if self._refresh.is_set() or time.monotonic() >= due_at:
                    self._refresh.clear()
                    calls.start()
                    began, jitter = time.monotonic(), random.uniform(*JITTER)
                for call in await calls.wait(self._refresh, RETRY_CHECK_S):
                    self._handle_call(call)
                self._log_if_following()
                due_at = began + jitter * self._call_interval_s(len(calls))
        finally:
            calls.cancel()

    def _log_if_following(self) -> None:
        following = self._confirmed_by_peers()
        if following and not self._following:
            logs.event("store.left_to_peers", kind=self.kind)
        self._following = following

    def _call_interval_s(self, pending: int) -> float:
        """Returns the longest time from one call to the next.

        Args:
            pending: Number of calls that have got no response yet.
        """
        if self._confirmed_by_peers():
            return PEER_COPY_BACKOFF_S
        interval_s = min(self._backoff_s, self._max_backoff_s())
        return max(interval_s, RESEND_S) if pending else interval_s

    def _handle_call(self, call: asyncio.Task[Listing]) -> None:
        try:
            listing = call.result()
        except StoreUnavailable as exc:
            self._handle_failure(exc)
        else:
            self._list_due = False
            self._handle_listing(listing)

    def _handle_listing(self, listing: Listing) -> None:
        known = self.revision != NO_REVISION
        logs.event(
            "store.listed",
            kind=self.kind,
            revision=listing.revision.number,
            age_s=round(time.monotonic() - self.confirmed_at, 1) if known else None,
        )
        self.replaced_from = self.confirmed_at
        self._contacted()
        if listing.revision >= self.revision:
            objects = list(listing.objects)
            self._replace(objects, listing.revision, self._last_change(listing))

    def _last_change(self, listing: Listing) -> Revision:
        """Returns the revision of the last change in a listing, or a higher one.

        A listing does not tell the revisions of deletions.
        """
        listed = {o.name: o.revision for o in listing.objects}
        if self.objects.keys() - listed.keys():
            return listing.revision
        first = Revision(listing.revision.era, 0)
        return max(self.changed, first, *listed.values())

    def _replace(
        self, objects: list[StoreObject], revision: Revision, changed: Revision
    ) -> None:
        if self.revision != NO_REVISION and revision.era > self.revision.era:
            logs.event(
                "store.restored",
                kind=self.kind,
                era=revision.era,
                revision=revision.number,
                era_before=self.revision.era,
                revision_before=self.revision.number,
            )
            self._on_recovery()
        self.revision = revision
        self.changed = changed
        self.objects = {o.name: o for o in objects}
        self._on_list(objects)

    async def _watch(self, watch_wait_s: float) -> None:
        """Waits for changes and applies them."""
        from_revision = self.revision
        watch = asyncio.create_task(
            self._store.watch(self.kind, from_revision, watch_wait_s)
        )
        interrupted = asyncio.create_task(self._interrupt.wait())
        try:
            await asyncio.wait(
                {watch, interrupted}, return_when=asyncio.FIRST_COMPLETED
            )
            if not watch.done():
                # Interrupted. If a snapshot was loaded meanwhile, the cache is current;
                # otherwise a list call is needed.
                self._list_due = self.revision == from_revision
                return
            watched = watch.result()
        except StoreUnavailable as exc:
            # After an outage a list call responds at once, a watch may not.
            self._list_due = True
            self._handle_failure(exc)
            return
        finally:
            watch.cancel()
            interrupted.cancel()
        self._contacted()
        if watched.history_lost:
            self._list_due = True
            logs.event(
                "store.history_lost", kind=self.kind, revision=from_revision.number
            )
            return
        for change in watched.changes:
            self._apply(change)
        self.revision = max(self.revision, watched.revision)
        if watched.changes:
            self._on_revision()
            await asyncio.sleep(BATCH_S)

    def _apply(self, change: StoreObject) -> None:
        known = self.objects.get(change.name)
        if known is not None and change.revision < known.revision:
            return
        if change.removed:
            self.objects.pop(change.name, None)
        else:
            self.objects[change.name] = change
        self.changed = max(self.changed, change.revision)
        self._on_change(change)

    def confirm(self, at: float) -> None:
        """Records that the cache was current at a monotonic time, as a peer reports."""
        self.confirmed_at = max(self.confirmed_at, at)

    def _contacted(self) -> None:
        self.confirmed_at = self.contacted_at = time.monotonic()
        self._backoff_s = FIRST_BACKOFF_S
        self._on_contact()
        if not self.reachable:
            self.reachable = True
            logs.event("store.regained", kind=self.kind, revision=self.revision.number)
            self._on_recovery()
            self._on_regained()

    def _handle_failure(self, exc: StoreUnavailable) -> None:
        self._backoff_s = min(LONGEST_BACKOFF_S, 2 * self._backoff_s)
        if not self.reachable:
            return
        self.reachable = False
        self._lost_at = time.monotonic()
        age_s = round(time.monotonic() - self.confirmed_at, 1)
        logs.warning("store.lost", kind=self.kind, reason=str(exc), age_s=age_s)
        self._on_lost()

    def _confirmed_by_peers(self) -> bool:
        """Returns whether peers have confirmed the objects since the call failed.

        Contact of a peer for another kind, or before, says nothing about them: entries
        that lost the store together would rely on each other.
        """
        age_s = time.monotonic() - self.confirmed_at
        if self.reachable:
            return False
        since_failure_s = time.monotonic() - self._lost_at
        return age_s < min(self._follow_s, since_failure_s - PEER_REPORT_DELAY_S)
