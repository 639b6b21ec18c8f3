"""Log lines of requests beside those of the entry's state."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

import pytest
from loguru import logger

from cornelpin.gateway import logs
from cornelpin.gateway.logs import MAX_LINES_PER_S, LineWriter, set_up_logs

if TYPE_CHECKING:
    from collections.abc import Iterator

STATE_EVENTS = ["config.in_force", "store.lost", "resources.short"]


@pytest.fixture(params=[True, False], ids=["read", "unread"])
def writer(request: pytest.FixtureRequest) -> Iterator[tuple[LineWriter, int, bool]]:
    """A writer, the other end of its pipe, and whether lines are read at once."""
    reader, fd = os.pipe()
    os.set_blocking(fd, False)
    os.set_blocking(reader, False)
    yield LineWriter(fd), reader, request.param
    os.close(reader)
    os.close(fd)
    logger.remove()


def read(reader: int) -> bytes:
    try:
        return os.read(reader, 1_000_000)
    except BlockingIOError:
        return b""


@pytest.mark.parametrize("event", STATE_EVENTS)
def test_many_requests_hide_no_change_of_state(
    writer: tuple[LineWriter, int, bool], event: str
) -> None:
    lines, reader, read_at_once = writer
    set_up_logs("entry-0", lines)
    received = b""
    for second in range(8):
        lines._second = -second
        for _ in range(2 * MAX_LINES_PER_S):
            logs.event("request.ended", id="x" * 200)
            received += read(reader) if read_at_once else b""
    logs.event(event)
    while part := read(reader):
        received += part
        lines.flush()
    assert lines.dropped
    events = [json.loads(line)["event"] for line in received.splitlines()]
    assert event in events
