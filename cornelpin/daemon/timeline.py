"""Collects the timeline: events of this process and of its peers."""

from __future__ import annotations

import queue
import secrets
import time
from typing import TYPE_CHECKING

from cornelpin.core.events import Event, merge_events
from cornelpin.daemon.messages import EventsAsk, EventsReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.events import EventRing
    from cornelpin.daemon.peer import Peer

REPLY_TIMEOUT_S = 2.0
ASK_ID_BYTES = 8


class TimelineCollector:
    """Requests the events of all peers and merges the replies that arrive in time."""

    def __init__(self, ring: EventRing, peers: Callable[[], list[Peer]]) -> None:
        self._ring = ring
        self._peers = peers
        self._replies: dict[str, queue.SimpleQueue[list[Event]]] = {}

    def collect(self, *, request: str, move: str) -> list[Event]:
        """Returns the merged events that match the filters, oldest first.

        Args:
            request: Request id, or an empty string for all.
            move: Name of a move, or an empty string for all.
        """
        ask_id = secrets.token_hex(ASK_ID_BYTES)
        replies: queue.SimpleQueue[list[Event]] = queue.SimpleQueue()
        self._replies[ask_id] = replies
        peers = self._peers()
        for peer in peers:
            peer.send(EventsAsk(ask_id, request, move))
        parts = [self._ring.select(request=request, move=move)]
        deadline = time.monotonic() + REPLY_TIMEOUT_S
        try:
            for _ in peers:
                parts.append(replies.get(timeout=max(0, deadline - time.monotonic())))
        except queue.Empty:
            # A peer that does not reply must not hide the events of the others.
            pass
        finally:
            del self._replies[ask_id]
        return merge_events(parts)

    def on_reply(self, msg: EventsReply) -> None:
        """Passes on the reply of a peer; one that arrives too late is dropped."""
        replies = self._replies.get(msg.ask_id)
        if replies is not None:
            replies.put([Event(*row) for row in msg.events])
