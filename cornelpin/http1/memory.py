"""The memory that the peers of a process make it use, and who gets it.

One budget owns it. What a request costs in memory is counted before it is read: that is
many times its size on the wire where it has very many short fields.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

SMALL_BYTES = 65_536
"""Size up to which a reservation may use the whole budget."""
LARGE_SHARE = 0.75
"""Share of the budget up to which larger ones are granted, so that small requests have
room beside them."""
CHARGE_SHARE = 0.9
"""Share up to which memory that is in use already is borne."""
RETRY_S = 0.1
"""Interval at which room is made for reservations that wait."""


class NoMemory(Exception):
    """A reservation was not granted in time."""


class MemoryBudget:
    """Memory that peers share, in bytes.

    Args:
        limit: Bytes in all.

    Attributes:
        limit: Bytes in all.
        used: Bytes in use.
        by_use: The same by use.
        refused: Number of reservations that were not granted in time.
        make_room: Ends peers that make no progress, for a number of bytes; returns how
            many will be free.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.by_use: Counter[str] = Counter()
        self.refused = 0
        self.make_room: Callable[[int], int] = lambda _: 0
        self._numbers = itertools.count()
        # Small reservations first, then in order of arrival.
        self._waiting: list[tuple[int, int, str, asyncio.Future[None]]] = []
        self._retry: asyncio.TimerHandle | None = None

    @property
    def short(self) -> bool:
        """Whether so much is in use that peers without progress have to end."""
        return self.used > CHARGE_SHARE * self.limit

    def has_room(self, size: int) -> bool:
        """Returns whether a reservation of this size is granted at once."""
        return self.used + size <= self._ceiling(size)

    def _ceiling(self, size: int) -> float:
        return self.limit if size <= SMALL_BYTES else LARGE_SHARE * self.limit

    def charge(self, use: str, size: int) -> None:
        """Counts memory that is in use already, or released if negative."""
        self.used += size
        self.by_use[use] += size
        if size < 0 and self._waiting:
            self._grant()

    def try_reserve(self, use: str, size: int) -> bool:
        """Reserves memory if there is room."""
        if not self.has_room(size):
            return False
        self.charge(use, size)
        return True

    async def reserve(self, use: str, size: int, *, wait_s: float) -> None:
        """Reserves memory; waits for room while others end, if there can be any.

        Args:
            use: What it is for.
            size: Number of bytes.
            wait_s: Longest time to wait, in seconds.

        Raises:
            NoMemory: If there is none in time.
        """
        if size > self._ceiling(size):
            self.refused += 1
            raise NoMemory(f"no memory for {size} bytes")
        first = not self._waiting or size < self._waiting[0][0]
        if first and self.try_reserve(use, size):
            return
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (size, next(self._numbers), use, fut))
        self._make_room()
        try:
            async with asyncio.timeout(wait_s):
                await fut
        except BaseException as exc:
            # The reservation may have been granted in the same turn of the loop.
            if fut.done() and not fut.cancelled():
                self.charge(use, -size)
            if isinstance(exc, TimeoutError):
                self.refused += 1
                raise NoMemory(f"no memory for {size} bytes") from exc
            raise

    def _make_room(self) -> None:
        self._retry = None
        self._grant()
        if self._waiting:
            self.make_room(self._waiting[0][0])
        if self._waiting and self._retry is None:
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(RETRY_S, self._make_room)

    def _grant(self) -> None:
        while self._waiting:
            size, _, use, fut = self._waiting[0]
            if not fut.done():
                if not self.has_room(size):
                    return
                self.used += size
                self.by_use[use] += size
                fut.set_result(None)
            heapq.heappop(self._waiting)


class Account:
    """The part of a budget that one peer uses.

    Args:
        budget: The budget.

    Attributes:
        total: Bytes in use.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._held: dict[str, int] = {}
        self.total = 0

    def held(self, use: str) -> int:
        """Returns the bytes in use for one purpose."""
        return self._held.get(use, 0)

    def set(self, use: str, size: int) -> None:
        """Counts what is in use already."""
        more = size - self._held.get(use, 0)
        if more:
            self._held[use] = size
            self.total += more
            self._budget.charge(use, more)

    def try_reserve(self, use: str, size: int) -> bool:
        """Raises what is reserved to a size if there is room."""
        more = size - self._held.get(use, 0)
        if more > 0 and not self._budget.has_room(more):
            return False
        self.set(use, max(size, self._held.get(use, 0)))
        return True

    async def reserve(self, use: str, size: int, *, wait_s: float) -> None:
        """Raises what is reserved to a size.

        Raises:
            NoMemory: If there is no room in time.
        """
        more = size - self._held.get(use, 0)
        if more > 0:
            await self._budget.reserve(use, more, wait_s=wait_s)
            self._held[use] = size
            self.total += more

    def release(self, *uses: str) -> None:
        """Releases what is in use for some purposes, by default for all."""
        for use in uses or tuple(self._held):
            self.set(use, 0)
