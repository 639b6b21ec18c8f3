"""Bounds of the work that one peer causes by the parts in which it sends.

A part costs the same work however small it is. A peer that sends in parts of a byte
could thus occupy the event loop for as long as there are received bytes.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque

STEPS_PER_TURN = 4
"""Parts or events of one message that are handled before other tasks run, unless the
message has waited for data."""
SMALL_PART_BYTES = 1_024
"""Size below which a part counts as small."""
SMALL_PART_BURST = 300
"""Small parts of a message that are handled as fast as they come."""
SMALL_PARTS_PER_S = 4_000.0
"""Rate of further ones."""
EVENT_WEIGHT = 3
"""Small parts for which a forwarded event counts, beside the chunk that it mostly is:
a thousand a second, several times the steps of an engine."""
MAX_EXCESS = 50
"""Small parts above the rate after which their message waits."""
MAX_SMALL_PARTS = 8_000
"""Parts of a message, however small: more than a sound peer flushes one by one."""
MIN_MEAN_BYTES = 64
"""Mean size of the parts beyond them."""
LONG_PIECE_S = 0.001
"""Duration of a piece of work from which others get as much time after it."""
SLICE_S = 0.002
"""Time after which a piece of work that can be divided is interrupted."""


def has_too_small_parts(parts: int, size: int) -> bool:
    """Returns whether a number of parts is too large for their size in bytes."""
    return parts > MAX_SMALL_PARTS + size / MIN_MEAN_BYTES


class Pacer:
    """Lets other tasks run between the parts of one message."""

    def __init__(self) -> None:
        self._steps = 0
        self._small = 0
        self._began = time.monotonic()

    def on_wait(self) -> None:
        """Called after the message has waited for data, while other tasks ran."""
        self._steps = 0

    async def step(self, size: int, weight: int = 1) -> None:
        """Waits while small parts come too fast; the connection stops reading then.

        Args:
            size: Size in bytes of the part or event that was handled.
            weight: Number of small parts that cost the same work.
        """
        self._steps += 1
        if not self._steps % STEPS_PER_TURN:
            await asyncio.sleep(0)
        if size >= SMALL_PART_BYTES:
            return
        self._small += weight
        if self._small <= SMALL_PART_BURST:
            return
        elapsed_s = time.monotonic() - self._began
        excess = self._small - SMALL_PART_BURST - SMALL_PARTS_PER_S * elapsed_s
        if excess > MAX_EXCESS:
            await asyncio.sleep(excess / SMALL_PARTS_PER_S)


class TurnGate:
    """Lets costly pieces of work run one by one, in different turns of the loop.

    After a long piece as much time is left to others, so that costly work takes at most
    half of the processor's time.
    """

    def __init__(self) -> None:
        self._busy = False
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._began = 0.0

    async def __aenter__(self) -> None:
        if self._busy:
            fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(fut)
            try:
                await fut
            except BaseException:
                # The turn may have come while the waiting task was cancelled.
                if fut.done() and not fut.cancelled():
                    self._next()
                raise
        self._busy = True
        self._began = time.monotonic()

    async def __aexit__(self, *exc: object) -> None:
        took_s = time.monotonic() - self._began
        loop = asyncio.get_running_loop()
        if took_s > LONG_PIECE_S:
            loop.call_later(took_s, self._next)
        else:
            loop.call_soon(self._next)

    def _next(self) -> None:
        while self._waiting:
            fut = self._waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                return
        self._busy = False
