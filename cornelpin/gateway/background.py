"""Background tasks of an entry, which are started again if they fail."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from cornelpin.gateway import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    Run = Callable[[], Coroutine[object, object, None]]

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_FAILURES = 8
"""Failures in a row after which a task is given up."""
SOUND_S = 10.0
"""Time after which a task that was started again counts as sound."""


class BackgroundTasks:
    """Runs tasks that are to go on until the entry ends.

    One odd input must not end an entry with the requests of all callers.

    Args:
        on_given_up: Called when a task fails at each start.

    Attributes:
        failures: Number of failures since the start.
    """

    def __init__(self, on_given_up: Callable[[], None]) -> None:
        self._on_given_up = on_given_up
        self._tasks: list[asyncio.Task[None]] = []
        self.failures = 0

    def start(self, name: str, run: Run) -> None:
        """Starts a task.

        Args:
            name: Name for the log.
            run: Returns the task's coroutine, for each start.
        """
        task = asyncio.get_running_loop().create_task(self._keep_running(name, run))
        self._tasks.append(task)

    def cancel(self) -> None:
        """Ends all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(self, name: str, run: Run) -> None:
        in_a_row = 0
        while True:
            started_at = time.monotonic()
            try:
                return await run()
            except Exception as exc:
                sound = time.monotonic() - started_at >= SOUND_S
                in_a_row = 1 if sound else in_a_row + 1
                self.failures += 1
                given_up = in_a_row >= MAX_FAILURES
                logs.warning(
                    "task.failed", task=name, error=repr(exc), given_up=given_up
                )
            if given_up:
                return self._on_given_up()
            await asyncio.sleep(
                min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (in_a_row - 1))
            )
