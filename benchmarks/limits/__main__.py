"""Prints what a limited server gets under each load and way of sharing its limit.

Run as ``python -m benchmarks.limits``.
"""

from __future__ import annotations

import click

from benchmarks.limits.replay import LOADS, replay
from benchmarks.limits.ways import WAYS


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Prints a table: part of the limit used, most in 4 s of what it allows."""
    print("| load | " + " | ".join(WAYS) + " |")
    print("|---" * (1 + len(WAYS)) + "|")
    for name, load in LOADS.items():
        cells = []
        for way in WAYS:
            result = replay(load, way, seed)
            cells.append(
                f"{result.used:.2f}, {result.most:.2f} ({result.most_requests}), "
                f"{result.messages_per_s:.0f}/s"
            )
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
