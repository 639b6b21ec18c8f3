"""Poison requests: content that crashes the servers which run it.

A client retries such a request at any entry and so takes down one server after another.
After a few crashes its content is quarantined at all entries. After some time one
request at one entry is tried: a whole answer ends the quarantine, a crash makes it last
longer.
"""

from __future__ import annotations

import hashlib
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
FIRST_QUARANTINE_S = 60.0
"""Time from the last crash to the first trial of a content with ``MAX_FAILED_RUNS``."""
QUARANTINE_FACTOR = 4.0
"""Factor by which each further crash makes a quarantine longer: each may end other
requests with its server."""
MAX_QUARANTINE_S = 3_600.0
TRIAL_S = 60.0
"""Time after which a trial that has no outcome may be followed by another one."""
MAX_SUSPECTS = 10_000
"""Contents with failed runs that are kept; the ones recorded first are dropped."""


@attrs.define
class _Record:
    """Failed runs of a content.

    Attributes:
        runs: Their ids.
        last_run_at: Monotonic time of the last one.
        trial: Id of the request that was tried last.
        tried_at: Monotonic time of the trial.
    """

    runs: set[str] = attrs.field(factory=set)
    last_run_at: float = float("-inf")
    trial: str = ""
    tried_at: float = float("-inf")

    @property
    def quarantined(self) -> bool:
        """Whether the content has reached the limit of failed runs."""
        return len(self.runs) >= MAX_FAILED_RUNS

    @property
    def trial_at(self) -> float:
        """Monotonic time from which on the content may be tried."""
        further = max(0, len(self.runs) - MAX_FAILED_RUNS)
        quarantine_s = FIRST_QUARANTINE_S
        for _ in range(further):
            quarantine_s = min(MAX_QUARANTINE_S, QUARANTINE_FACTOR * quarantine_s)
        return max(self.last_run_at + quarantine_s, self.tried_at + TRIAL_S)


def select_trier(fingerprint: bytes, hosts: Iterable[str]) -> str:
    """Returns the host whose entry tries a quarantined content.

    All entries that see the same hosts select the same one.
    """
    return max(
        hosts, key=lambda host: hashlib.sha256(fingerprint + host.encode()).digest()
    )


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

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether a content has reached the limit of failed runs."""
        record = self._records.get(fingerprint)
        return record is not None and record.quarantined

    def is_on_trial(self, fingerprint: bytes, request_id: str, now: float) -> bool:
        """Returns whether a request is the trial of its quarantined content."""
        record = self._records.get(fingerprint)
        return (
            record is not None
            and record.trial == request_id
            and now < record.tried_at + TRIAL_S
        )

    def begin_trial(self, fingerprint: bytes, request_id: str, now: float) -> bool:
        """Makes a request the trial of its content; returns False if it is too early.

        Args:
            fingerprint: Digest of the content.
            request_id: Id of the request.
            now: Monotonic time in seconds.
        """
        record = self._records.get(fingerprint)
        if record is None or now < record.trial_at:
            return False
        record.trial, record.tried_at = request_id, now
        return True

    def _add_run(self, fingerprint: bytes, run_id: str, now: float) -> None:
        record = self._records.setdefault(fingerprint, _Record())
        if not record.quarantined and now >= record.last_run_at + SUSPICION_TTL_S:
            record.runs.clear()
        record.runs.add(run_id)
        record.last_run_at = now
        record.trial = ""
        while len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
