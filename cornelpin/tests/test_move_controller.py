"""The controller of moves, killed or paused at each of its store calls.

Guards against a controller that continues from stale state or leaves a move that its
successor can't finish.
"""

from __future__ import annotations

import contextlib

import pytest

from cornelpin.core.configstore import ConfigStore
from cornelpin.core.lease import LEASE_DURATION_S
from cornelpin.core.move_state import MoveRecord, MoveState
from cornelpin.core.move_store import STATE_KEY
from cornelpin.daemon.move_messages import MoveNews, VersionReply
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import Found
from cornelpin.tests.move_harness import DOCUMENT, MoveHarness

# A good move takes 92 store calls until it is done, including those of the harness.
CALLS = range(1, 100)
STEPS_S = 40
LAST_STAGE = 2
NO_RECORD = MoveRecord("m", "r", "v1", "v2", "")


class Killed(BaseException):
    """Ends a controller in the middle of a step."""


class InterruptingStore(MemoryObjectStore):
    """Runs ``action`` at one call, before or after the call takes effect."""

    def __init__(self) -> None:
        super().__init__()
        self.calls_until_action = 0
        self.after_effect = False
        self.action = lambda: None
        # Results of the next reads by key, instead of the stored object.
        self.answers: dict[str, list[Found]] = {}

    def get(self, key, **options):
        if self.answers.get(key):
            return self.answers[key].pop()
        return self._call(lambda: MemoryObjectStore.get(self, key, **options))

    def put(self, key, value, **options):
        return self._call(lambda: MemoryObjectStore.put(self, key, value, **options))

    def _call(self, perform):
        self.calls_until_action -= 1
        due = self.calls_until_action == 0
        if due and not self.after_effect:
            self.action()
        outcome = perform()
        if due and self.after_effect:
            self.action()
        return outcome


@pytest.fixture
def harness():
    harness = MoveHarness(InterruptingStore())
    yield harness
    harness.close()


def route_version(harness: MoveHarness) -> str | None:
    return ConfigStore(harness.store).load().config.routes["r"].version


def assert_done(harness: MoveHarness) -> None:
    assert harness.stored_book().records["m"].state is MoveState.DONE
    assert route_version(harness) == "v2"
    assert all(link.versions == {"v2"} for link in harness.links)


@pytest.mark.parametrize("failing_first", [True, False])
def test_unloadable_version_does_not_affect_another_move_on_the_same_servers(
    failing_first,
):
    """Guards against load failures that delay or roll back another move."""
    order = ("broken", "sound") if failing_first else ("sound", "broken")
    ends = {"broken": ("r", "v3"), "sound": ("s", "v2")}
    base = {"from_version": "v1", "stages": [0.5, 1], "stage_s": 1, "finish_by": 60}
    moves = {
        name: base | {"route": ends[name][0], "to_version": ends[name][1]}
        for name in order
    }
    route = DOCUMENT["routes"]["r"]
    harness = MoveHarness(InterruptingStore(), moves=moves, routes={"s": route})
    refusal = VersionReply("load", "v3", "failed", 2.0, "no such weights")
    for link in harness.links:
        link.refusals["v3"] = refusal
    try:
        harness.run(0, STEPS_S)
        records = harness.stored_book().records
        assert records["sound"].state is MoveState.DONE
        assert records["broken"].state is MoveState.LOADING
        assert "no such weights" in records["broken"].reason
        harness.run(0, STEPS_S)
        broken = harness.stored_book().records["broken"]
        assert broken.state is MoveState.LATE
        assert "no such weights" in broken.reason
        assert all(link.versions == {"v1", "v2"} for link in harness.links)
    finally:
        harness.close()


def test_rate_limit_of_the_weight_store_delays_all_loads(harness):
    retry_after_s = 6
    harness.patch({"moves": {"m": {"stages": [1]}}})
    harness.links[0].refusals["v2"] = VersionReply(
        "load", "v2", "limited", retry_after_s, ""
    )
    while not harness.links[0].sent:
        harness.run(0, 1)
    harness.run(0, 1)
    harness.links[0].refusals.clear()
    sent = [list(link.sent) for link in harness.links]
    # At most two loads run at once (MAX_CONCURRENT_LOADS), so the third was not sent.
    assert not sent[2]
    harness.run(0, retry_after_s - 1)
    assert [link.sent for link in harness.links] == sent
    harness.run(0, STEPS_S)
    assert_done(harness)


@pytest.mark.parametrize("has_heard", [True, False])
def test_stale_read_does_not_switch_a_rolled_back_route(harness, has_heard):
    """With ``has_heard`` a peer has sent the new controller the stored rollback."""
    while harness.stored_book().records.get("m", NO_RECORD).stage < LAST_STAGE:
        harness.run(0, 1)
    stale = harness.store.get(STATE_KEY)
    harness.patch({"moves": {"m": {"state": "take_back"}}})
    harness.run(0, 2)
    rolled_back = harness.stored_book()
    assert rolled_back.records["m"].state is MoveState.TAKEN_BACK
    harness.patch({"moves": {"m": {"state": "run"}}})
    harness.controllers[1] = harness.make_controller(1)
    if has_heard:
        state = MoveNews(rolled_back.number, rolled_back.encode())
        harness.controllers[1]._view.handle(state)
    harness.store.answers[STATE_KEY] = [stale] * STEPS_S
    for _ in range(STEPS_S):
        harness.run(1, 1)
        assert route_version(harness) == "v1"
    assert harness.stored_book().records["m"].state is MoveState.TAKEN_BACK


@pytest.mark.parametrize("answers", [1, 5])
@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"number":9,"fence":9,"moves":[{}]}']
)
@pytest.mark.parametrize("begun_s", range(8))
def test_malformed_stored_state_only_delays_a_move(harness, begun_s, value, answers):
    harness.run(0, begun_s)
    harness.controllers[1] = harness.make_controller(1)
    harness.store.answers[STATE_KEY] = [Found(value, 1)] * answers
    harness.run(1, STEPS_S)
    assert not harness.store.answers[STATE_KEY]
    assert_done(harness)


@pytest.mark.parametrize("begun_s", range(1, 8))
def test_lost_stored_state_is_restored_from_the_propagated_one(harness, begun_s):
    harness.run(0, begun_s)
    harness.controllers[1] = harness.make_controller(1)
    harness.controllers[1]._view.publish(harness.stored_book())
    before = harness.stored_book()
    del harness.store._objects[STATE_KEY]
    while not harness.stored_book().records:
        harness.run(1, 1)
    assert harness.stored_book().number > before.number
    assert harness.stored_book().records["m"].attempt == before.records["m"].attempt
    harness.run(1, STEPS_S)
    assert harness.controllers[1]._view.book == harness.stored_book()
    assert_done(harness)


@pytest.mark.parametrize("begun_s", range(1, 9))
@pytest.mark.parametrize(
    "stages", [[1], [0.5, 1], [0.05, 1], [0.2, 0.8, 1], [0.1, 0.2, 0.3, 0.5, 1]]
)
def test_stages_may_be_patched_during_a_move(harness, stages, begun_s):
    harness.run(0, begun_s)
    harness.patch({"moves": {"m": {"stages": stages}}})
    shares = []
    for _ in range(STEPS_S):
        harness.run(0, 1)
        shares.append(harness.stored_book().records["m"].share)
    assert shares == sorted(shares)
    assert_done(harness)


@pytest.mark.parametrize("after_effect", [False, True])
@pytest.mark.parametrize("call", CALLS)
def test_successor_finishes_the_move_of_a_killed_controller(
    harness, call, after_effect
):
    def kill() -> None:
        raise Killed

    harness.store.action, harness.store.after_effect = kill, after_effect
    harness.store.calls_until_action = call
    with contextlib.suppress(Killed):
        harness.run(0, STEPS_S)
    harness.store.calls_until_action = 0
    harness.run(1, STEPS_S)
    assert_done(harness)


@pytest.mark.parametrize("operators_order", ["run", "take_back"])
@pytest.mark.parametrize("call", CALLS)
def test_paused_controller_does_not_override_its_successor(
    harness, call, operators_order
):
    """The pause lasts until the successor has completed or rolled back the move."""
    ended = []

    def pause() -> None:
        harness.now += 2 * LEASE_DURATION_S
        record = harness.stored_book().records.get("m")
        if operators_order != "run" and (record is None or not record.state.final):
            harness.patch({"moves": {"m": {"state": operators_order}}})
        harness.run(1, STEPS_S)
        ended.append(harness.stored_book().records["m"].state)

    harness.store.action = pause
    harness.store.calls_until_action = call
    harness.run(0, STEPS_S)
    harness.run(1, STEPS_S)
    state = harness.stored_book().records["m"].state
    assert state.final
    assert not ended or state is ended[0]
    assert route_version(harness) == ("v2" if state is MoveState.DONE else "v1")
