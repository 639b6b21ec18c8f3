"""Runs every scenario against real processes; the checker must find no violation."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.scenarios import load_scenario, run_scenario

SCENARIOS = sorted(Path(__file__).parent.joinpath("scenarios").glob("*.jsonc"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario_keeps_the_promises(path: Path) -> None:
    assert run_scenario(load_scenario(path)) == []
