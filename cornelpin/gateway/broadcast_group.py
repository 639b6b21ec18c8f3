"""Peers that receive the same state updates at the same interval."""

from __future__ import annotations

from typing import Any

import attrs

BUSY_INTERVAL_S = 0.01
"""Shortest time between messages while slots are scarce."""
CALM_INTERVAL_S = 0.2
"""Shortest time between messages while slots are free everywhere."""
EMPTY_ENTRIES = {"in_flight": (0, 0), "keys": []}
"""Value sent for a removed entry of a table, by part of the message."""


@attrs.define
class BroadcastGroup:
    """Peer addresses with the state last sent to them.

    Attributes:
        sends_per_s: Messages per second to all peers together while slots are scarce.
        addresses: IP addresses of the peers.
        sent_at: Monotonic time of the last message.
        sent_state: State as of the last message.
        one_time_updates: Updates collected since the last message, each sent once.
    """

    sends_per_s: float
    addresses: set[str] = attrs.field(factory=set)
    sent_at: float = 0.0
    sent_state: dict[str, Any] = attrs.field(factory=dict)
    one_time_updates: dict[str, list[Any]] = attrs.field(factory=dict)

    def interval_s(self, *, busy: bool) -> float:
        """Returns the shortest time between two messages."""
        if not busy:
            return CALM_INTERVAL_S
        return max(BUSY_INTERVAL_S, len(self.addresses) / self.sends_per_s)

    def due_at(self, *, busy: bool) -> float:
        """Returns the monotonic time from which the next message may be sent."""
        return self.sent_at + self.interval_s(busy=busy)

    def add_one_time_updates(self, updates: dict[str, list[Any]]) -> None:
        """Adds updates that go into the next message only."""
        for part, items in updates.items():
            self.one_time_updates.setdefault(part, []).extend(items)

    def next_message(self, state: dict[str, Any], now: float) -> dict[str, Any]:
        """Returns the changes since the last message and records the state as sent."""
        message = difference(self.sent_state, state) | self.one_time_updates
        self.one_time_updates = {}
        self.sent_state = state
        self.sent_at = now
        return message


def difference(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Returns the entries of two-level tables that differ; removed ones are empty."""
    changes: dict[str, Any] = {}
    for part, table in new.items():
        before = old.get(part, {})
        changed = {key: v for key, v in table.items() if before.get(key) != v}
        if part in EMPTY_ENTRIES:
            changed |= dict.fromkeys(before.keys() - table.keys(), EMPTY_ENTRIES[part])
        if changed:
            changes[part] = changed
    return changes
