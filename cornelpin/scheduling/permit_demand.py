"""Which permits of servers with limits an entry asks for, and how it uses them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from cornelpin.scheduling.decisions import HeldBackServer
from cornelpin.scheduling.server_selection import penalty

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.server_selection import Candidate
    from cornelpin.scheduling.servers import BackendServer

MAX_HELD_BACK = 4
"""Servers held back by their limits that a decision names for the log."""


class PermitSource(Protocol):
    """Limits of servers, and the permits to send to them (``scheduling.permits``)."""

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Returns a server's limit in requests per second; None if it has none."""

    def cold_rate_per_s(self, server: BackendServer) -> float | None:
        """Returns a cold server's limit; None if it is warm or has none while cold."""

    def permits(self, server: BackendServer, now: float) -> int:
        """Returns the requests that may be sent to a server with a limit now."""

    def may_ask(self, server: BackendServer, now: float) -> bool:
        """Returns whether permits of a server may be asked for."""

    def ask(self, server: BackendServer, count: int, score: float, now: float) -> None:
        """Asks for permits of a server."""

    def take(self, server: BackendServer, now: float) -> None:
        """Uses a permit for a send."""

    def known_rate(self, server: BackendServer, now: float) -> tuple[float, float]:
        """Returns the rate of all entries as last reported, and the report's age."""


class NoPermits:
    """Servers without limits, for which no permits are needed."""

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Returns None for every server."""
        return None

    def cold_rate_per_s(self, server: BackendServer) -> float | None:
        """Returns None for every server."""
        return None

    def permits(self, server: BackendServer, now: float) -> int:
        """Returns zero."""
        return 0

    def may_ask(self, server: BackendServer, now: float) -> bool:
        """Returns False."""
        return False

    def ask(self, server: BackendServer, count: int, score: float, now: float) -> None:
        """Does nothing."""

    def take(self, server: BackendServer, now: float) -> None:
        """Does nothing."""

    def known_rate(self, server: BackendServer, now: float) -> tuple[float, float]:
        """Returns no rate, never reported."""
        return 0.0, math.inf


def may_get_permit(candidate: Candidate, source: PermitSource, now: float) -> bool:
    """Returns whether a permit for a free slot may be had for the asking."""
    return (
        candidate.limited
        and candidate.free_slots > 0
        and source.may_ask(candidate.server, now)
    )


def permits_wanted(
    jobs: Sequence[Job],
    last: tuple[Job, Candidate] | None,
    candidates: Iterable[Candidate],
    source: PermitSource,
    now: float,
) -> list[tuple[Candidate, int]]:
    """Returns the servers whose permits are to be asked for, and the numbers.

    Ejected servers are asked for only if there are no others.

    Queued jobs can use permits at once. Without one, a permit is asked for if the last
    job would rather have gone to a server with a limit: it is used by the next job,
    and the response shows whether the limit has ended.

    Args:
        jobs: The first of the jobs that remain queued, by descending score.
        last: The job granted last and its server, if any.
        candidates: Servers of the service.
        source: Limits and permits.
        now: Monotonic time in seconds.
    """
    limited = [c for c in candidates if c.limited and c.free_slots and not c.permits]
    if not limited:
        return []
    usable = [c for c in limited if not c.health.is_ejected(now)] or limited
    first = jobs[0] if jobs else last[0] if last is not None else None
    if first is not None:
        usable = [c for c in usable if first.may_run_at(c.server)]
    if not usable:
        return []
    if jobs:
        return _for_queued(jobs, usable, source, now)
    if last is None or last[1].limited:
        return []
    job, taken = last
    best = min(usable, key=lambda c: penalty(job, c, now))
    preferred = penalty(job, best, now) < penalty(job, taken, now)
    return [(best, 1)] if preferred and source.may_ask(best.server, now) else []


def _for_queued(
    jobs: Sequence[Job], usable: list[Candidate], source: PermitSource, now: float
) -> list[tuple[Candidate, int]]:
    """Returns the servers to ask for permits for queued jobs, the best first."""
    job = jobs[0]
    usable.sort(key=lambda c: (c.server.id in job.avoid, penalty(job, c, now)))
    needed = len(jobs)
    wanted = []
    for c in usable:
        if needed <= 0:
            break
        if source.may_ask(c.server, now):
            count = min(needed, c.free_slots)
            wanted.append((c, count))
            needed -= count
    return wanted


def held_back(
    candidates: Iterable[Candidate], source: PermitSource, now: float
) -> tuple[HeldBackServer, ...]:
    """Returns servers with free slots that their limits close to this entry."""
    servers: list[HeldBackServer] = []
    for c in candidates:
        if c.limit_per_s is None or c.free or not c.free_slots:
            continue
        rate_per_s, age_s = source.known_rate(c.server, now)
        age = round(age_s, 3) if age_s < math.inf else None
        servers.append(
            HeldBackServer(c.server.id, c.limit_per_s, rate_per_s, age, cold=c.cold)
        )
        if len(servers) == MAX_HELD_BACK:
            break
    return tuple(servers)


def after_peers(ranked: Sequence[Candidate], ahead: int) -> Candidate:
    """Returns the best server that the peers' requests ahead leave for a job.

    Each of them is assumed to take the best server that is left, but none for which
    this entry holds a permit.

    Args:
        ranked: Servers for the job, the best first.
        ahead: Number of the peers' requests that go first.
    """
    left = ranked[: ahead + 1]
    return next((c for c in left if c.limited), left[-1])
