"""Measures how the cost of a configuration change grows with the document."""

from __future__ import annotations

import time
from collections.abc import Iterator

from benchmarks import target
from benchmarks.fleet import Fleet, workspaces
from benchmarks.process_usage import Usage, usage_rates
from benchmarks.slope_rows import (
    PATCH_PAUSE_S,
    PATCHES,
    SETTLE_S,
    Row,
    fit_row,
    slope_benchmark,
)

WORKSPACE_SIZES = (500, 3000, 6500, 13000)
WORKSPACES_PER_PATCH = 2500


@slope_benchmark("configuration")
def configuration() -> Iterator[Row]:
    """Memory, processor time and traffic of a change against the document size."""
    measured = {size: _measure_document(size) for size in WORKSPACE_SIZES}
    changes_per_s = target.CHANGES_PER_DAY / target.DAY_S
    for role in ("entry", "side"):
        yield fit_row(
            role,
            "memory by workspaces",
            "MB",
            "workspace",
            [(size, m[role].memory_mb) for size, m in measured.items()],
            target_size=target.WORKSPACES,
            limit=target.CONTROL_MEMORY_MB,
        )
        yield fit_row(
            role,
            f"processor time of changes at {target.CHANGES_PER_DAY} a day",
            "share of a core",
            "workspace",
            [(size, m[role].cpu_s * changes_per_s) for size, m in measured.items()],
            target_size=target.WORKSPACES,
            limit=target.CONTROL_CORE_SHARE,
        )
        yield fit_row(
            role,
            f"bytes received for changes at {target.CHANGES_PER_DAY} a day",
            "B/s",
            "workspace",
            [
                (size, m[role].received_bytes * changes_per_s)
                for size, m in measured.items()
            ],
            target_size=target.WORKSPACES,
            limit=target.CONTROL_BYTES_PER_S,
        )


def _measure_document(size: int) -> dict[str, Usage]:
    """Returns the cost of changing one workspace, by role.

    Memory is the resident memory after the changes.
    """
    with Fleet(2, 2, workspaces=1) as fleet:
        for first in range(0, size, WORKSPACES_PER_PATCH):
            end = min(size, first + WORKSPACES_PER_PATCH)
            fleet.patch({"workspaces": dict(workspaces(first, end))})
        time.sleep(SETTLE_S)
        observed = {"entry": "e1", "side": "side-f0"}
        names = list(observed.values())
        idle_s = PATCHES * PATCH_PAUSE_S
        idle_before = fleet.usage(names)
        time.sleep(idle_s)
        before, start = fleet.usage(names), time.time()
        for index in range(PATCHES):
            fleet.patch({"workspaces": {"workspace-0": {"share": 2.0 + index}}})
            time.sleep(PATCH_PAUSE_S)
        after, seconds = fleet.usage(names), time.time() - start
        idle = {n: usage_rates(idle_before[n], before[n], idle_s) for n in names}
        busy = {n: usage_rates(before[n], after[n], seconds) for n in names}
        return {
            role: _change_cost(busy[name], idle[name], seconds)
            for role, name in observed.items()
        }


def _change_cost(busy: Usage, idle: Usage, seconds: float) -> Usage:
    """Returns the cost of one change on top of the idle usage."""
    scale = seconds / PATCHES
    return Usage(
        cpu_s=(busy.cpu_s - idle.cpu_s) * scale,
        memory_mb=busy.memory_mb,
        sent_bytes=round((busy.sent_bytes - idle.sent_bytes) * scale),
        received_bytes=round((busy.received_bytes - idle.received_bytes) * scale),
        streams=busy.streams,
        threads=busy.threads,
    )
