"""Peers of the own data centre, which receive the same updates at the same time."""

from __future__ import annotations

from typing import Any

import attrs

LOCAL_FAST_INTERVAL_S = 0.01
"""Shortest time between messages within a data centre while slots are scarce: late
updates let entries assign the same slots."""
LOCAL_SLOW_INTERVAL_S = 0.2
"""Shortest time between messages within a data centre while slots are not scarce."""
REMOVED_VALUES = {"in_flight": (0, 0), "keys": []}
"""Value sent for a removed key of a table, by the table's name in the message. Removed
keys of other tables are not sent."""


@attrs.define
class BroadcastGroup:
    """Addresses of the own data centre's peers, with the state last sent to them.

    Other data centres receive summaries instead (``summary_exchange``).

    Attributes:
        sends_per_s: Most messages per second, summed over the peers, while slots are
            scarce.
        addresses: IP addresses of the peers.
        sent_at: Monotonic time of the last message.
        sent_state: State as of the last message: tables by name.
        one_time_updates: Items for the next message only, by name.
    """

    sends_per_s: float
    addresses: set[str] = attrs.field(factory=set)
    sent_at: float = 0.0
    sent_state: dict[str, Any] = attrs.field(factory=dict)
    one_time_updates: dict[str, list[Any]] = attrs.field(factory=dict)

    def interval_s(self, *, slots_scarce: bool) -> float:
        """Returns the shortest time between two messages in seconds."""
        if not slots_scarce:
            return LOCAL_SLOW_INTERVAL_S
        return max(LOCAL_FAST_INTERVAL_S, len(self.addresses) / self.sends_per_s)

    def due_at(self, *, slots_scarce: bool) -> float:
        """Returns the monotonic time from which the next message may be sent."""
        return self.sent_at + self.interval_s(slots_scarce=slots_scarce)

    def add_one_time_updates(self, updates: dict[str, list[Any]]) -> None:
        """Adds items to the next message; later ones do not repeat them."""
        for name, items in updates.items():
            self.one_time_updates.setdefault(name, []).extend(items)

    def next_message(self, state: dict[str, Any], now: float) -> dict[str, Any]:
        """Returns the changes since the last message and records the state as sent."""
        message = table_changes(self.sent_state, state) | self.one_time_updates
        self.one_time_updates = {}
        self.sent_state = state
        self.sent_at = now
        return message


def table_changes(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Returns the changed keys and values of each table.

    Removed keys of a table in REMOVED_VALUES get its value there.
    """
    changes: dict[str, Any] = {}
    for name, table in new.items():
        before = old.get(name, {})
        changed = {key: v for key, v in table.items() if before.get(key) != v}
        if name in REMOVED_VALUES:
            changed |= dict.fromkeys(before.keys() - table.keys(), REMOVED_VALUES[name])
        if changed:
            changes[name] = changed
    return changes
