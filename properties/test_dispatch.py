"""Requests are dispatched at most once while sessions are lost, delayed and replaced.

The entry's dispatcher and exchanges and the side's message handling are the real ones;
rules drive streams, time-outs and backend servers.
"""

from __future__ import annotations

from hypothesis import HealthCheck, Phase
from hypothesis.stateful import invariant

from cornelpin.core.execution import ExecutionStatus
from properties.dispatch_steps import RESPONSE, DispatchSteps
from properties.profiles import run_settings


class Dispatch(DispatchSteps):
    @invariant()
    def dispatched_at_most_once(self):
        assert all(count <= 1 for count in self.started.values()), self.started

    @invariant()
    def not_run_is_true(self):
        for request_id, execution in self.outcomes.items():
            if execution is ExecutionStatus.NOT_RUN:
                assert self.started[request_id] == 0

    @invariant()
    def answers_are_whole(self):
        for request_id, execution in self.outcomes.items():
            if execution is ExecutionStatus.RAN:
                assert self.received[request_id] == RESPONSE

    @invariant()
    def slots_are_conserved(self):
        for server in self.servers.values():
            admission = server.side._admission
            assert admission.slots.used == len(server.held) + admission.pending_asks

    @invariant()
    def nothing_stays_held(self):
        assert len(self.dispatcher.tickets) == len(self.exchanges)


TestDispatch = Dispatch.TestCase
TestDispatch.settings = run_settings(
    300,
    stateful_step_count=30,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
