"""Supervisor tree: long-lived tasks, restarted with backoff when they fail."""

from __future__ import annotations

import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_CHILDREN = 4096
STOP_TIMEOUT_S = 5.0


@attrs.frozen
class _Child:
    """A running child and the means to stop it."""

    name: str
    stop: threading.Event
    fut: Future[None]
    interrupt: Callable[[], None] | None


class Supervisor:
    """Runs children as tasks of one executor and restarts those that raise.

    A child is a callable that takes the stop event and returns when it is set, or
    earlier when its work is done. Children are stopped in reverse start order.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.restarts = 0
        self._executor = ThreadPoolExecutor(MAX_CHILDREN, thread_name_prefix=name)
        self._children: list[_Child] = []
        self._lock = threading.Lock()

    def start(
        self,
        name: str,
        child: Callable[[threading.Event], None],
        *,
        interrupt: Callable[[], None] | None = None,
    ) -> threading.Event:
        """Starts a child.

        Args:
            name: Name used in logs.
            child: The task; restarted with backoff if it raises.
            interrupt: Ends a blocking call of the child, after its stop event is set.

        Returns:
            The event that stops this child.
        """
        stop = threading.Event()
        fut = self._executor.submit(self._run, name, child, stop)
        with self._lock:
            self._children = [c for c in self._children if not c.fut.done()]
            self._children.append(_Child(name, stop, fut, interrupt))
        return stop

    def stop(self) -> None:
        """Stops all children in reverse start order."""
        with self._lock:
            children = list(reversed(self._children))
        for child in children:
            child.stop.set()
            if child.interrupt is not None:
                child.interrupt()
            try:
                child.fut.result(timeout=STOP_TIMEOUT_S)
            except TimeoutError:
                logger.warning(
                    "{} did not stop within {} s", child.name, STOP_TIMEOUT_S
                )
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(
        self,
        name: str,
        child: Callable[[threading.Event], None],
        stop: threading.Event,
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        while not stop.is_set():
            try:
                child(stop)
                return
            except Exception:
                self.restarts += 1
                logger.exception("{} failed; restarting in {:.1f} s", name, backoff_s)
            stop.wait(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def every(
    period_s: float, duty: Callable[[], None]
) -> Callable[[threading.Event], None]:
    """Returns a child that performs a duty periodically until stopped."""

    def child(stop: threading.Event) -> None:
        while not stop.wait(period_s):
            duty()

    return child
