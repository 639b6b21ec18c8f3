"""Per-process ring buffer of events, merged into the timeline of the cluster."""

from __future__ import annotations

import collections
import threading
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.clock import logical_part, wall_seconds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornelpin.core.clock import HybridClock

RING_SIZE = 4096


@attrs.frozen
class Event:
    """One change of state observed by one process.

    Attributes:
        stamp: Hybrid logical timestamp.
        process: Name of the process that recorded the event.
        host: Host the process runs on.
        kind: Short name of the event, such as ``request.granted``.
        request: Request id, or an empty string.
        move: Name of the move, or an empty string.
        detail: Further text for operators.
    """

    stamp: int
    process: str
    host: str
    kind: str
    request: str = ""
    move: str = ""
    detail: str = ""

    def as_row(self) -> dict[str, Any]:
        """Returns the event as a row of the administration API."""
        return {
            "at": wall_seconds(self.stamp),
            "logical": logical_part(self.stamp),
            "process": self.process,
            "host": self.host,
            "kind": self.kind,
            "request": self.request,
            "move": self.move,
            "detail": self.detail,
        }


class EventRing:
    """Keeps the latest RING_SIZE events of this process."""

    def __init__(self, clock: HybridClock, *, process: str, host: str) -> None:
        self._clock = clock
        self._process = process
        self._host = host
        self._events: collections.deque[Event] = collections.deque(maxlen=RING_SIZE)
        self._lock = threading.Lock()

    def record(
        self, kind: str, *, request: str = "", move: str = "", detail: str = ""
    ) -> None:
        """Appends an event stamped with the current hybrid time."""
        event = Event(
            stamp=self._clock.now(),
            process=self._process,
            host=self._host,
            kind=kind,
            request=request,
            move=move,
            detail=detail,
        )
        with self._lock:
            self._events.append(event)

    def select(self, *, request: str = "", move: str = "") -> list[Event]:
        """Returns the events that match the given filters, oldest first."""
        with self._lock:
            events = list(self._events)
        return [
            event
            for event in events
            if (not request or event.request == request)
            and (not move or event.move == move)
        ]


def merge_events(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Merges events of several processes into an ordered list without duplicates."""
    merged = {
        (event.stamp, event.process, event.kind, event.request): event
        for part in parts
        for event in part
    }
    return [merged[key] for key in sorted(merged)]
