"""Suspicion of request contents that were in flight when a backend server crashed.

A poison request crashes each server that runs it. When a server crashes, the contents
of the requests in flight become suspects. A suspect runs alone until it completes,
which clears it. If it is the only suspect in flight at another crash, it is
quarantined. States expire, and the oldest are evicted first, which bounds the table.
"""

from __future__ import annotations

import enum
import threading
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

# How long a content stays a suspect or quarantined, in seconds.
SUSPECT_S = 600.0
QUARANTINE_S = 3600.0
MAX_CRASHES = 1_000
MAX_CONTENTS = 10_000


class ContentState(enum.Enum):
    """Whether requests with a content may run, given the crashes while they ran."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class _Record:
    """State of one request content and when it expires, in monotonic seconds."""

    state: ContentState
    expires: float


class SuspicionTable:
    """Crashes and content states known to this process; a crash counts once.

    Contents are identified by their fingerprints.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._crashes: dict[str, float] = {}
        self._records: dict[str, _Record] = {}

    def state(self, fingerprint: str) -> ContentState:
        """Returns the state of the content with a fingerprint."""
        record = self._records.get(fingerprint)
        if record is None or record.expires < self._clock():
            return ContentState.CLEAR
        return record.state

    def record_crash(self, crash_id: str, fingerprints: Sequence[str]) -> bool:
        """Records a crash and the contents in flight; returns whether it is new."""
        with self._lock:
            if crash_id in self._crashes:
                return False
            self._crashes[crash_id] = self._clock()
            _evict_oldest(self._crashes, MAX_CRASHES)
            self._update_states(fingerprints)
            _evict_oldest(self._records, MAX_CONTENTS)
            return True

    def _update_states(self, fingerprints: Sequence[str]) -> None:
        suspects = [f for f in fingerprints if self.state(f) is ContentState.SUSPECT]
        if len(suspects) == 1:
            self._set(suspects[0], ContentState.QUARANTINED, QUARANTINE_S)
            return
        self._add_suspects(fingerprints)

    def add_suspects(self, fingerprints: Sequence[str]) -> None:
        """Adds suspects received from another process, without their crash."""
        with self._lock:
            self._add_suspects(fingerprints)
            _evict_oldest(self._records, MAX_CONTENTS)

    def _add_suspects(self, fingerprints: Sequence[str]) -> None:
        for fingerprint in fingerprints:
            if self.state(fingerprint) is ContentState.CLEAR:
                self._set(fingerprint, ContentState.SUSPECT, SUSPECT_S)

    def quarantine(self, fingerprint: str) -> bool:
        """Quarantines a content; returns whether it was not quarantined before."""
        with self._lock:
            if self.state(fingerprint) is ContentState.QUARANTINED:
                return False
            self._set(fingerprint, ContentState.QUARANTINED, QUARANTINE_S)
            return True

    def clear(self, fingerprint: str) -> bool:
        """Clears a content that has completed; returns whether it was a suspect."""
        with self._lock:
            if self.state(fingerprint) is not ContentState.SUSPECT:
                return False
            del self._records[fingerprint]
            return True

    def contents_in(self, state: ContentState) -> list[str]:
        """Returns the fingerprints of the contents in a state."""
        with self._lock:
            return [f for f in self._records if self.state(f) is state]

    def _set(self, fingerprint: str, state: ContentState, keep_s: float) -> None:
        self._records.pop(fingerprint, None)
        self._records[fingerprint] = _Record(state, self._clock() + keep_s)


def _evict_oldest(table: dict[str, object] | dict, limit: int) -> None:
    while len(table) > limit:
        del table[next(iter(table))]
