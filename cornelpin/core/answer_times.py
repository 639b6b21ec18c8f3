"""Estimates of answer times from moving averages, by route and tier.

To refuse a request in time, a queue has to know how long its answer will take. An
answer consists of parts: the stream events of a model, about one per token, or the
chunks of a service's body.
"""

from __future__ import annotations

import threading

import attrs

# Weight of the newest answer in the moving averages.
SMOOTHING_FACTOR = 0.05
MIN_ANSWERS = 8


@attrs.define
class _Averages:
    """Moving averages over complete answers.

    Attributes:
        answers: Number of answers averaged.
        parts: Average number of parts per answer.
        part_s: Average seconds per part: the time from grant to end over the parts.
    """

    answers: int = 0
    parts: float = 0.0
    part_s: float = 0.0

    def add(self, parts: int, seconds: float) -> None:
        """Adds a complete answer; the first ones have more weight."""
        self.answers += 1
        weight = max(SMOOTHING_FACTOR, 1 / self.answers)
        self.parts += weight * (parts - self.parts)
        self.part_s += weight * (seconds / parts - self.part_s)


class AnswerTimes:
    """Estimates how long an answer takes from its grant to its end."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._averages: dict[tuple[str, str], _Averages] = {}

    def observe(self, route: str, tier: str, *, parts: int, seconds: float) -> None:
        """Adds a complete answer: its number of parts and seconds from grant to end."""
        with self._lock:
            averages = self._averages.setdefault((route, tier), _Averages())
            averages.add(max(1, parts), seconds)

    def estimate_s(self, route: str, tier: str, max_parts: int) -> float:
        """Returns the estimated seconds of an answer, 0 before ``MIN_ANSWERS``.

        Args:
            route: Name of the route.
            tier: Name of the tier.
            max_parts: Upper limit of its number of parts, such as the estimated work
                of the request in tokens.
        """
        with self._lock:
            averages = self._averages.get((route, tier))
            if averages is None or averages.answers < MIN_ANSWERS:
                return 0.0
            return min(averages.parts, max_parts) * averages.part_s
