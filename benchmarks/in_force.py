"""Times from the acknowledgement of a configuration until all entries have it.

Runs entries over sockets beside a stand-in of the store, in each way by which they may
fall behind it (``cornelpin/tests/test_config_in_force.py``), and prints the times and
the calls of the store.

Usage: ``python -m benchmarks.in_force [ENTRIES...]``
"""

from __future__ import annotations

import asyncio
import sys
import time

from loguru import logger

from cornelpin.tests.config_bed import run_bed
from cornelpin.tests.test_config_in_force import WAYS

DEFAULT_ENTRIES = (6, 11)


async def measure(name: str, entries: int) -> str:
    """Returns a row with the times of one way, in seconds."""
    async with run_bed(entries) as bed:
        calls, began = bed.harness.store.calls, time.monotonic()
        await WAYS[name](bed)
        calls_per_s = (bed.harness.store.calls - calls) / (time.monotonic() - began)
    times = sorted(bed.times_s)
    half, most = times[len(times) // 2], times[int(0.99 * len(times))]
    return (
        f"| {name} | {entries} | {len(times)} | {half:.3f} | {most:.3f} "
        f"| {times[-1]:.3f} | {calls_per_s:.1f} |"
    )


def main() -> None:
    """Prints a table."""
    logger.remove()
    sizes = [int(text) for text in sys.argv[1:]] or DEFAULT_ENTRIES
    print("| way | entries | changes in force | p50 s | p99 s | longest s | calls/s |")
    print("|---|---|---|---|---|---|---|")
    for name in WAYS:
        for entries in sizes:
            print(asyncio.run(measure(name, entries)), flush=True)


if __name__ == "__main__":
    main()
