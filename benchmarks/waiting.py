"""Waits for a condition, with a time limit."""

from __future__ import annotations

import time
from collections.abc import Callable

POLL_INTERVAL_S = 0.02


class WaitTimeoutError(Exception):
    """A condition did not hold within the time limit."""


def wait_until(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> None:
    """Polls a condition until it holds.

    Raises:
        WaitTimeoutError: It does not hold within the time limit.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise WaitTimeoutError(
                f"timed out after {timeout_s} s waiting for: {description}"
            )
        time.sleep(POLL_INTERVAL_S)
