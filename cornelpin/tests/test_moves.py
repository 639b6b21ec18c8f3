"""Steps of a move, its canary analysis and the choice of versions.

Guards against moves that advance without evidence, analyses that count runs twice, and
entries that serve too much of a new version or a rolled back one.
"""

from __future__ import annotations

import random
from types import SimpleNamespace
from unittest import mock

import attrs
import pytest

from cornelpin.core.canary_analysis import Assessment, CanaryAnalysis, Tally
from cornelpin.core.config import Move
from cornelpin.core.move_plan import MoveInputs, next_record, ready_to_switch
from cornelpin.core.move_state import MoveBook, MoveRecord, MoveState
from cornelpin.core.move_store import STATE_KEY
from cornelpin.core.run_comparison import RunComparison, Sample
from cornelpin.daemon.entry_moves import EntryMoves
from cornelpin.daemon.move_view import MoveView, VersionQuota
from cornelpin.stores.memory_objects import MemoryObjectStore

MOVE = Move(
    name="m",
    route="furnace",
    from_version="v1",
    to_version="v2",
    finish_by=100.0,
    stages=(0.05, 0.5, 1.0),
    stage_s=2.0,
)
RECORD = MoveRecord("m", "furnace", "v1", "v2", "m-1")
GOOD = Assessment(bad=False, accepted=True, suspicious=False, reason="", runs=50)
UNSURE = attrs.evolve(GOOD, accepted=False)
SUSPICIOUS = attrs.evolve(UNSURE, suspicious=True, reason="slow")
BAD = attrs.evolve(SUSPICIOUS, bad=True)
INPUTS = MoveInputs("", GOOD, servers=3, loaded=3, stage_age_s=3.0, left_s=60.0)
STAGE_0 = attrs.evolve(RECORD, state=MoveState.RUNNING, stage=0, share=0.05)
LAST = attrs.evolve(RECORD, state=MoveState.RUNNING, stage=2, share=1.0)


@pytest.mark.parametrize(
    ("record", "move", "facts", "state", "share"),
    [
        (RECORD, {}, {"loaded": 1}, MoveState.LOADING, 0.0),
        (RECORD, {}, {"servers": 0, "loaded": 0}, MoveState.LOADING, 0.0),
        (RECORD, {}, {"loaded": 2}, MoveState.RUNNING, 0.05),
        (STAGE_0, {}, {}, MoveState.RUNNING, 0.5),
        (STAGE_0, {}, {"loaded": 2}, MoveState.RUNNING, 0.05),
        (STAGE_0, {}, {"stage_age_s": 1.0}, MoveState.RUNNING, 0.05),
        (STAGE_0, {}, {"assessment": SUSPICIOUS}, MoveState.RUNNING, 0.05),
        (STAGE_0, {}, {"assessment": UNSURE}, MoveState.RUNNING, 0.05),
        (STAGE_0, {}, {"assessment": UNSURE, "left_s": 8.0}, MoveState.RUNNING, 0.5),
        (STAGE_0, {}, {"assessment": BAD}, MoveState.TAKEN_BACK, 0.0),
        (STAGE_0, {}, {"brake": "fault"}, MoveState.TAKEN_BACK, 0.0),
        (STAGE_0, {}, {"left_s": 0.0}, MoveState.LATE, 0.05),
        (STAGE_0, {"state": "pause"}, {}, MoveState.PAUSED, 0.05),
        (STAGE_0, {"state": "pause"}, {"brake": "x"}, MoveState.TAKEN_BACK, 0.0),
        (STAGE_0, {"state": "take_back"}, {}, MoveState.TAKEN_BACK, 0.0),
        (LAST, {}, {"switched": True}, MoveState.DONE, 1.0),
        (LAST, {}, {"switched": True, "brake": "x"}, MoveState.TAKEN_BACK, 0.0),
        (LAST, {}, {"left_s": 0.0}, MoveState.LATE, 1.0),
    ],
)
def test_next_record(record, move, facts, state, share):
    result = next_record(
        record, attrs.evolve(MOVE, **move), attrs.evolve(INPUTS, **facts)
    )
    assert (result.state, result.share) == (state, share)


@pytest.mark.parametrize(
    ("record", "facts", "ready"),
    [
        (LAST, {}, True),
        (STAGE_0, {}, False),
        (LAST, {"brake": "x"}, False),
        (LAST, {"left_s": -1.0}, False),
        (LAST, {"assessment": SUSPICIOUS}, False),
        (LAST, {"switched": True}, False),
    ],
)
def test_ready_to_switch(record, facts, ready):
    assert ready_to_switch(record, MOVE, attrs.evolve(INPUTS, **facts)) is ready


def test_book_round_trip():
    book = MoveBook(7, 3, {"m": STAGE_0})
    assert MoveBook.decode(book.encode()) == book


@pytest.mark.parametrize("value", [b"", b"[]", b'{"number":1}', b'{"moves":[{}]}'])
def test_malformed_book_is_rejected(value):
    with pytest.raises(ValueError):
        MoveBook.decode(value)


@pytest.mark.parametrize("repeat", [1, 2, 5])
def test_duplicate_and_reordered_tallies_count_once(repeat):
    analysis = CanaryAnalysis(0.1)
    early = Tally("t", old_runs=10, new_runs=1, new_failures=1)
    late = Tally("t", old_runs=20, new_runs=2, new_failures=2)
    for tally in [late, early] * repeat:
        analysis.add_tallies("side-f1", "a", [tally])
    assert analysis.assess().runs == 2
    assert not analysis.assess().bad


def test_tallies_of_a_restarted_source_are_added():
    analysis = CanaryAnalysis(0.1)
    analysis.add_tallies("side-f1", "a", [Tally("t", new_runs=5)])
    analysis.add_tallies("side-f1", "b", [Tally("t", new_runs=3)])
    assert analysis.assess().runs == 8


def test_suspicion_ends_when_later_runs_are_good():
    analysis = CanaryAnalysis(0.1)
    analysis.add_tallies(
        "side-f1", "a", [Tally("t", old_runs=100, new_runs=6, new_failures=3)]
    )
    assert analysis.assess().suspicious
    analysis.add_tallies(
        "side-f1",
        "a",
        [Tally("t", old_runs=200, old_failures=10, new_runs=200, new_failures=3)],
    )
    assert not analysis.assess().suspicious


@pytest.mark.parametrize(
    ("factor", "slow"), [(1.0, False), (1.15, False), (2.0, True), (4.0, True)]
)
def test_comparison_detects_slow_versions(factor, slow):
    rng = random.Random(3)
    now = 0.0
    compared = RunComparison(clock=lambda: now)
    for i in range(420):
        now = i * 0.1
        sample = Sample("t", 2, 0, now, False, rng.lognormvariate(-4, 0.2), 0.0)
        compared.add_old(sample)
        if i < 400 and i % 10 == 9:
            slowed = attrs.evolve(sample, token_s=sample.token_s * factor)
            compared.add_new(slowed)
    now += 2.0
    tally = compared.tallies()[0]
    assert tally.timed == 40
    assert (tally.slow > 0) is slow


@pytest.mark.parametrize("share", [0.01, 0.05, 0.5])
@pytest.mark.parametrize("seed", range(5))
def test_new_version_never_exceeds_its_share(share, seed):
    rng = random.Random(seed)
    quota = VersionQuota(("m-1", 0), share)
    for seen in range(1, 2000):
        quota.admit(rng.random() < share)
        assert quota.assigned <= share * seen + 1
    assert quota.assigned >= 0.5 * share * 2000


def test_rolled_back_version_is_not_served_after_a_late_switch():
    route = SimpleNamespace(version="v2")
    config = SimpleNamespace(routes={"furnace": route})
    process = SimpleNamespace(view=SimpleNamespace(config=config), ring=mock.Mock())
    view = MoveView(process, list)
    rolled_back = attrs.evolve(RECORD, state=MoveState.TAKEN_BACK)
    view.publish(MoveBook(1, 1, {"m": rolled_back}))
    assert view.choose_version("furnace", "request") == "v1"
    assert view.recheck_version("furnace", "v2") == "v1"
    assert view.refuses("furnace", "v2")


@pytest.mark.parametrize(
    ("book", "outage", "state"),
    [
        (MoveBook(), False, "planned"),
        (MoveBook(4, 1, {"m": LAST}), False, "running"),
        (MoveBook(4, 1, {"m": LAST}), True, "unknown"),
    ],
)
def test_entry_without_state_reads_it_or_reports_unknown(book, outage, state):
    objects = MemoryObjectStore()
    if book.number:
        objects.put(STATE_KEY, book.encode(), if_version=0)
    objects.outage = outage
    view = SimpleNamespace(config=SimpleNamespace(moves={"m": MOVE}))
    settings = SimpleNamespace(name="e1")
    process = SimpleNamespace(
        view=view,
        ring=mock.Mock(),
        meters=mock.Mock(),
        settings=settings,
        incarnation="a",
    )
    moves = EntryMoves(
        process, objects, list, links_of=lambda names: [], submit=mock.Mock()
    )
    assert moves.rows()[0]["state"] == state
