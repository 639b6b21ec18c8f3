"""A call that is repeated beside earlier ones that have got no response yet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

T = TypeVar("T")


class RepeatedCalls(Generic[T]):
    """Pending calls of one function.

    Args:
        call: Makes the call.
        most: Most calls that are pending at the same time; the oldest one is cancelled
            for another.
    """

    def __init__(self, call: Callable[[], Coroutine[None, None, T]], most: int) -> None:
        self._call = call
        self._most = most
        self._pending: list[asyncio.Task[T]] = []

    def __len__(self) -> int:
        return len(self._pending)

    def start(self) -> None:
        """Makes another call."""
        if len(self._pending) == self._most:
            self._pending.pop(0).cancel()
        self._pending.append(asyncio.create_task(self._call()))

    async def wait(
        self, event: asyncio.Event, timeout_s: float
    ) -> list[asyncio.Task[T]]:
        """Waits for an ended call, the event, or the time; returns the ended calls."""
        waiting = asyncio.create_task(event.wait())
        try:
            await asyncio.wait(
                {waiting, *self._pending},
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiting.cancel()
        ended = [task for task in self._pending if task.done()]
        self._pending = [task for task in self._pending if not task.done()]
        return ended

    def cancel(self) -> None:
        """Cancels the pending calls."""
        for task in self._pending:
            task.cancel()
        self._pending.clear()
