"""One seeded run of the soak."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from benchmarks.fault_soak.clients import Clients
from benchmarks.fault_soak.faults import FAULTS, PLANNED
from benchmarks.fault_soak.fleet import Fleet

SETTLE_S = 2.5
"""Time without new faults at the end, after which all entries must serve again."""
MIN_SERVED_AFTER = 0.5
"""Least part of the requests of that time that is served."""


@attrs.frozen
class Result:
    """What came of a run.

    Attributes:
        seed: Its seed.
        planned: Whether only planned work was injected.
        requests: Requests asked.
        statuses: How they ended; zero without an answer.
        faults: Faults by name.
        broken: Broken promises.
        logs: Folder of the entries' logs.
    """

    seed: int
    planned: bool
    requests: int
    statuses: dict[int, int]
    faults: dict[str, int]
    broken: list[str]
    logs: str


async def soak(
    seed: int,
    *,
    duration_s: float,
    entries: int = 3,
    servers: int = 4,
    clients: int = 12,
    port: int = 18_400,
) -> Result:
    """Runs entries under load and faults.

    Args:
        seed: Seed of faults and clients; every third runs planned work only.
        duration_s: Time in which faults begin.
        entries: Entry processes.
        servers: Backend servers.
        clients: Clients at any time.
        port: First of five ports, the same at all entries' loopback addresses.
    """
    rng = random.Random(seed)
    planned = seed % 3 == 0
    fleet = Fleet(entries=entries, servers=servers, port=port)
    asking = Clients(fleet, rng, planned=planned)
    faults: Counter[str] = Counter()
    tasks: set[asyncio.Task[None]] = set()
    users: list[asyncio.Task[None]] = []
    try:
        await fleet.start()
        users = [asyncio.create_task(asking.run()) for _ in range(clients)]
        loop = asyncio.get_running_loop()
        ends = loop.time() + duration_s
        names = sorted(PLANNED if planned else FAULTS)
        while loop.time() < ends:
            name = rng.choice(names)
            faults[name] += 1
            tasks.add(asyncio.create_task(FAULTS[name](fleet, rng)))
            await asyncio.sleep(rng.uniform(0.05, 1.0))
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_S)
        before = len(asking.asked)
        await asyncio.sleep(SETTLE_S)
        await _end(users)
        asking.check_runs()
        asking.broken += [f"READY: {log}" for log in fleet.never_ready]
        _check_recovery(asking, before)
    finally:
        await _end(users)
        await _end(list(tasks))
        await fleet.stop()
    statuses = Counter(record.got.status for record in asking.asked.values())
    return Result(
        seed=seed,
        planned=planned,
        requests=len(asking.asked),
        statuses=dict(sorted(statuses.items())),
        faults=dict(sorted(faults.items())),
        broken=asking.broken,
        logs=str(fleet.folder),
    )


def _check_recovery(asking: Clients, before: int) -> None:
    """Checks that requests are served again once the faults are over."""
    late = [r for r in list(asking.asked.values())[before:] if r.key == "key-blue"]
    served = sum(1 for record in late if record.got.status == 200)
    if served < MIN_SERVED_AFTER * len(late) or not late:
        asking.broken.append(f"RECOVER: {served} of {len(late)} served at the end")


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
