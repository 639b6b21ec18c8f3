"""Requests that break the servers which run them.

Load pattern: one request crashes each server that begins to run it and comes again with
the same content, at any entry. After a few of them it is turned away everywhere.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BROKEN = 3
"""Runs of one content that servers may break off before it is turned away; the
platform allows as many crashes."""
REMEMBER_S = 60.0
"""Time for which a content is suspected: a crashed server is back after some seconds,
so that it would come again well within."""
MAX_REMEMBERED = 10_000


@attrs.define
class _Record:
    runs: set[str]
    until: float


class PoisonDetector:
    """Contents that were being run when their server broke off, at all entries."""

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._untold: list[tuple[bytes, str]] = []

    def record_failure(self, fingerprint: bytes, run_id: str, now: float) -> None:
        """Takes a run that a server broke off, by the id of its request and server."""
        self._untold.append((fingerprint, run_id))
        self._take(fingerprint, run_id, now)

    def merge_from(self, told: Iterable[tuple[bytes, str]], now: float) -> None:
        """Takes what another entry saw."""
        for fingerprint, run_id in told:
            self._take(fingerprint, run_id, now)

    def take_unsent(self) -> list[tuple[bytes, str]]:
        """Returns what the other entries have not been told."""
        told, self._untold = self._untold, []
        return told

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether too many runs of a content were broken off."""
        record = self._records.get(fingerprint)
        return (
            record is not None and now < record.until and len(record.runs) >= MAX_BROKEN
        )

    def _take(self, fingerprint: bytes, run_id: str, now: float) -> None:
        record = self._records.setdefault(fingerprint, _Record(set(), 0.0))
        if now >= record.until:
            record.runs.clear()
        record.runs.add(run_id)
        record.until = now + REMEMBER_S
        while len(self._records) > MAX_REMEMBERED:
            self._records.popitem(last=False)
