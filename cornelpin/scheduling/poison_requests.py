"""Poison requests: content that crashes the servers which run it.

A client retries such a request at any entry and so takes down one server after another.
After a few crashes its content is quarantined at all entries.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_FAILED_RUNS = 3
"""Number of runs ended by a crash of the server at which their content is
quarantined: as many crashes as the platform tolerates."""
SUSPICION_TTL_S = 60.0
"""Time after its last failed run at which a content is no longer suspected. A crashed
server is back after some seconds, so a retry arrives well within it."""
MAX_SUSPECTS = 10_000
"""Contents with failed runs that are kept; the ones recorded first are dropped."""


@attrs.define
class _Record:
    """Ids of a content's failed runs, and the monotonic time at which it expires."""

    runs: set[str]
    expires_at: float


class PoisonDetector:
    """Counts, for all entries, the runs of a content with which servers crashed."""

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._unsent: list[tuple[bytes, str]] = []
        self._unsent_sound: list[bytes] = []

    def record_failure(self, fingerprint: bytes, run_id: str, now: float) -> None:
        """Records a run during which the server crashed.

        Args:
            fingerprint: Digest of the content.
            run_id: Identifies the run by request and, after the last space, the
                server's incarnation, so that it counts once.
            now: Monotonic time in seconds.
        """
        self._unsent.append((fingerprint, run_id))
        self._add_run(fingerprint, run_id, now)

    def record_sound(self, fingerprint: bytes) -> None:
        """Records a whole answer to a content: it does not crash servers."""
        if self._records.pop(fingerprint, None) is not None:
            self._unsent_sound.append(fingerprint)

    def retract_crash(self, incarnation: str) -> None:
        """Takes back a crash: the incarnation has responded since."""
        for record in self._records.values():
            record.runs = {
                run_id
                for run_id in record.runs
                if run_id.rpartition(" ")[2] != incarnation
            }

    def merge_sound(self, received: Iterable[bytes]) -> None:
        """Merges the contents that another entry found to be sound."""
        for fingerprint in received:
            self._records.pop(fingerprint, None)

    def merge_from(self, received: Iterable[tuple[bytes, str]], now: float) -> None:
        """Merges the runs that another entry recorded."""
        for fingerprint, run_id in received:
            self._add_run(fingerprint, run_id, now)

    def take_unsent(self) -> list[tuple[bytes, str]]:
        """Returns and clears the runs not yet sent to peers."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def take_unsent_sound(self) -> list[bytes]:
        """Returns and clears the sound contents not yet sent to peers."""
        unsent, self._unsent_sound = self._unsent_sound, []
        return unsent

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a content has reached the limit of failed runs."""
        record = self._records.get(fingerprint)
        return (
            record is not None
            and now < record.expires_at
            and len(record.runs) >= MAX_FAILED_RUNS
        )

    def _add_run(self, fingerprint: bytes, run_id: str, now: float) -> None:
        record = self._records.setdefault(fingerprint, _Record(set(), 0.0))
        if now >= record.expires_at:
            record.runs.clear()
        record.runs.add(run_id)
        record.expires_at = now + SUSPICION_TTL_S
        while len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
