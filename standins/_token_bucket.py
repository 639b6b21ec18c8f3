"""Token bucket for the rate limits of the stand-ins."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

MIN_BURST = 1.0


class TokenBucket:
    """A thread-safe token bucket that holds the tokens of one second.

    Args:
        per_s: Tokens added per second.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self, per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._lock = threading.Lock()
        self._capacity = max(MIN_BURST, per_s)
        self._tokens = self._capacity
        self._refilled_at_s = clock()

    def take(self) -> float:
        """Takes a token if one is available.

        Returns:
            0.0 if a token was taken, else the seconds until one is available.
        """
        with self._lock:
            now_s = self._clock()
            refill = (now_s - self._refilled_at_s) * self._per_s
            self._tokens = min(self._capacity, self._tokens + refill)
            self._refilled_at_s = now_s
            if self._tokens >= 1:
                self._tokens -= 1
                return 0.0
            return (1 - self._tokens) / self._per_s
