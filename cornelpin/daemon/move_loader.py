"""Sends orders to load and unload versions, with few loads at a time."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.daemon.move_messages import VersionOrder, VersionReply
from cornelpin.daemon.move_orders import DONE, FAILED, LIMITED

if TYPE_CHECKING:
    from collections.abc import Collection

    from cornelpin.daemon.links import Link

LOAD = "load"
MAX_CONCURRENT_LOADS = 2
MAX_DETAIL_CHARS = 200
# An order without a reply for this long may be sent again.
ORDER_TIMEOUT_S = 120.0


@attrs.frozen
class _OrderKey:
    """Identity of an order: server, operation and version."""

    server: str
    op: str
    version: str


class VersionLoader:
    """Sends orders to sides and delays further orders as their replies ask."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_flight: dict[_OrderKey, float] = {}
        self._retry_at: dict[_OrderKey, float] = {}
        self._failures: dict[_OrderKey, str] = {}
        self._loads_retry_at = 0.0

    def order(self, link: Link, op: str, version: str, fence: int) -> bool:
        """Sends an order unless it is in flight or in backoff.

        Args:
            link: Link to the side.
            op: ``load`` or ``unload``.
            version: Version of the backend server.
            fence: Fencing token of the controller.

        Returns:
            Whether the order was sent.
        """
        key = _OrderKey(link.name, op, version)
        now = time.monotonic()
        with self._lock:
            self._expire(now)
            if key in self._in_flight or now < self._retry_at.get(key, 0.0):
                return False
            if op == LOAD and not self._may_load(now):
                return False
            if not link.send(VersionOrder(op, version, fence)):
                return False
            self._in_flight[key] = now
            return True

    def on_reply(self, link: Link, msg: VersionReply) -> None:
        """Records the outcome of an order and when it may be sent again."""
        key = _OrderKey(link.name, msg.op, msg.version)
        retry_at = time.monotonic() + msg.retry_after_s
        with self._lock:
            self._in_flight.pop(key, None)
            self._retry_at[key] = retry_at
            if msg.outcome == FAILED:
                self._failures[key] = msg.detail[:MAX_DETAIL_CHARS]
            elif msg.outcome == DONE:
                self._failures.pop(key, None)
            elif msg.op == LOAD and msg.outcome == LIMITED:
                # All servers share the weight store, so all loads wait.
                self._loads_retry_at = max(self._loads_retry_at, retry_at)

    def failure(self, version: str, servers: Collection[str]) -> str:
        """Returns why a server failed to load a version, or an empty string."""
        with self._lock:
            failed = [
                f"loading on {key.server} failed: {detail}"
                for key, detail in self._failures.items()
                if (key.op, key.version) == (LOAD, version) and key.server in servers
            ]
        return min(failed, default="")

    def on_lost(self, link: Link) -> None:
        """Drops the orders in flight at a disconnected side."""
        with self._lock:
            for key in [k for k in self._in_flight if k.server == link.name]:
                del self._in_flight[key]

    def _may_load(self, now: float) -> bool:
        loads = sum(key.op == LOAD for key in self._in_flight)
        return loads < MAX_CONCURRENT_LOADS and now >= self._loads_retry_at

    def _expire(self, now: float) -> None:
        for key, since in list(self._in_flight.items()):
            if now - since > ORDER_TIMEOUT_S:
                del self._in_flight[key]
