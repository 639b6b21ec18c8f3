"""A short soak of real entry processes, and seeds that failed before."""

from __future__ import annotations

import asyncio
import os

import pytest

from benchmarks.fault_soak.soak import Result, soak
from cornelpin.tests.gateway_harness import FIRST_PORT, PORTS_PER_WORKER

# Each seed that ever broke a promise, with its cause.
FAILED_BEFORE = {
    7: "an entry that was told to reload as it started ended and was not there again",
    10: "the same",
}
SHORT_SEEDS = (3,)
DURATION_S = 5.0
_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw9").removeprefix("gw"))
# The last ports of a worker's range, which the other tests do not reach.
PORT = FIRST_PORT + PORTS_PER_WORKER * (_worker + 1) - 10


def run(seed: int) -> Result:
    return asyncio.run(soak(seed, duration_s=DURATION_S, port=PORT, clients=6))


@pytest.mark.parametrize("seed", [*SHORT_SEEDS, *FAILED_BEFORE])
def test_no_promise_breaks_under_faults(seed: int) -> None:
    result = run(seed)
    assert result.broken == [], f"logs in {result.logs}"
    assert result.statuses.get(200, 0) > 100
    assert sum(result.faults.values()) >= 4


def test_seeds_of_planned_work_inject_nothing_else() -> None:
    planned = run(0)
    assert planned.planned
    assert planned.faults.keys() <= {"restart", "reload", "configure", "drain"}
    assert planned.broken == [], f"logs in {planned.logs}"
