"""Object store load of an idle fleet: ``python -m benchmarks.idle_store``."""

from __future__ import annotations

import time

import click

from benchmarks.fleet import Fleet

SETTLE_S = 4.0


def measure(entries: int, duration_s: float) -> dict[str, float]:
    """Returns the store calls per second of an idle fleet with one side, by kind."""
    with Fleet(entries, 1) as fleet:
        time.sleep(SETTLE_S)
        before, start = fleet.store_counts(), time.monotonic()
        time.sleep(duration_s)
        after, elapsed_s = fleet.store_counts(), time.monotonic() - start
    kinds = ("reads", "writes", "watches")
    return {kind: (after[kind] - before[kind]) / elapsed_s for kind in kinds}


@click.command()
@click.option("--entries", "sizes", multiple=True, type=int, default=(2, 4, 8))
@click.option("--duration-s", default=10.0, help="Duration of each measurement.")
def main(sizes: tuple[int, ...], duration_s: float) -> None:
    """Prints one line per number of entries."""
    for entries in sizes:
        rates = measure(entries, duration_s)
        shown = ", ".join(f"{kind} {rate:.1f}/s" for kind, rate in rates.items())
        click.echo(f"{entries} entries: {shown}")


if __name__ == "__main__":
    main()
