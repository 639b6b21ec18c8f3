"""Reads and runs scenarios written in JSON with comments.

A scenario names a deployment, a seed and a list of steps. Each step is an object
with one key, the name of the step, whose value holds the arguments. The registry
``STEPS`` is filled by the decorator ``step``; docs/scenarios.md describes the steps.
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import json5

from benchmarks import scenario_measures, scenario_steps
from benchmarks.checker import Violation
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.process_group import TestbedError
from benchmarks.scenario_page import (
    FAILED,
    PASSED,
    PROMISES,
    ScenarioResult,
    promises_of,
    write_page,
)
from benchmarks.scenario_run import STEPS, Run, Scenario, ScenarioError, Step
from benchmarks.testbed import Testbed

BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"
MAX_STEPS = 100

# Importing these modules fills the registries of steps and measures.
LANGUAGE_MODULES = (scenario_steps, scenario_measures)


def load_scenario(path: Path) -> Scenario:
    """Reads and validates a scenario file."""
    document = json5.loads(path.read_text(encoding="utf-8"))
    for name in ("seed", "deployment", "steps"):
        if name not in document:
            raise ScenarioError(f"{path.name}: {name} is missing")
    if document["deployment"] not in DEPLOYMENTS:
        raise ScenarioError(f"{path.name}: no deployment {document['deployment']!r}")
    if len(document["steps"]) > MAX_STEPS:
        raise ScenarioError(f"{path.name}: more than {MAX_STEPS} steps")
    steps = tuple(_parse_step(path.name, step) for step in document["steps"])
    return Scenario(path.stem, document["seed"], document["deployment"], steps)


def _parse_step(file_name: str, step: Any) -> Step:
    if not isinstance(step, dict) or len(step) != 1:
        raise ScenarioError(f"{file_name}: a step has one key: {step!r}")
    ((name, arguments),) = step.items()
    if name not in STEPS:
        raise ScenarioError(f"{file_name}: no step {name!r}; known: {sorted(STEPS)}")
    return Step(name, arguments)


def run_scenario(scenario: Scenario) -> list[Violation]:
    """Runs a scenario in a fresh testbed and returns the violations found.

    Raises:
        ScenarioError: A step failed; the message holds the merged timeline.
    """
    deployment = DEPLOYMENTS[scenario.deployment]()
    # Only the network stand-in of a networked testbed can cut hosts off.
    networked = any(step.name == "cut" for step in scenario.steps)
    with Testbed(deployment, seed=scenario.seed, networked=networked) as testbed:
        run = Run(scenario, testbed)
        run_steps(run)
        violations = testbed.violations()
        if violations:
            print(f"files: {testbed.folder}", file=sys.stderr)
            print(format_timeline(testbed.timeline()), file=sys.stderr)
    if not violations:
        testbed.remove_folder()
    return violations


def run_steps(run: Run) -> None:
    """Runs all steps in order, then waits for all loads to end."""
    for i, current in enumerate(run.scenario.steps):
        try:
            STEPS[current.name](run, current.arguments)
        except Exception as exc:
            raise _failure(run, f"step {i} ({current.name})", exc) from exc
    try:
        run.join_all()
    except Exception as exc:
        raise _failure(run, "end of load", exc) from exc


def _failure(run: Run, location: str, exc: Exception) -> ScenarioError:
    timeline = format_timeline(run.testbed.timeline())
    scenario = run.scenario
    return ScenarioError(
        f"{scenario.name}, seed {scenario.seed}, {location}: {exc}\n"
        f"files: {run.testbed.folder}\n{timeline}"
    )


def format_timeline(events: list[dict[str, Any]]) -> str:
    """Returns one line of JSON for each event of the timeline."""
    return "\n".join(["timeline:", *(json.dumps(event) for event in events)])


def run_file(path: Path) -> ScenarioResult:
    """Runs one scenario file and prints the outcome."""
    promises = promises_of(path.stem, PROMISES.read_text(encoding="utf-8"))
    seed = None
    problems: tuple[str, ...]
    started_at = time.monotonic()
    try:
        scenario = load_scenario(path)
        seed = scenario.seed
        problems = tuple(map(str, run_scenario(scenario)))
    except (ScenarioError, TestbedError) as exc:
        print(exc, file=sys.stderr)
        problems = (str(exc).partition("\n")[0],)
    duration_s = round(time.monotonic() - started_at, 1)
    result = FAILED if problems else PASSED
    print(path.name, result, *problems, sep="\n  ", flush=True)
    return ScenarioResult(path.stem, result, seed, duration_s, promises, problems)


def main(arguments: list[str]) -> int:
    """Runs the named scenario files; returns 1 if any of them fails.

    ``build/scenarios.html`` and ``build/scenarios.json`` are rewritten after each.
    """
    results: list[ScenarioResult] = []
    for path in map(Path, arguments):
        results.append(run_file(path))
        write_page(results, BUILD_FOLDER)
    return int(any(result.result == FAILED for result in results))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
