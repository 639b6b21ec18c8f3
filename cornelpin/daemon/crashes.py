"""Notices at a side that its backend server has died, and what was in flight."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import urllib.parse
from typing import TYPE_CHECKING

from cornelpin.backends import DONE, FAILED

if TYPE_CHECKING:
    from cornelpin.backends import RunResult
    from cornelpin.daemon.runs import Run, RunTable
    from cornelpin.daemon.suspects import Suspects

CRASH_WINDOW_S = 1.0
PROBE_TIMEOUT_S = 0.5
PROBE_PAUSE_S = 0.05
PROBES = 2


def listens(url: str) -> bool:
    """Whether something accepts connections at a URL."""
    parts = urllib.parse.urlsplit(url)
    with contextlib.suppress(OSError):
        address = (parts.hostname or "", parts.port or 80)
        socket.create_connection(address, PROBE_TIMEOUT_S).close()
        return True
    return False


class CrashWatch:
    """Tells a crash of the backend server from one broken answer."""

    def __init__(self, url: str, runs: RunTable, suspects: Suspects) -> None:
        self._url = url
        self._runs = runs
        self._suspects = suspects
        self._lock = threading.Lock()
        self._latest = float("-inf")

    def observe(self, run: Run, end: RunResult) -> None:
        """Takes the end of a run before it is marked as ended."""
        if end.outcome == DONE:
            self._suspects.clear(run.grant.fingerprint)
        elif end.outcome == FAILED and end.unreachable:
            self._on_broken()

    def _on_broken(self) -> None:
        with self._lock:
            if time.monotonic() - self._latest < CRASH_WINDOW_S or self._is_alive():
                return
            self._latest = time.monotonic()
            fingerprints = {run.grant.fingerprint for run in self._runs.running()}
        self._suspects.report_crash(sorted(fingerprints - {""}))

    def _is_alive(self) -> bool:
        for _ in range(PROBES):
            if not listens(self._url):
                return False
            time.sleep(PROBE_PAUSE_S)
        return True
