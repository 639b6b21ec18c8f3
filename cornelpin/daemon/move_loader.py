"""Orders to load and unload versions, a few at a time."""

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
MAX_LOADS_AT_ONCE = 2
MAX_DETAIL_CHARS = 200
ORDER_TIMEOUT_S = 120.0


@attrs.frozen
class _Key:
    """One order: server, operation and version."""

    server: str
    op: str
    version: str


class VersionLoader:
    """Sends orders to sides and paces them by their answers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._under_way: dict[_Key, float] = {}
        self._not_before: dict[_Key, float] = {}
        self._failures: dict[_Key, str] = {}
        self._loads_not_before = 0.0

    def order(self, link: Link, op: str, version: str, fence: int) -> bool:
        """Sends an order unless it is under way or has to wait."""
        key = _Key(link.name, op, version)
        now = time.monotonic()
        with self._lock:
            self._expire(now)
            if key in self._under_way or now < self._not_before.get(key, 0.0):
                return False
            if op == LOAD and not self._may_load(now):
                return False
            if not link.send(VersionOrder(op, version, fence)):
                return False
            self._under_way[key] = now
            return True

    def on_reply(self, link: Link, msg: VersionReply) -> None:
        """Takes the answer to an order."""
        key = _Key(link.name, msg.op, msg.version)
        until = time.monotonic() + msg.retry_after_s
        with self._lock:
            self._under_way.pop(key, None)
            self._not_before[key] = until
            if msg.outcome == FAILED:
                self._failures[key] = msg.detail[:MAX_DETAIL_CHARS]
            elif msg.outcome == DONE:
                self._failures.pop(key, None)
            elif msg.op == LOAD and msg.outcome == LIMITED:
                # The weight store serves all servers, so all loads wait.
                self._loads_not_before = max(self._loads_not_before, until)

    def failure(self, version: str, servers: Collection[str]) -> str:
        """Returns why a version can't be loaded on one of the servers, or ""."""
        with self._lock:
            failed = [
                f"loading on {key.server} failed: {detail}"
                for key, detail in self._failures.items()
                if (key.op, key.version) == (LOAD, version) and key.server in servers
            ]
        return min(failed, default="")

    def on_lost(self, link: Link) -> None:
        """Forgets the orders under way at a lost side."""
        with self._lock:
            for key in [k for k in self._under_way if k.server == link.name]:
                del self._under_way[key]

    def _may_load(self, now: float) -> bool:
        loads = sum(key.op == LOAD for key in self._under_way)
        return loads < MAX_LOADS_AT_ONCE and now >= self._loads_not_before

    def _expire(self, now: float) -> None:
        for key, since in list(self._under_way.items()):
            if now - since > ORDER_TIMEOUT_S:
                del self._under_way[key]
