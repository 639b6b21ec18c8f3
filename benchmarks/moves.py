"""Measures moves of good and bad versions on real processes.

Run it with ``python -m benchmarks.moves``; ``QUICK=1`` runs one seed of a few kinds.
Rows go to ``build/moves.json`` as each move ends; ``--resume`` runs only the moves
that have no row there, and ``--begin-for-s`` limits the time in which moves start, so
that many moves can be measured in several short runs. The exit code is 1 if a move of
cornelpin breaks a bound.
"""

from __future__ import annotations

import math
import os
import sys
import threading
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs
import click

from benchmarks.cluster_settings import FIRST_VERSION
from benchmarks.deployments import DEPLOYMENTS, Deployment
from benchmarks.move_rows import (
    CORNELPIN,
    GOOD,
    Job,
    Row,
    print_row,
    print_summary,
    read_rows,
    remaining_jobs,
    write_rows,
)
from benchmarks.records import Kind, RunEvent, read_run_log, starts
from benchmarks.testbed import Testbed
from benchmarks.waiting import WaitTimeoutError, wait_until
from benchmarks.workload import PlannedRequest, Shape, plan

NAIVE = "naive"
NEW_VERSION = "v2"
RATE_PER_S = 40.0
TIERS = ("question", "tag")
BURST_EVERY_S = 12.0
MOVE_TIME_LIMIT_S = 60.0
STAGES = (0.03, 0.3, 1.0)
STAGE_S = 8.0
MAX_BAD_SHARE = 0.1
WARM_UP_S = 2.0
SETTLE_S = 3.0
# Time after the brake (the emergency stop of a version) from which its runs count.
BRAKE_GRACE_S = 2.0
FAULT_DELAY_S = 12.0
FAULT_DURATION_S = 3.0
# Process killed during a good move, by seed; for an empty name an engine slows down.
FAULT_TARGETS = ("e1", "side-f2", "e2", "", "f3")
POLL_S = 0.25
FINAL_STATES = frozenset({"done", "taken_back", "late"})
BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"
# The prompts of one workspace represent the class of work that shows the fault.
AFFECTED_WORKSPACE = "shop-b"

BAD_KINDS: dict[str, dict[str, Any]] = {
    "fails_at_once": {"fail_rate": 0.5},
    "fails_later": {"fail_rate": 0.5, "after_requests": 3},
    "slow_at_once": {"slow": 3.0},
    "slow_later": {"slow": 3.0, "after_requests": 3},
    "fails_under_load": {"fail_rate": 0.7, "min_running": 3},
    "slow_under_load": {"slow": 4.0, "min_running": 3},
    "fails_on_one_kind": {"fail_rate": 1.0, "route_text": AFFECTED_WORKSPACE},
    "slow_on_one_kind": {"slow": 4.0, "route_text": AFFECTED_WORKSPACE},
}
QUICK_KINDS = (GOOD, "fails_at_once", "slow_at_once")


def planned_load(deployment: Deployment, seed: int) -> list[PlannedRequest]:
    """Plans the load during a move, with bursts."""
    duration_s = WARM_UP_S + MOVE_TIME_LIMIT_S + SETTLE_S
    shape = Shape(seed, RATE_PER_S, duration_s, BURST_EVERY_S, tiers=TIERS)
    return plan(deployment, attrs.evolve(shape, burst_factor=2.0))


def run_cornelpin(kind: str, seed: int) -> Row:
    """Runs one move through cornelpin."""
    deployment = DEPLOYMENTS["small"]()
    with Testbed(deployment, seed=seed) as testbed:
        make_faulty(testbed, kind)
        sender = testbed.sender()
        load = threading.Thread(
            target=sender.run, args=(planned_load(deployment, seed),), daemon=True
        )
        load.start()
        time.sleep(WARM_UP_S)
        started_at = time.time()
        testbed.patch({"moves": {"move": _move(deployment, started_at)}})
        injector = threading.Thread(target=inject_fault, args=(testbed, seed))
        if kind == GOOD:
            injector.start()
        reported = _wait_for_outcome(testbed)
        outcome_at = time.time()
        if kind != GOOD:
            time.sleep(SETTLE_S)
        braked_at = _first_brake_at(testbed)
        if kind == GOOD:
            injector.join()
        events = starts(testbed.run_events())
    testbed.remove_folder()
    return Row(
        system=CORNELPIN,
        kind=kind,
        seed=seed,
        outcome=reported.get("state", "unknown"),
        in_time=outcome_at <= started_at + MOVE_TIME_LIMIT_S,
        share_before_fault=_new_version_share(
            events, started_at, braked_at or outcome_at
        ),
        dispatches_after_2s=_count_runs_after_brake(events, braked_at),
        seconds=round(outcome_at - started_at, 1),
        reason=reported.get("reason", ""),
        bad_runs=_count_new_runs(events, started_at, braked_at or outcome_at),
    )


def run_naive(kind: str, seed: int) -> Row:
    """Runs one move in fixed steps, with round robin and without canary analysis."""
    deployment = DEPLOYMENTS["small"]()
    versions = (FIRST_VERSION, NEW_VERSION)
    testbed = Testbed(deployment, seed=seed, versions=versions)
    try:
        testbed.start_standins()
        make_faulty(testbed, kind)
        sender = testbed.sender(deployment.servers_of(Kind.MODEL))
        started_at = time.time()
        steps_s = len(STAGES) * STAGE_S
        planned = [r for r in planned_load(deployment, seed) if r.at_s < steps_s]
        sender.run(_assign_versions(deployment, planned))
        outcome_at = time.time()
        logs = [
            event
            for name in deployment.servers_of(Kind.MODEL)
            for event in read_run_log(name, testbed.run_log(name))
        ]
    finally:
        testbed.close()
    testbed.remove_folder()
    events = starts(logs)
    return Row(
        system=NAIVE,
        kind=kind,
        seed=seed,
        outcome="done",
        in_time=outcome_at <= started_at + MOVE_TIME_LIMIT_S,
        share_before_fault=_new_version_share(events, started_at, outcome_at),
        dispatches_after_2s=_count_runs_after_brake(events, None),
        seconds=round(outcome_at - started_at, 1),
        bad_runs=_count_new_runs(events, started_at, outcome_at),
    )


def _assign_versions(
    deployment: Deployment, planned: Iterable[PlannedRequest]
) -> list[PlannedRequest]:
    """Assigns a version to each request by the step that its send time is in."""
    assigned = []
    for i, request in enumerate(planned):
        share = STAGES[min(len(STAGES) - 1, int(request.at_s // STAGE_S))]
        # Spreads the share of the new version evenly over the requests.
        is_new = (i * share) % 1.0 < share
        version = NEW_VERSION if is_new else FIRST_VERSION
        tier = attrs.evolve(request.tier, route=f"{deployment.model_route}@{version}")
        assigned.append(attrs.evolve(request, tier=tier))
    return assigned


SYSTEMS = {CORNELPIN: run_cornelpin, NAIVE: run_naive}


def make_faulty(testbed: Testbed, kind: str) -> None:
    """Injects the fault of a kind into the new version on every engine."""
    if kind == GOOD:
        return
    fault = {"bad_versions": {NEW_VERSION: BAD_KINDS[kind]}}
    for name in testbed.deployment.servers_of(Kind.MODEL):
        testbed.client(name).call("POST", "/faults", fault)


def inject_fault(testbed: Testbed, seed: int) -> None:
    """Kills a process or slows an engine during the move of a good version."""
    time.sleep(FAULT_DELAY_S)
    target = FAULT_TARGETS[seed % len(FAULT_TARGETS)]
    if not target:
        testbed.client("f1").call("POST", "/faults", {"slow": 2.5})
        time.sleep(FAULT_DURATION_S)
        testbed.client("f1").call("POST", "/faults", {})
        return
    testbed.processes[target].kill()
    time.sleep(FAULT_DURATION_S)
    if target in testbed.daemon_names():
        testbed.restart_daemon(target)
    else:
        testbed.restart(target)


def _move(deployment: Deployment, started_at: float) -> dict[str, Any]:
    return {
        "route": deployment.model_route,
        "from_version": FIRST_VERSION,
        "to_version": NEW_VERSION,
        "finish_by": started_at + MOVE_TIME_LIMIT_S,
        "stages": list(STAGES),
        "stage_s": STAGE_S,
        "max_bad_share": MAX_BAD_SHARE,
    }


def _wait_for_outcome(testbed: Testbed) -> dict[str, Any]:
    """Waits for the outcome; returns the row of the move as the entries report it."""
    last: dict[str, Any] = {}

    def is_final() -> bool:
        time.sleep(POLL_S)
        rows = testbed.call_any_entry("GET", "/admin/v1/moves").body
        last.update(rows[0] if rows else {})
        return last.get("state") in FINAL_STATES

    try:
        wait_until(is_final, MOVE_TIME_LIMIT_S + SETTLE_S, "the move has an outcome")
    except WaitTimeoutError as exc:
        last["reason"] = f"{exc}: {last.get('reason', '')}"
    return last


def _first_brake_at(testbed: Testbed) -> float | None:
    times = [e["at"] for e in testbed.timeline() if e["kind"] == "move.braked"]
    return min(times, default=None)


def _new_version_share(events: Iterable[RunEvent], first: float, last: float) -> float:
    during = [e for e in events if e.version and first <= e.at <= last]
    new = sum(event.version == NEW_VERSION for event in during)
    return round(new / max(1, len(during)), 4)


def _count_new_runs(events: Iterable[RunEvent], first: float, last: float) -> int:
    during = [e for e in events if first <= e.at <= last]
    return sum(event.version == NEW_VERSION for event in during)


def _count_runs_after_brake(events: Iterable[RunEvent], braked_at: float | None) -> int:
    # Without a brake all runs count.
    since = braked_at + BRAKE_GRACE_S if braked_at is not None else 0.0
    return sum(e.version == NEW_VERSION and e.at > since for e in events)


@attrs.frozen
class MeasurementRun:
    """One run of this tool.

    Attributes:
        path: File of the rows.
        start_deadline: Monotonic time in seconds after which no move is started.
        rows: Rows of earlier runs and of this one.
        lock: Guards the rows and their file.
    """

    path: Path
    start_deadline: float
    rows: list[Row] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def run(self, job: Job) -> None:
        """Runs a move and stores its row."""
        if time.monotonic() > self.start_deadline:
            return
        row = SYSTEMS[job.system](job.kind, job.seed)
        print_row(row)
        with self.lock:
            self.rows.append(row)
            write_rows(self.path, self.rows)


@click.command()
@click.option("--system", "systems", multiple=True, type=click.Choice(list(SYSTEMS)))
@click.option("--kind", "kinds", multiple=True, type=click.Choice([GOOD, *BAD_KINDS]))
@click.option("--seeds", default=5, help="Seeds for each kind.")
@click.option("--first-seed", default=1)
@click.option("--workers", default=2, help="Moves that run concurrently.")
@click.option("--output", default=str(BUILD_FOLDER / "moves.json"))
@click.option("--resume", is_flag=True, help="Keep earlier rows; run what is missing.")
@click.option(
    "--begin-for-s",
    default=math.inf,
    help="Seconds from the start of the run after which no further move starts.",
)
def main(
    systems: tuple[str, ...],
    kinds: tuple[str, ...],
    seeds: int,
    first_seed: int,
    workers: int,
    output: str,
    resume: bool,
    begin_for_s: float,
) -> None:
    """Runs seeded moves and writes their rows."""
    if os.environ.get("QUICK"):
        kinds, seeds = kinds or QUICK_KINDS, 1
    jobs = [
        Job(system, kind, seed)
        for seed in range(first_seed, first_seed + seeds)
        for system in systems or SYSTEMS
        for kind in kinds or (GOOD, *BAD_KINDS)
    ]
    path = Path(output)
    earlier = read_rows(path) if resume else []
    measurement = MeasurementRun(path, time.monotonic() + begin_for_s, earlier)
    with ThreadPoolExecutor(workers) as pool:
        list(pool.map(measurement.run, remaining_jobs(jobs, earlier)))
    print_summary(measurement.rows)
    broken = [
        r for r in measurement.rows if r.system == CORNELPIN and not r.within_bounds
    ]
    print(
        f"{len(measurement.rows)} moves, {len(broken)} of cornelpin break a bound, "
        f"{len(remaining_jobs(jobs, measurement.rows))} not run"
    )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
