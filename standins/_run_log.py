"""The run log of a stand-in: a JSON-lines file that survives a crash of the process."""

from __future__ import annotations

import json
import threading
import time
from typing import Any, TextIO


class RunLog:
    """Keeps events in memory and appends each to a file, flushed after every line.

    Args:
        path: The file; None keeps the events in memory only.
    """

    def __init__(self, path: str | None) -> None:
        self._lock = threading.Lock()
        self._events: list[dict[str, Any]] = []
        self._file: TextIO | None = None
        if path:
            self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115

    def append(self, event: dict[str, Any]) -> None:
        """Adds the event with its wall-clock time in seconds as ``at``."""
        stamped = {**event, "at": time.time()}
        with self._lock:
            self._events.append(stamped)
            if self._file is not None:
                self._file.write(json.dumps(stamped) + "\n")
                self._file.flush()

    def events(self) -> list[dict[str, Any]]:
        """Returns the events of this process, oldest first."""
        with self._lock:
            return list(self._events)
