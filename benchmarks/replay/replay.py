"""Plays one pattern against one system and sums up what the clients got."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import attrs

from benchmarks.replay.clients import MAX_WAIT_SHARE, Call, draw
from benchmarks.replay.engine import (
    READ_TOKENS_PER_S,
    STEP_PER_REQUEST_S,
    STEP_S,
    Engine,
)
from benchmarks.replay.simulation import Simulation
from benchmarks.replay.systems import Forwarder, Gateway, System

if TYPE_CHECKING:
    from benchmarks.replay.patterns import Asked, Pattern

DRAIN_S = 16.0
"""Time after the last arrival in which everything ends."""
SYSTEMS = ("forwarder", "gateway")


@attrs.frozen
class Result:
    """What the clients of one replay got.

    Attributes:
        in_time: Share served in time, by kind.
        credit: Share of the credit earned, by kind.
        earned: Share of all credit earned.
        held_s: Time for which refused requests were kept, their 90th percentile.
        again: Share of all credit that was refused, came back and was refused again.
        worst: Least share of the credit of a kind, or of its largest tenth or the fifth
            below it.
        false_promises: Requests refused as not run that had run.
    """

    in_time: dict[str, float]
    credit: dict[str, float]
    earned: float
    held_s: float
    again: float
    worst: float
    false_promises: int


class _Clients:
    """All clients of a replay."""

    def __init__(self, sim: Simulation, pattern: Pattern, rng: random.Random) -> None:
        self.calls: list[Call] = []
        self.false_promises = 0
        self._sim = sim
        self._pattern = pattern
        self._rng = rng
        self._system: System | None = None

    def start(self, system: System) -> None:
        self._system = system
        for asked in self._pattern.asked:
            self._next(asked)

    def _next(self, asked: Asked) -> None:
        rate = asked.per_s * self._pattern.factor(asked.route.name, self._sim.now)
        self._sim.after(self._rng.expovariate(rate), lambda: self._arrive(asked))

    def _arrive(self, asked: Asked) -> None:
        if self._sim.now >= self._pattern.length_s:
            return
        call = draw(len(self.calls), asked, self._sim.now, self._rng)
        self.calls.append(call)
        self._try(call)
        self._next(asked)

    def _try(self, call: Call) -> None:
        assert self._system is not None
        call.tries += 1
        call.refused = False
        entry = self._rng.randrange(self._pattern.entries)
        self._system.ask(call, call.job(self._sim.now), entry)

    def refused(self, call: Call, retry_after_s: float) -> None:
        call.refused = True
        if call.first_event is not None:
            self.false_promises += 1
        left_s = call.deadline - self._sim.now
        if call.tries < 2 and left_s > 0:
            wait_s = min(retry_after_s, MAX_WAIT_SHARE * left_s)
            self._sim.after(wait_s, lambda: self._try(call))

    def failed(self, call: Call) -> None:
        """Takes a failure that promises nothing: these clients do not ask again."""


def play(pattern: Pattern, system: str, seed: int) -> Result:
    """Plays a pattern.

    Args:
        pattern: The load pattern.
        system: One of SYSTEMS.
        seed: Seed of arrivals, lengths and choices.
    """
    rng = random.Random(seed)
    sim = Simulation()
    engines = [
        Engine(sim, f"engine-{n}", slowness, pattern.slots, 6)
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
        sim.after(crash.at, functools.partial(engine.crash, crash.for_s))
    clients.start(under_test)
    sim.run(pattern.length_s + DRAIN_S)
    return _sum_up(clients, pattern)


def _sum_up(clients: _Clients, pattern: Pattern) -> Result:
    in_time, credit = {}, {}
    earned = owed = 0.0
    for asked in pattern.asked:
        calls = [c for c in clients.calls if c.asked is asked]
        due = sum(c.weight * asked.worth for c in calls) or 1.0
        got = sum(c.credit for c in calls)
        in_time[asked.route.name] = sum(c.in_time for c in calls) / max(1, len(calls))
        credit[asked.route.name] = got / due
        earned += got
        owed += due
    again = sum(c.weight * c.asked.worth for c in clients.calls if c.refused_again)
    held = sorted(c.held_s for c in clients.calls if c.refused) or [0.0]
    return Result(
        in_time=in_time,
        credit=credit,
        earned=earned / owed,
        held_s=held[int(0.9 * (len(held) - 1))],
        again=again / owed,
        worst=min(_worst_band(clients.calls, asked) for asked in pattern.asked),
        false_promises=clients.false_promises,
    )


def _worst_band(calls: list[Call], asked: Asked) -> float:
    """Returns the least share of the credit of a kind and its two bands of size."""
    some = sorted((c for c in calls if c.asked is asked), key=lambda c: c.size)
    tenth = len(some) // 10
    shares = []
    for band in (some, some[-tenth:], some[-3 * tenth : -tenth]):
        due = sum(c.weight * asked.worth for c in band)
        shares.append(sum(c.credit for c in band) / due if due else 1.0)
    return min(shares)


def bound(pattern: Pattern, seed: int) -> float:
    """Returns a bound on the credit that full knowledge could earn.

    Engine time is a fluid that goes to the requests worth most for it, second by
    second; what is left over in one second may be used in the next.
    """
    rng = random.Random(seed)
    speed = sum(1 / s for s in pattern.slowness)
    step_s = (STEP_S + STEP_PER_REQUEST_S * pattern.slots) / pattern.slots
    budget = earned = owed = 0.0
    for second in range(int(pattern.length_s)):
        down = sum(
            1 / pattern.slowness[c.server]
            for c in pattern.crashes
            if c.at <= second < c.at + c.for_s
        )
        budget = min(budget, speed - down) + speed - down
        offers = []
        for asked in pattern.asked:
            count = round(asked.per_s * pattern.factor(asked.route.name, second))
            for _ in range(count):
                call = draw(0, asked, 0.0, rng)
                cost = call.prompt / READ_TOKENS_PER_S + call.output * step_s
                offers.append((call.weight * asked.worth, cost))
        owed += sum(worth for worth, _ in offers)
        for worth, cost in sorted(offers, key=lambda o: -o[0] / o[1]):
            if cost <= budget:
                budget -= cost
                earned += worth
    return earned / owed
