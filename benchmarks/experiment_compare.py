"""Compares two saved results of the experiment row by row."""

from __future__ import annotations

import statistics
from collections import defaultdict
from typing import Any

KEYS = ("deployment", "load", "fault", "system", "tier")
MEASURES = ("good", "shed", "wasted_prefill")


def compare(first: list[dict[str, Any]], second: list[dict[str, Any]]) -> str:
    """Returns a table with the ratio and the spread of each measure.

    The rows of a key are those of several seeds, for example. The spread is the
    maximum minus the minimum over the rows of the key, of A or of B, whichever is
    larger; it is 0 where each result has one row.
    """
    before, after = _grouped(first), _grouped(second)
    lines = [f"{'row':<44}{'measure':<16}{'A':>8}{'B':>8}{'B/A':>8}{'spread':>8}"]
    for key in sorted(before.keys() & after.keys()):
        for measure in MEASURES:
            old = [row[measure] for row in before[key]]
            new = [row[measure] for row in after[key]]
            lines.append(_line(" ".join(map(str, key)), measure, old, new))
    return "\n".join(lines)


def _grouped(rows: list[dict[str, Any]]) -> dict[tuple[Any, ...], list[dict[str, Any]]]:
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = defaultdict(list)
    for row in rows:
        groups[tuple(row[key] for key in KEYS)].append(row)
    return groups


def _line(name: str, measure: str, old: list[float], new: list[float]) -> str:
    a, b = statistics.mean(old), statistics.mean(new)
    ratio = f"{b / a:.3f}" if a else "-"
    spread = max(max(old) - min(old), max(new) - min(new))
    return f"{name:<44}{measure:<16}{a:>8.3f}{b:>8.3f}{ratio:>8}{spread:>8.3f}"
