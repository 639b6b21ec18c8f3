"""The scenario language: validation of files, measures, loads and process control."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest

from benchmarks.deployments import DEPLOYMENTS
from benchmarks.processes import ManagedProcess, PortAllocator, stop_all
from benchmarks.records import Answer, Kind, SentRecord
from benchmarks.scenario_run import Run, Scenario, ScenarioError, Step
from benchmarks.scenarios import load_scenario, run_steps
from benchmarks.testbed import Testbed

FOLDER = Path(__file__).parent
# Waits for the blocked signal; a sleep is not ended by a handler that ran just before.
WORKER = """
import signal, sys
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
print("ready 1", flush=True)
sys.exit(signal.sigtimedwait({signal.SIGTERM}, 60) is None)
"""

MALFORMED = {
    "no seed": ("{deployment: 'small', steps: []}", "seed is missing"),
    "no steps": ("{seed: 1, deployment: 'small'}", "steps is missing"),
    "deployment": ("{seed: 1, deployment: 'none', steps: []}", "no deployment"),
    "step": ("{seed: 1, deployment: 'small', steps: [{fly: {}}]}", "no step 'fly'"),
    "two keys": (
        "{seed: 1, deployment: 'small', steps: [{stop: {}, kill: {}}]}",
        "a step has one key",
    ),
}


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.jsonc")), ids=lambda p: p.stem)
def test_scenario_file_is_valid(path: Path) -> None:
    assert load_scenario(path).steps


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_file_is_rejected(name: str, tmp_path: Path) -> None:
    text, message = MALFORMED[name]
    path = tmp_path / "scenario.jsonc"
    path.write_text(f"// a comment\n{text}")
    with pytest.raises(ScenarioError, match=message):
        load_scenario(path)


def make_record(call_id: str, **changes: Any) -> SentRecord:
    values = {"answer": Answer.COMPLETE, "status": 200, **changes}
    return SentRecord(
        call_id, "shop-a", "question", "furnace", Kind.MODEL, call_id, **values
    )


def make_run(tmp_path: Path, *steps: tuple[str, dict[str, Any]]) -> Run:
    testbed = Testbed(DEPLOYMENTS["small"](), folder=tmp_path)
    testbed.records += [
        make_record("a"),
        make_record("b", status=429, answer=Answer.NONE, may_have_run=False),
        make_record("b"),
        make_record(
            "c", status=504, answer=Answer.NONE, may_have_run=True, error="late"
        ),
    ]
    parsed = tuple(Step(name, arguments) for name, arguments in steps)
    return Run(Scenario("s", 1, "small", parsed), testbed)


@pytest.mark.parametrize(
    ("measure", "value"),
    [
        ("sent", 4),
        ("complete", 2),
        ("complete_share", 0.5),
        ("calls_answered_share", 2 / 3),
        ("shed", 1),
        ("may_have_run", 1),
        ("errors", 1),
        ("runs", 0),
    ],
)
def test_expect_checks_bounds_of_a_measure(
    measure: str, value: float, tmp_path: Path
) -> None:
    run_steps(make_run(tmp_path, ("expect", {"measure": measure, "equals": value})))
    for bounds in ({"equals": value + 1}, {"at_least": value + 1}, {"at_most": -1}):
        failing = make_run(tmp_path, ("expect", {"measure": measure, **bounds}))
        with pytest.raises(ScenarioError, match=rf"step 0 \(expect\).*{measure}"):
            run_steps(failing)


def test_second_load_of_the_same_name_is_rejected(tmp_path: Path) -> None:
    load = {"as": "x", "rate_per_s": 1, "duration_s": 0.1, "entries": ["e1"]}
    run = make_run(tmp_path, ("send", load), ("send", load))
    run.testbed.ports["e1"] = 1
    with pytest.raises(ScenarioError, match="two loads"):
        run_steps(run)


@pytest.fixture
def process(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Any:
    (tmp_path / "bench_worker.py").write_text(WORKER)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    process = ManagedProcess("w", ["bench_worker"], tmp_path)
    process.start()
    process.wait_ready()
    yield process
    stop_all([process])


def process_state(process: ManagedProcess) -> str:
    assert process.child is not None
    status = Path(f"/proc/{process.child.pid}/stat").read_text()
    return status.rsplit(")", 1)[1].split()[0]


def test_stopped_process_starts_again(process: ManagedProcess) -> None:
    assert process.stop() == 0
    assert not process.running
    process.start()
    process.wait_ready(starts_before=1)
    process.kill()
    assert not process.running
    assert process.exit_codes == [0]


def test_paused_process_resumes(process: ManagedProcess) -> None:
    process.pause()
    for _ in range(200):
        if process_state(process) == "T":
            break
        time.sleep(0.01)
    assert process_state(process) == "T"
    process.resume()
    assert process.stop() == 0


def test_stop_all_ends_a_paused_process(process: ManagedProcess) -> None:
    process.pause()
    stop_all([process])
    assert not process.running


def test_ports_are_unique() -> None:
    allocator = PortAllocator()
    ports = [allocator.allocate() for _ in range(20)]
    assert len(set(ports)) == len(ports)
