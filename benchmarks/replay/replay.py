"""Replays one load pattern against one system and computes what the clients earned."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import attrs

from benchmarks.replay.clients import MAX_WAIT_SHARE, Call, draw
from benchmarks.replay.engine import Engine
from benchmarks.replay.simulation import Simulation
from benchmarks.replay.systems import HOP_LATENCY_S, Forwarder, Gateway, System

if TYPE_CHECKING:
    from benchmarks.replay.patterns import ColdStart, Pattern, RequestKind

DRAIN_S = 16.0
"""Time after the last arrival, longer than every route's time-out."""
EARLY_SHARE = 0.25
"""Part of its objective within which a caller that is not served should know it."""
SETTLE_S = 0.5
"""Time from which a limit is counted: a server's first response with it takes a
while."""
WINDOW_S = 4.0
"""Window in which requests to servers with limits are counted."""
SYSTEMS = ("forwarder", "gateway")


@attrs.frozen
class Result:
    """Outcome of one replay for its clients.

    Attributes:
        in_time: Share of requests answered in time, by kind.
        earned_by_kind: Earned share of the offered value, by kind.
        earned: Earned share of the offered value of all kinds.
        refused_wait_s: Seconds that refused requests were queued, 90th percentile.
        refused_again: Share of the offered value that was refused, retried and refused
            again.
        worst: Lowest of three earned shares, over all kinds: that of all calls of the
            kind, of its largest 10 % and of the next 20 %.
        false_refusals: Requests refused as not run that had run.
        served: Share of the calls that were answered completely.
        refused_early: Share of the refusals within ``EARLY_SHARE`` of the objective.
        over_limit: Most requests that a server with a limit got in ``WINDOW_S``, as a
            multiple of what the limit allows in that time; zero without limits.
        limits_used: Requests that servers with limits got, as a part of what their
            limits allow; zero without limits.
        cold_per_s: Most requests that a cold server got in one second.
        cold_used: Requests that cold servers got, as a part of what they take.
    """

    in_time: dict[str, float]
    earned_by_kind: dict[str, float]
    earned: float
    refused_wait_s: float
    refused_again: float
    worst: float
    false_refusals: int
    served: float
    refused_early: float
    over_limit: float = 0.0
    limits_used: float = 0.0
    cold_per_s: int = 0
    cold_used: float = 0.0


class _Clients:
    """All clients of a replay; each call is retried once after a refusal."""

    def __init__(self, sim: Simulation, pattern: Pattern, rng: random.Random) -> None:
        self.calls: list[Call] = []
        self.false_refusals = 0
        self._sim = sim
        self._pattern = pattern
        self._rng = rng
        # Separate from that of the arrivals, so that these are the same for all
        # systems.
        self._entry_rng = random.Random(rng.random())
        self._rngs: dict[str, random.Random] = {}
        self._system: System | None = None

    def start(self, system: System) -> None:
        self._system = system
        for kind in self._pattern.kinds:
            self._rngs[kind.route.name] = random.Random(self._rng.random())
            self._schedule_next(kind)

    def _schedule_next(self, kind: RequestKind) -> None:
        rng = self._rngs[kind.route.name]
        rate = kind.rate_per_s * self._pattern.factor(kind.route.name, self._sim.now)
        delay_s = rng.expovariate(rate / self._pattern.clump)
        self._sim.call_later(delay_s, lambda: self._arrive(kind))

    def _arrive(self, kind: RequestKind) -> None:
        if self._sim.now >= self._pattern.duration_s:
            return
        rng = self._rngs[kind.route.name]
        more = True
        while more:
            call = draw(len(self.calls), kind, self._sim.now, rng)
            self.calls.append(call)
            self._attempt(call)
            more = rng.random() > 1 / self._pattern.clump
        self._schedule_next(kind)

    def _attempt(self, call: Call) -> None:
        assert self._system is not None
        call.attempts += 1
        call.refused = False
        entry = self._entry_rng.randrange(self._pattern.entries)
        job = call.make_job(self._sim.now, self._pattern.engine.event_tokens)
        self._system.submit(call, job, entry)

    def on_refused(self, call: Call, retry_after_s: float) -> None:
        call.refused = True
        if call.first_event_at is not None:
            self.false_refusals += 1
        left_s = call.deadline - self._sim.now
        if call.attempts < 2 and left_s > 0:
            wait_s = min(retry_after_s, MAX_WAIT_SHARE * left_s)
            self._sim.call_later(wait_s, lambda: self._attempt(call))

    def on_failed(self, call: Call) -> None:
        """Ignores a failure: the request may have run, so it is not retried."""


def play(pattern: Pattern, system: str, seed: int) -> Result:
    """Replays a pattern against a system.

    Args:
        pattern: The load pattern.
        system: One of SYSTEMS.
        seed: Seed of arrivals, lengths and choices.
    """
    rng = random.Random(seed)
    sim = Simulation()
    engines = [
        Engine(sim, f"engine-{n}", slowness, pattern.slots, pattern.engine)
        for n, slowness in enumerate(pattern.slowness)
    ]
    clients = _Clients(sim, pattern, rng)
    under_test: System
    if system == "gateway":
        under_test = Gateway(
            sim, engines, pattern.entries, clients, random.Random(seed)
        )
    elif system == "forwarder":
        under_test = Forwarder(sim, engines, pattern.entries, clients)
    else:
        raise ValueError(f"system: {system!r} is not valid, expected {SYSTEMS}")
    for crash in pattern.crashes:
        engine = engines[crash.server]
        sim.call_later(crash.start_s, functools.partial(engine.crash, crash.duration_s))
    for limit in pattern.limits:
        engine = engines[limit.server]
        name = functools.partial(setattr, engine, "limit_per_s")
        sim.call_later(limit.start_s, functools.partial(name, limit.per_s))
        end_s = limit.start_s + limit.duration_s
        sim.call_later(end_s, functools.partial(name, None))
    if pattern.cold_start is not None and isinstance(under_test, Gateway):
        _schedule_cold(sim, pattern.cold_start, engines, under_test)
    clients.start(under_test)
    sim.run_until(pattern.duration_s + DRAIN_S)
    result = _summarise(clients, pattern)
    over_limit, limits_used = _limits_kept(pattern, engines)
    cold_per_s, cold_used = _cold_kept(pattern, engines)
    return attrs.evolve(
        result,
        over_limit=over_limit,
        limits_used=limits_used,
        cold_per_s=cold_per_s,
        cold_used=cold_used,
    )


def _schedule_cold(
    sim: Simulation, cold: ColdStart, engines: list[Engine], gateway: Gateway
) -> None:
    def slow_down(factor: float) -> None:
        for index in cold.servers:
            engines[index].slowness *= factor

    def start() -> None:
        slow_down(cold.slowness)
        gateway.start_cold(cold.servers, cold.per_s, cold.duration_s)

    sim.call_later(cold.start_s, start)
    end_s = cold.start_s + cold.duration_s
    sim.call_later(end_s, lambda: slow_down(1 / cold.slowness))


def _cold_kept(pattern: Pattern, engines: list[Engine]) -> tuple[int, float]:
    """Returns ``cold_per_s`` and ``cold_used``."""
    cold = pattern.cold_start
    if cold is None:
        return 0, 0.0
    most = arrived = 0
    for index in cold.servers:
        times = [
            at
            for at in engines[index].arrivals
            if cold.start_s + HOP_LATENCY_S <= at < cold.start_s + cold.duration_s
        ]
        counts = [sum(1 for t in times if at <= t < at + 1.0) for at in times]
        most = max(most, max(counts, default=0))
        arrived += len(times)
    return most, arrived / (len(cold.servers) * cold.per_s * cold.duration_s)


def _limits_kept(pattern: Pattern, engines: list[Engine]) -> tuple[float, float]:
    """Returns ``over_limit`` and ``limits_used``, after ``SETTLE_S`` of each limit."""
    most = arrived = allowed = 0.0
    for limit in pattern.limits:
        start_s = limit.start_s + SETTLE_S
        end_s = limit.start_s + limit.duration_s
        times = [at for at in engines[limit.server].arrivals if start_s <= at < end_s]
        counts = [sum(1 for t in times if at <= t < at + WINDOW_S) for at in times]
        most = max(most, max(counts, default=0) / (WINDOW_S * limit.per_s))
        arrived += len(times)
        allowed += limit.per_s * (end_s - start_s)
    return most, arrived / allowed if allowed else 0.0


def _summarise(clients: _Clients, pattern: Pattern) -> Result:
    in_time, earned_by_kind = {}, {}
    earned = offered = 0.0
    for kind in pattern.kinds:
        calls = [c for c in clients.calls if c.kind is kind]
        kind_offered = sum(c.weight * kind.value for c in calls) or 1.0
        kind_earned = sum(c.credit for c in calls)
        in_time[kind.route.name] = sum(c.in_time for c in calls) / max(1, len(calls))
        earned_by_kind[kind.route.name] = kind_earned / kind_offered
        earned += kind_earned
        offered += kind_offered
    refused_again = sum(
        c.weight * c.kind.value for c in clients.calls if c.refused_again
    )
    waits = sorted(c.refused_wait_s for c in clients.calls if c.refused) or [0.0]
    return Result(
        in_time=in_time,
        earned_by_kind=earned_by_kind,
        earned=earned / offered,
        refused_wait_s=waits[int(0.9 * (len(waits) - 1))],
        refused_again=refused_again / offered,
        worst=min(_worst_band(clients.calls, kind) for kind in pattern.kinds),
        false_refusals=clients.false_refusals,
        served=sum(c.completed for c in clients.calls) / max(1, len(clients.calls)),
        refused_early=_refused_early(clients.calls),
    )


def _refused_early(calls: list[Call]) -> float:
    """Returns the share of refusals that callers got early."""
    early = [
        wait_s <= EARLY_SHARE * call.kind.route.objective_s
        for call in calls
        for wait_s in call.refusal_waits_s
    ]
    return sum(early) / len(early) if early else 1.0


def _worst_band(calls: list[Call], kind: RequestKind) -> float:
    """Returns the lowest earned share of a kind's calls and of two of its size bands.

    The bands are the largest 10 % and the next 20 %.
    """
    ordered = sorted((c for c in calls if c.kind is kind), key=lambda c: c.size)
    tenth = len(ordered) // 10
    shares = []
    for band in (ordered, ordered[-tenth:], ordered[-3 * tenth : -tenth]):
        band_offered = sum(c.weight * kind.value for c in band)
        shares.append(
            sum(c.credit for c in band) / band_offered if band_offered else 1.0
        )
    return min(shares)


def bound(pattern: Pattern, seed: int) -> float:
    """Returns an upper bound on the share that a scheduler with full knowledge earns.

    Relaxes the problem: engine time is divisible and goes to the requests with the
    highest value per second of it; time unused in one second carries over to the next.
    """
    rng = random.Random(seed)
    # Engine-seconds per second, of an engine of slowness 1.
    capacity = sum(1 / s for s in pattern.slowness)
    budget = earned = offered = 0.0
    for second in range(int(pattern.duration_s)):
        down = sum(
            1 / pattern.slowness[c.server]
            for c in pattern.crashes
            if c.start_s <= second < c.start_s + c.duration_s
        )
        budget = min(budget, capacity - down) + capacity - down
        candidates = []
        for kind in pattern.kinds:
            count = round(kind.rate_per_s * pattern.factor(kind.route.name, second))
            for _ in range(count):
                call = draw(0, kind, 0.0, rng)
                cost = pattern.engine.run_s(
                    call.prompt_tokens, call.output_tokens, pattern.slots
                )
                candidates.append((call.weight * kind.value, cost))
        offered += sum(value for value, _ in candidates)
        for value, cost in sorted(candidates, key=lambda c: -c[0] / c[1]):
            if cost <= budget:
                budget -= cost
                earned += value
    return earned / offered
