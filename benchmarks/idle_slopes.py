"""Measures how the usage of an idle fleet grows with its size."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator, Sequence

from attrs import frozen

from benchmarks import target
from benchmarks.fleet import Fleet
from benchmarks.process_usage import Usage, usage_rates
from benchmarks.slope_rows import (
    PATCH_PAUSE_S,
    PATCHES,
    SETTLE_S,
    Row,
    fit_row,
    slope_benchmark,
)

IDLE_S = 10.0
FLEET_SIZES = ((2, 6), (4, 24), (8, 48), (10, 92))


@frozen
class IdleUsage:
    """Resource usage of one idle fleet and the delay of its patches.

    Attributes:
        entries: Usage per second of each entry.
        sides: Usage per second of each side.
        reads_per_s: Read calls at the object store, watches included.
        in_force_s: Seconds from the acceptance of a patch until it is in force, one
            value per patch and process; infinite if it was not seen in force.
    """

    entries: list[Usage]
    sides: list[Usage]
    reads_per_s: float
    in_force_s: list[float]


def measure_idle(entries: int, sides: int) -> IdleUsage:
    """Measures an idle fleet, then the delay of small patches."""
    with Fleet(entries, sides) as fleet:
        names = [*fleet.entry_names, *fleet.side_names]
        time.sleep(SETTLE_S)
        counts, before, start = fleet.store_counts(), fleet.usage(names), time.time()
        time.sleep(IDLE_S)
        after, seconds = fleet.usage(names), time.time() - start
        calls = _read_calls(fleet.store_counts()) - _read_calls(counts)
        rates = {
            name: usage_rates(before[name], after[name], seconds) for name in names
        }
        return IdleUsage(
            entries=[rates[name] for name in fleet.entry_names],
            sides=[rates[name] for name in fleet.side_names],
            reads_per_s=calls / seconds,
            in_force_s=measure_patches(fleet),
        )


def _read_calls(counts: dict[str, int]) -> int:
    return counts["reads"] + counts["watches"]


def measure_patches(fleet: Fleet) -> list[float]:
    """Returns the seconds from acceptance to in force, by patch and process."""
    accepted: dict[str, float] = {}
    for index in range(PATCHES):
        share = {"workspaces": {"workspace-0": {"share": 2.0 + index}}}
        number = fleet.patch(share, fleet.entry_names[index % fleet.entries])
        accepted[str(number)] = time.time()
        time.sleep(PATCH_PAUSE_S)
    time.sleep(SETTLE_S)
    times = [
        max(0.0, event["at"] - accepted[event["detail"]])
        for event in fleet.events("config.in-force")
        if event["detail"] in accepted
    ]
    expected = PATCHES * (fleet.entries + fleet.sides)
    if len(times) < expected:
        print(f"  {expected - len(times)} of {expected} not seen in force")
        times += [math.inf] * (expected - len(times))
    return times


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the smallest value that the given share of values does not exceed."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


@slope_benchmark("idle")
def idle() -> Iterator[Row]:
    """Control traffic, processor time, memory and patch delay against fleet size."""
    measured = {size: measure_idle(*size) for size in FLEET_SIZES}
    for role, links in (("entry", target.ENTRY_LINKS), ("side", target.SIDE_LINKS)):
        usages = [u for f in measured.values() for u in _of_role(f, role)]
        yield from _control_rows(role, links, usages)
    yield fit_row(
        "store",
        "reads of an idle fleet",
        "calls/s",
        "entry",
        [(size[0], f.reads_per_s) for size, f in measured.items()],
        target_size=target.ENTRIES,
        limit=target.STORE_READS_PER_S,
    )
    # Quantiles, over processes and patches, of the delay until a patch is in force.
    for share in (0.5, 0.99, 1.0):
        yield fit_row(
            "all",
            f"accepted patch in force, share {share} of processes and patches",
            "s",
            "doubling of processes",
            [
                (math.log2(sum(size)), percentile(f.in_force_s, share))
                for size, f in measured.items()
            ],
            target_size=round(math.log2(target.ENTRIES + target.SIDES), 2),
            limit=target.IN_FORCE_S,
        )


def _of_role(usage: IdleUsage, role: str) -> list[Usage]:
    return usage.entries if role == "entry" else usage.sides


def _control_rows(role: str, links: int, usages: list[Usage]) -> Iterator[Row]:
    resources: list[tuple[str, str, Callable[[Usage], float], float | None]] = [
        ("control sent", "B/s", lambda u: u.sent_bytes, target.CONTROL_BYTES_PER_S),
        ("control received", "B/s", lambda u: u.received_bytes, None),
        (
            "control processor time",
            "share of a core",
            lambda u: u.cpu_s,
            target.CONTROL_CORE_SHARE,
        ),
        ("memory", "MB", lambda u: u.memory_mb, target.CONTROL_MEMORY_MB),
    ]
    for resource, unit, value_of, limit in resources:
        # Open TCP streams count as links, although some lead to the object store.
        points = [(usage.streams, value_of(usage)) for usage in usages]
        yield fit_row(
            role, resource, unit, "link", points, target_size=links, limit=limit
        )
