"""Memory that the incomplete responses of an entry share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornelpin.http1.memory import MemoryBudget

MEMORY_SHARE = 0.2
"""Share of the process's memory for responses that are not complete yet; the buffers of
their connections come to it."""
SMALL_RESPONSE_BYTES = 65_536
"""Size up to which a response is always accepted."""


class ResponseMemory:
    """Memory that the incomplete responses of an entry share.

    A response may use half of what is free, so many without end leave room for others.

    Args:
        limit: Bytes that large responses may use together.
        budget: The memory of which they are a part; None for no other use.
    """

    def __init__(self, limit: int, budget: MemoryBudget | None = None) -> None:
        self._free = limit
        self._budget = budget

    def reserve(self, size: int, held: int) -> bool:
        """Reserves bytes for a response; returns False if it gets too large.

        Args:
            size: Bytes to reserve.
            held: Bytes that the response has reserved already.
        """
        if held + size > max(SMALL_RESPONSE_BYTES, self._free // 2):
            return False
        self._charge(size)
        if self._budget is not None and self._budget.short:
            self._budget.make_room(size)
        return True

    def release(self, size: int) -> None:
        """Releases bytes that were reserved."""
        self._charge(-size)

    def _charge(self, size: int) -> None:
        self._free -= size
        if self._budget is not None:
            self._budget.charge("responses", size)
