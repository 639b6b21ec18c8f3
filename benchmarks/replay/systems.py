"""The systems that are compared: the gateway's dispatcher and a plain forwarder."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Protocol

import attrs

from benchmarks.replay.engine import Engine, Run
from benchmarks.replay.limit_exchange import LimitExchange
from cornelpin.scheduling.decisions import Placement, Refused
from cornelpin.scheduling.dispatcher import Dispatcher
from cornelpin.scheduling.servers import BackendServer

if TYPE_CHECKING:
    import random

    from benchmarks.replay.clients import Call
    from benchmarks.replay.simulation import Simulation
    from cornelpin.scheduling.jobs import Job

HOP_LATENCY_S = 0.001
"""One-way latency between entry and engine."""
GOSSIP_DELAY_S = 0.012
"""Delay until the state that an entry publishes is visible to the other entries."""
DISPATCH_INTERVAL_S = 0.05
"""Interval at which an entry sends its class counts and speeds to the others and
dispatches its queue; it also dispatches when a request arrives or ends."""


class Caller(Protocol):
    """Receives the outcomes that a system reports to clients."""

    def on_refused(self, call: Call, retry_after_s: float) -> None:
        """Handles a refusal; the request has not run."""

    def on_failed(self, call: Call) -> None:
        """Handles a failure; the request may have run but returned no response."""


class System(Protocol):
    """A system under replay."""

    def submit(self, call: Call, job: Job, entry: int) -> None:
        """Submits a request to one of the entries."""


class Forwarder:
    """Sends each request at once to the server with the fewest in flight from an entry.

    An entry counts only the requests that it has sent itself.
    """

    def __init__(
        self, sim: Simulation, engines: list[Engine], entries: int, caller: Caller
    ) -> None:
        self._sim = sim
        self._engines = engines
        self._caller = caller
        self._in_flight = [
            dict.fromkeys(range(len(engines)), 0) for _ in range(entries)
        ]

    def submit(self, call: Call, job: Job, entry: int) -> None:
        """Forwards the request to an engine."""
        counts = self._in_flight[entry]
        number = min(counts, key=lambda n: (counts[n], (n + call.number) % len(counts)))
        counts[number] += 1

        def on_end(now: float, completed: bool) -> None:
            counts[number] -= 1
            call.completed = completed and now <= call.deadline
            if not completed:
                self._caller.on_failed(call)

        run = Run(call.prompt_tokens, call.output_tokens, call.record_event, on_end)
        if not self._engines[number].submit(run):
            counts[number] -= 1
            # The forwarder knows no queue times: a fixed Retry-After, seconds.
            self._caller.on_refused(call, 0.5)


@attrs.define
class _EntryState:
    """State that an entry publishes after each dispatch.

    Attributes:
        taken_at: Simulated time of the state, seconds.
        in_flight: Requests in flight and their pending prompt tokens, by server id.
        queue_scores: Scores of the queued requests, by service.
    """

    taken_at: float
    in_flight: dict[str, tuple[int, int]]
    queue_scores: dict[str, list[float]]


class _PeerView:
    """What one entry sees of the others, delayed by the gossip between them."""

    silent_data_centres: frozenset[str] = frozenset()

    def __init__(
        self, sim: Simulation, histories: list[list[_EntryState]], own: int
    ) -> None:
        self._sim = sim
        self._histories = histories
        self._own = own

    def _visible_states(self) -> list[_EntryState]:
        newest_at = self._sim.now - GOSSIP_DELAY_S
        visible = []
        for entry, history in enumerate(self._histories):
            while len(history) > 1 and history[1].taken_at <= newest_at:
                history.pop(0)
            if entry != self._own and history and history[0].taken_at <= newest_at:
                visible.append(history[0])
        return visible

    def in_flight(self, server_id: str) -> tuple[int, int]:
        pairs = [s.in_flight.get(server_id, (0, 0)) for s in self._visible_states()]
        return sum(p[0] for p in pairs), sum(p[1] for p in pairs)

    def queue_scores(self, service: str) -> list[float]:
        return sorted(
            score
            for state in self._visible_states()
            for score in state.queue_scores.get(service, ())
        )

    def remote_age_s(self) -> float:
        """Age of the reports of other data centres; the replay has only one."""
        return 0.0

    @property
    def count(self) -> int:
        """Number of entries, the own one included."""
        return len(self._histories)


class Gateway:
    """Entries that run the dispatcher of ``cornelpin.scheduling``."""

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
        self._histories: list[list[_EntryState]] = [[] for _ in range(entries)]
        self._limits = LimitExchange(
            sim, self._servers, entries, GOSSIP_DELAY_S, HOP_LATENCY_S, self._dispatch
        )
        self._queued: dict[Job, Call] = {}
        self._dispatchers = [
            Dispatcher(
                servers=lambda service, now: self._servers,
                peers=_PeerView(sim, self._histories, entry),
                connected=lambda server: True,
                data_centre="here",
                permits=self._limits.coordinators[entry],
                rng=rng.random,
            )
            for entry in range(entries)
        ]
        for entry in range(entries):
            first = DISPATCH_INTERVAL_S * (1 + entry / entries)
            sim.call_later(first, functools.partial(self._tick, entry))

    def start_cold(self, indices: tuple[int, ...], per_s: float, cold_s: float) -> None:
        """Tells the entries of servers, by their indices, that come back cold."""
        self._limits.restrict_cold(per_s)
        for index in indices:
            self._limits.register_cold(self._servers[index], cold_s)

    def submit(self, call: Call, job: Job, entry: int) -> None:
        """Queues a request at an entry and dispatches the queue."""
        refused = self._dispatchers[entry].offer(job, self._sim.now)
        if refused is not None:
            call.refusal_waits_s.append(0.0)
            self._caller.on_refused(call, refused.retry_after_s)
            return
        self._queued[job] = call
        self._sim.call_later(
            job.abandoned_at - self._sim.now,
            lambda: self._abandon(entry, call, job),
        )
        self._dispatch(entry)

    def _abandon(self, entry: int, call: Call, job: Job) -> None:
        """Removes a queued request whose client has disconnected."""
        if self._queued.pop(job, None) is not None:
            self._dispatchers[entry].withdraw(job)
            self._caller.on_failed(call)

    def _tick(self, entry: int) -> None:
        self._limits.coordinators[entry].tick()
        class_counts = self._dispatchers[entry].export_class_counts(self._sim.now)
        speeds = self._dispatchers[entry].speeds.export(self._sim.now)
        for other, dispatcher in enumerate(self._dispatchers):
            if other != entry:
                dispatcher.merge_class_counts(str(entry), class_counts, self._sim.now)
                dispatcher.speeds.merge_from(str(entry), speeds, self._sim.now)
        self._dispatch(entry)
        self._sim.call_later(DISPATCH_INTERVAL_S, lambda: self._tick(entry))

    def _dispatch(self, entry: int) -> None:
        dispatcher = self._dispatchers[entry]
        now = self._sim.now
        for job, decision in dispatcher.dispatch("engines", now):
            call = self._queued.pop(job)
            if isinstance(decision, Refused):
                call.refused_wait_s += now - job.arrived
                call.refusal_waits_s.append(now - job.arrived)
                self._caller.on_refused(call, decision.retry_after_s)
            else:
                self._send(entry, call, job, decision)
        self._publish_state(entry)

    def _publish_state(self, entry: int) -> None:
        dispatcher = self._dispatchers[entry]
        state = _EntryState(
            self._sim.now, dispatcher.in_flight(), dispatcher.queue_scores()
        )
        self._histories[entry].append(state)

    def _send(self, entry: int, call: Call, job: Job, placement: Placement) -> None:
        dispatcher = self._dispatchers[entry]
        engine = self._engines[placement.server.id]
        sent_at = self._sim.now
        events = 0
        last_event_at = 0.0

        def on_event(now: float) -> None:
            nonlocal events, last_event_at
            call.record_event(now)
            events += 1
            if events == 1:
                self._limits.observe(
                    entry, placement.server, engine.limit_per_s, sent_at
                )
                dispatcher.first_bytes(job, placement, now - sent_at, now)
            elif not placement.cold:
                speed = dispatcher.speed(placement.server)
                speed.record_gap(now - last_event_at, job.route.max_event_gap_s)
            last_event_at = now

        def on_end(now: float, completed: bool) -> None:
            health = dispatcher.health(placement.server)
            if completed:
                health.succeeded()
                dispatcher.record_output(job, events, now)
            else:
                health.unreachable(now)
                self._caller.on_failed(call)
            call.completed = completed and now <= call.deadline
            dispatcher.release(job, placement, now)
            self._dispatch(entry)

        run = Run(call.prompt_tokens, call.output_tokens, on_event, on_end)
        self._sim.call_later(
            HOP_LATENCY_S,
            lambda: self._arrive(entry, call, job, placement, engine, run),
        )
        self._sim.call_later(
            call.deadline - sent_at,
            lambda: self._expire(entry, job, placement, engine, run),
        )

        def abandon() -> None:
            if not events:
                self._expire(entry, job, placement, engine, run)

        self._sim.call_later(job.abandoned_at - sent_at, abandon)

    def _arrive(
        self,
        entry: int,
        call: Call,
        job: Job,
        placement: Placement,
        engine: Engine,
        run: Run,
    ) -> None:
        if engine.submit(run):
            return
        dispatcher = self._dispatchers[entry]
        dispatcher.health(placement.server).unreachable(self._sim.now)
        dispatcher.release(job, placement, self._sim.now)
        job.avoid.add(placement.server.id)
        self.submit(call, job, entry)

    def _expire(
        self, entry: int, job: Job, placement: Placement, engine: Engine, run: Run
    ) -> None:
        engine.cancel(run)
        if self._dispatchers[entry].release(job, placement, self._sim.now):
            self._dispatch(entry)
