"""Detects at a side that its backend server has crashed, and with which requests."""

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
    from cornelpin.daemon.suspicion_sync import SuspicionSync

# Failures within this time of a crash count as the same crash.
CRASH_WINDOW_S = 1.0
PROBE_TIMEOUT_S = 0.5
PROBE_PAUSE_S = 0.05
# The server counts as alive only if it accepts this many successive connections.
PROBES = 2


def accepts_connections(url: str) -> bool:
    """Whether a process accepts connections at the host and port of a URL."""
    parts = urllib.parse.urlsplit(url)
    with contextlib.suppress(OSError):
        address = (parts.hostname or "", parts.port or 80)
        socket.create_connection(address, PROBE_TIMEOUT_S).close()
        return True
    return False


class CrashDetector:
    """Distinguishes a crash of the backend server from the failure of one run.

    Args:
        url: URL of the backend server.
        runs: Runs of this side.
        suspicions: Receives the contents in flight at a crash.
    """

    def __init__(self, url: str, runs: RunTable, suspicions: SuspicionSync) -> None:
        self._url = url
        self._runs = runs
        self._suspicions = suspicions
        self._lock = threading.Lock()
        self._crashed_at = float("-inf")

    def observe(self, run: Run, end: RunResult) -> None:
        """Receives the end of a run; must be called before it is marked as ended."""
        if end.outcome == DONE:
            self._suspicions.clear(run.grant.fingerprint)
        elif end.outcome == FAILED and end.connection_failed:
            self._on_unreachable()

    def _on_unreachable(self) -> None:
        with self._lock:
            if time.monotonic() - self._crashed_at < CRASH_WINDOW_S or self._is_alive():
                return
            self._crashed_at = time.monotonic()
            fingerprints = {run.grant.fingerprint for run in self._runs.running()}
        self._suspicions.report_crash(sorted(fingerprints - {""}))

    def _is_alive(self) -> bool:
        for _ in range(PROBES):
            if not accepts_connections(self._url):
                return False
            time.sleep(PROBE_PAUSE_S)
        return True
