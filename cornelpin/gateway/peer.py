"""What one other entry, or all entries of another data centre, have told."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.define
class Peer:
    """What one other entry has told.

    Attributes:
        ip: Its address.
        data_centre: Where it is.
        incarnation: Random id of its process.
        link_mbps: Bandwidth of its host's link, Mbit/s.
        sequence: Number of its last message.
        heard: Monotonic time of its last message.
        in_flight: Requests and unread prompt tokens by server.
        keys: Keys of its waiting requests by service, ascending.
        versions: Revisions that it has in force, by kind.
        seen: Monotonic times at which the store last told it of a kind.
        used: Amounts used by workspace since its start.
        rollouts: What it has counted of roll-outs.
        shares: How well it served each kind of request.
        paces: What it learned of the speeds of servers.
    """

    ip: str
    data_centre: str
    incarnation: str
    link_mbps: float = 0.0
    sequence: int = -1
    received_at: float = 0.0
    in_flight: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    queue_scores: dict[str, list[float]] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)
    store_seen_at: dict[str, float] = attrs.field(factory=dict)
    used: dict[str, int] = attrs.field(factory=dict)
    rollouts: dict[str, list[Any]] = attrs.field(factory=dict)
    shares: dict[str, dict[str, list[float]]] = attrs.field(factory=dict)
    speeds: dict[str, list[float]] = attrs.field(factory=dict)
