"""Roll-out controller: reads orders from the store and writes their status back."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING, Any

from cornelpin.gateway import logs
from cornelpin.platform import (
    ROLLOUT_KIND,
    BadValue,
    Store,
    StoreObject,
    StoreUnavailable,
    decode_rollout,
    rollout_status,
)
from cornelpin.scheduling.rollouts import Order, OrderState, Rollouts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.gateway.peers import Peers
    from cornelpin.scheduling.servers import BackendServer

TURN_S = 0.15
"""Stagger between the entries that may write a status: a few round trips to the store,
so that usually only one of them writes."""
LAST_TURN = 4
"""Index of the last turn, which all remaining entries share; the first is 0."""
RETRY_S = 0.4
"""Time between attempts of one entry while the store is unavailable."""


class RolloutController:
    """Applies roll-out orders on one entry.

    The entry whose turn it is writes an order's status: that it runs, is done or was
    rolled back. Each write is conditional on the order's revision, so the store accepts
    only the first.

    Args:
        store: Client of the store.
        peers: The other entries.
        rollouts: Assesses versions and decides the status of each order.
        flush: Called to send an update to the other entries at once.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        rollouts: Rollouts,
        flush: Callable[[], None],
    ) -> None:
        self._store = store
        self._peers = peers
        self._rollouts = rollouts
        self._flush = flush
        # Monotonic time of the next attempt, without this entry's turn delay.
        self._next_write_at: dict[tuple[Order, OrderState], float] = {}

    def on_list(self, objects: Iterable[StoreObject]) -> None:
        """Applies the orders of a full list.

        A known order that is missing from the list stays in force: only the change that
        removes it drops it.
        """
        for stored in objects:
            self.on_change(stored)

    def on_change(self, change: StoreObject) -> None:
        """Applies a new, changed or removed order."""
        if change.removed:
            self._rollouts.drop_order(change.name)
            logs.event("rollout.removed", service=change.name)
            return
        try:
            order = decode_rollout(change)
        except BadValue as exc:
            logs.warning("rollout.malformed", order=change.name, reason=str(exc))
            return
        new = self._rollouts.set_order(order, time.monotonic())
        logs.event(
            "rollout.ordered" if new else "rollout.changed",
            service=order.service,
            version=order.version,
            outcome=order.state.value,
            duration_s=order.duration_s,
            revision=order.revision.number,
        )

    def record_run(
        self, server: BackendServer, route: str, *, failed: bool, took_s: float | None
    ) -> None:
        """Records the end of a run; stops a version if this shows that it is bad."""
        if self._rollouts.record_end(server, route, failed=failed, took_s=took_s):
            self._report_pending_statuses()

    def merge_from(self, entry: tuple[str, str], received: dict[str, Any]) -> None:
        """Merges another entry's view of the running orders (``Rollouts.export``)."""
        if self._rollouts.merge_from(entry, received, time.monotonic()):
            self._report_pending_statuses()

    def _report_pending_statuses(self) -> None:
        """Logs all orders whose status is to be written and sends updates to the peers.

        Called when one version is newly found bad. Statuses of other orders that are
        still to be written are logged too, possibly again, each with its reason.
        """
        for order, _, reason in self._rollouts.pending_writes(time.monotonic()):
            logs.event(
                "rollout.judged",
                service=order.service,
                version=order.version,
                reason=reason,
            )
        self._flush()

    async def write_statuses(self) -> None:
        """Writes the pending statuses for which it is this entry's turn."""
        now = time.monotonic()
        due = self._rollouts.pending_writes(now)
        pending = {(order, state) for order, state, _ in due}
        self._next_write_at = {
            k: t for k, t in self._next_write_at.items() if k in pending
        }
        for order, state, reason in due:
            next_write_at = self._next_write_at.setdefault((order, state), now)
            if now >= next_write_at + self._turn_delay_s(order):
                self._next_write_at[order, state] = now + RETRY_S
                await self._write_status(order, state, reason)

    def _turn_delay_s(self, order: Order) -> float:
        """Returns the delay of this entry's turn to write a status, in seconds."""
        hosts = [self._peers.host, *self._peers.live_peers()]
        hosts.sort(key=lambda host: zlib.crc32(f"{order.service} {host}".encode()))
        return TURN_S * min(LAST_TURN, hosts.index(self._peers.host))

    async def _write_status(self, order: Order, state: OrderState, reason: str) -> None:
        status = rollout_status(order, state)
        try:
            accepted = await self._store.set_status(
                ROLLOUT_KIND, order.service, order.revision, status
            )
        except StoreUnavailable as exc:
            logs.warning("rollout.not_stated", service=order.service, reason=str(exc))
            return
        logs.event(
            "rollout.stated",
            service=order.service,
            version=order.version,
            outcome=state.value,
            reason=reason,
            revision=order.revision.number,
            first=accepted,
        )
