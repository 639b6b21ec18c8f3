"""A circle of peers that are told the same at the same pace."""

from __future__ import annotations

from typing import Any

import attrs

BUSY_INTERVAL_S = 0.01
"""Shortest time between messages while slots are scarce."""
CALM_INTERVAL_S = 0.2
"""Shortest time between messages while slots are free everywhere."""
EMPTY = {"in_flight": (0, 0), "keys": []}
"""What stands for an entry of a table that is gone."""


@attrs.define
class BroadcastGroup:
    """Peers with what they have been told.

    Attributes:
        sends_per_s: Messages a second to all of them together while slots are scarce.
        addresses: Where they are.
        sent_at: Monotonic time of the last message.
        told: The state as of that message.
        news: What has happened since and is told once.
    """

    sends_per_s: float
    addresses: set[str] = attrs.field(factory=set)
    sent_at: float = 0.0
    told: dict[str, Any] = attrs.field(factory=dict)
    news: dict[str, list[Any]] = attrs.field(factory=dict)

    def interval_s(self, *, busy: bool) -> float:
        """Returns the shortest time between two messages."""
        if not busy:
            return CALM_INTERVAL_S
        return max(BUSY_INTERVAL_S, len(self.addresses) / self.sends_per_s)

    def due_at(self, *, busy: bool) -> float:
        """Returns the monotonic time from which the next message may go."""
        return self.sent_at + self.interval_s(busy=busy)

    def add_news(self, news: dict[str, list[Any]]) -> None:
        """Takes what is to be told once."""
        for part, told in news.items():
            self.news.setdefault(part, []).extend(told)

    def message(self, state: dict[str, Any], now: float) -> dict[str, Any]:
        """Returns what has changed since the last message, which this one becomes."""
        message = difference(self.told, state) | self.news
        self.news = {}
        self.told = state
        self.sent_at = now
        return message


def difference(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Returns the parts of two-level tables that differ, gone ones as empty."""
    changes: dict[str, Any] = {}
    for part, table in new.items():
        before = old.get(part, {})
        changed = {key: v for key, v in table.items() if before.get(key) != v}
        if part in EMPTY:
            changed |= dict.fromkeys(before.keys() - table.keys(), EMPTY[part])
        if changed:
            changes[part] = changed
    return changes
