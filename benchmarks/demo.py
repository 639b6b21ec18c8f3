"""Demonstrates a small deployment under overload, moves, a drain and a crash.

Run it with ``python -m benchmarks.demo``. The exit code is 1 when the checker finds
a violation, else 0.
"""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path
from typing import Any

import attrs

from benchmarks.cluster_settings import FIRST_VERSION
from benchmarks.deployment import Deployment, capacity_per_s
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.measures import goodput_by_tier, prefill_work
from benchmarks.records import Kind
from benchmarks.testbed import Testbed
from benchmarks.timeline_page import timeline_page
from benchmarks.waiting import WaitTimeoutError, wait_until
from benchmarks.workload import Shape, plan

SEED = 20
LOAD_FACTOR = 1.3
LOAD_DURATION_S = 30.0
# Slower engines reach their capacity with only a few hundred requests.
ENGINE_SLOWDOWN = 4
BATCH_DIVISOR = 2
COLLECT_TIMEOUT_S = 80.0
DOWNTIME_S = 4.0
MOVE_TIME_S = 18.0
STAGE_TIME_S = 2.0
GOOD_VERSION = "v2"
BAD_VERSION = "v3"
BAD_VERSION_FAULT = {"fail_rate": 0.6}
OUTCOME_GRACE_S = 2.0
DONE = "done"
FINAL_MOVE_STATES = frozenset({DONE, "taken_back", "late"})
BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"


def demo_deployment() -> Deployment:
    """Returns the small deployment with slower engines."""
    deployment = DEPLOYMENTS["small"]()
    engines = tuple(
        attrs.evolve(
            engine,
            step_ms=engine.step_ms * ENGINE_SLOWDOWN,
            max_batch=engine.max_batch // BATCH_DIVISOR,
        )
        for engine in deployment.engines
    )
    return attrs.evolve(deployment, engines=engines)


def operate(testbed: Testbed) -> None:
    """Applies operator actions and faults while the load runs."""
    _log("patch: shop-b gets a larger share")
    testbed.patch({"workspaces": {"shop-b": {"share": 2.0}}})
    version = FIRST_VERSION
    if _move(testbed, "good", version, GOOD_VERSION) == DONE:
        version = GOOD_VERSION
    _add_version_fault(testbed)
    # A route has at most one unfinished move: this patch removes the first one.
    route = {testbed.deployment.model_route: {"version": version}}
    testbed.patch({"routes": route, "moves": {"good": None}})
    _move(testbed, "bad", version, BAD_VERSION)
    _log("drain: host-f3")
    testbed.patch({"hosts": {"host-f3": {"leaving": True}}})
    _log("kill: side-f2")
    testbed.processes["side-f2"].kill()
    time.sleep(DOWNTIME_S)
    _log("start: side-f2, and host-f3 accepts requests again")
    testbed.restart_daemon("side-f2")
    testbed.patch({"hosts": {"host-f3": {"leaving": False}}})


def _move(testbed: Testbed, name: str, old: str, new: str) -> str:
    """Starts a move, waits until it ends and returns its last state."""
    _log(f"move {name}: {old} to {new}")
    move = {
        "route": testbed.deployment.model_route,
        "from_version": old,
        "to_version": new,
        "finish_by": time.time() + MOVE_TIME_S,
        "state": "run",
        "stages": [0.05, 0.25, 1],
        "stage_s": STAGE_TIME_S,
        "max_bad_share": 0.1,
    }
    testbed.patch({"moves": {name: move}})
    try:
        wait_until(
            lambda: move_state(testbed, name) in FINAL_MOVE_STATES,
            MOVE_TIME_S + OUTCOME_GRACE_S,
            f"move {name} reports a final state",
        )
    except WaitTimeoutError as exc:
        _log(str(exc))
    state = move_state(testbed, name)
    _log(f"outcome of move {name}: {state or 'none'}")
    return state


def move_state(testbed: Testbed, name: str) -> str:
    """Returns the state of a move as reported by the entries, empty if unknown."""
    return next((m["state"] for m in moves(testbed) if m.get("name") == name), "")


def moves(testbed: Testbed) -> list[dict[str, Any]]:
    """Returns the reports of the entries on all moves."""
    return list(testbed.call_any_entry("GET", "/admin/v1/moves").body)


def _add_version_fault(testbed: Testbed) -> None:
    fault = {"bad_versions": {BAD_VERSION: BAD_VERSION_FAULT}}
    for name in testbed.deployment.servers_of(Kind.MODEL):
        testbed.client(name).call("POST", "/faults", fault)


def report(testbed: Testbed) -> int:
    """Prints the results, writes the timeline and returns the exit code.

    The column "whole" counts the complete responses; "broken promises" are the
    violations that the checker found.
    """
    print(f"{'tier':<10}{'sent':>6}{'whole':>7}{'share':>7}{'shed':>6}{'p50 s':>8}")
    for row in goodput_by_tier(testbed.records):
        print(
            f"{row.tier:<10}{row.sent:>6}{row.complete:>7}{row.share:>7.2f}"
            f"{row.shed:>6}{row.median_latency_s:>8.2f}"
        )
    prefill = prefill_work(testbed.run_events())
    print(f"wasted prefill: {prefill.wasted} of {prefill.computed} tokens")
    _write_timeline(testbed)
    violations = testbed.violations()
    doubled = sum(found.check.startswith("doubled") for found in violations)
    print(f"doubled runs: {doubled}")
    print(f"broken promises: {len(violations)}", *violations, sep="\n  ")
    return 1 if violations else 0


def _write_timeline(testbed: Testbed) -> None:
    BUILD_FOLDER.mkdir(exist_ok=True)
    path = BUILD_FOLDER / "timeline.html"
    path.write_text(timeline_page("cornelpin timeline", testbed.timeline()))
    print(f"time line: {path}")


def _log(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def main() -> int:
    """Runs the demonstration and returns the exit code."""
    deployment = demo_deployment()
    rate_per_s = LOAD_FACTOR * capacity_per_s(deployment)
    planned = plan(deployment, Shape(SEED, rate_per_s, LOAD_DURATION_S))
    with Testbed(deployment, seed=SEED) as testbed:
        _log(f"{len(planned)} requests at {rate_per_s:.1f} a second")
        sender = testbed.sender()
        sender.collect_timeout_s = COLLECT_TIMEOUT_S
        load = threading.Thread(target=sender.run, args=(planned,), name="load")
        load.start()
        try:
            operate(testbed)
        finally:
            load.join()
        exit_code = report(testbed)
    if exit_code == 0:
        testbed.remove_folder()
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
