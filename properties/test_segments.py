"""Archive segments of a shard: encoding, retention, merging and garbage collection.

Guards against keys that are forgotten within their retention, since a retry would then
run again, and against objects that are kept or deleted wrongly.
"""

from __future__ import annotations

import time

import attrs
import pytest
from hypothesis import given, strategies as st

from cornelpin.core.claim_segments import (
    SEGMENT_PREFIX,
    KeyFilter,
    decode_records,
    encode_records,
    find_record,
    key_hash,
)
from cornelpin.core.claim_shards import SHARDS, shard_key, shard_of
from cornelpin.core.claims import (
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
    record_key,
)
from cornelpin.daemon.garbage_collector import GRACE_PERIOD_S, GarbageCollector
from cornelpin.daemon.pending_changes import PendingChange
from cornelpin.daemon.shard_reader import ShardReader
from cornelpin.daemon.shard_writer import LIMITS, ShardWriter
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import (
    MAX_VALUE_BYTES,
    Conflict,
    Found,
    Listed,
    Unavailable,
    Unknown,
    Written,
)
from properties.claims_harness import (
    RETENTION,
    SHARD,
    DelayedWrites,
    make_record,
    open_shard,
)
from properties.claims_model import KEEP_S
from properties.profiles import run_settings

DISPATCHED, ACCEPTED = ClaimState.DISPATCHED, ClaimState.ACCEPTED
# About as many records with ANSWER as fit into one stored value (MAX_VALUE_BYTES).
RECORDS_PER_VALUE = 4_700
BATCH = 1_000
ANSWER = Packed(value=bytes(200))
LONG_CALL = Packed(value=bytes(8_000))

records = st.builds(
    Record,
    key=st.one_of(st.text(min_size=1), st.builds(record_key, st.text(), st.text())),
    request_id=st.text(min_size=1),
    workspace=st.text(min_size=1),
    fingerprint=st.one_of(
        st.text(), st.binary(min_size=16, max_size=16).map(bytes.hex)
    ),
    owner=st.just("o"),
    entry=st.just("e"),
    incarnation=st.just("i"),
    state=st.sampled_from([state for state in ClaimState if state.final]),
    at=st.floats(1e9, 4e9),
    durable=st.booleans(),
    reason=st.text(),
    detail=st.text(),
    answer=st.builds(Packed, value=st.binary()),
)


@run_settings(200)
@given(st.lists(records, max_size=5, unique_by=lambda record: record.key))
def test_segment_keeps_the_fields_that_retries_need(archived: list[Record]) -> None:
    value = encode_records(archived)
    assert len(decode_records(value)) == len(archived)
    for record in archived:
        found = find_record(value, record.key)
        assert found is not None
        # A segment stores times as the next full second.
        assert 0 < found.at - record.at <= 1
        same = ("key", "fingerprint", "state", "durable", "reason", "detail", "answer")
        assert [getattr(found, n) for n in same] == [getattr(record, n) for n in same]
        if record.durable:
            assert found.workspace == record.workspace
        if record.durable or record.answer.present:
            assert found.request_id == record.request_id


@run_settings(200)
@given(st.sets(st.text()))
def test_filter_has_no_false_negatives(keys: set[str]) -> None:
    keys_filter = KeyFilter.decode(KeyFilter.from_keys(keys).encode())
    assert all(keys_filter.may_have(key_hash(key)) for key in keys)


def apply_all(
    shard: ShardWriter, changes: dict[str, Change]
) -> list[Outcome | NotStored]:
    pending = [PendingChange(key, change, 0.0) for key, change in changes.items()]
    for item in pending:
        shard.submit(item)
    shard.write_batch()
    return [item.wait(0.0) for item in pending]


def run_calls(shard: ShardWriter, keys: list[str], at: float) -> None:
    claims = {key: claim(make_record(key, key, DISPATCHED, at)) for key in keys}
    assert all(isinstance(o, Held) for o in apply_all(shard, claims))
    ends = {k: conclude(k, ClaimState.DONE, at=at, answer=ANSWER) for k in keys}
    assert all(isinstance(o, Held) for o in apply_all(shard, ends))


def batches(count: int) -> list[list[str]]:
    keys = [f"k{i}" for i in range(count)]
    return [keys[i : i + BATCH] for i in range(0, count, BATCH)]


def segment_objects(store: MemoryObjectStore) -> list[bytes]:
    listed = store.list(SEGMENT_PREFIX)
    assert isinstance(listed, Listed)
    found = [store.get(item.key) for item in listed.objects]
    return [item.value for item in found if isinstance(item, Found)]


class Clock:
    def __init__(self) -> None:
        self.now = time.time()

    def __call__(self) -> float:
        return self.now


def test_shard_exceeds_the_size_of_one_value_and_expires_in_time() -> None:
    store, clock = MemoryObjectStore(), Clock()
    shard = open_shard(store, limits=LIMITS, clock=clock)
    all_batches = batches(3 * RECORDS_PER_VALUE)
    for keys in all_batches:
        run_calls(shard, keys, clock.now)
    assert segment_objects(store)
    assert all(len(value) < MAX_VALUE_BYTES for value in segment_objects(store))
    # An entry that starts now finds every record.
    other = open_shard(store, limits=LIMITS, clock=clock)
    clock.now += RETENTION.answers_s - 1
    sample = {key: claim(make_record(key, "b", DISPATCHED)) for key in all_batches[0]}
    outcomes = apply_all(other, dict(list(sample.items())[::50]))
    found = [outcome.record for outcome in outcomes if isinstance(outcome, Existing)]
    assert len(found) == len(outcomes)
    assert all(record.answer == ANSWER for record in found)
    clock.now += KEEP_S
    renewed = {k: claim(make_record(k, "b", DISPATCHED, clock.now)) for k in sample}
    assert all(isinstance(o, Held) for o in apply_all(other, renewed))
    assert segment_objects(store) == []


def test_segments_of_an_idle_shard_are_deleted_after_their_retention() -> None:
    store, clock = MemoryObjectStore(), Clock()
    shard = open_shard(store, clock=clock)
    run_calls(shard, ["k1", "k2", "k3", "k4", "k5"], clock.now)
    assert segment_objects(store)
    clock.now += KEEP_S + 2
    shard.submit_purge()
    shard.write_batch()
    assert segment_objects(store) == []
    snapshot = shard.reader.read(0.0)
    assert snapshot is not None
    assert not snapshot.records


def test_full_shard_refuses_new_records_and_still_stores_outcomes() -> None:
    store = MemoryObjectStore()
    shard = open_shard(store, limits=LIMITS)
    accepted = [
        attrs.evolve(make_record(f"k{i}", "a", ACCEPTED), call=LONG_CALL)
        for i in range(120)
    ]
    outcomes: list[Outcome | NotStored] = []
    for record in accepted:
        outcomes += apply_all(shard, {record.key: claim(record)})
    refused = [o for o in outcomes if isinstance(o, NotStored)]
    assert 0 < len(refused) < len(accepted)
    assert not any(refusal.unresolved for refusal in refused)
    snapshot = open_shard(store).reader.read(0.0)
    assert snapshot is not None
    assert len(snapshot.records) == len(accepted) - len(refused)
    end = conclude("a", ClaimState.DONE, at=time.time(), answer=ANSWER)
    ends = [apply_all(shard, {key: end}) for key in list(snapshot.records)[:50]]
    assert all(isinstance(outcome, Held) for [outcome] in ends)
    again = apply_all(shard, {"k": claim(make_record("k", "a", ACCEPTED))})
    assert isinstance(again[0], Held)


@pytest.mark.parametrize(
    ("state", "owner", "named", "kept"),
    [
        (None, "a", False, False),
        (ACCEPTED, "a", True, True),
        # The owner of an unfinished record may name the object later. The object key
        # ends with the id of the owner that wrote it, here "a".
        (ACCEPTED, "a", False, True),
        (ACCEPTED, "b", False, False),
        (ClaimState.DONE, "a", False, False),
    ],
)
@pytest.mark.parametrize("prefix", ["calls", "answers"])
def test_unreferenced_object_is_deleted_after_a_grace_period(
    prefix: str, state: ClaimState | None, owner: str, named: bool, kept: bool
) -> None:
    store, clock = MemoryObjectStore(), Clock()
    key = next(k for k in map(str, range(99)) if shard_of(k) == SHARD)
    store.put(f"{prefix}/{key}/a", b"packed", if_version=0)
    if state is not None:
        packed = Packed(object_key=f"{prefix}/{key}/a" if named else "")
        field = "call" if prefix == "calls" else "answer"
        record = attrs.evolve(make_record(key, owner, state), **{field: packed})
        apply_all(open_shard(store), {key: claim(record)})
    readers = [ShardReader(number, store) for number in range(SHARDS)]
    collector = GarbageCollector(store, readers, clock)
    for _ in range(int(GRACE_PERIOD_S // 200)):
        assert collector.sweep() == 0
        clock.now += 200
    # A sweep that cannot read the store restarts the grace period.
    store.outage = True
    assert collector.sweep() == 0
    store.outage = False
    for _ in range(int(GRACE_PERIOD_S // 200)):
        assert collector.sweep() == 0
        clock.now += 200
    assert collector.sweep() == (0 if kept else 1)
    assert isinstance(store.get(f"{prefix}/{key}/a"), Found) is kept


def test_merged_segment_is_kept_until_its_newest_record_expires() -> None:
    store, clock = MemoryObjectStore(), Clock()
    shard = open_shard(store, clock=clock)
    run_calls(shard, ["k1", "k2"], clock.now)
    clock.now += KEEP_S / 10
    run_calls(shard, ["k3", "k4", "k5"], clock.now)
    run_calls(shard, ["k6"], clock.now)
    clock.now += KEEP_S - 10
    run_calls(shard, ["k7"], clock.now)
    retries = {
        k: claim(make_record(k, "b", DISPATCHED, clock.now)) for k in ("k1", "k3")
    }
    first, later = apply_all(shard, retries)
    assert isinstance(first, Held)
    assert isinstance(later, Existing)


class SweepBeforeShardWrite(MemoryObjectStore):
    """A store on which another entry collects garbage before each shard write."""

    sweeping = False

    def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> Written | Conflict | Unavailable | Unknown:
        if key == shard_key(SHARD) and self.sweeping:
            GarbageCollector(self, [ShardReader(SHARD, self)]).sweep()
        return super().put(key, value, if_version=if_version)


def test_sweep_keeps_a_segment_before_its_shard_refers_to_it() -> None:
    store = SweepBeforeShardWrite()
    shard = open_shard(store)
    run_calls(shard, ["k0"], time.time())
    store.sweeping = True
    run_calls(shard, ["k1", "k2", "k3", "k4"], time.time())
    assert segment_objects(store)
    retry = {"k1": claim(make_record("k1", "b", DISPATCHED))}
    assert isinstance(apply_all(open_shard(store), retry)[0], Existing)


def test_late_shard_write_finds_its_segment_still_stored() -> None:
    store = DelayedWrites()
    shard = open_shard(store)
    keys = ["k1", "k2", "k3", "k4"]
    apply_all(shard, {k: claim(make_record(k, k, DISPATCHED)) for k in keys})
    store.delay_keys = shard_key(SHARD)
    store.delay_writes = 2
    for key in keys:
        end = conclude(key, ClaimState.DONE, at=time.time(), answer=ANSWER)
        shard.submit(PendingChange(key, end, 0.0))
    assert not shard.write_batch()
    assert not shard.write_batch()
    store.deliver()
    retries = {k: claim(make_record(k, "b", DISPATCHED)) for k in keys}
    outcomes = apply_all(open_shard(store), retries)
    assert all(isinstance(outcome, Existing) for outcome in outcomes)
    assert segment_objects(store)


@pytest.mark.parametrize("durable", [False, True])
def test_answer_in_its_own_object_is_deleted_after_its_retention(durable: bool) -> None:
    store, clock = MemoryObjectStore(), Clock()
    shard = open_shard(store, clock=clock)
    object_key = "answers/k/a"
    store.put(object_key, b"packed", if_version=0)
    state = ACCEPTED if durable else DISPATCHED
    apply_all(shard, {"k": claim(make_record("k", "a", state, clock.now))})
    packed = Packed(object_key=object_key)
    end = conclude("a", ClaimState.DONE, at=clock.now, answer=packed)
    apply_all(shard, {"k": end})
    for age_s, kept in ((RETENTION.answers_s - 1, True), (2, False)):
        clock.now += age_s
        shard.submit_purge()
        shard.write_batch()
        assert isinstance(store.get(object_key), Found) is kept
    retry = {"k": claim(make_record("k", "b", DISPATCHED, clock.now))}
    assert isinstance(apply_all(shard, retry)[0], Existing)
