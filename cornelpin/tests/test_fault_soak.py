"""Short soaks of real entry processes under faults, and seeds that failed before.

Guards against requests that are lost, run twice, mixed up or refused as not run after
they ran, while entries restart, reload, drain and crash.
"""

from __future__ import annotations

import asyncio
import os

import pytest

from benchmarks.fault_soak.soak import Result, soak
from cornelpin.tests.gateway_harness import FIRST_PORT, PORTS_PER_WORKER

# Seeds that broke a promise before, with the cause.
FAILED_BEFORE = {
    7: "SIGHUP during the start of an entry ended it and nothing restarted it",
    10: "as 7",
}
SHORT_SEEDS = (3,)
DURATION_S = 5.0
# Without xdist the tenth range is used, as in gateway_harness.py.
_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw9").removeprefix("gw"))
# The last ports of a worker's range, which other tests do not use.
PORT = FIRST_PORT + PORTS_PER_WORKER * (_worker + 1) - 10


def run_soak(seed: int) -> Result:
    return asyncio.run(soak(seed, duration_s=DURATION_S, port=PORT, clients=6))


@pytest.mark.parametrize("seed", [*SHORT_SEEDS, *FAILED_BEFORE])
def test_promises_hold_under_faults(seed: int) -> None:
    result = run_soak(seed)
    assert result.violations == [], f"logs in {result.logs}"
    assert result.statuses.get(200, 0) > 100
    assert sum(result.faults.values()) >= 4


def test_seeds_of_planned_operations_inject_only_these() -> None:
    planned = run_soak(0)
    assert planned.planned
    assert planned.faults.keys() <= {
        "restart",
        "reload",
        "configure",
        "drain",
        "leave",
        "limit",
        "cold",
        "evacuate",
        "restore",
        "odd",
    }
    assert planned.violations == [], f"logs in {planned.logs}"
