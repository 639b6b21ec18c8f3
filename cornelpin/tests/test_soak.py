"""The random faults of the soak: drawn by seed, and undone at the end."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from benchmarks import fault_injection
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.fault_injection import ACTIONS, FaultInjector, random_faults
from benchmarks.testbed import Testbed
from benchmarks.waiting import wait_until

TARGETS = ["e1", "e2", "side-f1", "f1"]
COUNT = 200


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_faults_are_deterministic_for_a_seed(seed: int) -> None:
    drawn = list(itertools.islice(random_faults(TARGETS, seed), COUNT))
    assert drawn == list(itertools.islice(random_faults(TARGETS, seed), COUNT))
    assert drawn != list(itertools.islice(random_faults(TARGETS, seed + 1), COUNT))
    assert {planned.action for planned in drawn} == set(ACTIONS)
    assert {planned.process for planned in drawn} == set(TARGETS)
    assert any(planned.after_s == 0 for planned in drawn)


def test_all_processes_run_after_the_faults(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(fault_injection, "INTERVAL_S", (0.01, 0.02))
    sleeper = ["timeit", "-n1", "-r1", "import time; time.sleep(60)"]
    testbed = Testbed(DEPLOYMENTS["small"](), folder=tmp_path)
    for engine in testbed.deployment.engines:
        testbed.start_process(engine.name, sleeper)
    injector = FaultInjector(testbed, seed=1)
    # Only starts the process: the sleeper never reports that it is ready.
    monkeypatch.setattr(Testbed, "restart", Testbed.restart_daemon)
    try:
        injector.start()
        wait_until(lambda: len(injector.injected) >= 3, 10.0, "three faults")
        injector.stop()
        assert all(process.running for process in testbed.processes.values())
    finally:
        for process in testbed.processes.values():
            process.kill()
