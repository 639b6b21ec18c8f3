"""The systems that are compared: the gateway's dispatcher and a plain forwarder."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Protocol

import attrs

from benchmarks.replay.engine import Engine, Run
from cornelpin.scheduling.dispatcher import Dispatcher, Placement, Refused
from cornelpin.scheduling.servers import BackendServer

if TYPE_CHECKING:
    import random

    from benchmarks.replay.clients import Call
    from benchmarks.replay.simulation import Simulation
    from cornelpin.scheduling.jobs import Job

HOP_S = 0.001
"""One way between entry and engine."""
GOSSIP_S = 0.012
"""Age of what entries know of each other while requests wait."""
TICK_S = 0.05
"""Time between an entry's looks at what waits."""


class Caller(Protocol):
    """What a system tells a client."""

    def refused(self, call: Call, retry_after_s: float) -> None:
        """Tells that the request has not run."""

    def failed(self, call: Call) -> None:
        """Tells that the request may have run and gave nothing."""


class System(Protocol):
    """A system under replay."""

    def ask(self, call: Call, job: Job, entry: int) -> None:
        """Takes a request at one of its entries."""


class Forwarder:
    """Sends each request at once to the server with the fewest of its own in flight."""

    def __init__(
        self, sim: Simulation, engines: list[Engine], entries: int, caller: Caller
    ) -> None:
        self._sim = sim
        self._engines = engines
        self._caller = caller
        self._in_flight = [
            dict.fromkeys(range(len(engines)), 0) for _ in range(entries)
        ]

    def ask(self, call: Call, job: Job, entry: int) -> None:
        """Sends the request on."""
        counts = self._in_flight[entry]
        number = min(counts, key=lambda n: (counts[n], (n + call.number) % len(counts)))
        counts[number] += 1

        def ended(now: float, whole: bool) -> None:
            counts[number] -= 1
            call.whole = whole and now <= call.deadline
            if not whole:
                self._caller.failed(call)

        run = Run(call.prompt, call.output, call.event, ended)
        if not self._engines[number].submit(run):
            counts[number] -= 1
            self._caller.refused(call, 0.5)


@attrs.define
class _Told:
    at: float
    in_flight: dict[str, tuple[int, int]]
    keys: dict[str, list[float]]


class _Others:
    """What one entry knows of the others, a little old."""

    def __init__(self, sim: Simulation, told: list[list[_Told]], own: int) -> None:
        self._sim = sim
        self._told = told
        self._own = own

    def _known(self) -> list[_Told]:
        before = self._sim.now - GOSSIP_S
        known = []
        for entry, history in enumerate(self._told):
            while len(history) > 1 and history[1].at <= before:
                history.pop(0)
            if entry != self._own and history and history[0].at <= before:
                known.append(history[0])
        return known

    def in_flight(self, server_id: str) -> tuple[int, int]:
        pairs = [told.in_flight.get(server_id, (0, 0)) for told in self._known()]
        return sum(p[0] for p in pairs), sum(p[1] for p in pairs)

    def queue_scores(self, service: str) -> list[float]:
        return sorted(k for told in self._known() for k in told.keys.get(service, ()))

    def remote_age_s(self) -> float:
        return 0.0

    @property
    def count(self) -> int:
        return len(self._told)


class Gateway:
    """Entries that run the product's dispatcher."""

    def __init__(
        self,
        sim: Simulation,
        engines: list[Engine],
        entries: int,
        caller: Caller,
        rng: random.Random,
    ) -> None:
        self._sim = sim
        self._engines = {engine.name: engine for engine in engines}
        self._caller = caller
        self._servers = [
            BackendServer(e.name, "engines", ("replay", 1), "here", slots=e.slots)
            for e in engines
        ]
        self._told: list[list[_Told]] = [[] for _ in range(entries)]
        self._waiting: dict[Job, Call] = {}
        self._dispatchers = [
            Dispatcher(
                servers=lambda service, now: self._servers,
                peers=_Others(sim, self._told, entry),
                connected=lambda server: True,
                data_centre="here",
                rng=rng.random,
            )
            for entry in range(entries)
        ]
        for entry in range(entries):
            first = TICK_S * (1 + entry / entries)
            sim.after(first, functools.partial(self._tick, entry))

    def ask(self, call: Call, job: Job, entry: int) -> None:
        """Takes a request at one entry."""
        refused = self._dispatchers[entry].offer(job, self._sim.now)
        if refused is not None:
            self._caller.refused(call, refused.retry_after_s)
            return
        self._waiting[job] = call
        self._pump(entry)

    def _tick(self, entry: int) -> None:
        shares = self._dispatchers[entry].export_shares(self._sim.now)
        paces = self._dispatchers[entry].export_speeds(self._sim.now)
        for other, dispatcher in enumerate(self._dispatchers):
            if other != entry:
                dispatcher.merge_shares(str(entry), shares, self._sim.now)
                dispatcher.merge_speeds(str(entry), paces, self._sim.now)
        self._pump(entry)
        self._sim.after(TICK_S, lambda: self._tick(entry))

    def _pump(self, entry: int) -> None:
        dispatcher = self._dispatchers[entry]
        now = self._sim.now
        for job, decision in dispatcher.dispatch("engines", now):
            call = self._waiting.pop(job)
            if isinstance(decision, Refused):
                call.held_s += now - job.arrived
                self._caller.refused(call, decision.retry_after_s)
            else:
                self._send(entry, call, job, decision)
        self._tell(entry)

    def _tell(self, entry: int) -> None:
        dispatcher = self._dispatchers[entry]
        told = _Told(self._sim.now, dispatcher.in_flight(), dispatcher.queue_scores())
        self._told[entry].append(told)

    def _send(self, entry: int, call: Call, job: Job, place: Placement) -> None:
        dispatcher = self._dispatchers[entry]
        engine = self._engines[place.server.id]
        sent = self._sim.now
        events = 0
        last = 0.0

        def event(now: float) -> None:
            nonlocal events, last
            call.event(now)
            events += 1
            if events == 1:
                dispatcher.first_bytes(job, place, now - sent, now)
            else:
                pace = dispatcher.speed(place.server)
                pace.record_gap(now - last, job.route.pause_s)
            last = now

        def ended(now: float, whole: bool) -> None:
            standing = dispatcher.health(place.server)
            if whole:
                standing.succeeded()
                dispatcher.record_output(job, events)
            else:
                standing.unreachable(now)
                self._caller.failed(call)
            call.whole = whole and now <= call.deadline
            dispatcher.release(job, place, now)
            self._pump(entry)

        run = Run(call.prompt, call.output, event, ended)
        self._sim.after(
            HOP_S, lambda: self._arrive(entry, call, job, place, engine, run)
        )
        left_s = call.deadline - sent
        self._sim.after(left_s, lambda: self._expire(entry, job, place, engine, run))

    def _arrive(
        self,
        entry: int,
        call: Call,
        job: Job,
        place: Placement,
        engine: Engine,
        run: Run,
    ) -> None:
        if engine.submit(run):
            return
        dispatcher = self._dispatchers[entry]
        dispatcher.health(place.server).unreachable(self._sim.now)
        dispatcher.release(job, place, self._sim.now)
        job.avoid.add(place.server.id)
        self.ask(call, job, entry)

    def _expire(
        self, entry: int, job: Job, place: Placement, engine: Engine, run: Run
    ) -> None:
        engine.cancel(run)
        if self._dispatchers[entry].release(job, place, self._sim.now):
            self._pump(entry)
