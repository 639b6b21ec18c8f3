"""Polls the configuration in the object store and publishes changes to the peers."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.configstore import HistoryEntry, Snapshot
from cornelpin.core.subsetting import highest_weighted

if TYPE_CHECKING:
    from cornelpin.core.config import Config
    from cornelpin.core.configstore import ConfigStore
    from cornelpin.core.sections import Head
    from cornelpin.daemon.config_sync import ConfigSync
    from cornelpin.daemon.config_view import ConfigView

WATCHERS_PER_DATA_CENTRE = 3
WATCHER_POLL_INTERVAL_S = 1.0
FALLBACK_POLL_INTERVAL_S = 30.0
MAX_BACKOFF_S = 15.0
MAX_BACKOFF_DOUBLINGS = 8
# Largest random change of a poll interval, as a fraction of it.
JITTER = 0.3


class ConfigWatcher:
    """Polls the head object and publishes a higher number to the peers.

    A few entries of each data centre, chosen by rendezvous hashing over the configured
    entries that are not draining, poll often. The others poll slowly, in case all
    watchers of their data centre have failed.

    Attributes:
        store_reached_at: Monotonic time in seconds of the last successful read of the
            store.
    """

    def __init__(
        self, name: str, store: ConfigStore, sync: ConfigSync, view: ConfigView
    ) -> None:
        self._name = name
        self._store = store
        self._sync = sync
        self._view = view
        self._lock = threading.Lock()
        self._failures = 0
        self.store_reached_at = 0.0

    def run(self, stop: threading.Event) -> None:
        """Polls until stopped."""
        while not stop.is_set():
            self.refresh()
            stop.wait(self.poll_interval_s() * random.uniform(1 - JITTER, 1 + JITTER))

    def poll_interval_s(self) -> float:
        """Returns the mean poll interval.

        That of a watcher doubles with each failed read up to ``MAX_BACKOFF_S``; the
        fallback interval is longer than that and stays the same.
        """
        watches = is_watcher(self._view.config, self._name)
        interval_s = WATCHER_POLL_INTERVAL_S if watches else FALLBACK_POLL_INTERVAL_S
        backoff_s = interval_s * 2.0 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        return min(backoff_s, max(interval_s, MAX_BACKOFF_S))

    def refresh(self) -> None:
        """Reads the store once and publishes its configuration if that is newer."""
        with self._lock:
            loaded = self._store.load()
            if not isinstance(loaded, Snapshot):
                self._failures += 1
                return
            self._failures = 0
            self.store_reached_at = time.monotonic()
            if loaded.head is not None and loaded.number > self._view.number:
                self._publish(loaded, loaded.head)

    def _publish(self, loaded: Snapshot, head: Head) -> None:
        follows = loaded.number == self._view.number + 1
        patch = loaded.patch if follows else None
        self._sync.publish(head, loaded.config, loaded.sections, patch)

    def history(self, first: int, last: int) -> list[dict[str, Any]]:
        """Returns the history entries from ``first`` to ``last``."""
        entries = [self._store.history(number) for number in range(first, last + 1)]
        return [dataclasses.asdict(e) for e in entries if isinstance(e, HistoryEntry)]


def is_watcher(config: Config, name: str) -> bool:
    """Whether an entry is one of the watchers of its data centre.

    An entry that is not in the configuration, such as the very first one, may have no
    peers to receive the configuration from, so it watches too.
    """
    entry = config.entries.get(name)
    host = config.hosts.get(entry.host) if entry is not None else None
    if host is None:
        return True
    candidates = [
        other.name
        for other in config.entries.values()
        if other.host in config.hosts
        and config.hosts[other.host].data_centre == host.data_centre
        and not config.hosts[other.host].leaving
    ]
    chosen = highest_weighted(host.data_centre, candidates, WATCHERS_PER_DATA_CENTRE)
    return name in chosen
