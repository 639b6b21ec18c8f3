"""Which backend servers are set aside, and for how long.

Load pattern: a crashed server refuses at once and so always looks idle; a grey one
answers its health check and fails its requests; a hung one accepts and says nothing.
"""

from __future__ import annotations

import attrs

FIRST_ASIDE_S = 0.7
"""Time aside after a failed contact; a trial with 0.7 s ended the failures that a
crashed server drew to itself."""
MAX_ASIDE_S = 3.0
"""Longest time aside: a crashed server is back after some seconds."""
FAILURE_MEMORY = 0.85
"""Part of the old failure rate that one outcome leaves."""
SILENCE_FACTOR = 4.0
"""Multiple of the expected first event after which a server counts as silent."""
MIN_SILENCE_S = 0.5
"""Shortest time after which a server counts as silent."""


@attrs.define
class ServerHealth:
    """What one entry holds against one backend server.

    Attributes:
        failure_rate: Smoothed part of sends that failed, 0 to 1.
        aside_until: Monotonic time until which it gets nothing.
    """

    failure_rate: float = 0.0
    ejected_until: float = float("-inf")
    last_received_at: float = float("-inf")
    _aside_s: float = FIRST_ASIDE_S
    _unanswered: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def sent(self, request_id: str, now: float, expected_s: float) -> None:
        """Notes a send and the time its first bytes are expected to take."""
        self._unanswered[request_id] = (now, expected_s)

    def received(self, request_id: str, now: float) -> None:
        """Notes bytes of an answer."""
        self._unanswered.pop(request_id, None)
        self.last_received_at = now

    def ended(self, request_id: str) -> None:
        """Notes the end of a send, however it ended."""
        self._unanswered.pop(request_id, None)

    def succeeded(self) -> None:
        """Notes a complete answer."""
        self.failure_rate *= FAILURE_MEMORY
        self._aside_s = FIRST_ASIDE_S

    def failed(self) -> None:
        """Notes an answer that failed, with the server there."""
        self.failure_rate = FAILURE_MEMORY * self.failure_rate + (1 - FAILURE_MEMORY)

    def unreachable(self, now: float) -> None:
        """Notes that the server could not be reached or broke off."""
        self.failed()
        if now < self.ejected_until:
            return
        self.ejected_until = now + self._aside_s
        self._aside_s = min(MAX_ASIDE_S, 2 * self._aside_s)

    def is_ejected(self, now: float) -> bool:
        """Returns whether the server is to get nothing now."""
        return now < self.ejected_until or self.silent(now)

    def silent(self, now: float) -> bool:
        """Returns whether the server owes first bytes for suspiciously long."""
        for sent, expected_s in self._unanswered.values():
            quiet_s = now - max(sent, self.last_received_at)
            if quiet_s > max(MIN_SILENCE_S, SILENCE_FACTOR * expected_s):
                return True
        return False
