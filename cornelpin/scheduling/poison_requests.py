"""Poison requests: content that crashes the servers which run it.

A client retries such a request at any entry and so takes down one server after another.
After a few crashes its content is quarantined at all entries. After some time one
request at one entry is tried: a whole answer ends the quarantine, a crash makes it last
longer.

What entries know of a content is a state that they merge: the runs with which servers
crashed, those of them that were taken back, and the last trial. A merge does not depend
on the order of messages or on how often one arrives, so each message may be lost or
repeated, and an entry that starts gets the same from any other one.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.scheduling.refuted_crashes import RefutedCrashes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

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
CLEARED_TTL_S = 120.0
"""Time for which a run that was taken back is remembered, so that messages which are
late do not bring it back."""
MAX_RUNS = 16
"""Failed runs of a content that are kept, the latest ones. More do not make its
quarantine longer."""
MAX_SUSPECTS = 10_000
"""Contents with failed runs that are kept; the ones recorded first are dropped."""
MAX_EXPORTED = 200
"""Contents that another entry is told of, those with the latest events."""


@attrs.define
class _Record:
    """What is known of a content.

    Attributes:
        runs: Monotonic times of the runs with which servers crashed, by their ids.
        cleared: Times at which some of them were taken back.
        trial: Id of the request that was tried last.
        tried_at: Monotonic time of the trial.
    """

    runs: dict[str, float] = attrs.field(factory=dict)
    cleared: dict[str, float] = attrs.field(factory=dict)
    trial: str = ""
    tried_at: float = float("-inf")

    @property
    def quarantined(self) -> bool:
        """Whether the content has reached the limit of failed runs."""
        return len(self.runs) >= MAX_FAILED_RUNS

    @property
    def last_run_at(self) -> float:
        """Monotonic time of the last failed run."""
        return max(self.runs.values(), default=float("-inf"))

    @property
    def last_event_at(self) -> float:
        """Monotonic time of the last failed run, the last trial or a clearance."""
        return max(
            self.last_run_at,
            self.tried_at,
            max(self.cleared.values(), default=float("-inf")),
        )

    @property
    def trial_at(self) -> float:
        """Monotonic time from which on the content may be tried."""
        further = len(self.runs) - MAX_FAILED_RUNS
        quarantine_s = FIRST_QUARANTINE_S
        for _ in range(further):
            quarantine_s = min(MAX_QUARANTINE_S, QUARANTINE_FACTOR * quarantine_s)
        return max(self.last_run_at + quarantine_s, self.tried_at + TRIAL_S)

    def add_run(self, run_id: str, at: float) -> None:
        """Adds a failed run unless it was taken back."""
        if run_id in self.cleared:
            return
        self.runs[run_id] = min(at, self.runs.get(run_id, at))
        _keep_latest(self.runs, MAX_RUNS)

    def clear(self, run_id: str, at: float) -> None:
        """Takes a run back."""
        self.runs.pop(run_id, None)
        self.cleared[run_id] = min(at, self.cleared.get(run_id, at))
        _keep_latest(self.cleared, MAX_RUNS)

    def set_trial(self, trial: str, at: float) -> None:
        """Sets the last trial unless a later one is known."""
        if trial == self.trial:
            self.tried_at = min(at, self.tried_at)
        elif at > self.tried_at:
            self.trial, self.tried_at = trial, at


def _keep_latest(times: dict[str, float], size: int) -> None:
    while len(times) > size:
        del times[min(times, key=lambda name: (times[name], name))]


def select_trier(fingerprint: bytes, hosts: Iterable[str]) -> str:
    """Returns the host whose entry tries a quarantined content.

    All entries that see the same hosts select the same one.
    """
    return max(
        hosts, key=lambda host: hashlib.sha256(fingerprint + host.encode()).digest()
    )


class PoisonDetector:
    """Counts, for all entries, the runs of a content with which servers crashed.

    Args:
        refuted: Crashes that did not take place.

    Attributes:
        quarantined: Contents that have reached the limit of failed runs.
    """

    def __init__(self, refuted: RefutedCrashes | None = None) -> None:
        self.quarantined: frozenset[bytes] = frozenset()
        self._refuted = RefutedCrashes() if refuted is None else refuted
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._unsent: set[bytes] = set()

    def record_failure(self, fingerprint: bytes, run_id: str, now: float) -> None:
        """Records a run during which the server crashed.

        Args:
            fingerprint: Digest of the content.
            run_id: Identifies the run by request and, after the last space, the
                server's incarnation, so that it counts once.
            now: Monotonic time in seconds.
        """
        if _incarnation(run_id) in self._refuted:
            return
        self._live_record(fingerprint, now).add_run(run_id, now)
        self._unsent.add(fingerprint)
        self._assess(fingerprint)

    def record_sound(self, fingerprint: bytes, now: float) -> None:
        """Records a whole answer to a content: it does not crash servers."""
        record = self._records.get(fingerprint)
        if record is None or not record.runs:
            return
        for run_id in list(record.runs):
            record.clear(run_id, now)
        self._unsent.add(fingerprint)
        self._assess(fingerprint)

    def retract_crash(self, incarnation: str, now: float) -> None:
        """Takes back a crash: the incarnation has responded since."""
        self._refuted.add(incarnation)
        for fingerprint, record in self._records.items():
            for run_id in list(record.runs):
                if _incarnation(run_id) == incarnation:
                    record.clear(run_id, now)
                    self._assess(fingerprint)

    def merge_from(self, received: Iterable[Sequence[Any]], now: float) -> None:
        """Merges what another entry knows of some contents (``export``)."""
        for fingerprint, runs, cleared, trial, trial_age_s in received:
            record = self._live_record(bytes(fingerprint), now)
            for run_id, at in _as_times(cleared, now).items():
                if now < at + CLEARED_TTL_S:
                    record.clear(run_id, at)
            for run_id, at in _as_times(runs, now).items():
                if run_id in record.cleared or _incarnation(run_id) in self._refuted:
                    # The sender has missed that it was taken back.
                    record.clear(run_id, now)
                    self._unsent.add(fingerprint)
                else:
                    record.add_run(run_id, at)
            if trial:
                record.set_trial(str(trial), now - float(trial_age_s))
            self._drop_if_expired(fingerprint, now)
            self._assess(fingerprint)

    def take_unsent(self, now: float) -> list[list[Any]]:
        """Returns the contents of which something is not yet sent to peers."""
        unsent, self._unsent = self._unsent, set()
        return [self._packed(f, now) for f in sorted(unsent) if f in self._records]

    def export(self, now: float, max_age_s: float = float("inf")) -> list[list[Any]]:
        """Returns what is known, for entries that have missed a part of it.

        Each content has its fingerprint, the ages of its failed runs and of those that
        were taken back, in seconds by id, and the last trial and its age.

        Args:
            now: Monotonic time in seconds.
            max_age_s: Age of its last event, in seconds, over which a content is left
                out.
        """
        for fingerprint in list(self._records):
            self._drop_if_expired(fingerprint, now)
        events = {f: record.last_event_at for f, record in self._records.items()}
        recent = [f for f, at in events.items() if now - at <= max_age_s]
        latest = sorted(recent, key=lambda f: events[f], reverse=True)
        return [self._packed(fingerprint, now) for fingerprint in latest[:MAX_EXPORTED]]

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether a content has reached the limit of failed runs."""
        return fingerprint in self.quarantined

    def runs(self, fingerprint: bytes) -> list[str]:
        """Returns the ids of the failed runs of a content."""
        record = self._records.get(fingerprint)
        return [] if record is None else sorted(record.runs)

    def is_on_trial(self, fingerprint: bytes, request_id: str, now: float) -> bool:
        """Returns whether a request is the trial of its quarantined content."""
        record = self._records.get(fingerprint)
        return (
            record is not None
            and record.trial == request_id
            and record.last_run_at <= record.tried_at
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
        self._unsent.add(fingerprint)
        return True

    def _live_record(self, fingerprint: bytes, now: float) -> _Record:
        """Returns the record of a content, an empty one if the last has expired."""
        self._drop_if_expired(fingerprint, now)
        record = self._records.setdefault(fingerprint, _Record())
        while len(self._records) > MAX_SUSPECTS:
            dropped, _ = self._records.popitem(last=False)
            self.quarantined -= {dropped}
        return record

    def _drop_if_expired(self, fingerprint: bytes, now: float) -> None:
        """Drops what is too old to matter: suspicions, and runs taken back."""
        record = self._records.get(fingerprint)
        if record is None:
            return
        for run_id, at in list(record.cleared.items()):
            if now >= at + CLEARED_TTL_S:
                del record.cleared[run_id]
        if not record.quarantined and now >= record.last_run_at + SUSPICION_TTL_S:
            record.runs.clear()
        if not record.runs and not record.cleared:
            del self._records[fingerprint]

    def _assess(self, fingerprint: bytes) -> None:
        record = self._records.get(fingerprint)
        if record is not None and record.quarantined:
            self.quarantined |= {fingerprint}
        elif fingerprint in self.quarantined:
            self.quarantined -= {fingerprint}

    def _packed(self, fingerprint: bytes, now: float) -> list[Any]:
        record = self._records[fingerprint]
        return [
            fingerprint,
            {run_id: round(now - at, 2) for run_id, at in record.runs.items()},
            {run_id: round(now - at, 2) for run_id, at in record.cleared.items()},
            record.trial,
            round(now - record.tried_at, 2) if record.trial else 0.0,
        ]


def _as_times(ages_s: Mapping[str, float], now: float) -> dict[str, float]:
    """Returns monotonic times for ages in seconds, none of them in the future."""
    return {str(name): now - max(0.0, age_s) for name, age_s in ages_s.items()}


def _incarnation(run_id: str) -> str:
    """Returns the incarnation of the server that a run was sent to."""
    return run_id.rpartition(" ")[2]
