"""Prints the table of all replays: ``python -m benchmarks.replay``."""

from __future__ import annotations

import click

from benchmarks.replay.patterns import PATTERNS
from benchmarks.replay.replay import SYSTEMS, bound, play


@click.command()
@click.option("--seeds", default=3, show_default=True, help="Seeds of each pattern.")
@click.option("--pattern", type=click.Choice(sorted(PATTERNS)), multiple=True)
def main(seeds: int, pattern: tuple[str, ...]) -> None:
    """Replays load patterns against the gateway's scheduler and a plain forwarder.

    The columns hold means over the seeds: "earned", the share of the offered value;
    "in time by kind", the share of requests; "held s", the 90th percentile of the time
    that refused requests were queued (the highest of all seeds); "served", the share of
    requests answered completely; "early", the share of refusals within a quarter of the
    objective; "again", the share of
    the value refused on both attempts; "worst", the lowest share earned by a kind or
    one of its size bands; "false", the number of requests refused as not run that had
    run (the sum of all seeds); "bound", an upper bound on "earned".
    """
    click.echo(
        f"{'pattern':<16}{'system':<11}{'earned':>7}  in time by kind"
        f"{'':<26}{'held s':>7}{'served':>7}{'early':>7}{'again':>7}{'worst':>7}"
        f"{'false':>6}{'bound':>7}"
    )
    for name in pattern or sorted(PATTERNS):
        bound_share = (
            sum(bound(PATTERNS[name](), seed) for seed in range(seeds)) / seeds
        )
        for system in SYSTEMS:
            results = [play(PATTERNS[name](), system, seed) for seed in range(seeds)]
            kinds = "  ".join(
                f"{kind} {sum(r.in_time[kind] for r in results) / seeds:.3f}"
                for kind in results[0].in_time
            )
            earned = sum(r.earned for r in results) / seeds
            wait_s = max(r.refused_wait_s for r in results)
            served = sum(r.served for r in results) / seeds
            early = sum(r.refused_early for r in results) / seeds
            refused_again = sum(r.refused_again for r in results) / seeds
            worst = sum(r.worst for r in results) / seeds
            false = sum(r.false_refusals for r in results)
            click.echo(
                f"{name:<16}{system:<11}{earned:>7.3f}  {kinds:<41}{wait_s:>7.2f}"
                f"{served:>7.3f}{early:>7.3f}{refused_again:>7.3f}{worst:>7.3f}{false:>6}{bound_share:>7.3f}"
            )


if __name__ == "__main__":
    main()
