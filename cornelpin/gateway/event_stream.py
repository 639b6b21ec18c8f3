"""Splits an event stream (server-sent events) into complete events."""

from __future__ import annotations

import attrs

MAX_EVENT_BYTES = 1_048_576
"""Size limit of one event, which is buffered until it is complete."""


class EventTooLong(Exception):
    """Raised for an event that exceeds the size limit."""


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
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are now complete.

        Raises:
            EventTooLong: If the buffer exceeds the size limit of an event.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event over {MAX_EVENT_BYTES} bytes")
        events = []
        while (end := _first_event_end(self._buffer)) is not None:
            events.append(
                StreamEvent(self._buffer[:end], _event_id(self._buffer[:end]))
            )
            self._buffer = self._buffer[end:]
        return events


def _first_event_end(data: bytes) -> int | None:
    """Returns the index after the first event; None if it is incomplete."""
    ends = [
        index + len(delimiter)
        for delimiter in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(delimiter)) >= 0
    ]
    return min(ends, default=None)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
