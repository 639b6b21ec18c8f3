"""Memory that the incomplete responses of an entry share."""

from __future__ import annotations

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
    """

    def __init__(self, limit: int) -> None:
        self._free = limit

    def reserve(self, size: int, held: int) -> bool:
        """Reserves bytes for a response; returns False if it gets too large.

        Args:
            size: Bytes to reserve.
            held: Bytes that the response has reserved already.
        """
        if held + size > max(SMALL_RESPONSE_BYTES, self._free // 2):
            return False
        self._free -= size
        return True

    def release(self, size: int) -> None:
        """Releases bytes that were reserved."""
        self._free += size
