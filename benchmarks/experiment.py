"""Compares cornelpin with a naive baseline and an upper bound on goodput.

Runs on both deployments.

``python -m benchmarks.experiment`` writes build/experiment.json and
build/experiment.html; ``QUICK=1`` shortens it to under five minutes;
``--compare A B`` compares two saved results. docs/design/experiments.md defines the
figures.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import attrs
from attrs import define, field

from benchmarks.bound import engine_tokens_per_s
from benchmarks.cluster_settings import workspace_token
from benchmarks.deployment import Deployment, mean_output_tokens
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.experiment_compare import compare
from benchmarks.experiment_report import Latencies, write_report
from benchmarks.experiment_rows import (
    LATENCY_LIMITS_S,
    Cell,
    Row,
    bound_rows,
    is_good,
    measured_rows,
)
from benchmarks.naive_testbed import NaiveTestbed
from benchmarks.parallel_load import send_parallel
from benchmarks.records import Answer, Kind, SentRecord
from benchmarks.scenario_run import Run, Scenario
from benchmarks.scenarios import load_scenario, run_steps
from benchmarks.testbed import Testbed
from benchmarks.weighted import TOTAL, set_ratios, total_row
from benchmarks.workload import PlannedRequest, Shape, plan

BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"
DEPLOYMENT_NAMES = ("furnace", "certificates")
LOADS = (0.7, 1.0, 1.5, 2.5)
SYSTEMS: dict[str, type[Testbed]] = {"cornelpin": Testbed, "naive": NaiveTestbed}
# Slower engines keep the processes of one machine from being the bottleneck.
ENGINE_SLOWDOWN = 2
DURATION_S = 20.0
QUICK_DURATION_S = 6.0
QUICK_MAX_LATENCY_S = 10.0
BURST_EVERY_S = 5.0
BURST_S = 0.5
BURST_FACTOR = 2.0
DEFAULT_SEED = 11


@define
class Experiment:
    """Parameters of the experiment, and the rows so far.

    Attributes:
        path: File of the rows.
        loads: Offered loads as multiples of the capacity.
        duration_s: Length of each workload.
        latency_limits_s: Maximum latency of a good response in seconds, by tier.
        seed: Seed of the workloads.
        fault: Scenario whose steps inject faults, None for no faults.
        rows: Rows of the cells measured so far.
        latencies: Latencies of good responses.
    """

    path: Path
    loads: tuple[float, ...]
    duration_s: float
    latency_limits_s: Mapping[str, float]
    seed: int
    fault: Scenario | None = None
    rows: list[Row] = field(factory=list)
    latencies: Latencies = field(factory=Latencies)
    _lock: threading.Lock = field(factory=threading.Lock)

    def run(self, name: str) -> None:
        """Runs all loads on one deployment."""
        deployment = with_slow_engines(DEPLOYMENTS[name](), self.latency_limits_s)
        for load in self.loads:
            shape = Shape(
                self.seed,
                load * base_rate_factor() * full_batch_capacity_per_s(deployment),
                self.duration_s,
                BURST_EVERY_S,
                BURST_S,
                BURST_FACTOR,
            )
            planned = plan(deployment, shape)
            upper_bound = self._cell(deployment, load, "bound")
            rows = bound_rows(upper_bound, deployment, planned, self.latency_limits_s)
            self.rows += [*rows, total_row(upper_bound, deployment, rows)]
            cells = [self._cell(deployment, load, system) for system in SYSTEMS]
            # Concurrently, so that both see the same interference on the machine.
            with ThreadPoolExecutor(len(cells)) as pool:
                measure = partial(self._measure, deployment, planned)
                list(pool.map(measure, cells))
            set_ratios(self.rows)
            self.save()
            _print_totals(self.rows, load)

    def save(self) -> None:
        """Writes the rows so far."""
        rows = [attrs.asdict(row) for row in self.rows]
        self.path.write_text(json.dumps(rows, indent=1))

    def _cell(self, deployment: Deployment, load: float, system: str) -> Cell:
        fault = self.fault.name if self.fault else ""
        return Cell(deployment.name, load, fault, system, self.seed)

    def _measure(
        self, deployment: Deployment, planned: list[PlannedRequest], cell: Cell
    ) -> None:
        started_at = time.monotonic()
        with SYSTEMS[cell.system](deployment, seed=cell.seed) as testbed:
            faults = self._start_faults(testbed)
            tokens = {name: workspace_token(name) for name in deployment.workspaces}
            # Durable responses that come later are not good, so none is awaited.
            collect_s = max(self.latency_limits_s.values())
            testbed.records += send_parallel(
                testbed.targets(), tokens, planned, collect_s
            )
            if faults is not None:
                faults.join()
        evidence = testbed.evidence()
        rows = measured_rows(cell, deployment, planned, evidence, self.latency_limits_s)
        rows.append(total_row(cell, deployment, rows))
        good = [r for r in evidence.records if is_good(r, self.latency_limits_s)]
        with self._lock:
            self.rows += rows
            self.save()
            for record in good:
                self.latencies.add(cell, record.tier, record.latency_s)
        testbed.remove_folder()
        _print_cell(cell, rows, time.monotonic() - started_at)
        print(
            f"  not good: {_count_failures(evidence.records, self.latency_limits_s)}",
            flush=True,
        )

    def _start_faults(self, testbed: Testbed) -> threading.Thread | None:
        """Starts the fault script; skips steps on processes that the system lacks."""
        if self.fault is None:
            return None
        steps = tuple(
            step
            for step in self.fault.steps
            if step.arguments.get("process", "") in ("", *testbed.processes)
        )
        run = Run(attrs.evolve(self.fault, steps=steps), testbed)
        thread = threading.Thread(target=run_steps, args=(run,), name="faults")
        thread.start()
        return thread


def with_slow_engines(
    deployment: Deployment, latency_limits_s: Mapping[str, float]
) -> Deployment:
    """Returns the deployment with slower engines and latency limits as deadlines."""
    engines = tuple(
        attrs.evolve(engine, step_ms=engine.step_ms * ENGINE_SLOWDOWN)
        for engine in deployment.engines
    )
    tiers = tuple(
        attrs.evolve(
            tier,
            timeout_s=latency_limits_s[tier.name],
            max_wait_s=min(tier.max_wait_s, latency_limits_s[tier.name]),
        )
        for tier in deployment.tiers
    )
    return attrs.evolve(deployment, engines=engines, tiers=tiers)


def full_batch_capacity_per_s(deployment: Deployment) -> float:
    """Returns the arrival rate that just fills the batches of all engines."""
    tokens_per_s = sum(map(engine_tokens_per_s, deployment.engines))
    model_share = sum(t.share for t in deployment.tiers if t.kind is Kind.MODEL)
    return tokens_per_s / mean_output_tokens(deployment) / model_share


def base_rate_factor() -> float:
    """Returns the rate outside bursts as a fraction of the mean rate."""
    return 1 / (1 + (BURST_FACTOR - 1) * BURST_S / BURST_EVERY_S)


def _print_cell(cell: Cell, rows: list[Row], elapsed_s: float) -> None:
    good = " ".join(f"{row.tier}={row.good:.3f}/{row.offered}" for row in rows)
    print(
        f"{cell.deployment} {cell.load} {cell.system}: {good} ({elapsed_s:.0f} s)",
        flush=True,
    )


def _print_totals(rows: Iterable[Row], load: float) -> None:
    """Prints the weighted totals of a load and their ratios to bound and naive."""
    for row in rows:
        if row.tier == TOTAL and row.load == load and row.system == "cornelpin":
            print(
                f"  weighted goodput {row.good:.3f} = "
                f"{row.to_bound or 0:.3f} x bound = {row.to_naive or 0:.3f} x naive",
                flush=True,
            )


def _count_failures(
    records: Iterable[SentRecord], latency_limits_s: Mapping[str, float]
) -> dict[str, int]:
    """Counts the requests without a good response by tier and reason."""
    failed = [record for record in records if not is_good(record, latency_limits_s)]
    return dict(Counter(f"{r.tier} {_failure_reason(r)}" for r in failed).most_common())


def _failure_reason(record: SentRecord) -> str:
    if record.answer is Answer.COMPLETE:
        return "late"
    return record.reason or record.error.partition(":")[0] or f"status {record.status}"


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Runs the experiment.")
    parser.add_argument("--deployment", action="append", choices=DEPLOYMENT_NAMES)
    parser.add_argument("--load", action="append", type=float)
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--duration-s", type=float)
    parser.add_argument("--faults", type=Path, help="scenario file with fault steps")
    parser.add_argument("--name", default="experiment", help="name of the results")
    parser.add_argument("--compare", nargs=2, type=Path, metavar=("A", "B"))
    return parser.parse_args()


def _experiment(arguments: argparse.Namespace) -> Experiment:
    quick = os.environ.get("QUICK") == "1"
    latency_limits_s = {
        tier: min(limit_s, QUICK_MAX_LATENCY_S) if quick else limit_s
        for tier, limit_s in LATENCY_LIMITS_S.items()
    }
    return Experiment(
        path=BUILD_FOLDER / f"{arguments.name}.json",
        loads=tuple(arguments.load or LOADS),
        duration_s=arguments.duration_s or (QUICK_DURATION_S if quick else DURATION_S),
        latency_limits_s=latency_limits_s,
        seed=arguments.seed,
        fault=load_scenario(arguments.faults) if arguments.faults else None,
    )


def main() -> int:
    """Runs the experiment or compares two results; returns the exit code."""
    arguments = _arguments()
    if arguments.compare:
        first, second = (json.loads(path.read_text()) for path in arguments.compare)
        print(compare(first, second))
        return 0
    experiment = _experiment(arguments)
    BUILD_FOLDER.mkdir(exist_ok=True)
    for name in arguments.deployment or DEPLOYMENT_NAMES:
        experiment.run(name)
    page = BUILD_FOLDER / f"{arguments.name}.html"
    write_report(
        page, experiment.rows, experiment.latencies, experiment.latency_limits_s
    )
    print(f"rows: {experiment.path}\nreport: {page}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
