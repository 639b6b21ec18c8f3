"""Health of backend servers as one entry observes it, and outlier ejection.

Health checks are not enough: a crashed server refuses at once and so always looks idle,
a partly failed one passes its health check and fails requests, and a hung one accepts
requests and never responds.
"""

from __future__ import annotations

import attrs

BASE_EJECTION_S = 0.7
"""Ejection time after a first connection failure, seconds: long enough that a crashed
server, which looks idle, does not attract one request after another."""
MAX_EJECTION_S = 3.0
"""Longest ejection time, seconds: a crashed server is back after some seconds."""
FAILURE_RATE_DECAY = 0.85
"""Weight of the old failure rate in its moving average."""
PAUSE_SPREAD = 0.1
"""Part of a pause by which it is prolonged at random, so that the entries that heard
the same do not all come back at one moment."""
SILENCE_FACTOR = 4.0
"""Multiple of the expected response time after which a server counts as silent. The
response time is that to the first event of a stream, or to the whole response."""
MIN_SILENCE_S = 0.5
"""Shortest time after which a server counts as silent, seconds."""


@attrs.define
class ServerHealth:
    """Failure record of one backend server at one entry.

    Attributes:
        failure_rate: Moving average of the share of failed sends, 0 to 1.
        ejected_until: Monotonic time until which it receives no requests.
        paused_until: Monotonic time until which it asked this host for no requests. It
            is out of capacity then, not failed.
        bad_pause: Whether it has asked for a pause without a valid time.
        last_received_at: Monotonic time at which a first event or a whole response last
            arrived.
    """

    failure_rate: float = 0.0
    ejected_until: float = float("-inf")
    paused_until: float = float("-inf")
    bad_pause: bool = False
    last_received_at: float = float("-inf")
    _ejection_s: float = BASE_EJECTION_S
    _awaiting_response: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def sent(self, request_id: str, now: float, expected_response_s: float) -> None:
        """Records a send and its expected response time in seconds."""
        self._awaiting_response[request_id] = (now, expected_response_s)

    def received(self, request_id: str, now: float) -> None:
        """Records that the first event of a stream or a whole response arrived."""
        self._awaiting_response.pop(request_id, None)
        self.last_received_at = now

    def ended(self, request_id: str) -> None:
        """Records the end of a send, whatever its outcome."""
        self._awaiting_response.pop(request_id, None)

    def succeeded(self) -> None:
        """Records a complete response; resets the length of the next ejection."""
        self.failure_rate *= FAILURE_RATE_DECAY
        self._ejection_s = BASE_EJECTION_S

    def failed(self) -> None:
        """Records a failed response of a server that is reachable."""
        self.failure_rate = FAILURE_RATE_DECAY * self.failure_rate + (
            1 - FAILURE_RATE_DECAY
        )

    def unreachable(self, now: float) -> None:
        """Records a failed or dropped connection and ejects the server.

        The ejection time doubles up to its maximum until a response is complete.
        """
        self.failed()
        if now < self.ejected_until:
            return
        self.ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, 2 * self._ejection_s)

    @property
    def unproven(self) -> bool:
        """Whether no response was complete since the server was last ejected."""
        return self._ejection_s > BASE_EJECTION_S

    def pause(self, now: float, pause_s: float, spread: float) -> bool:
        """Records that the server wants no requests; returns whether none was on.

        Args:
            now: Monotonic time in seconds.
            pause_s: Length of the pause in seconds.
            spread: Random number from 0 to 1.
        """
        was_paused = self.is_paused(now)
        until = now + pause_s * (1.0 + PAUSE_SPREAD * spread)
        self.paused_until = max(self.paused_until, until)
        return not was_paused

    def is_paused(self, now: float) -> bool:
        """Returns whether the server has asked for no requests."""
        return now < self.paused_until

    def is_ejected(self, now: float) -> bool:
        """Returns whether the server is ejected or silent."""
        return now < self.ejected_until or self.silent(now)

    def silent(self, now: float) -> bool:
        """Returns whether the response to a send is long overdue.

        The time counts from the send or from the server's last response, if later.
        """
        for sent_at, expected_response_s in self._awaiting_response.values():
            silent_s = now - max(sent_at, self.last_received_at)
            if silent_s > max(MIN_SILENCE_S, SILENCE_FACTOR * expected_response_s):
                return True
        return False
