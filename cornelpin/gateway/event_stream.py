"""Splits an event stream (server-sent events) into complete events."""

from __future__ import annotations

import attrs

MAX_EVENT_BYTES = 1_048_576
"""Size limit of one event, which is buffered until it is complete."""


FIELDS = (b"data", b"id", b"event", b"retry", b":")
"""Beginnings of the lines of events; that of a comment is the colon."""


class BadEvent(Exception):
    """Raised for an event that exceeds the size limit or has no field."""


@attrs.frozen
class StreamEvent:
    """One complete event.

    Attributes:
        data: Its bytes, including the blank line at its end.
        id: Value of its id field, if any.
    """

    data: bytes
    id: str | None


class EventSplitter:
    """Incremental parser: buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Index from which the end of the first event is searched.
        self._searched = 0

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def size(self) -> int:
        """Size of the incomplete event in bytes."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are now complete.

        Raises:
            BadEvent: If the buffer exceeds the size limit of an event, or the bytes
                are no event.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BadEvent(f"an event over {MAX_EVENT_BYTES} bytes")
        events = []
        while (end := _first_event_end(self._buffer, self._searched)) is not None:
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched = 0
            if not any(line.startswith(FIELDS) for line in event.splitlines()):
                raise BadEvent("bytes that are no event")
            events.append(StreamEvent(event, _event_id(event)))
        # A delimiter may be cut off after its third byte.
        self._searched = max(0, len(self._buffer) - 3)
        return events


def _first_event_end(data: bytearray, start: int) -> int | None:
    """Returns the index after the first event; None if it is incomplete.

    Args:
        data: The buffered bytes.
        start: Index from which to search; no event ends before it.
    """
    ends = [
        index + len(delimiter)
        for delimiter in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(delimiter, start)) >= 0
    ]
    return min(ends, default=None)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
