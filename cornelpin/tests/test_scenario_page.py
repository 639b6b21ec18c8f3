"""The report on scenarios: which promises each one tests, and one row per result."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from benchmarks import scenarios
from benchmarks.checker import Violation
from benchmarks.scenario_page import FAILED, PASSED, PROMISES, promises_of
from benchmarks.scenario_run import ScenarioError

LISTING = """
| promise | test | scenario |
|---|---|---|
| first | `test_a.py` | `one`, `two` |
| second | `one` | `pair_*` |
| third | | every scenario |

| measure | run |
|---|---|
| fourth | `one` |
"""
SCENARIOS = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize(
    "name, expected",
    [
        ("one", ("first", "third")),
        ("pair_of_faults", ("second", "third")),
        ("other", ("third",)),
    ],
)
def test_promises_are_matched_by_the_last_column(name, expected):
    assert promises_of(name, LISTING) == expected


def test_most_scenarios_are_listed_under_a_promise():
    text = PROMISES.read_text()
    existing = {path.stem for path in SCENARIOS.glob("*.jsonc")}
    # Every scenario is under one promise; others list it by name.
    listed_by_name = [name for name in existing if len(promises_of(name, text)) > 1]
    assert len(listed_by_name) > len(existing) / 2
    assert "plain_path" in listed_by_name


def write_scenario(folder, name):
    path = folder / f"{name}.jsonc"
    path.write_text('{seed: 7, deployment: "small", steps: []}')
    return str(path)


def test_page_has_a_row_for_each_result(tmp_path, monkeypatch):
    outcomes = {
        "good": [],
        "bad": [Violation("doubled", "r<1>", "two runs")],
        "broken": ScenarioError("step 0 failed\nfiles: there"),
    }

    def fake_run(scenario):
        outcome = outcomes[scenario.name]
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    monkeypatch.setattr(scenarios, "run_scenario", fake_run)
    monkeypatch.setattr(scenarios, "BUILD_FOLDER", tmp_path / "build")
    (tmp_path / "malformed.jsonc").write_text("{}")
    files = [write_scenario(tmp_path, name) for name in outcomes]
    assert scenarios.main([*files, str(tmp_path / "malformed.jsonc")]) == 1
    rows = json.loads((tmp_path / "build" / "scenarios.json").read_text())
    assert [(r["scenario"], r["result"], r["seed"]) for r in rows] == [
        ("good", PASSED, 7),
        ("bad", FAILED, 7),
        ("broken", FAILED, 7),
        ("malformed", FAILED, None),
    ]
    assert rows[2]["faults"] == ["step 0 failed"]
    assert all(row["duration_s"] >= 0 and row["promises"] for row in rows)
    page = (tmp_path / "build" / "scenarios.html").read_text()
    assert "4 run, 3 failed" in page
    assert "r&lt;1&gt;" in page
