"""Report of all scenarios that were run, with the promises that each one tests."""

from __future__ import annotations

import fnmatch
import json
import re
from collections.abc import Iterable
from pathlib import Path

from attrs import asdict, frozen

from benchmarks.timeline_page import timeline_page

PASSED = "passed"
FAILED = "failed"
PROMISES = Path(__file__).resolve().parent.parent / "docs" / "PROMISES.md"
EVERY_SCENARIO = "every scenario"
_NAME = re.compile(r"`([\w*]+)`")


@frozen
class ScenarioResult:
    """Outcome of one scenario.

    Attributes:
        scenario: Name of the scenario.
        result: ``passed`` or ``failed``.
        seed: Seed of the scenario, None if its file is malformed.
        duration_s: Duration in seconds, including the start of the processes.
        promises: First cells of the rows of ``PROMISES.md`` that list the scenario.
        faults: Why it failed: violations found by the checker, or the error that
            ended the run.
    """

    scenario: str
    result: str
    seed: int | None
    duration_s: float
    promises: tuple[str, ...]
    faults: tuple[str, ...] = ()


def promises_of(scenario: str, text: str) -> tuple[str, ...]:
    """Returns the first cells of the rows of ``PROMISES.md`` that list a scenario.

    Args:
        scenario: Name of the scenario.
        text: Contents of ``PROMISES.md``. Only tables whose last column is named
            ``scenario`` count; its cells name scenarios, with ``*`` as wildcard.
    """
    promises = []
    is_listing = False
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not line.startswith("|"):
            is_listing = False
        elif cells[-1] == "scenario":
            is_listing = True
        elif is_listing and _is_listed(scenario, cells[-1]):
            promises.append(cells[0])
    return tuple(promises)


def _is_listed(scenario: str, cell: str) -> bool:
    if cell == EVERY_SCENARIO:
        return True
    return any(fnmatch.fnmatchcase(scenario, name) for name in _NAME.findall(cell))


def write_page(results: Iterable[ScenarioResult], folder: Path) -> None:
    """Writes ``scenarios.html`` and ``scenarios.json`` into a folder."""
    rows = [asdict(result) for result in results]
    folder.mkdir(exist_ok=True)
    (folder / "scenarios.json").write_text(json.dumps(rows, indent=1))
    table = [
        {
            **row,
            "promises": "; ".join(row["promises"]),
            "faults": "; ".join(row["faults"]),
        }
        for row in rows
    ]
    failed = sum(row["result"] == FAILED for row in rows)
    title = f"Scenarios: {len(rows)} run, {failed} failed"
    (folder / "scenarios.html").write_text(timeline_page(title, table))
