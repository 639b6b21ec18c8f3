"""Measures how the cost of each role grows, and extrapolates it to the target size.

Run it with ``python -m benchmarks.slopes``; it writes ``build/slopes.json``. Real
processes run at several sizes; a line is fitted through the usage of each resource
and evaluated at the size that the role has in the target deployment.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

from attrs import asdict

from benchmarks import configuration_slopes, idle_slopes, request_slopes
from benchmarks.slope_rows import SLOPE_BENCHMARKS

BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"

# Imported because they register their benchmarks.
SLOPE_MODULES = (idle_slopes, configuration_slopes, request_slopes)


def main() -> None:
    """Measures the chosen benchmarks and replaces their rows in the result file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "names",
        nargs="*",
        help=f"benchmarks to run, all by default: {', '.join(SLOPE_BENCHMARKS)}",
    )
    chosen = parser.parse_args().names or list(SLOPE_BENCHMARKS)
    BUILD_FOLDER.mkdir(exist_ok=True)
    path = BUILD_FOLDER / "slopes.json"
    kept = json.loads(path.read_text()) if path.exists() else []
    for name in chosen:
        measured = [asdict(row) for row in SLOPE_BENCHMARKS[name]()]
        print(f"{name}:", *map(_format_row, measured), sep="\n  ", flush=True)
        replaced = {_key(row) for row in measured}
        kept = [row for row in kept if _key(row) not in replaced] + measured
        path.write_text(json.dumps(kept, indent=1))


def _key(row: dict[str, Any]) -> tuple[str, str]:
    return row["role"], row["resource"]


def _format_row(row: dict[str, Any]) -> str:
    limit = "" if row["limit"] is None else f" (limit {row['limit']})"
    return (
        f"{row['role']:<6} {row['resource']}: {row['slope']} {row['unit']} "
        f"per {row['per']} + {row['intercept']}; at {row['target_size']}: "
        f"{row['at_target']}{limit}"
    )


if __name__ == "__main__":
    main()
