"""Structured log lines on standard output, rate-limited and non-blocking."""

from __future__ import annotations

import json
import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    import asyncio

MAX_QUEUED_LINES = 2_000
"""Lines buffered while nobody reads standard output: about half a megabyte."""
MAX_QUEUED_BYTES = 1_048_576
"""Size of these lines; callers' ids may make them long."""
MAX_LINES_PER_S = 400
"""Rate limit of lines of requests, and of all other lines: several times what one entry
logs under full load, about 60 per second."""
MAX_QUEUED_SHARE = 0.75
"""Share of the queue that lines of requests may fill."""
REQUEST_EVENTS = "request."
"""Prefix of events of which callers determine how many there are."""
WRITE_INTERVAL_S = 0.05
"""Time for which lines are collected before they are written together."""
STDOUT = 1
"""File descriptor of standard output."""


class LineWriter:
    """Writes queued lines without blocking; drops lines over the limits.

    Lines of requests have limits of their own, so that many requests do not hide what
    changes at the entry.

    Args:
        fd: File descriptor to write to.

    Attributes:
        dropped: Number of dropped lines.
    """

    def __init__(self, fd: int = STDOUT) -> None:
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._unwritten = b""
        self._scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._second = 0
        # Lines of requests, and others.
        self._lines_in_second = {True: 0, False: 0}
        self.dropped = 0

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Switches to batched, non-blocking writes scheduled on an event loop."""
        self._loop = loop
        os.set_blocking(self._fd, False)

    def put(self, line: bytes, *, of_request: bool = False) -> None:
        """Queues a line, or drops it if the queue is full or the rate exceeded.

        Args:
            line: The line.
            of_request: Whether it is about one request.
        """
        if not self._take(of_request) or self._is_full(of_request):
            self.dropped += 1
            return
        self._lines.append(line)
        self._queued_bytes += len(line)
        if self._loop is None:
            self.flush()
        elif not self._scheduled:
            self._scheduled = True
            self._loop.call_later(WRITE_INTERVAL_S, self._flush_later)

    def _take(self, of_request: bool) -> bool:
        """Counts a line; returns False if there are too many in this second."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_in_second = second, {True: 0, False: 0}
        self._lines_in_second[of_request] += 1
        return self._lines_in_second[of_request] <= MAX_LINES_PER_S

    def _is_full(self, of_request: bool) -> bool:
        share = MAX_QUEUED_SHARE if of_request else 1.0
        queued_bytes = self._queued_bytes + len(self._unwritten)
        return (
            len(self._lines) >= share * MAX_QUEUED_LINES
            or queued_bytes > share * MAX_QUEUED_BYTES
        )

    def _flush_later(self) -> None:
        self._scheduled = False
        self.flush()

    def flush(self) -> None:
        """Writes as much as the file descriptor accepts."""
        data = self._unwritten + b"".join(self._lines)
        self._lines.clear()
        self._queued_bytes = 0
        if not data:
            return
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:  # The reader is gone; the data is dropped.
            self._unwritten = b""
            return
        self._unwritten = data[written:]
        if self._unwritten and self._loop is not None and not self._scheduled:
            self._scheduled = True
            self._loop.call_later(WRITE_INTERVAL_S, self._flush_later)


def set_up_logs(host: str, writer: LineWriter) -> None:
    """Routes log records as JSON lines to a writer."""
    logger.remove()

    def write(message: Any) -> None:
        record = message.record
        line = {
            "at": round(time.time(), 3),
            "host": host,
            "level": record["level"].name.lower(),
            "event": record["message"],
            **record["extra"],
        }
        writer.put(
            json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n",
            of_request=record["message"].startswith(REQUEST_EVENTS),
        )

    logger.add(write, level="INFO", format="{message}", catch=True)


def event(name: str, **fields: Any) -> None:
    """Logs a decision or a change of state, with its inputs."""
    logger.bind(**fields).info(name)


def warning(name: str, **fields: Any) -> None:
    """Logs a fault."""
    logger.bind(**fields).warning(name)
