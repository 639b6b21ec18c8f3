"""Compares the canary analysis of moves with fixed thresholds on synthetic runs.

Run it with ``python -m benchmarks.judgement``.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Iterator

import attrs

from cornelpin.core.canary_analysis import CanaryAnalysis
from cornelpin.core.run_comparison import RunComparison, Sample

RATE_PER_S = 30.0
DURATION_S = 60.0
REPORT_INTERVAL_S = 0.5
STAGES = ((10.0, 0.05), (25.0, 0.3), (DURATION_S, 0.9))
SERVER_TOKEN_S = {"f1": 0.01, "f2": 0.02, "f3": 0.04}
TIERS = ("question", "tag")
MAX_BAD_SHARE = 0.1
LOAD_PERIOD_S = 8.0
GOOD_SEEDS = 200
BAD_SEEDS = 20
# Fixed thresholds of the naive baseline.
NAIVE_MIN_RUNS = 10
NAIVE_FAILED_SHARE = 0.05
NAIVE_SLOW_FACTOR = 1.3


@attrs.frozen
class Fault:
    """Fault of a new version.

    Attributes:
        fail_rate: Share of runs that fail.
        slow: Factor on the time per token.
        after_s: Seconds from the start of the move after which the fault shows.
        loaded_only: Whether it shows only under load.
        tier: The only tier that shows it, or an empty string.
        share: Share of the runs that show it, for example those of one workspace.
    """

    fail_rate: float = 0.0
    slow: float = 1.0
    after_s: float = 0.0
    loaded_only: bool = False
    tier: str = ""
    share: float = 1.0


BAD_VERSIONS: dict[str, Fault] = {
    "fails_at_once": Fault(fail_rate=0.3),
    "fails_later": Fault(fail_rate=0.3, after_s=15.0),
    "slow_at_once": Fault(slow=2.5),
    "slow_later": Fault(slow=2.5, after_s=15.0),
    "fails_under_load": Fault(fail_rate=0.6, loaded_only=True),
    "slow_under_load": Fault(slow=3.0, loaded_only=True),
    "fails_on_one_tier": Fault(fail_rate=0.6, tier="question"),
    "slow_on_one_tier": Fault(slow=3.0, tier="question"),
    "slow_on_one_kind": Fault(slow=4.0, share=0.25),
}


@attrs.frozen
class EndedRun:
    """One ended run."""

    server: str
    is_new: bool
    sample: Sample


@attrs.frozen
class AnalysisResult:
    """Result of the analysis of one move.

    Attributes:
        rolled_back: Whether the new version was assessed as bad.
        runs: Runs of the new version up to that assessment, or to the end.
    """

    rolled_back: bool
    runs: int


def synthetic_runs(seed: int, fault: Fault) -> Iterator[EndedRun]:
    """Yields runs of both versions in order of time.

    Both versions share the noise, the load of the servers and the base failure rate.
    """
    rng = random.Random(seed)
    noise_sigma = rng.choice((0.15, 0.3, 0.5))
    base_failures = rng.choice((0.0, 0.002, 0.01))
    load_factors = {name: _draw_load_factors(rng) for name in SERVER_TOKEN_S}
    now = 0.0
    while now < DURATION_S:
        now += rng.expovariate(RATE_PER_S)
        server = rng.choice(list(SERVER_TOKEN_S))
        share = next((s for until, s in STAGES if now < until), STAGES[-1][1])
        is_new = rng.random() < share
        load_factor = load_factors[server][int(now // LOAD_PERIOD_S)]
        tier = rng.choice(TIERS)
        affected = is_new and _is_affected(fault, now, tier, load_factor)
        affected = affected and (fault.share >= 1 or rng.random() < fault.share)
        failed = rng.random() < (fault.fail_rate if affected else base_failures)
        factor = load_factor * (fault.slow if affected else 1.0)
        token_s = SERVER_TOKEN_S[server] * factor * rng.lognormvariate(0, noise_sigma)
        first_s = 0.05 * factor * rng.lognormvariate(0, noise_sigma)
        load = int(load_factor * 2)
        yield EndedRun(
            server,
            is_new,
            # Size class 2 or 3, then the load class.
            Sample(tier, rng.choice((2, 3)), load, now, failed, token_s, first_s),
        )


def _draw_load_factors(rng: random.Random) -> list[float]:
    count = int(DURATION_S // LOAD_PERIOD_S) + 2
    return [rng.choice((1.0, 1.0, 1.5, 2.5)) for _ in range(count)]


def _is_affected(fault: Fault, now: float, tier: str, load_factor: float) -> bool:
    if now < fault.after_s or (fault.loaded_only and load_factor < 1.5):
        return False
    return fault.tier in ("", tier)


def analyse(events: Iterator[EndedRun]) -> AnalysisResult:
    """Feeds the counts of the runs to the analysis at each report, as sides do."""
    now = 0.0
    compared = {name: RunComparison(clock=lambda: now) for name in SERVER_TOKEN_S}
    analysis = CanaryAnalysis(MAX_BAD_SHARE)
    next_report_at = REPORT_INTERVAL_S
    for event in events:
        now = event.sample.at
        side = compared[event.server]
        if event.is_new:
            side.add_new(event.sample)
        else:
            side.add_old(event.sample)
        if now < next_report_at:
            continue
        next_report_at = now + REPORT_INTERVAL_S
        for name, comparison in compared.items():
            # The incarnation is the same throughout, as no side restarts.
            analysis.add_tallies(name, "a", comparison.tallies())
        assessment = analysis.assess()
        if assessment.bad:
            return AnalysisResult(True, assessment.runs)
    return AnalysisResult(False, analysis.assess().runs)


def apply_thresholds(events: Iterator[EndedRun]) -> AnalysisResult:
    """Compares the pooled runs of all servers with fixed thresholds."""
    times: dict[bool, list[float]] = {True: [], False: []}
    failed = 0
    runs = 0
    for event in events:
        runs += event.is_new
        failed += event.is_new and event.sample.failed
        times[event.is_new].append(event.sample.token_s)
        if runs < NAIVE_MIN_RUNS or not event.is_new or not times[False]:
            continue
        slow = statistics.fmean(times[True]) / statistics.fmean(times[False])
        if failed / runs > NAIVE_FAILED_SHARE or slow > NAIVE_SLOW_FACTOR:
            return AnalysisResult(True, runs)
    return AnalysisResult(False, runs)


ANALYSES = {"cornelpin": analyse, "naive": apply_thresholds}


def main() -> None:
    """Prints wrong rollbacks, detected faults and the number of runs needed."""
    for name, analyse_runs in ANALYSES.items():
        good = [
            analyse_runs(synthetic_runs(seed, Fault())) for seed in range(GOOD_SEEDS)
        ]
        wrong_rollbacks = sum(result.rolled_back for result in good)
        print(f"{name}: {wrong_rollbacks} of {GOOD_SEEDS} good versions rolled back")
        for kind, fault in BAD_VERSIONS.items():
            bad = [
                analyse_runs(synthetic_runs(seed, fault)) for seed in range(BAD_SEEDS)
            ]
            caught = [result.runs for result in bad if result.rolled_back]
            median_runs = statistics.median(caught) if caught else float("nan")
            print(
                f"  {kind:<18} caught {len(caught)} of {BAD_SEEDS}, runs needed: "
                f"median {median_runs:.0f}, most {max(caught, default=0)}"
            )


if __name__ == "__main__":
    main()
