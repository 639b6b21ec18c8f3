"""Decides whether an entry's configuration is recent enough to accept requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.config_sync import ConfigSync
    from cornelpin.daemon.process import Process

CHECK_INTERVAL_S = 0.1
STARTUP_GRACE_S = 2.0
MAX_CONFIG_LAG_S = 5.0
MAX_ISOLATION_S = 30.0


class Readiness:
    """Sets ``process.config_current`` while the configuration is recent enough.

    It is set once the configuration number is at least the highest announced by a peer;
    without an announcement, ``STARTUP_GRACE_S`` after the start. It is cleared after
    ``MAX_CONFIG_LAG_S`` behind that number, or ``MAX_ISOLATION_S`` without contact with
    a peer or the object store.

    Args:
        process: The process.
        config_sync: Propagation of the configuration between processes.
        last_contact_at: Returns the monotonic time of the last contact with a peer or
            the object store.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        process: Process,
        config_sync: ConfigSync,
        *,
        last_contact_at: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._process = process
        self._config_sync = config_sync
        self._last_contact_at = last_contact_at
        self._clock = clock
        self._started_at = clock()
        self._last_up_to_date_at = self._started_at

    def tick(self) -> None:
        """Checks once and sets or clears ``process.config_current``."""
        now = self._clock()
        if not self._config_sync.behind:
            self._last_up_to_date_at = now
        current = self._process.config_current
        is_current = self._is_current(now, current.is_set())
        if is_current == current.is_set():
            return
        if is_current:
            current.set()
        else:
            current.clear()
        kind = "config.current" if is_current else "config.not-current"
        self._process.ring.record(kind, detail=str(self._process.view.number))
        logger.info(
            "readiness changed to {} with configuration number {} in force",
            kind,
            self._process.view.number,
        )

    def _is_current(self, now: float, was_current: bool) -> bool:
        if not self._process.view.number:
            return False
        if now - self._last_contact_at() > MAX_ISOLATION_S:
            return False
        if was_current:
            return now - self._last_up_to_date_at <= MAX_CONFIG_LAG_S
        if self._config_sync.behind:
            return False
        return (
            self._config_sync.highest_announced > 0
            or now - self._started_at > STARTUP_GRACE_S
        )
