"""Learned lengths and paces of answers, by route and tier."""

from __future__ import annotations

import threading

import attrs

# Weight of the latest answer in the moving averages.
LATEST_WEIGHT = 0.05
MIN_ANSWERS = 8


@attrs.define
class _Learned:
    """Moving averages over whole answers.

    Attributes:
        answers: Answers seen.
        parts: Parts of an answer.
        part_s: Seconds from grant to end for each part.
    """

    answers: int = 0
    parts: float = 0.0
    part_s: float = 0.0

    def add(self, parts: int, seconds: float) -> None:
        """Takes a whole answer; the first ones weigh more."""
        self.answers += 1
        weight = max(LATEST_WEIGHT, 1 / self.answers)
        self.parts += weight * (parts - self.parts)
        self.part_s += weight * (seconds / parts - self.part_s)


class AnswerTimes:
    """Estimates how long an answer takes from its grant to its end."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._learned: dict[tuple[str, str], _Learned] = {}

    def observe(self, route: str, tier: str, *, parts: int, seconds: float) -> None:
        """Takes a whole answer and the seconds since its grant."""
        with self._lock:
            learned = self._learned.setdefault((route, tier), _Learned())
            learned.add(max(1, parts), seconds)

    def estimate_s(self, route: str, tier: str, most_parts: int) -> float:
        """Returns the seconds that an answer takes; zero while little is known.

        Args:
            route: Name of the route.
            tier: Name of the tier.
            most_parts: Limit that the caller set on the length.
        """
        with self._lock:
            learned = self._learned.get((route, tier))
            if learned is None or learned.answers < MIN_ANSWERS:
                return 0.0
            return min(learned.parts, most_parts) * learned.part_s
