"""Decides whether this process may take work with the configuration it has."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.config_sync import ConfigSync
    from cornelpin.daemon.process import Process

CHECK_INTERVAL_S = 0.1
START_GRACE_S = 2.0
MAX_CONFIG_LAG_S = 5.0
MAX_ISOLATION_S = 30.0


class Readiness:
    """Keeps ``process.config_current`` in step with what is known of the configuration.

    A process takes no work before it has a number that is at least that of the
    peers it heard, nor when it lags behind them or hears neither a peer nor the
    object store for too long.

    Args:
        process: The process.
        spread: The spread of the configuration.
        contact_at: Gives the monotonic time at which a peer or the store was last
            heard of.
        clock: Gives monotonic time in seconds.
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
        self._started = clock()
        self._level_at = self._started

    def tick(self) -> None:
        """Looks once."""
        now = self._clock()
        if not self._config_sync.behind:
            self._level_at = now
        current = self._process.config_current
        may_work = self._may_work(now, current.is_set())
        if may_work == current.is_set():
            return
        if may_work:
            current.set()
        else:
            current.clear()
        kind = "config.current" if may_work else "config.not-current"
        self._process.ring.record(kind, detail=str(self._process.view.number))
        logger.info("{} at number {}", kind, self._process.view.number)

    def _may_work(self, now: float, works: bool) -> bool:
        if not self._process.view.number:
            return False
        if now - self._last_contact_at() > MAX_ISOLATION_S:
            return False
        if works:
            return now - self._level_at <= MAX_CONFIG_LAG_S
        if self._config_sync.behind:
            return False
        return (
            self._config_sync.highest_announced > 0
            or now - self._started > START_GRACE_S
        )
