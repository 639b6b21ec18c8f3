"""Compares the judgement of moves with fixed thresholds on synthetic streams.

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
REPORT_S = 0.5
STAGES = ((10.0, 0.05), (25.0, 0.3), (DURATION_S, 0.9))
SERVER_TOKEN_S = {"f1": 0.01, "f2": 0.02, "f3": 0.04}
TIERS = ("question", "tag")
MAX_BAD_SHARE = 0.1
SWING_S = 8.0
GOOD_SEEDS = 200
BAD_SEEDS = 20
# The fixed thresholds of the naive judge.
NAIVE_MIN_RUNS = 10
NAIVE_FAILED_SHARE = 0.05
NAIVE_SLOW_FACTOR = 1.3


@attrs.frozen
class Fault:
    """What is wrong with the new version.

    Attributes:
        fail_rate: Share of runs that fail.
        slow: Factor on the time per token.
        after_s: Time at which the fault sets in.
        loaded_only: Whether it shows only on a busy server.
        tier: The only tier that shows it, or an empty string.
        share: Share of the runs that show it, such as those of one workspace.
    """

    fail_rate: float = 0.0
    slow: float = 1.0
    after_s: float = 0.0
    loaded_only: bool = False
    tier: str = ""
    share: float = 1.0


BAD: dict[str, Fault] = {
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
class Event:
    """One ended run of the stream."""

    server: str
    is_new: bool
    sample: Sample


@attrs.frozen
class Result:
    """What a judge said.

    Attributes:
        taken_back: Whether it judged the version bad.
        runs: Runs of the new version until then.
    """

    taken_back: bool
    runs: int


def stream(seed: int, fault: Fault) -> Iterator[Event]:
    """Yields the runs of both versions, with noise that both share."""
    rng = random.Random(seed)
    noise = rng.choice((0.15, 0.3, 0.5))
    base_failures = rng.choice((0.0, 0.002, 0.01))
    swings = {name: _swings(rng) for name in SERVER_TOKEN_S}
    now = 0.0
    while now < DURATION_S:
        now += rng.expovariate(RATE_PER_S)
        server = rng.choice(list(SERVER_TOKEN_S))
        share = next((s for until, s in STAGES if now < until), STAGES[-1][1])
        is_new = rng.random() < share
        swing = swings[server][int(now // SWING_S)]
        tier = rng.choice(TIERS)
        shows = is_new and _shows(fault, now, tier, swing)
        shows = shows and (fault.share >= 1 or rng.random() < fault.share)
        failed = rng.random() < (fault.fail_rate if shows else base_failures)
        factor = swing * (fault.slow if shows else 1.0)
        token_s = SERVER_TOKEN_S[server] * factor * rng.lognormvariate(0, noise)
        first_s = 0.05 * factor * rng.lognormvariate(0, noise)
        load = int(swing * 2)
        yield Event(
            server,
            is_new,
            Sample(tier, rng.choice((2, 3)), load, now, failed, token_s, first_s),
        )


def _swings(rng: random.Random) -> list[float]:
    count = int(DURATION_S // SWING_S) + 2
    return [rng.choice((1.0, 1.0, 1.5, 2.5)) for _ in range(count)]


def _shows(fault: Fault, now: float, tier: str, swing: float) -> bool:
    if now < fault.after_s or (fault.loaded_only and swing < 1.5):
        return False
    return fault.tier in ("", tier)


def judge(events: Iterator[Event]) -> Result:
    """Judges a stream as the processes do, side by side."""
    now = 0.0
    compared = {name: RunComparison(clock=lambda: now) for name in SERVER_TOKEN_S}
    judgement = CanaryAnalysis(MAX_BAD_SHARE)
    due = REPORT_S
    for event in events:
        now = event.sample.at
        side = compared[event.server]
        if event.is_new:
            side.add_new(event.sample)
        else:
            side.add_old(event.sample)
        if now < due:
            continue
        due = now + REPORT_S
        for name, comparison in compared.items():
            judgement.add_tallies(name, "a", comparison.tallies())
        opinion = judgement.assess()
        if opinion.bad:
            return Result(True, opinion.runs)
    return Result(False, judgement.assess().runs)


def judge_naively(events: Iterator[Event]) -> Result:
    """Judges a stream by fixed thresholds on the pooled runs."""
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
            return Result(True, runs)
    return Result(False, runs)


JUDGES = {"cornelpin": judge, "naive": judge_naively}


def main() -> None:
    """Prints false take-backs, missed faults and the evidence needed."""
    for name, judge_stream in JUDGES.items():
        good = [judge_stream(stream(seed, Fault())) for seed in range(GOOD_SEEDS)]
        false = sum(result.taken_back for result in good)
        print(f"{name}: {false} of {GOOD_SEEDS} good versions taken back")
        for kind, fault in BAD.items():
            bad = [judge_stream(stream(seed, fault)) for seed in range(BAD_SEEDS)]
            caught = [result.runs for result in bad if result.taken_back]
            needed = statistics.median(caught) if caught else float("nan")
            print(
                f"  {kind:<18} caught {len(caught)} of {BAD_SEEDS}, runs needed: "
                f"median {needed:.0f}, most {max(caught, default=0)}"
            )


if __name__ == "__main__":
    main()
