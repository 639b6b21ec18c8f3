"""Two controllers of one move, killed, paused and cut off from the store at will."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cornelpin.core.configstore import HEAD_KEY, Accepted, ConfigStore
from cornelpin.core.judgement import Opinion
from cornelpin.core.lease import TERM_S
from cornelpin.core.move_state import MoveBook, MoveState
from cornelpin.core.move_store import LEASE_KEY, STATE_KEY
from cornelpin.daemon import move_controller
from cornelpin.daemon.move_controller import MoveController
from cornelpin.daemon.move_messages import Brake, VersionReply
from cornelpin.daemon.move_view import MoveView
from cornelpin.platform.memory_objects import MemoryObjectStore
from cornelpin.platform.objects import Found
from properties.profiles import run_settings

CONTROLLERS = 2
FINISH_BY = 10_000.0
SERVERS = ("f1", "f2", "f3")
names = st.integers(min_value=0, max_value=CONTROLLERS - 1)
GOOD = Opinion(bad=False, accepted=True, suspicious=False, reason="", runs=100)
DOCUMENT = {
    "tiers": {"t": {}},
    "hosts": {"h": {"address": "127.0.0.1"}},
    "backend_servers": {n: {"host": "h", "peer_port": 1} for n in SERVERS},
    "routes": {"r": {"tier": "t", "version": "v1", "backend_servers": list(SERVERS)}},
    "moves": {
        "m": {
            "route": "r",
            "from_version": "v1",
            "to_version": "v2",
            "finish_by": FINISH_BY,
            "stages": [0.1, 0.5, 1],
            "stage_s": 1,
        }
    },
}


class FakeLink:
    """A side that carries out orders at once and refuses old fencing numbers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.usable = True
        self.versions = {"v1"}
        self.fence = 0
        self.replies: list[VersionReply] = []

    def has_version(self, version: str) -> bool:
        return version in self.versions

    def lacks_version(self, version: str) -> bool:
        return version not in self.versions

    def send(self, order) -> bool:
        outcome = "done" if order.fence >= self.fence else "old_fence"
        self.replies.append(VersionReply(order.op, order.version, outcome, 0.0, ""))
        if outcome != "done":
            return True
        self.fence = order.fence
        change = self.versions.add if order.op == "load" else self.versions.discard
        change(order.version)
        return True


class PausingStore(MemoryObjectStore):
    """Lets other things happen just before a write takes effect."""

    def __init__(self) -> None:
        super().__init__()
        self.meanwhile = {}

    def put(self, key, value, *, if_version):
        happen = self.meanwhile.pop(key, None)
        if happen is not None:
            happen()
        return super().put(key, value, if_version=if_version)


class MoveMachine(RuleBasedStateMachine):
    @initialize()
    def start(self) -> None:
        self.now = 0.0
        clock = SimpleNamespace(monotonic=lambda: self.now, time=lambda: self.now)
        self.patched = mock.patch.object(move_controller, "time", clock)
        self.patched.start()
        self.store = PausingStore()
        self.config = ConfigStore(self.store, sleep=lambda s: None)
        assert isinstance(self.config.submit(0, DOCUMENT, author="a"), Accepted)
        self.links = [FakeLink(name) for name in SERVERS]
        self.numbers: list[int] = []
        self.ended: MoveState | None = None
        self.processes = [self.new_controller(i) for i in range(CONTROLLERS)]

    def teardown(self) -> None:
        self.patched.stop()

    def new_controller(self, index: int) -> MoveController:
        snapshot = self.config.load()
        view = SimpleNamespace(config=snapshot.config, number=snapshot.number)
        process = SimpleNamespace(
            settings=SimpleNamespace(name=f"e{index}"),
            incarnation=str(self.now),
            view=view,
            ring=mock.Mock(),
            leaving=threading.Event(),
        )
        controller = MoveController(
            process,
            self.store,
            MoveView(process, list),
            SimpleNamespace(opinion=lambda attempt: GOOD),
            links_of=lambda servers: self.links,
            submit=ConfigStore(self.store, sleep=lambda s: None).submit,
        )
        controller._lease._clock = lambda: self.now
        return controller

    @rule(index=names)
    def step(self, index: int) -> None:
        controller = self.processes[index]
        snapshot = ConfigStore(self.store).load()
        if hasattr(snapshot, "config"):
            controller._process.view.config = snapshot.config
            controller._process.view.number = snapshot.number
        self.deliver()
        controller._step()

    @rule(index=names)
    def step_with_an_old_configuration(self, index: int) -> None:
        self.deliver()
        self.processes[index]._step()

    def deliver(self) -> None:
        for link in self.links:
            replies, link.replies = link.replies, []
            for reply in replies:
                for controller in self.processes:
                    controller.loader.on_reply(link, reply)

    @rule(
        index=names,
        key=st.sampled_from([STATE_KEY, HEAD_KEY, LEASE_KEY]),
        brake=st.booleans(),
    )
    def pause_in_a_write(self, index: int, key: str, brake: bool) -> None:
        """Stops a controller before a write for longer than its lease."""

        def meanwhile() -> None:
            self.now += 2 * TERM_S
            if brake:
                self.brake(index)
            for _ in range(8):
                self.now += 1.0
                self.step(1 - index)
                self.state_moves_on_only()

        self.store.meanwhile = {key: meanwhile}
        self.step(index)
        self.store.meanwhile = {}

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.0, TERM_S, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(index=names)
    def kill(self, index: int) -> None:
        if not self.store.outage:
            self.processes[index] = self.new_controller(index)

    @rule(outage=st.booleans())
    def set_outage(self, outage: bool) -> None:
        self.store.outage = outage

    @rule()
    def lose_answer(self) -> None:
        self.store.lose_answers = 1

    @rule()
    def lose_write(self) -> None:
        self.store.lose_writes = 1

    @rule(index=names)
    def brake(self, index: int) -> None:
        """A fault is seen; the brake reaches all processes."""
        for record in self.processes[index]._view.active():
            for controller in self.processes:
                controller._view.brake(Brake("m", record.attempt, "fault"))

    def stored(self) -> MoveBook:
        value = self.store._objects.get(STATE_KEY)
        return MoveBook.decode(value.value) if isinstance(value, Found) else MoveBook()

    @invariant()
    def state_moves_on_only(self) -> None:
        book = self.stored()
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
        number = self.stored().number
        assert all(c._view.book.number <= number for c in self.processes)

    @invariant()
    def old_version_stays_loaded_until_done(self) -> None:
        record = self.stored().records.get("m")
        if record is None or record.state is not MoveState.DONE:
            assert all("v1" in link.versions for link in self.links)

    @invariant()
    def taken_back_version_is_not_served(self) -> None:
        for controller in self.processes:
            record = controller._view.book.records.get("m")
            if record is not None and record.state is MoveState.TAKEN_BACK:
                assert controller._view.choose("r", "request") == "v1"

    @invariant()
    def ends_in_time_once_left_alone(self) -> None:
        """From every state that is reached, one controller can finish the move."""
        if self.numbers and len(self.numbers) % 25 == 0:
            self.finish()

    def finish(self) -> None:
        self.store.outage = False
        self.store.lose_answers = self.store.lose_writes = 0
        self.processes = [self.new_controller(i) for i in range(CONTROLLERS)]
        for _ in range(60):
            self.now += 1.0
            self.step(0)
        if self.now < FINISH_BY:
            assert self.stored().records["m"].state.final


MoveMachine.TestCase.settings = run_settings(60, stateful_step_count=50)
TestMoveController = MoveMachine.TestCase
