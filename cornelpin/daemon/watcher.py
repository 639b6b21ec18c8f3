"""Follows the configuration in the object API and spreads it."""

from __future__ import annotations

import dataclasses
import random
import threading
from typing import TYPE_CHECKING, Any

from cornelpin.core.configstore import HistoryEntry, Snapshot
from cornelpin.core.sections import digest_of, split

if TYPE_CHECKING:
    from cornelpin.core.configstore import ConfigStore
    from cornelpin.daemon.spread import ConfigSpread
    from cornelpin.daemon.view import ConfigView

POLL_S = 1.0
JITTER = 0.3


class ConfigWatcher:
    """Polls the head object and publishes a higher number to the peers."""

    def __init__(
        self, store: ConfigStore, spread: ConfigSpread, view: ConfigView
    ) -> None:
        self._store = store
        self._spread = spread
        self._view = view
        self._lock = threading.Lock()

    def run(self, stop: threading.Event) -> None:
        """Polls until stopped."""
        while not stop.is_set():
            self.refresh()
            stop.wait(POLL_S * random.uniform(1 - JITTER, 1 + JITTER))

    def refresh(self) -> None:
        """Reads the store once and publishes what it holds if it is newer."""
        with self._lock:
            loaded = self._store.load()
            if isinstance(loaded, Snapshot) and loaded.number > self._view.number:
                self._publish(loaded)

    def _publish(self, loaded: Snapshot) -> None:
        sections = split(loaded.document).values()
        if loaded.head is not None:
            self._spread.publish(
                loaded.head, {digest_of(section): section for section in sections}
            )

    def history(self, first: int, last: int) -> list[dict[str, Any]]:
        """Returns the history entries from ``first`` to ``last``."""
        entries = [self._store.history(number) for number in range(first, last + 1)]
        return [dataclasses.asdict(e) for e in entries if isinstance(e, HistoryEntry)]
