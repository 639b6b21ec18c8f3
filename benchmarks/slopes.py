"""Measures how the cost of each role grows, and reckons it at the target size.

Run it with ``python -m benchmarks.slopes``; it writes ``build/slopes.json``. Real
processes run at several sizes; a line is fitted through the figures of each
resource and read at the size that the role meets at the target.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from attrs import asdict, frozen

from benchmarks import target
from benchmarks.cluster_settings import workspace_token
from benchmarks.fleet import ROUTE, Fleet, workspaces
from benchmarks.http_json import JsonClient
from benchmarks.process_usage import Usage

BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"
SETTLE_S = 6.0
IDLE_S = 10.0
PATCHES = 10
PATCH_PAUSE_S = 0.3
FLEET_SIZES = ((2, 6), (4, 24), (8, 48), (10, 92))
WORKSPACE_SIZES = (500, 3000, 6500, 13000)
WORKSPACES_PER_PATCH = 2500
TOKEN_SIZES = (1, 64, 256)
REQUESTS = 200
CALLERS = 8


@frozen
class Row:
    """One resource of one role: a line through measured points.

    Attributes:
        role: Role of the process, or ``store``.
        resource: What is used.
        unit: Unit of the figures.
        per: What the sizes count.
        slope: Growth for each one more of ``per``.
        intercept: Figure of the line at size zero.
        sizes: Sizes that were measured.
        values: Figure at each size.
        target_size: Size at the target.
        at_target: Figure of the line at the target.
        limit: Highest figure that the target allows, None without one.
    """

    role: str
    resource: str
    unit: str
    per: str
    slope: float
    intercept: float
    sizes: list[float]
    values: list[float]
    target_size: float
    at_target: float
    limit: float | None


def row(
    role: str,
    resource: str,
    unit: str,
    per: str,
    points: Iterable[tuple[float, float]],
    *,
    target_size: float,
    limit: float | None,
) -> Row:
    """Fits a line through points of size and figure."""
    sizes, values = (list(part) for part in zip(*sorted(points), strict=True))
    slope, intercept = fit(sizes, values)
    at_target = intercept + slope * target_size
    return Row(
        role,
        resource,
        unit,
        per,
        _short(slope),
        _short(intercept),
        [_short(size) for size in sizes],
        [_short(value) for value in values],
        target_size,
        _short(at_target),
        limit,
    )


def fit(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Returns slope and intercept by least squares; a single size has no slope."""
    if len(set(sizes)) < 2:
        return 0.0, statistics.fmean(values)
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def _short(value: float) -> float:
    return float(f"{value:.4g}")


EXPERIMENTS: dict[str, Callable[[], Iterator[Row]]] = {}


def experiment(
    name: str,
) -> Callable[[Callable[[], Iterator[Row]]], Callable[[], Iterator[Row]]]:
    """Registers a function that measures some rows."""

    def register(function: Callable[[], Iterator[Row]]) -> Callable[[], Iterator[Row]]:
        EXPERIMENTS[name] = function
        return function

    return register


@frozen
class IdleFigures:
    """What the processes of one idle fleet use in a second.

    Attributes:
        entries: Usage rates by entry.
        sides: Usage rates by side.
        reads_per_s: Calls of the object store, watches included.
        in_force_s: Seconds from the acceptance of a patch until in force, one for
            each patch and process.
    """

    entries: list[Usage]
    sides: list[Usage]
    reads_per_s: float
    in_force_s: list[float]


def _rates(before: Usage, after: Usage, seconds: float) -> Usage:
    return Usage(
        cpu_s=(after.cpu_s - before.cpu_s) / seconds,
        memory_mb=after.memory_mb,
        sent_bytes=round((after.sent_bytes - before.sent_bytes) / seconds),
        received_bytes=round((after.received_bytes - before.received_bytes) / seconds),
        streams=after.streams,
        threads=after.threads,
    )


def measure_idle(entries: int, sides: int) -> IdleFigures:
    """Measures a fleet that serves nothing, then some small patches."""
    with Fleet(entries, sides) as fleet:
        names = [*fleet.entry_names, *fleet.side_names]
        time.sleep(SETTLE_S)
        counts, before, start = fleet.store_counts(), fleet.usage(names), time.time()
        time.sleep(IDLE_S)
        after, seconds = fleet.usage(names), time.time() - start
        calls = _calls(fleet.store_counts()) - _calls(counts)
        rates = {name: _rates(before[name], after[name], seconds) for name in names}
        return IdleFigures(
            entries=[rates[name] for name in fleet.entry_names],
            sides=[rates[name] for name in fleet.side_names],
            reads_per_s=calls / seconds,
            in_force_s=measure_patches(fleet),
        )


def _calls(counts: dict[str, int]) -> int:
    return counts["reads"] + counts["watches"]


def measure_patches(fleet: Fleet) -> list[float]:
    """Returns the seconds from acceptance to in force over patches and processes."""
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
    """Returns the value that the given share of values does not exceed."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


@experiment("idle")
def idle() -> Iterator[Row]:
    """Control traffic, processor time, memory and spread against the fleet."""
    measured = {size: measure_idle(*size) for size in FLEET_SIZES}
    for role, links in (("entry", target.ENTRY_LINKS), ("side", target.SIDE_LINKS)):
        usages = [u for f in measured.values() for u in _of_role(f, role)]
        yield from _control_rows(role, links, usages)
    yield row(
        "store",
        "reads of an idle fleet",
        "calls/s",
        "entry",
        [(size[0], f.reads_per_s) for size, f in measured.items()],
        target_size=target.ENTRIES,
        limit=target.STORE_READS_PER_S,
    )
    for share in (0.5, 0.99, 1.0):
        yield row(
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


def _of_role(figures: IdleFigures, role: str) -> list[Usage]:
    return figures.entries if role == "entry" else figures.sides


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
    for resource, unit, figure, limit in resources:
        points = [(usage.streams, figure(usage)) for usage in usages]
        yield row(role, resource, unit, "link", points, target_size=links, limit=limit)


@experiment("configuration")
def configuration() -> Iterator[Row]:
    """Memory and processor time of a change against the size of the document."""
    measured = {size: _measure_document(size) for size in WORKSPACE_SIZES}
    changes_per_s = target.CHANGES_PER_DAY / target.DAY_S
    for role in ("entry", "side"):
        yield row(
            role,
            "memory by workspaces",
            "MB",
            "workspace",
            [(size, m[role].memory_mb) for size, m in measured.items()],
            target_size=target.WORKSPACES,
            limit=target.CONTROL_MEMORY_MB,
        )
        yield row(
            role,
            f"processor time of changes at {target.CHANGES_PER_DAY} a day",
            "share of a core",
            "workspace",
            [(size, m[role].cpu_s * changes_per_s) for size, m in measured.items()],
            target_size=target.WORKSPACES,
            limit=target.CONTROL_CORE_SHARE,
        )
        yield row(
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
    """Returns by role what one change of one workspace costs, and the memory."""
    with Fleet(2, 2, workspaces=1) as fleet:
        for first in range(0, size, WORKSPACES_PER_PATCH):
            end = min(size, first + WORKSPACES_PER_PATCH)
            fleet.patch({"workspaces": dict(workspaces(first, end))})
        time.sleep(SETTLE_S)
        observed = {"entry": "e1", "side": "side-f0"}
        names = list(observed.values())
        quiet_s = PATCHES * PATCH_PAUSE_S
        idle_before = fleet.usage(names)
        time.sleep(quiet_s)
        before, start = fleet.usage(names), time.time()
        for index in range(PATCHES):
            fleet.patch({"workspaces": {"workspace-0": {"share": 2.0 + index}}})
            time.sleep(PATCH_PAUSE_S)
        after, seconds = fleet.usage(names), time.time() - start
        quiet = {n: _rates(idle_before[n], before[n], quiet_s) for n in names}
        busy = {n: _rates(before[n], after[n], seconds) for n in names}
        return {
            role: _change_cost(busy[name], quiet[name], seconds)
            for role, name in observed.items()
        }


def _change_cost(busy: Usage, quiet: Usage, seconds: float) -> Usage:
    """Returns the cost of one change above that of the idle process."""
    scale = seconds / PATCHES
    return Usage(
        cpu_s=(busy.cpu_s - quiet.cpu_s) * scale,
        memory_mb=busy.memory_mb,
        sent_bytes=round((busy.sent_bytes - quiet.sent_bytes) * scale),
        received_bytes=round((busy.received_bytes - quiet.received_bytes) * scale),
        streams=busy.streams,
        threads=busy.threads,
    )


@experiment("requests")
def requests() -> Iterator[Row]:
    """Processor time of a streamed request against its tokens."""
    with Fleet(1, 1) as fleet:
        measured = {tokens: _measure_requests(fleet, tokens) for tokens in TOKEN_SIZES}
    tokens = target.TOKENS_PER_S / target.REQUESTS_PER_S
    for role in ("entry", "side"):
        points = [(size, m[role]) for size, m in measured.items()]
        rate = target.REQUESTS_PER_S / target.COUNTS[role]
        yield row(
            role,
            "processor time of a streamed request",
            "s",
            "token",
            points,
            target_size=round(tokens, 1),
            limit=None,
        )
        yield row(
            role,
            "processor time of all requests",
            "share of a core",
            "token",
            [(size, value * rate) for size, value in points],
            target_size=round(tokens, 1),
            limit=None,
        )


def _measure_requests(fleet: Fleet, tokens: int) -> dict[str, float]:
    names = {"entry": "e0", "side": "side-f0"}
    _send(fleet, CALLERS, tokens)
    before = fleet.usage(list(names.values()))
    _send(fleet, REQUESTS, tokens)
    after = fleet.usage(list(names.values()))
    return {
        role: (after[name].cpu_s - before[name].cpu_s) / REQUESTS
        for role, name in names.items()
    }


def _send(fleet: Fleet, count: int, tokens: int) -> None:
    port = fleet.ports["e0-http"]
    client = JsonClient("127.0.0.1", port, workspace_token("workspace-0"), 60.0)
    body = {
        "model": ROUTE,
        "prompt": f"hello #out={tokens}",
        "max_tokens": tokens,
        "stream": True,
    }

    def call(_: int) -> int:
        return client.call("POST", "/v1/completions", body).status

    with ThreadPoolExecutor(CALLERS) as pool:
        statuses = set(pool.map(call, range(count)))
    if statuses != {200}:
        raise RuntimeError(f"requests answered {statuses}")


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
