"""Buffers of a request that is being received."""

from __future__ import annotations

import re

BLANK_LINE = re.compile(rb"\n\r?\n")
FIRST_VISIBLE = 0x21
"""Lowest byte with which a request may begin."""
BLOCK_BYTES = 32_768
"""Size up to which small parts of a body are joined."""


class HeadBuffer:
    """Bytes of a head until its end is received.

    The parser is given a head only when it is known what its fields cost in memory.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._searched = 0
        self._end: int | None = None

    @property
    def size(self) -> int:
        """Number of bytes received."""
        return len(self._data)

    @property
    def head_bytes(self) -> int:
        """Size of the head, or of what was received of it."""
        return len(self._data) if self._end is None else self._end

    @property
    def fields(self) -> int:
        """Number of lines of the head."""
        return self._data.count(b"\n", 0, self._end)

    def feed(self, data: bytes) -> None:
        """Appends received bytes."""
        self._data += data

    def complete(self) -> bool:
        """Returns whether the parser can decide what was received."""
        if self._end is not None or not self._data:
            return self._end is not None
        if self._data[0] < FIRST_VISIBLE:
            self._end = 1
            return True
        match = BLANK_LINE.search(self._data, max(0, self._searched - 2))
        self._searched = len(self._data)
        if match is not None:
            self._end = match.end()
        return match is not None

    def take(self) -> bytes:
        """Returns and removes all that was received."""
        data = bytes(self._data)
        self._data.clear()
        self._searched = 0
        self._end = None
        return data


class BodyBuffer:
    """Parts of a body; small ones are joined, as each costs far more than its bytes.

    Attributes:
        size: Number of bytes.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self.size = 0

    def feed(self, data: bytes | bytearray) -> None:
        """Appends a part."""
        self.size += len(data)
        if len(data) >= BLOCK_BYTES and not self._tail:
            self._parts.append(bytes(data))
            return
        self._tail += data
        if len(self._tail) >= BLOCK_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail.clear()

    def take(self) -> tuple[bytes, ...]:
        """Returns and removes the body, in parts: joining them would copy it."""
        parts = (*self._parts, bytes(self._tail)) if self._tail else (*self._parts,)
        self._parts, self._tail = [], bytearray()
        return parts
