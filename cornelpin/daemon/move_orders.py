"""Executes the orders of the controller of moves at a side."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from loguru import logger

from cornelpin.daemon.move_messages import VersionOrder, VersionReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor

    from cornelpin.backends import Backend
    from cornelpin.daemon.move_view import MoveView
    from cornelpin.daemon.peer import Peer

UNLOAD = "unload"
DONE = "done"
BUSY = "busy"
LIMITED = "limited"
FAILED = "failed"
OLD_FENCE = "old_fence"
BUSY_RETRY_AFTER_S = 1.0
FAILED_RETRY_AFTER_S = 2.0


class VersionOrderHandler:
    """Passes orders to the backend server and refuses those with an old fencing token.

    Args:
        backend: Driver of the backend server.
        executor: Runs the orders, which may take minutes.
        view: State of the moves; orders with a lower fencing token than its are refused
            as well.
        in_use: Whether the server has runs of a version.
        on_done: Called after an order has succeeded.

    Attributes:
        unloading: Versions that are being unloaded.
    """

    def __init__(
        self,
        backend: Backend,
        executor: Executor,
        view: MoveView,
        *,
        in_use: Callable[[str], bool],
        on_done: Callable[[], None],
    ) -> None:
        self._backend = backend
        self._executor = executor
        self._view = view
        self._in_use = in_use
        self._on_done = on_done
        self._lock = threading.Lock()
        self._highest_fence = 0
        self._in_progress: set[str] = set()
        self.unloading: set[str] = set()

    def handle(self, peer: Peer, order: VersionOrder) -> None:
        """Starts an order unless its fencing token is old or its version is busy."""
        with self._lock:
            self._highest_fence = max(self._highest_fence, self._view.book.fence)
            if order.fence < self._highest_fence:
                detail = f"fence {order.fence} is below {self._highest_fence}"
                peer.send(_reply(order, OLD_FENCE, 0.0, detail))
                return
            self._highest_fence = order.fence
            if order.version in self._in_progress:
                peer.send(_reply(order, BUSY, BUSY_RETRY_AFTER_S, "under way"))
                return
            self._in_progress.add(order.version)
        self._executor.submit(self._execute_and_reply, peer, order)

    def _execute_and_reply(self, peer: Peer, order: VersionOrder) -> None:
        try:
            peer.send(self._execute(order))
        except Exception as exc:
            logger.exception("order to {} version {} failed", order.op, order.version)
            peer.send(_reply(order, FAILED, FAILED_RETRY_AFTER_S, str(exc)))
        finally:
            with self._lock:
                self._in_progress.discard(order.version)
                self.unloading.discard(order.version)

    def _execute(self, order: VersionOrder) -> VersionReply:
        if order.op == UNLOAD:
            self.unloading.add(order.version)
            if self._in_use(order.version):
                return _reply(order, BUSY, BUSY_RETRY_AFTER_S, "runs are on it")
        result = self._backend.order(order.op, order.version, order.fence)
        if result.done:
            self._on_done()
            return _reply(order, DONE, 0.0, "")
        if result.retry_after_s > 0:
            return _reply(order, LIMITED, result.retry_after_s, result.detail)
        return _reply(order, FAILED, FAILED_RETRY_AFTER_S, result.detail)


def _reply(
    order: VersionOrder, outcome: str, retry_after_s: float, detail: str
) -> VersionReply:
    return VersionReply(order.op, order.version, outcome, retry_after_s, detail)
