"""Steps and faults of requests between one entry and the sides of two servers."""

from __future__ import annotations

import collections
import random
import types

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cornelpin.backends import CANCELLED, DONE, FAILED, NOT_RUN, RunResult
from cornelpin.core.execution import ExecutionStatus, Refusal
from cornelpin.core.tickets import Request
from cornelpin.daemon.admission import ASK_TIMEOUT_S
from cornelpin.daemon.dispatch import Dispatcher
from cornelpin.daemon.messages import Ask, Head, Heartbeat
from cornelpin.daemon.runs import RESPONSE_RETENTION_S
from cornelpin.daemon.ticket_table import SessionEnded, TicketLimits
from properties.dispatch_fakes import SERVERS, FakePeer, SimulatedServer, make_process

MAX_REQUESTS = 4
RESPONSE = [b"a", b"b", b"c"]
WAIT_S = 1000.0
# Small random steps of the longest pump; also a count of messages that delivers all,
# since no stream ever holds as many here.
PUMP_STEPS = 300
FAULT_SHARE = 0.1


class DispatchSteps(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.servers = {name: SimulatedServer(name) for name in SERVERS}
        self.started = collections.Counter()
        self.outcomes = {}
        self.received = collections.defaultdict(list)
        process = make_process("entry", "entry-1")
        links = types.SimpleNamespace(
            generation=1, of_servers=lambda names: [self.servers[n].link for n in names]
        )
        self.dispatcher = Dispatcher(process, links, TicketLimits(MAX_REQUESTS))
        self.exchanges = {}
        self.heads = set()
        for server in self.servers.values():
            self._open(server)
            self.deliver_to_entry(server.name, 1)

    def _open(self, server):
        entry_end = FakePeer(server.name, server.side._process.incarnation)
        side_end = FakePeer("entry", "entry-1")
        server.sessions = [
            session for session in server.sessions if session[2] is server.side
        ]
        server.sessions.append((entry_end, side_end, server.side))
        server.entry_end = entry_end
        server.link.set_session(entry_end)
        server.side._open(side_end)

    def _guard(self, request_id, action):
        """Runs a step of an exchange; records its refusal and closes it."""
        try:
            return action()
        except Refusal as exc:
            self.outcomes[request_id] = exc.execution
            self.exchanges.pop(request_id).close()
            return None

    @rule(seed=st.integers(0, 2**16), steps=st.sampled_from((5, 50, PUMP_STEPS)))
    def pump(self, seed, steps):
        """Takes many small random steps, so that faults occur in every state."""
        rng = random.Random(seed)
        for _ in range(steps):
            self._small_step(rng)

    @rule(name=st.sampled_from(SERVERS), started=st.booleans())
    def grant_lost_in_flaps(self, name, started):
        """A grant is lost with its session, and the next session is lost, too.

        For each loss the entry resumes the request and the side replies "not run". The
        second reply can arrive after the side was granted the request again, and must
        not end that grant.
        """
        self.accept()
        self.session_flaps(name, 2)
        # The entry handles both session losses; the side replies.
        self._step_all(2)
        self._exchange_messages(name)
        # The entry handles the first reply and reserves a slot again.
        self._step_all(1)
        self._exchange_messages(name)
        # The request is granted again; then the second reply is handled.
        self.ask(name)
        self._exchange_messages(name)
        if started:
            self.backend_starts(name, False)
        self._step_all(1)

    def _exchange_messages(self, name):
        self.deliver_to_side(name, PUMP_STEPS, False)
        self.deliver_to_entry(name, PUMP_STEPS)
        self.deliver_to_side(name, PUMP_STEPS, False)

    def _step_all(self, count):
        for index in range(MAX_REQUESTS):
            self.step_exchange(index, count)

    def _small_step(self, rng):
        name, index = rng.choice(SERVERS), rng.randrange(MAX_REQUESTS)
        count = rng.randint(1, 5)
        actions = (
            lambda: self.accept(),
            lambda: self.place_again(index),
            lambda: self.step_exchange(index, count),
            lambda: self.deliver_to_side(name, count, rng.random() < 0.5),
            lambda: self.deliver_to_entry(name, count),
            lambda: self.entry_reconnects(name),
            lambda: self.ask(name),
            lambda: self.backend_starts(name, rng.random() < 0.2),
            lambda: self.backend_answers(name),
        )
        faults = (
            lambda: self.entry_loses_session(name),
            lambda: self.side_notices_loss(name),
            lambda: self.session_flaps(name, 2),
            lambda: self.ask_times_out(name),
            lambda: self.answers_expire(name),
            lambda: self.heartbeat(name),
            lambda: self.side_restarts(name),
            lambda: self.deadline_passes(index),
        )
        rng.choice(faults if rng.random() < FAULT_SHARE else actions)()

    # The entry

    def _request_id(self, index):
        """Returns the id of the open request at an index, empty if there is none."""
        return sorted(self.exchanges)[index] if index < len(self.exchanges) else ""

    def accept(self):
        if len(self.exchanges) == MAX_REQUESTS:
            return
        request_id = f"r{len(self.exchanges) + len(self.outcomes):05}"
        req = Request(
            request_id=request_id,
            workspace="w",
            route="route",
            tier="t",
            kind="model",
            method="POST",
            path="/",
            headers={},
            body=b"",
            cost=1,
            deadline=float("inf"),
            max_wait_s=WAIT_S,
        )
        exchange = self.dispatcher.open(req)
        self.exchanges[request_id] = exchange
        self._guard(request_id, lambda: exchange._place(direct=True))

    def step_exchange(self, index, count):
        request_id = self._request_id(index)
        for _ in range(count):
            exchange = self.exchanges.get(request_id)
            if exchange is not None and not exchange._ticket.events.empty():
                self._step(request_id, exchange)

    def _step(self, request_id, exchange):
        msg, link = exchange._ticket.events.get_nowait()
        if (
            isinstance(msg, SessionEnded)
            and exchange._ticket.holder is link
            and not link.peer
        ):
            # The real exchange blocks here until the link is connected again or
            # RESUME_TIMEOUT_S have passed.
            exchange._ticket.events.put((msg, link))
            return
        if exchange._superseded(msg, link):
            return
        if request_id in self.heads:
            parts = self._guard(
                request_id, lambda: exchange._on_event_after_head(msg, link)
            )
            self.received[request_id] += parts or []
            if exchange._complete:
                self.outcomes[request_id] = ExecutionStatus.RAN
                self.exchanges.pop(request_id).close()
        elif isinstance(msg, Head):
            exchange._head_taken = True
            self.heads.add(request_id)
        else:
            self._guard(request_id, lambda: exchange._on_event_before_head(msg, link))

    def place_again(self, index):
        """Places a waiting request again, as its exchange does at intervals."""
        request_id = self._request_id(index)
        exchange = self.exchanges.get(request_id)
        if exchange is not None and exchange._ticket.waiting:
            self._guard(request_id, exchange._place)

    @rule(place=st.integers(0, MAX_REQUESTS - 1))
    def deadline_passes(self, place):
        """Ends the time of the open request at index ``place``."""
        request_id = self._request_id(place)
        exchange = self.exchanges.get(request_id)
        if exchange is not None:
            object.__setattr__(exchange._req, "deadline", 0.0)
            self._guard(request_id, exchange._check_time)

    # Streams

    def deliver_to_side(self, name, count, old):
        sessions = [
            session for session in self.servers[name].sessions if session[0].outbox
        ]
        if not sessions:
            return
        entry_end, side_end, side = sessions[0 if old else -1]
        for _ in range(min(count, len(entry_end.outbox))):
            side._handle(side_end, entry_end.outbox.popleft())

    def deliver_to_entry(self, name, count):
        server = self.servers[name]
        entry_end, side_end, _ = (
            server.sessions[-1] if server.sessions else (None, None, None)
        )
        if entry_end is None or entry_end.closed:
            return
        for _ in range(min(count, len(side_end.outbox))):
            msg = side_end.outbox.popleft()
            if isinstance(msg, Heartbeat):
                server.link.on_state(msg)
            self.dispatcher.on_message(server.link, entry_end, msg)

    @rule(name=st.sampled_from(SERVERS))
    def entry_loses_session(self, name):
        server = self.servers[name]
        if server.link.peer is not None:
            server.link.peer.close()
            server.link.clear_session()
            self.dispatcher.tickets.notify_session_ended(server.link)

    @rule(name=st.sampled_from(SERVERS), times=st.integers(2, 3))
    def session_flaps(self, name, times):
        """The session is lost and reopened before any exchange handles an event."""
        for _ in range(times):
            self.entry_loses_session(name)
            self.entry_reconnects(name)

    def entry_reconnects(self, name):
        server = self.servers[name]
        if server.link.peer is None:
            self._open(server)

    @rule(name=st.sampled_from(SERVERS))
    def side_notices_loss(self, name):
        closed = [
            session for session in self.servers[name].sessions if session[0].closed
        ]
        if closed:
            # A session is (entry's end, side's end, side).
            session = closed[0]
            session[2]._close(session[1])
            self.servers[name].sessions.remove(session)

    # The side and its backend server

    def ask(self, name):
        side = self.servers[name].side
        res = side._admission.take_next_to_ask(0.0)
        if res is not None:
            res.owner.send(Ask(res.request_id))

    @rule(name=st.sampled_from(SERVERS))
    def heartbeat(self, name):
        self.servers[name].side._announcer.announce()

    @rule(name=st.sampled_from(SERVERS))
    def ask_times_out(self, name):
        side = self.servers[name].side
        for ask in side._admission._pending_asks.values():
            ask.asked_at -= 2 * ASK_TIMEOUT_S
        side._sweep()

    @rule(name=st.sampled_from(SERVERS))
    def answers_expire(self, name):
        side = self.servers[name].side
        for run in side._runs._runs.values():
            if run.ended_at is not None:
                run.ended_at -= 2 * RESPONSE_RETENTION_S
        side._sweep()

    @rule(name=st.sampled_from(SERVERS))
    def side_restarts(self, name):
        server = self.servers[name]
        self.entry_loses_session(name)
        server.sessions = []
        server.start_side()

    def backend_starts(self, name, refused):
        server = self.servers[name]
        for run, release, resumed in server.held:
            if run.request_id in server.progress or resumed:
                continue
            if refused:
                self._finish(server, (run, release, resumed), RunResult(NOT_RUN))
            else:
                self.started[run.request_id] += 1
                server.progress[run.request_id] = 0
                run.head(200, {})
            return

    def backend_answers(self, name):
        server = self.servers[name]
        for held_run in server.held:
            run = held_run[0]
            sent = run._first_offset + len(run._parts)
            known = server.progress.get(run.request_id)
            if run.cancel.cancelled:
                self._finish(server, held_run, RunResult(CANCELLED))
            # A resumed run that this backend server never started.
            elif known is None and held_run[2]:
                self._finish(server, held_run, RunResult(FAILED))
            elif known is None:
                continue
            elif sent < len(RESPONSE):
                server.progress[run.request_id] = max(known, sent + 1)
                run.parts([RESPONSE[sent]])
            else:
                self._finish(server, held_run, RunResult(DONE))
            return

    def _finish(self, server, held_run, end):
        """Ends a run, given as (run, release function, whether it was resumed)."""
        server.held.remove(held_run)
        held_run[1]()
        server.side._runner._finish(held_run[0], end)
