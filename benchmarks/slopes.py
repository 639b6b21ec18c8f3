"""Measures how the cost of each role grows, and reckons it at the target size.

Run it with ``python -m benchmarks.slopes``; it writes ``build/slopes.json``. Real
processes run at several sizes; a line is fitted through the figures of each
resource and read at the size that the role meets at the target.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

from attrs import asdict

from benchmarks import configuration_slopes, idle_slopes, request_slopes
from benchmarks.slope_rows import EXPERIMENTS

BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"

# Importing these modules fills the registry of experiments.
EXPERIMENT_MODULES = (idle_slopes, configuration_slopes, request_slopes)


def main() -> None:
    """Measures the chosen experiments and writes their rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help=f"of {', '.join(EXPERIMENTS)}")
    chosen = parser.parse_args().names or list(EXPERIMENTS)
    BUILD_FOLDER.mkdir(exist_ok=True)
    path = BUILD_FOLDER / "slopes.json"
    kept = json.loads(path.read_text()) if path.exists() else []
    for name in chosen:
        measured = [asdict(found) for found in EXPERIMENTS[name]()]
        print(f"{name}:", *map(_line, measured), sep="\n  ", flush=True)
        replaced = {_key(found) for found in measured}
        kept = [found for found in kept if _key(found) not in replaced] + measured
        path.write_text(json.dumps(kept, indent=1))


def _key(found: dict[str, Any]) -> tuple[str, str]:
    return found["role"], found["resource"]


def _line(found: dict[str, Any]) -> str:
    limit = "" if found["limit"] is None else f" (limit {found['limit']})"
    return (
        f"{found['role']:<6} {found['resource']}: {found['slope']} {found['unit']} "
        f"per {found['per']} + {found['intercept']}; at {found['target_size']}: "
        f"{found['at_target']}{limit}"
    )


if __name__ == "__main__":
    main()
