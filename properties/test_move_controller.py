"""Two controllers of one move under kills, pauses and store outages.

Guards against moves that change after their end, a loss of the old version before the
new one serves, traffic to a rolled back version, and moves that never end.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from cornelpin.core.configstore import HEAD_KEY
from cornelpin.core.lease import LEASE_DURATION_S
from cornelpin.core.move_state import MoveState
from cornelpin.core.move_store import LEASE_KEY, STATE_KEY
from cornelpin.daemon.move_messages import Brake
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.tests.move_harness import CONTROLLERS, FINISH_BY, MoveHarness
from properties.profiles import run_settings
from properties.store_faults import StoreFaults

indices = st.integers(min_value=0, max_value=CONTROLLERS - 1)


class PausingStore(MemoryObjectStore):
    """Runs an action just before a write of a key takes effect."""

    def __init__(self) -> None:
        super().__init__()
        self.meanwhile = {}

    def put(self, key, value, *, if_version):
        action = self.meanwhile.pop(key, None)
        if action is not None:
            action()
        return super().put(key, value, if_version=if_version)


class MoveMachine(StoreFaults):
    @initialize()
    def start(self) -> None:
        self.harness = MoveHarness(PausingStore())
        self.store = self.harness.store
        self.numbers: list[int] = []
        self.ended: MoveState | None = None

    def teardown(self) -> None:
        self.harness.close()

    @rule(index=indices)
    def step(self, index: int) -> None:
        self.harness.step(index)

    @rule(index=indices)
    def step_with_an_old_configuration(self, index: int) -> None:
        self.harness.deliver_replies()
        self.harness.controllers[index]._step()

    @rule(
        index=indices,
        key=st.sampled_from([STATE_KEY, HEAD_KEY, LEASE_KEY]),
        brake=st.booleans(),
    )
    def pause_in_a_write(self, index: int, key: str, brake: bool) -> None:
        """Pauses a controller before a write for longer than its lease."""

        def meanwhile() -> None:
            self.harness.now += 2 * LEASE_DURATION_S
            if brake:
                self.brake(index)
            for _ in range(8):
                self.harness.now += 1.0
                self.step(1 - index)
                self.state_moves_on_only()

        self.store.meanwhile = {key: meanwhile}
        self.step(index)
        self.store.meanwhile = {}

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.0, LEASE_DURATION_S, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.harness.now += seconds

    @rule(index=indices)
    def kill(self, index: int) -> None:
        if not self.store.outage:
            self.harness.controllers[index] = self.harness.make_controller(index)

    @rule(index=indices)
    def brake(self, index: int) -> None:
        """Stops traffic to the new version at once in all processes (brake).

        An entry that detects a fault of the new version sends such a brake.
        """
        for record in self.harness.controllers[index]._view.active_records():
            for controller in self.harness.controllers:
                controller._view.brake(Brake("m", record.attempt, "fault"))

    @invariant()
    def state_moves_on_only(self) -> None:
        """The stored state never goes back, and an ended move stays ended."""
        book = self.harness.stored_book()
        self.numbers.append(book.number)
        assert self.numbers == sorted(self.numbers)
        record = book.records.get("m")
        if record is None:
            return
        if self.ended is not None:
            assert record.state is self.ended
        if record.state.final:
            self.ended = record.state

    @invariant()
    def nobody_is_ahead_of_the_store(self) -> None:
        number = self.harness.stored_book().number
        assert all(c._view.book.number <= number for c in self.harness.controllers)

    @invariant()
    def old_version_stays_loaded_until_done(self) -> None:
        record = self.harness.stored_book().records.get("m")
        if record is None or record.state is not MoveState.DONE:
            assert all("v1" in link.versions for link in self.harness.links)

    @invariant()
    def taken_back_version_is_not_served(self) -> None:
        """Requests go to the old version after a rollback."""
        for controller in self.harness.controllers:
            record = controller._view.book.records.get("m")
            if record is not None and record.state is MoveState.TAKEN_BACK:
                assert controller._view.choose_version("r", "request") == "v1"

    @invariant()
    def ends_in_time_once_left_alone(self) -> None:
        """Checks that one controller can finish the move from the current state.

        Only at every 25th state: the move stays ended for the rest of the example.
        """
        if self.numbers and len(self.numbers) % 25 == 0:
            self.finish()

    def finish(self) -> None:
        self.store.outage = False
        self.store.lose_answers = self.store.lose_writes = 0
        self.harness.controllers = [
            self.harness.make_controller(i) for i in range(CONTROLLERS)
        ]
        self.harness.run(0, 60)
        # After its deadline an unfinished move is LATE, which is not final.
        if self.harness.now < FINISH_BY:
            assert self.harness.stored_book().records["m"].state.final


MoveMachine.TestCase.settings = run_settings(60, stateful_step_count=50)
TestMoveController = MoveMachine.TestCase
