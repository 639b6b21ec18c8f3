"""Rows of the measured moves, stored in a file that a later run can resume."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

import attrs

CORNELPIN = "cornelpin"
GOOD = "good"
# Highest ``share_before_fault`` of a bad version.
MAX_SHARE_BEFORE_BRAKE = 0.05


@attrs.frozen
class Job:
    """One move to measure.

    Attributes:
        system: ``cornelpin`` or ``naive``.
        kind: Kind of the new version.
        seed: Seed of the workload and of the stand-ins.
    """

    system: str
    kind: str
    seed: int


@attrs.frozen
class Row:
    """Outcome of one move.

    Attributes:
        system: ``cornelpin`` or ``naive``.
        kind: Kind of the new version.
        seed: Seed of the workload and of the stand-ins.
        outcome: Last state of the move.
        in_time: Whether the outcome was stated within the time limit of the move.
        share_before_fault: Share of the route's runs on the new version, from the
            start of the move to the brake (the emergency stop of the version) or,
            without one, to the outcome.
        dispatches_after_2s: Runs of the new version that started more than 2 s after
            the brake; without a brake all its runs.
        seconds: Time from the start of the move to its outcome.
        reason: Reason stated with the outcome.
        bad_runs: Runs of the new version up to the brake or, without one, the outcome.
    """

    system: str
    kind: str
    seed: int
    outcome: str
    in_time: bool
    share_before_fault: float
    dispatches_after_2s: int
    seconds: float
    reason: str = ""
    bad_runs: int = 0

    @property
    def job(self) -> Job:
        """The job that this row is the outcome of."""
        return Job(self.system, self.kind, self.seed)

    @property
    def within_bounds(self) -> bool:
        """Whether the row meets the bounds for its kind of version."""
        if self.kind == GOOD:
            return self.outcome == "done" and self.in_time
        caught = self.outcome == "taken_back" and self.dispatches_after_2s == 0
        return caught and self.share_before_fault <= MAX_SHARE_BEFORE_BRAKE


def read_rows(path: Path) -> list[Row]:
    """Reads the rows of earlier runs; returns an empty list if there is no file."""
    if not path.exists():
        return []
    return [Row(**row) for row in json.loads(path.read_text())]


def write_rows(path: Path, rows: Iterable[Row]) -> None:
    """Replaces the file atomically, so that a killed run leaves the earlier rows."""
    path.parent.mkdir(exist_ok=True)
    partial = path.with_suffix(".partial")
    partial.write_text(json.dumps([attrs.asdict(row) for row in rows], indent=1))
    partial.replace(path)


def remaining_jobs(jobs: Iterable[Job], rows: Iterable[Row]) -> list[Job]:
    """Returns the jobs that have no row yet, in their order."""
    done = {row.job for row in rows}
    return [job for job in jobs if job not in done]


def print_row(row: Row) -> None:
    """Prints one row.

    "after" is the number of ``dispatches_after_2s``; "kept" or "BROKEN" states whether
    the row is within the bounds for its kind.
    """
    mark = "kept" if row.within_bounds else "BROKEN"
    print(
        f"{row.system:<10}{row.kind:<18}{row.seed:>4} {row.outcome:<11}"
        f"{row.seconds:>6.1f} s  share {row.share_before_fault:.3f}  "
        f"after {row.dispatches_after_2s:>4}  {mark}  {row.reason}",
        flush=True,
    )


def print_summary(rows: Iterable[Row]) -> None:
    """Prints outcomes, times and shares of the moves by system and kind.

    "runs" are the ``bad_runs`` and "later than 2 s" the ``dispatches_after_2s``.
    """
    by_kind: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        by_kind.setdefault((row.system, row.kind), []).append(row)
    for (system, kind), group in sorted(by_kind.items()):
        shares = [row.share_before_fault for row in group]
        times = [row.seconds for row in group]
        outcomes = {row.outcome for row in group}
        counts = ", ".join(
            f"{sum(row.outcome == outcome for row in group)} {outcome}"
            for outcome in sorted(outcomes)
        )
        print(
            f"{system:<10}{kind:<18}{counts} of {len(group)}, "
            f"in time {sum(row.in_time for row in group)}, "
            f"{min(times):.1f} to {max(times):.1f} s, "
            f"share {min(shares):.3f} to {max(shares):.3f}, "
            f"runs {sum(row.bad_runs for row in group)}, "
            f"later than 2 s {sum(row.dispatches_after_2s for row in group)}"
        )
