"""Bounded waiting for a condition."""

from __future__ import annotations

import time
from collections.abc import Callable

POLL_INTERVAL_S = 0.02


class WaitTimeoutError(Exception):
    """A condition did not come true in time."""


def wait_until(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> None:
    """Polls a condition until it holds or the time is up."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise WaitTimeoutError(f"not in {timeout_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)
