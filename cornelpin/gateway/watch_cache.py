"""Local cache of the store's objects of one kind, kept current by list and watch."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.revision import NO_REVISION, Revision
from cornelpin.gateway import logs
from cornelpin.gateway.repeated_calls import RepeatedCalls
from cornelpin.platform import (
    Listing,
    OddObject,
    Store,
    StoreObject,
    StoreUnavailable,
    WatchResult,
)

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_S = 0.2
"""Interval at which an entry checks whether it has to watch the store itself."""
DEFAULT_WAIT_S = 2.5
"""Long-poll time of a watch if none is given."""
FIRST_WAIT_S = 0.2
"""Long-poll time of the first watch of an entry that has not watched for some time: it
shows the others soon that the store answers."""
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
JITTER = (0.4, 1.0)
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
        on_odd: Called with each object that can't be used.
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
        known_elsewhere: Returns the revision of the last change that others have.
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
        contacted_at: Monotonic time of the store's last response to this entry that was
            as new as what is known.
        replaced_from: Monotonic time at which the objects were last known to be current
            before they were last replaced.
        listed_at: Monotonic time of the last call of the store for all objects.
        way: How the objects were last updated: ``list``, ``watch`` or ``peer``.
        reachable: Whether the last call to the store succeeded.
        outdated: Number of responses that were older than what is known.
    """

    def __init__(
        self,
        store: Store,
        kind: str,
        *,
        on_list: Callable[[list[StoreObject]], None],
        on_change: Callable[[StoreObject], None],
        on_odd: Callable[[OddObject], None] = lambda odd: None,
        on_recovery: Callable[[], None],
        on_revision: Callable[[], None] = lambda: None,
        on_contact: Callable[[], None] = lambda: None,
        on_lost: Callable[[], None] = lambda: None,
        on_regained: Callable[[], None] = lambda: None,
        watch_wait_s: Callable[[], float | None] = lambda: DEFAULT_WAIT_S,
        follow_s: float = 0.0,
        known_elsewhere: Callable[[], Revision] = lambda: NO_REVISION,
        max_backoff_s: Callable[[], float] = lambda: MAX_BACKOFF_S,
    ) -> None:
        self.kind = kind
        self.revision = NO_REVISION
        self.changed = NO_REVISION
        self.objects: dict[str, StoreObject] = {}
        self.confirmed_at = float("-inf")
        self.contacted_at = float("-inf")
        self.replaced_from = float("-inf")
        self.listed_at = float("-inf")
        self.way = ""
        self.reachable = True
        self.outdated = 0
        self._store = store
        self._on_list = on_list
        self._on_change = on_change
        self._on_odd = on_odd
        self._on_recovery = on_recovery
        self._on_revision = on_revision
        self._on_contact = on_contact
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._watch_wait_s = watch_wait_s
        self._follow_s = follow_s
        self._known_elsewhere = known_elsewhere
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

    @property
    def watches(self) -> bool:
        """Whether this entry watches the objects itself."""
        return self._watch_wait_s() is not None

    async def run(self) -> None:
        """Keeps the cache current until cancelled."""
        while True:
            self._refresh.clear()
            self._interrupt.clear()
            if self._list_due or self.revision == NO_REVISION:
                await self._list_until_current()
            elif (wait_s := self._watch_wait_s()) is not None:
                in_contact = time.monotonic() - self.contacted_at <= wait_s
                await self._watch(wait_s if in_contact else FIRST_WAIT_S)
            else:
                await self._idle()

    async def _idle(self) -> None:
        """Waits before the next check whether this entry has to watch."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_S):
                await self._interrupt.wait()

    def refresh_now(self) -> None:
        """Interrupts a watch or a backoff, so that the objects are listed at once."""
        self._backoff_s = FIRST_BACKOFF_S
        self._refresh.set()
        self._interrupt.set()

    def list_now(self) -> None:
        """Lists the objects at once, also if other entries watch them."""
        self._list_due = True
        self.refresh_now()

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
        self.way = "peer"
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
                    self.listed_at, jitter = time.monotonic(), random.uniform(*JITTER)
                for call in await calls.wait(self._refresh, RETRY_CHECK_S):
                    self._handle_call(call)
                self._log_if_following()
                due_at = self.listed_at + jitter * self._call_interval_s(len(calls))
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
        for odd in listing.odd:
            self._on_odd(odd)
        self.replaced_from = self.confirmed_at
        self._handle_contact(listing.revision)
        if listing.revision >= self.revision:
            self.way = "list"
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

    async def _watch(self, wait_s: float) -> None:
        """Waits for changes and applies them.

        Args:
            wait_s: Time for which the store holds the call until there is a change,
                seconds. The wait ends sooner if this entry is to watch more often.
        """
        from_revision = self.revision
        watch = asyncio.create_task(self._store.watch(self.kind, from_revision, wait_s))
        try:
            await self._until_ended(watch, wait_s)
            if not watch.done():
                # Interrupted. If a snapshot was loaded meanwhile, or the watch is to be
                # replaced by a shorter one, the cache is current; otherwise a list call
                # is needed.
                self._list_due = self._refresh.is_set()
                return
            watched = watch.result()
        except StoreUnavailable as exc:
            # After an outage a list call responds at once, a watch may not.
            self._list_due = True
            self._handle_failure(exc)
            return
        finally:
            watch.cancel()
        self._handle_contact(NO_REVISION if watched.history_lost else watched.revision)
        if watched.history_lost:
            self._list_due = True
            logs.event(
                "store.history_lost", kind=self.kind, revision=from_revision.number
            )
            return
        for odd in watched.odd:
            self._on_odd(odd)
        self.way = "watch" if watched.changes else self.way
        for change in watched.changes:
            self._apply(change)
        self.revision = max(self.revision, watched.revision)
        if watched.changes:
            self._on_revision()
            await asyncio.sleep(BATCH_S)

    async def _until_ended(
        self, watch: asyncio.Task[WatchResult], wait_s: float
    ) -> None:
        """Waits until a watch has ended, or is to be interrupted."""
        interrupted = asyncio.create_task(self._interrupt.wait())
        began = time.monotonic()
        try:
            while not watch.done() and not interrupted.done():
                await asyncio.wait(
                    {watch, interrupted},
                    timeout=POLL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                wanted_s = self._watch_wait_s() or wait_s
                if time.monotonic() - began > wanted_s < wait_s:
                    return
        finally:
            interrupted.cancel()

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

    def age(self, suspended_s: float) -> None:
        """Ages the copy by a time that the monotonic clock has not counted.

        The objects are listed again: a watch may have lost its connection meanwhile.
        """
        self.confirmed_at -= suspended_s
        self.contacted_at -= suspended_s
        self.replaced_from -= suspended_s
        self.refresh_now()

    def confirm(self, at: float) -> None:
        """Records that the cache was current at a monotonic time, as a peer reports."""
        self.confirmed_at = max(self.confirmed_at, at)

    def _handle_contact(self, revision: Revision) -> None:
        """Records a response of the store, which was up to a revision.

        A copy of the store that lags behind says nothing about the objects' age.
        """
        if revision >= max(self.revision, self._known_elsewhere()):
            self.confirmed_at = self.contacted_at = time.monotonic()
        else:
            self.outdated += 1
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
