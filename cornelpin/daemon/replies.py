"""Replies to requests for events, for processes of both roles."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cornelpin.daemon.messages import EventsAsk, EventsReply

if TYPE_CHECKING:
    from cornelpin.core.events import EventRing
    from cornelpin.daemon.peer import Peer

MAX_EVENTS = 2000


def reply_with_events(ring: EventRing, peer: Peer, msg: EventsAsk) -> None:
    """Sends the latest events of this process that match the filters."""
    events = ring.select(request=msg.request, move=msg.move)[-MAX_EVENTS:]
    rows = [list(attrs.astuple(event)) for event in events]
    peer.send(EventsReply(msg.ask_id, rows))
