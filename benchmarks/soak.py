"""Soak of the daemon: sends requests while processes are killed and paused.

Then checks the promises. ``benchmarks.fault_soak`` does the same for
``cornelpin.gateway``.

Run it with ``python -m benchmarks.soak --requests 20000 --seed N``. The exit code is
1 if a promise was broken; the timeline of each request concerned is printed.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any
from urllib.parse import quote

import attrs

from benchmarks.checker import CHECKS, Violation, run_checks
from benchmarks.cluster_settings import workspace_token
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.fault_injection import FaultInjector
from benchmarks.parallel_load import send_parallel
from benchmarks.process_group import TestbedError
from benchmarks.records import SentRecord
from benchmarks.testbed import Testbed
from benchmarks.workload import Shape, plan

DEFAULT_REQUESTS = 2000
DEFAULT_SEED = 1
DEFAULT_RATE_PER_S = 80.0
COLLECT_TIMEOUT_S = 60.0
"""Time limit for the response to a durable request."""
MAX_PRINTED = 10
"""Number of violations that are printed in full."""
REPOSITORY = Path(__file__).resolve().parent.parent


def soak(arguments: argparse.Namespace) -> int:
    """Runs the soak and returns the exit code."""
    deployment = DEPLOYMENTS[arguments.deployment]()
    duration_s = arguments.requests / arguments.rate_per_s
    planned = plan(deployment, Shape(arguments.seed, arguments.rate_per_s, duration_s))
    started_at = time.monotonic()
    with Testbed(deployment, seed=arguments.seed) as testbed:
        injector = FaultInjector(testbed, arguments.seed)
        injector.start()
        try:
            tokens = {name: workspace_token(name) for name in deployment.workspaces}
            testbed.records += send_parallel(
                testbed.targets(), tokens, planned, COLLECT_TIMEOUT_S
            )
        finally:
            injector.stop()
        violations = run_checks(testbed.evidence())
        for violation in violations[:MAX_PRINTED]:
            _print_violation(testbed, violation)
    result = _build_result(arguments, testbed.records, injector, violations)
    result["took_s"] = round(time.monotonic() - started_at, 1)
    _write(result, f"soak-{arguments.deployment}-{arguments.seed}.json")
    if not violations:
        testbed.remove_folder()
    else:
        print(f"files: {testbed.folder}")
    return 1 if violations else 0


def _print_violation(testbed: Testbed, violation: Violation) -> None:
    """Prints a violation, its record and the timeline of its request."""
    print(violation)
    for record in testbed.records:
        subjects = (record.request_id, record.call_id, record.digest, record.key)
        if violation.subject in subjects:
            print("  record", json.dumps(attrs.asdict(record)))
            for event in _timeline(testbed, record.request_id):
                print("  event", json.dumps(event))


def _timeline(testbed: Testbed, request_id: str) -> list[dict[str, Any]]:
    path = f"/admin/v1/timeline?request={quote(request_id)}"
    try:
        body = testbed.call_any_entry("GET", path).body
    except TestbedError:
        return []
    # An error response is an object without events or has no body at all.
    return list(body.get("events", []) if isinstance(body, dict) else body or [])


def _build_result(
    arguments: argparse.Namespace,
    records: list[SentRecord],
    injector: FaultInjector,
    violations: list[Violation],
) -> dict[str, Any]:
    by_check = Counter(violation.check for violation in violations)
    actions = Counter(planned_fault.action for _, planned_fault in injector.injected)
    answers = Counter(record.answer.value for record in records)
    refusals = Counter(record.reason for record in records if record.reason)
    return {
        "deployment": arguments.deployment,
        "seed": arguments.seed,
        "rate_per_s": arguments.rate_per_s,
        "requests": len(records),
        "disturbances": dict(actions),
        "answers": dict(answers),
        "refusals": dict(refusals),
        "violations": {check: by_check[check] for check in CHECKS},
    }


def _write(result: dict[str, Any], name: str) -> None:
    folder = REPOSITORY / "build"
    folder.mkdir(exist_ok=True)
    (folder / name).write_text(json.dumps(result, indent=1))
    print(json.dumps(result, indent=1))


def main() -> int:
    """Reads the arguments and runs the soak."""
    parser = argparse.ArgumentParser(description="Runs the soak.")
    parser.add_argument("--requests", type=int, default=DEFAULT_REQUESTS)
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--rate-per-s", type=float, default=DEFAULT_RATE_PER_S)
    parser.add_argument("--deployment", default="furnace", choices=sorted(DEPLOYMENTS))
    return soak(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
