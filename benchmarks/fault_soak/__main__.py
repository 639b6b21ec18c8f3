"""Runs the soak with many seeds: ``python -m benchmarks.fault_soak --seeds 50``."""

from __future__ import annotations

import asyncio
import random
import sys

import click

from benchmarks.fault_soak.soak import soak

MAX_RANDOM_SEED = 1_000_000


@click.command()
@click.option("--seeds", default=5, show_default=True, help="Number of seeds.")
@click.option("--first-seed", type=int, help="First seed; random without it.")
@click.option("--duration-s", default=12.0, show_default=True)
@click.option("--entries", default=3, show_default=True)
@click.option("--servers", default=4, show_default=True)
@click.option("--clients", default=12, show_default=True)
@click.option("--port", default=18_400, show_default=True, help="First of five ports.")
def main(
    seeds: int,
    first_seed: int | None,
    duration_s: float,
    entries: int,
    servers: int,
    clients: int,
    port: int,
) -> None:
    """Runs entries as processes under faults; exits with 1 if a promise is broken."""
    if first_seed is None:
        first_seed = random.randrange(MAX_RANDOM_SEED)
    failed_seeds = 0
    in_force_s: list[float] = []
    for seed in range(first_seed, first_seed + seeds):
        result = asyncio.run(
            soak(
                seed,
                duration_s=duration_s,
                entries=entries,
                servers=servers,
                clients=clients,
                port=port,
            )
        )
        click.echo(
            f"seed {seed}"
            f"{' (planned operations only)' if result.planned else ''}: "
            f"{result.requests} requests, {result.statuses}, faults {result.faults}"
        )
        for line in result.violations[:10]:
            click.echo(f"  {line} (logs in {result.logs})")
        failed_seeds += bool(result.violations)
        in_force_s += result.in_force_s
    click.echo(f"{seeds} seeds, {failed_seeds} with broken promises")
    if in_force_s:
        in_force_s.sort()
        most = in_force_s[int(0.99 * len(in_force_s))]
        click.echo(
            f"configurations in force: {len(in_force_s)},"
            f" p50 {in_force_s[len(in_force_s) // 2]:.3f} s, p99 {most:.3f} s,"
            f" longest {in_force_s[-1]:.3f} s"
        )
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
