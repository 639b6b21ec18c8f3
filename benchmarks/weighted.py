"""Total goodput of a cell, in which each tier has its shed order as weight.

Under overload the system sheds tiers with a lower shed order first, so a response of a
tier with a higher one counts for more.
"""

from __future__ import annotations

from collections.abc import Sequence

from benchmarks.deployment import Deployment
from benchmarks.experiment_rows import Cell, Row

TOTAL = "weighted_total"


def total_row(cell: Cell, deployment: Deployment, rows: Sequence[Row]) -> Row:
    """Returns the row of all tiers of a cell, weighted by their shed orders."""
    weights = {tier.name: tier.shed_order for tier in deployment.tiers}
    offered = sum(weights[row.tier] * row.offered for row in rows)
    good = sum(weights[row.tier] * row.offered * row.good for row in rows)
    return Row(
        deployment=cell.deployment,
        load=cell.load,
        fault=cell.fault,
        system=cell.system,
        tier=TOTAL,
        offered=sum(row.offered for row in rows),
        good=good / offered if offered else 1.0,
        seed=cell.seed,
    )


def set_ratios(rows: Sequence[Row]) -> None:
    """Sets the ratio of each total to the totals of the bound and of naive.

    These are the totals at the same deployment, load, fault and seed.
    """
    totals = {_key(row): row for row in rows if row.tier == TOTAL}
    for row in totals.values():
        row.to_bound = _ratio(row, totals.get(_key(row, "bound")))
        row.to_naive = _ratio(row, totals.get(_key(row, "naive")))


def _key(row: Row, system: str = "") -> tuple[str, float, str, int, str]:
    return (row.deployment, row.load, row.fault, row.seed, system or row.system)


def _ratio(row: Row, other: Row | None) -> float | None:
    return row.good / other.good if other is not None and other.good else None
