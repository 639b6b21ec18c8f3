"""Data centres whose servers get no requests, by order of an operator.

Answers planned work on a data centre under load: its servers are left without new
requests within a bound, and what runs there ends there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

RESTORED_KEEP_S = 5.0
"""Time for which an order is kept that a restored store does not list: the operator
writes again what the store has lost."""


class Evacuations:
    """Evacuated data centres as known at one entry."""

    def __init__(self) -> None:
        self._ordered: set[str] = set()
        # Monotonic time until which an order missing after a restore is kept.
        self._kept: dict[str, float] = {}

    def begin(self, data_centre: str) -> bool:
        """Records an order; returns whether it is new."""
        new = data_centre not in self
        self._ordered.add(data_centre)
        self._kept.pop(data_centre, None)
        return new

    def end(self, data_centre: str) -> bool:
        """Records that an order was taken back; returns whether there was one."""
        known = data_centre in self
        self._ordered.discard(data_centre)
        self._kept.pop(data_centre, None)
        return known

    def replace(
        self, data_centres: Iterable[str], now: float, *, restored: bool
    ) -> tuple[set[str], set[str]]:
        """Replaces all orders by those of a list; returns the new and the ended ones.

        Args:
            data_centres: The data centres for which the store lists an order.
            now: Monotonic time in seconds.
            restored: Whether the store was restored from a copy since the last list.
        """
        listed = set(data_centres)
        missing = self._ordered - listed
        if restored:
            self._kept |= dict.fromkeys(missing, now + RESTORED_KEEP_S)
        began = {name for name in listed if name not in self}
        ended = set() if restored else missing
        self._ordered = listed
        for name in listed:
            self._kept.pop(name, None)
        return began, ended

    def expire(self, now: float) -> list[str]:
        """Ends the orders that were not written again; returns their data centres."""
        ended = [name for name, until in self._kept.items() if until <= now]
        for name in ended:
            del self._kept[name]
        return ended

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._ordered | self._kept.keys()))

    def __contains__(self, data_centre: object) -> bool:
        return data_centre in self._ordered or data_centre in self._kept

    def __bool__(self) -> bool:
        return bool(self._ordered or self._kept)

    def __len__(self) -> int:
        return len(self._ordered | self._kept.keys())
