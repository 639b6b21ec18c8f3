"""Rows of the experiment: one for each deployment, load, system and tier."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from attrs import define, frozen

from benchmarks.bound import good_calls
from benchmarks.checker import Evidence, Violation, is_shed, run_checks
from benchmarks.deployment import Deployment
from benchmarks.prefill import Prefill, prefill_by_tier
from benchmarks.prefill_bound import prefill_bound
from benchmarks.records import Answer, Kind, SentRecord
from benchmarks.workload import PlannedRequest

# Maximum latency of a good response, from the intended send time, by tier.
LATENCY_LIMITS_S = {
    "question": 5.0,
    "review": 30.0,
    "tag": 3.0,
    "release": 5.0,
    "recipe": 5.0,
    "dossier": 30.0,
    "wording": 5.0,
    "name_check": 3.0,
    "stamp": 5.0,
}

# Column of a row by the check whose violations it counts.
COLUMNS = {
    "doubled_dispatch": "dispatched_twice",
    "doubled_call": "ran_twice",
    "false_not_run": "false_not_run",
    "wrong_answer": "crossed_or_cut",
    "shed_inversion": "inversions",
    "lost_durable": "lost_durable",
}


@frozen
class Cell:
    """One run of one system.

    Attributes:
        deployment: Name of the deployment.
        load: Offered load as a multiple of the capacity.
        fault: Name of the fault script, empty for none.
        system: ``cornelpin``, ``naive`` or ``bound``.
        seed: Seed of the workload.
    """

    deployment: str
    load: float
    fault: str
    system: str
    seed: int


@define
class Row:
    """Results of one tier in one cell.

    Attributes:
        offered: Requests sent.
        good: Share of them with a complete response within the tier's latency limit.
        shed: Share of them refused for lack of capacity.
        wasted_prefill: Wasted share of the tier's computed prompt tokens.
        dispatched_twice: Model requests that started more than once.
        ran_twice: Non-idempotent calls that ran more than once.
        false_not_run: Refusals that state "not run" for requests that ran.
        crossed_or_cut: Responses that were wrong, or truncated without an error.
        inversions: Requests shed while a lower shed order was served.
        lost_durable: Accepted durable requests without an outcome.
        seed: Seed of the workload.
        to_bound: Ratio of a total's good share to the bound's; None in other rows.
        to_naive: Ratio of a total's good share to naive's; None in other rows.
    """

    deployment: str
    load: float
    fault: str
    system: str
    tier: str
    offered: int
    good: float
    shed: float = 0.0
    wasted_prefill: float = 0.0
    dispatched_twice: int = 0
    ran_twice: int = 0
    false_not_run: int = 0
    crossed_or_cut: int = 0
    inversions: int = 0
    lost_durable: int = 0
    seed: int = 0
    to_bound: float | None = None
    to_naive: float | None = None


def is_good(record: SentRecord, latency_limits_s: Mapping[str, float]) -> bool:
    """Returns whether the response is complete and within the latency limit."""
    in_time = record.latency_s <= latency_limits_s[record.tier]
    return record.answer is Answer.COMPLETE and in_time


def measured_rows(
    cell: Cell,
    deployment: Deployment,
    planned: Sequence[PlannedRequest],
    evidence: Evidence,
    latency_limits_s: Mapping[str, float],
) -> list[Row]:
    """Returns the rows of a measured system, one for each tier."""
    complete = {r.digest for r in evidence.records if r.answer is Answer.COMPLETE}
    prefill = prefill_by_tier(deployment, planned, evidence.events, complete)
    violations = _count_violations(evidence)
    return [
        _row(
            cell,
            tier.name,
            [record for record in evidence.records if record.tier == tier.name],
            prefill[tier.name],
            violations,
            latency_limits_s,
        )
        for tier in deployment.tiers
    ]


def _row(
    cell: Cell,
    tier: str,
    records: list[SentRecord],
    prefill: Prefill,
    violations: Mapping[tuple[str, str], int],
    latency_limits_s: Mapping[str, float],
) -> Row:
    row = Row(
        deployment=cell.deployment,
        load=cell.load,
        fault=cell.fault,
        system=cell.system,
        tier=tier,
        offered=len(records),
        good=share(sum(is_good(r, latency_limits_s) for r in records), len(records)),
        shed=share(sum(map(is_shed, records)), len(records)),
        wasted_prefill=prefill.wasted_share,
        seed=cell.seed,
    )
    for check, column in COLUMNS.items():
        setattr(row, column, violations.get((check, tier), 0))
    return row


def _count_violations(evidence: Evidence) -> Counter[tuple[str, str]]:
    """Counts the violations by check and tier of the request concerned."""
    tiers = {
        name: record.tier
        for record in evidence.records
        for name in (record.request_id, record.call_id, record.digest, record.key)
        if name
    }
    digests = {run.request_id: run.digest for run in evidence.runs}

    def tier(found: Violation) -> str:
        return tiers.get(found.subject) or tiers.get(digests.get(found.subject, ""), "")

    return Counter((found.check, tier(found)) for found in run_checks(evidence))


def bound_rows(
    cell: Cell,
    deployment: Deployment,
    planned: Sequence[PlannedRequest],
    latency_limits_s: Mapping[str, float],
) -> list[Row]:
    """Returns the rows of the bound, one for each tier."""
    good = good_calls(deployment, planned, latency_limits_s)
    offered = Counter(request.tier.name for request in planned)
    good_by_tier = Counter(r.tier.name for r in planned if r.call_id in good)
    wasted = prefill_bound(deployment, planned).wasted_share
    return [
        Row(
            deployment=cell.deployment,
            load=cell.load,
            fault=cell.fault,
            system=cell.system,
            tier=tier.name,
            offered=offered[tier.name],
            good=share(good_by_tier[tier.name], offered[tier.name]),
            shed=share(
                offered[tier.name] - good_by_tier[tier.name], offered[tier.name]
            ),
            wasted_prefill=wasted if tier.kind is Kind.MODEL else 0.0,
            seed=cell.seed,
        )
        for tier in deployment.tiers
    ]


def share(part: int, whole: int) -> float:
    """Returns a part as a share of the whole, 1.0 where the whole is 0."""
    return part / whole if whole else 1.0


def total_good(rows: Iterable[Row]) -> float:
    """Returns the number of good responses in all rows."""
    return sum(row.good * row.offered for row in rows)
