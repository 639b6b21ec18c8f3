"""One seeded run: load and faults, then checks of all requests and of recovery."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from benchmarks.fault_soak.clients import Clients
from benchmarks.fault_soak.faults import FAULTS, PLANNED
from benchmarks.fault_soak.fleet import EVACUATION_S, Fleet
from benchmarks.fault_soak.in_force import check_config, times_in_force

SETTLE_S = 2.5
"""Time for recovery after the last fault, and duration of the check after it."""
MIN_SERVED_SHARE = 0.5
"""Lowest share of requests that must succeed after the time for recovery."""


LIMIT_WINDOW_S = 4.0
"""Window of the platform's rule on limits of servers."""
LIMIT_KNOWN_S = 1.0
"""Time after which all entries know a limit: each entry may have to learn it from its
own first response, which takes a moment at little load."""


COLD_KNOWN_S = 0.5
"""Time after which all entries know a registration."""


@attrs.frozen
class Result:
    """Outcome of a run.

    Attributes:
        seed: Seed of the run.
        planned: Whether only planned operations were injected.
        requests: Number of requests sent.
        statuses: Number of requests by status; 0 means no response.
        faults: Number of injected faults by name.
        violations: Broken promises, one text each.
        in_force_s: Seconds from each configuration until each entry had it in force.
        logs: Folder of the entries' logs.
    """

    seed: int
    planned: bool
    requests: int
    statuses: dict[int, int]
    faults: dict[str, int]
    violations: list[str]
    in_force_s: list[float]
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
        seed: Seed of faults and clients; every third runs planned operations only.
        duration_s: Time in which faults are started.
        entries: Number of entry processes.
        servers: Number of backend servers.
        clients: Number of concurrent clients.
        port: First of five ports, the same at all entries' loopback addresses.
    """
    rng = random.Random(seed)
    planned_only = seed % 3 == 0
    fleet = Fleet(entries=entries, servers=servers, port=port)
    clients_run = Clients(fleet, rng, planned_only=planned_only)
    faults: Counter[str] = Counter()
    tasks: set[asyncio.Task[None]] = set()
    client_tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start()
        client_tasks = [asyncio.create_task(clients_run.run()) for _ in range(clients)]
        loop = asyncio.get_running_loop()
        faults_end = loop.time() + duration_s
        names = sorted(PLANNED if planned_only else FAULTS)
        while loop.time() < faults_end:
            name = rng.choice(names)
            faults[name] += 1
            tasks.add(asyncio.create_task(FAULTS[name](fleet, rng)))
            await asyncio.sleep(rng.uniform(0.05, 1.0))
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_S)
        first_recent = len(clients_run.requests)
        await asyncio.sleep(SETTLE_S)
        await _cancel(client_tasks)
        clients_run.check_runs()
        clients_run.violations += [f"READY: {log}" for log in fleet.never_ready]
        clients_run.violations += _check_limits(fleet)
        clients_run.violations += _check_cold(fleet)
        clients_run.violations += check_config(fleet)
        # A paused entry, or one without the store, may not know of an order in time.
        if planned_only:
            clients_run.violations += _check_evacuations(fleet)
        _check_recovery(clients_run, first_recent)
    finally:
        await _cancel(client_tasks)
        await _cancel(list(tasks))
        await fleet.stop()
    statuses = Counter(
        record.response.status for record in clients_run.requests.values()
    )
    return Result(
        seed=seed,
        planned=planned_only,
        requests=len(clients_run.requests),
        statuses=dict(sorted(statuses.items())),
        faults=dict(sorted(faults.items())),
        violations=clients_run.violations,
        in_force_s=times_in_force(fleet),
        logs=str(fleet.folder),
    )


def _check_limits(fleet: Fleet) -> list[str]:
    """Returns the limits of servers that all entries together have exceeded."""
    violations = []
    for limit in fleet.limits:
        first = limit.begin + LIMIT_KNOWN_S
        times = [at for at, _ in limit.server.arrivals if first <= at < limit.end]
        most = max(
            (sum(1 for t in times if at <= t < at + LIMIT_WINDOW_S) for at in times),
            default=0,
        )
        if most > 1.5 * limit.per_s * LIMIT_WINDOW_S + 5:
            violations.append(
                f"LIMIT: {limit.server.id} named {limit.per_s} a second"
                f" and got {most} requests in {LIMIT_WINDOW_S} s"
            )
    return violations


def _check_cold(fleet: Fleet) -> list[str]:
    """Returns the cold servers that got more than they take from all entries."""
    violations = []
    for spell in fleet.cold_spells:
        if fleet.store_faulty(spell.begin, spell.end):
            continue
        first = spell.begin + COLD_KNOWN_S
        times = [at for at, _ in spell.server.arrivals if first <= at < spell.end]
        most = max(
            (sum(1 for t in times if at <= t < at + 1.0) for at in times), default=0
        )
        if most > 1.5 * spell.per_s + 5:
            violations.append(
                f"FAILBACK: cold {spell.server.id} got {most} requests in a second"
            )
    return violations


def _check_evacuations(fleet: Fleet) -> list[str]:
    """Returns the servers that got requests long after their evacuation."""
    return [
        f"EVAC: {server.id} in {name} got a request {at - begin:.1f} s after the order"
        for name, begin, end in fleet.evacuations
        for server in fleet.servers
        for at, _ in server.arrivals
        if server.zone == name and begin + EVACUATION_S < at < end
        if not fleet.store_faulty(begin, end)
    ]


def _check_recovery(clients_run: Clients, first_recent: int) -> None:
    """Checks that requests are served again once the faults are over.

    Args:
        clients_run: Clients with the records of all requests.
        first_recent: Index of the first request after the time for recovery.
    """
    # The workspace of the other key exceeds its limit even without faults.
    recent = [
        r
        for r in list(clients_run.requests.values())[first_recent:]
        if r.key == "key-blue"
    ]
    served = sum(1 for record in recent if record.response.status == 200)
    if served < MIN_SERVED_SHARE * len(recent) or not recent:
        clients_run.violations.append(
            f"RECOVER: {served} of {len(recent)} requests served after the faults"
        )


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
