"""Supervises the long-lived tasks of a process, restarting failed ones with backoff."""

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
    """A running child and what is needed to stop it."""

    name: str
    stop: threading.Event
    fut: Future[None]
    interrupt: Callable[[], None] | None


class Supervisor:
    """Runs children in the threads of one executor and restarts those that raise.

    A child is a callable that takes a stop event and returns once the event is set, or
    earlier if its work is done. Children are stopped in reverse order of their start.

    Attributes:
        name: Name of the process, used as the prefix of thread names.
        restarts: Restarts of failed children so far.
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
            interrupt: Unblocks the child; called after its stop event is set.

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
        """Stops all children in reverse order of their start."""
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
                    "task {} did not stop within {} s", child.name, STOP_TIMEOUT_S
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
                logger.exception(
                    "task {} failed; restarting it in {:.1f} s", name, backoff_s
                )
            stop.wait(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def every(
    interval_s: float, action: Callable[[], None]
) -> Callable[[threading.Event], None]:
    """Returns a child that calls ``action`` at an interval until stopped."""

    def child(stop: threading.Event) -> None:
        while not stop.wait(interval_s):
            action()

    return child
