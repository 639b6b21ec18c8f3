"""Dispatch at most once under lost, delayed and superseded sessions.

The entry's dispatcher and exchange and the side's own message handling run here
unchanged; streams, time-outs and the backend servers are driven by rules.
"""

from __future__ import annotations

from hypothesis import HealthCheck, Phase
from hypothesis.stateful import invariant

from cornelpin.core.execution import ExecutionStatus
from properties.dispatch_steps import ANSWER, DispatchSteps
from properties.profiles import run_settings


class Dispatch(DispatchSteps):
    # What must hold

    @invariant()
    def dispatched_at_most_once(self):
        assert all(count <= 1 for count in self.started.values()), self.started

    @invariant()
    def not_run_is_true(self):
        for request_id, verdict in self.verdicts.items():
            if verdict is ExecutionStatus.NOT_RUN:
                assert self.started[request_id] == 0

    @invariant()
    def answers_are_whole(self):
        for request_id, verdict in self.verdicts.items():
            if verdict is ExecutionStatus.RAN:
                assert self.received[request_id] == ANSWER

    @invariant()
    def slots_are_conserved(self):
        for world in self.worlds.values():
            admission = world.side._admission
            assert admission.slots.used == len(world.held) + admission.pending_asks

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
