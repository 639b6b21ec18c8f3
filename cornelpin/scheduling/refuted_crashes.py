"""Crashes of servers that were reported and did not take place."""

from __future__ import annotations

from collections import OrderedDict

MAX_REFUTED = 1_000
"""Refuted crashes that are remembered, the last ones: other entries may still report
them."""


class RefutedCrashes:
    """Incarnations of servers that have responded after their supposed crash."""

    def __init__(self) -> None:
        self._incarnations: OrderedDict[str, None] = OrderedDict()

    def add(self, incarnation: str) -> None:
        """Adds an incarnation."""
        self._incarnations[incarnation] = None
        while len(self._incarnations) > MAX_REFUTED:
            self._incarnations.popitem(last=False)

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._incarnations
