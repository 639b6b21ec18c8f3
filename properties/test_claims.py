"""Claims in one shard: at most one dispatch per key, whatever the store and entries do.

Guards against a key dispatched twice after a lost answer, a late write, a pause or a
take-over, against a retry with another answer, and against leaked segments.
"""

from __future__ import annotations

import time

import attrs
import pytest
from hypothesis import HealthCheck, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cornelpin.core.claim_segments import SEGMENT_PREFIX, parse_segment_key
from cornelpin.core.claim_shards import (
    StoredShard,
    decode_shard,
    encode_shard,
    expire_record,
    shard_key,
)
from cornelpin.core.claims import (
    Absent,
    Change,
    ClaimState,
    Existing,
    Held,
    NotStored,
    Outcome,
    Packed,
    Record,
    claim,
    conclude,
    dispatch,
    release,
    take_over,
)
from cornelpin.daemon.garbage_collector import GarbageCollector
from cornelpin.daemon.pending_changes import PendingChange
from cornelpin.daemon.shard_reader import ShardSnapshot
from cornelpin.daemon.shard_writer import ShardWriter
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import Listed
from properties.claims_harness import (
    RETENTION,
    SHARD,
    DelayedWrites,
    make_record,
    open_shard,
)
from properties.claims_model import KEEP_S, UNFINISHED_S, ClaimsModel
from properties.profiles import run_settings

OWNERS = ("e1", "e2", "e3")
KEYS = ("k1", "k2", "k3", "k4", "k5", "k6")
# Batches written until a change counts as not stored.
TRIES = 8
AGES_S = (1800.0, KEEP_S - 1000.0, KEEP_S + 10.0, KEEP_S + UNFINISHED_S + 10.0)
MACHINE_SETTINGS = run_settings(
    300,
    stateful_step_count=40,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)


@attrs.define
class Work:
    """A request that an owner has claimed, before and after its dispatch."""

    record: Record
    dispatched: bool = False


class ClaimsMachine(RuleBasedStateMachine):
    """Several entries claim, pause, lose answers, restart and take over."""

    def __init__(self) -> None:
        super().__init__()
        self.store = DelayedWrites()
        self.now = time.time()
        self.shards = {name: self._open() for name in OWNERS}
        self.model = ClaimsModel()
        self.work: dict[str, list[Work]] = {name: [] for name in OWNERS}
        self.count = 0

    def _open(self) -> ShardWriter:
        return open_shard(self.store, clock=lambda: self.now)

    def _new(self, key: str, entry: str, state: ClaimState) -> Record:
        return make_record(key, self._owner(entry), state, self.now)

    def _apply(self, entry: str, key: str, change: Change) -> Outcome | NotStored:
        pending = PendingChange(key, change, 0.0)
        shard = self.shards[entry]
        shard.submit(pending)
        for _ in range(TRIES):
            if pending.settled:
                break
            shard.write_batch()
        return pending.wait(0.0)

    def _owner(self, entry: str) -> str:
        self.count += 1
        return f"{entry}:{self.count}"

    @rule(entry=st.sampled_from(OWNERS), key=st.sampled_from(KEYS))
    def call(self, entry: str, key: str) -> None:
        """A keyed call: claimed and dispatched in one write, or refused."""
        record = self._new(key, entry, ClaimState.DISPATCHED)
        match self._apply(entry, key, claim(record)):
            case Held():
                self.model.dispatch(key, record.owner, self.now)
                self.work[entry].append(Work(record, dispatched=True))
            case NotStored():
                self.model.refused_not_run.append(record.owner)
                self.shards[entry].submit(
                    PendingChange(key, release(record.owner), 0.0)
                )
            case Existing(found):
                self._check_answer(key, found)

    def _check_answer(self, key: str, found: Record) -> None:
        """Checks that the record of a completed run has the run's own answer."""
        retained = self.now - found.at <= RETENTION.answers_s
        if found.state is ClaimState.DONE and (retained or found.answer.present):
            self.model.read(key, found.answer.value)

    @rule(entry=st.sampled_from(OWNERS), key=st.sampled_from(KEYS))
    def accept(self, entry: str, key: str) -> None:
        """A durable request: stored now, dispatched later."""
        record = self._new(key, entry, ClaimState.ACCEPTED)
        if isinstance(self._apply(entry, key, claim(record)), Held):
            self.work[entry].append(Work(record))

    @rule(entry=st.sampled_from(OWNERS))
    def grant(self, entry: str) -> None:
        """The owner dispatches, possibly after a long pause."""
        for work in self.work[entry]:
            if work.dispatched:
                continue
            change = dispatch(work.record.owner, side="s", incarnation="j", at=self.now)
            if isinstance(self._apply(entry, work.record.key, change), Held):
                work.dispatched = True
                self.model.dispatch(work.record.key, work.record.owner, self.now)
            return

    @rule(entry=st.sampled_from(OWNERS), runs=st.booleans())
    def finish(self, entry: str, runs: bool) -> None:
        """A dispatched request ends, with an answer if it ``runs``, or a failure."""
        dispatched = [work for work in self.work[entry] if work.dispatched]
        if not dispatched:
            return
        work = dispatched[0]
        self.work[entry].remove(work)
        state = ClaimState.DONE if runs else ClaimState.FAILED
        body = work.record.owner.encode()
        answer = Packed(value=body if runs else b"")
        owner = work.record.owner
        change = conclude(owner, state, at=self.now, answer=answer)
        self.model.end(work.record.key, owner, self.now)
        if runs:
            self.model.answer(work.record.key, owner, body)
        self.shards[entry].submit(PendingChange(work.record.key, change, 0.0))
        self.shards[entry].write_batch()

    @rule(entry=st.sampled_from(OWNERS), key=st.sampled_from(KEYS))
    def adopt(self, entry: str, key: str) -> None:
        """An entry assumes, rightly or not, that the owner has failed."""
        snapshot = self.shards[entry].reader.read(0.0)
        seen = snapshot.records.get(key) if snapshot else None
        if seen is None or not seen.durable or seen.entry == entry:
            return
        owner = self._owner(entry)
        change = take_over(seen, owner=owner, entry=entry, incarnation="i")
        outcome = self._apply(entry, key, change)
        if isinstance(outcome, Held) and outcome.record.state is ClaimState.ACCEPTED:
            self.work[entry].append(Work(outcome.record))

    @rule(entry=st.sampled_from(OWNERS))
    def die(self, entry: str) -> None:
        """An entry loses its state; its writes in flight may still take effect."""
        self.shards[entry] = self._open()
        self.work[entry] = []

    @rule(
        outage=st.booleans(),
        answers=st.integers(0, 2),
        writes=st.integers(0, 2),
        delays=st.integers(0, 2),
        delay_keys=st.sampled_from(["", shard_key(SHARD)]),
    )
    def fault(
        self, outage: bool, answers: int, writes: int, delays: int, delay_keys: str
    ) -> None:
        self.store.outage = outage
        self.store.lose_answers = answers
        self.store.lose_writes = writes
        self.store.delay_writes = delays
        self.store.delay_keys = delay_keys

    @rule()
    def heal(self) -> None:
        self.store.outage = False
        self.store.lose_answers = 0
        self.store.lose_writes = 0
        self.store.delay_writes = 0
        for shard in self.shards.values():
            for _ in range(TRIES):
                shard.write_batch()

    @rule(age_s=st.sampled_from(AGES_S))
    def age(self, age_s: float) -> None:
        self.now += age_s

    @rule()
    def late_write(self) -> None:
        if self.store.delayed and not self.store.outage:
            self.store.deliver()

    @invariant()
    def never_twice(self) -> None:
        assert all(count == 1 for count in self.model.dispatched.values())

    def teardown(self) -> None:
        """Once the store has recovered, refused callers hold no key."""
        while self.store.delayed:
            self.store.outage = False
            self.store.deliver()
        self.heal()
        reader = self._open().reader
        snapshot = reader.read(0.0)
        assert snapshot is not None
        for key, record in snapshot.records.items():
            if record.owner in self.model.refused_not_run:
                assert self.model.dispatched[key] == 0
        for key in KEYS:
            found = reader.find(key, 0.0)
            kept = found and expire_record(found, RETENTION, self.now)
            if kept:
                self._check_answer(key, kept)
        self._check_no_garbage(snapshot)

    def _check_no_garbage(self, snapshot: ShardSnapshot) -> None:
        GarbageCollector(self.store, [self._open().reader]).sweep()
        listed = self.store.list(SEGMENT_PREFIX)
        assert isinstance(listed, Listed)
        named = [item.segment for item in snapshot.segments]
        keys = {key for s in named for key in (s.object_key, s.filter_key)}
        # Segments in use are kept. Others must be deleted if they were written for an
        # older shard version; those of the current one may still come into use.
        assert {item.key for item in listed.objects} >= keys
        for item in listed.objects:
            _, base_version = parse_segment_key(item.key)
            assert item.key in keys or base_version >= snapshot.version


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = MACHINE_SETTINGS


ACCEPTED, DISPATCHED = ClaimState.ACCEPTED, ClaimState.DISPATCHED
TAKE = {"owner": "b", "entry": "e2", "incarnation": "i"}


@pytest.mark.parametrize(
    ("stored", "change", "outcome", "state"),
    [
        (None, claim(make_record("k", "a", DISPATCHED)), Held, DISPATCHED),
        ("a", claim(make_record("k", "a", DISPATCHED)), Held, ACCEPTED),
        ("a", claim(make_record("k", "b", DISPATCHED)), Existing, ACCEPTED),
        ("a", take_over(make_record("k", "a", ACCEPTED), **TAKE), Held, ACCEPTED),
        ("c", take_over(make_record("k", "a", ACCEPTED), **TAKE), Existing, ACCEPTED),
        (None, take_over(make_record("k", "a", ACCEPTED), **TAKE), Absent, None),
        ("a", dispatch("a", side="s", incarnation="j", at=0.0), Held, DISPATCHED),
        ("b", dispatch("a", side="s", incarnation="j", at=0.0), Existing, ACCEPTED),
        ("a", conclude("a", ClaimState.DONE, at=0.0), Held, ClaimState.DONE),
        ("b", conclude("a", ClaimState.DONE, at=0.0), Existing, ACCEPTED),
        ("a", release("a"), Absent, None),
        ("b", release("a"), Absent, ACCEPTED),
    ],
)
def test_change_is_decided_by_the_owner(
    stored: str | None, change: Change, outcome: type, state: ClaimState | None
) -> None:
    found = make_record("k", stored, ACCEPTED) if stored else None
    decision = change(found)
    assert isinstance(decision.outcome, outcome)
    assert (decision.record.state if decision.record else None) is state


@pytest.mark.parametrize(
    ("faults", "outcome", "unresolved"),
    [
        ({}, Held, None),
        ({"lose_answers": 1}, Held, None),
        ({"lose_writes": 2}, Held, None),
        ({"delay_writes": 1}, Held, None),
        ({"outage": True}, NotStored, False),
        ({"lose_writes": 99}, NotStored, True),
        ({"delay_writes": 99}, NotStored, True),
    ],
)
def test_write_fault_is_resolved_or_reported_as_not_stored(
    faults: dict[str, int], outcome: type, unresolved: bool | None
) -> None:
    store = DelayedWrites()
    for name, value in faults.items():
        setattr(store, name, value)
    shard = open_shard(store)
    pending = PendingChange("k", claim(make_record("k", "a", DISPATCHED)), 0.0)
    shard.submit(pending)
    for _ in range(TRIES):
        shard.write_batch()
    found = pending.wait(0.0)
    assert isinstance(found, outcome)
    assert getattr(found, "unresolved", None) is unresolved


def test_many_claims_share_one_write() -> None:
    store = MemoryObjectStore()
    shard = open_shard(store)
    changes = [
        PendingChange(f"k{i}", claim(make_record(f"k{i}", "a", DISPATCHED)), 0.0)
        for i in range(100)
    ]
    for pending in changes:
        shard.submit(pending)
    shard.write_batch()
    assert all(isinstance(pending.wait(0.0), Held) for pending in changes)
    assert store.calls.counts().writes == 1


def test_shard_is_equal_after_encoding_and_decoding() -> None:
    record = attrs.evolve(
        make_record("k", "a", ACCEPTED), call=Packed(object_key="calls/k")
    )
    shard = StoredShard({"k": record})
    assert decode_shard(encode_shard(shard)) == shard


def test_release_fences_a_claim_whose_write_is_in_flight() -> None:
    store = DelayedWrites()
    store.delay_writes = 1
    shard = open_shard(store)
    shard.submit(PendingChange("k", claim(make_record("k", "a", DISPATCHED)), 0.0))
    shard.write_batch()
    releasing = open_shard(store)
    releasing.submit(PendingChange("k", release("a"), 0.0))
    releasing.write_batch()
    store.deliver()
    snapshot = open_shard(store).reader.read(0.0)
    assert snapshot is not None
    assert snapshot.records == {}


def test_unreadable_shard_is_never_overwritten() -> None:
    store = MemoryObjectStore()
    store.put(shard_key(SHARD), b"", if_version=0)
    shard = open_shard(store)
    pending = PendingChange("k", claim(make_record("k", "a", DISPATCHED)), 0.0)
    shard.submit(pending)
    assert not shard.write_batch()
    assert isinstance(pending.wait(0.0), NotStored)
    assert store.calls.counts().writes == 1
