"""Cancelled durable requests stop at every entry and leave nothing stored.

Guards against a request that stays queued at its owner after another entry cancelled
it, an entry that adopts and runs a cancelled request, and a stored call that leaks.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import attrs
import pytest

from benchmarks.waiting import wait_until
from cornelpin.core.claim_shards import Retention, shard_key, shard_of
from cornelpin.core.claims import ClaimState, Held, Record, cancel
from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.core.task_ownership import task_owner
from cornelpin.daemon.blobs import Blobs, StoredCall
from cornelpin.daemon.durable import DurableRequests
from cornelpin.daemon.leases import EntryLeases
from cornelpin.daemon.record_store import RecordStore
from cornelpin.daemon.supervisor import Supervisor
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import Listed

RETENTION = Retention(answers_s=60.0, claims_s=60.0)
WAIT_S = 10.0
POLL_INTERVAL_S = 0.01
CALL = StoredCall(
    route="r",
    version="",
    tier="review",
    kind="service",
    method="POST",
    path="/",
    headers={},
    # About 80 kB, too large to be stored in the record (MAX_INLINE_BYTES) when packed.
    body=b"".join(i.to_bytes(4) for i in range(0, 40_000_000, 2_003)),
    cost=1,
    idempotent=False,
    streamed=False,
)


@attrs.define
class QueuedExchange:
    """An exchange that is never granted and ends when its caller disconnects."""

    waiting: bool = True
    should_abandon: Callable[[], bool] = bool
    before_grant: Any = None

    def head(self) -> None:
        while not self.should_abandon():
            time.sleep(POLL_INTERVAL_S)
        raise Refusal(Reason.CANCELLED, ExecutionStatus.NOT_RUN, "its caller is gone")

    def close(self) -> None:
        self.waiting = False


@attrs.define
class QueueingDispatcher:
    """Counts opened exchanges; grants none of them."""

    opened: int = 0

    def open(self, *args: Any, **options: Any) -> QueuedExchange:
        self.opened += 1
        return QueuedExchange()


@attrs.define
class FakeEntry:
    """The parts of an entry that durable requests use."""

    record_store: RecordStore
    dispatcher: QueueingDispatcher
    requests: DurableRequests
    leases: EntryLeases


@pytest.fixture
def store() -> MemoryObjectStore:
    return MemoryObjectStore()


@pytest.fixture
def entries(store: MemoryObjectStore) -> Iterator[list[FakeEntry]]:
    supervisor = Supervisor("durable")
    built = [make_entry(f"e{i}", store, supervisor) for i in range(3)]
    for entry in built:
        entry.leases.refresh()
    yield built
    # Signals all writers first: stop() alone waits for each idle writer in turn.
    for child in supervisor._children:
        child.stop.set()
    supervisor.stop()


def make_entry(
    name: str, store: MemoryObjectStore, supervisor: Supervisor
) -> FakeEntry:
    process: Any = SimpleNamespace(
        settings=SimpleNamespace(name=name),
        incarnation=f"{name}-i",
        view=SimpleNamespace(config=SimpleNamespace(retention=RETENTION)),
        ring=SimpleNamespace(record=lambda *args, **fields: None),
        draining=threading.Event(),
        stopping=threading.Event(),
    )
    record_store = RecordStore(store, lambda: RETENTION)
    record_store.start(supervisor)
    leases = EntryLeases(store, name=name, incarnation=process.incarnation)
    leases.refresh()
    dispatcher: Any = QueueingDispatcher()
    requests = DurableRequests(process, dispatcher, record_store, Blobs(store), leases)
    return FakeEntry(record_store, dispatcher, requests, leases)


def submit_request(entry: FakeEntry, key: str) -> Record:
    req: Any = SimpleNamespace(workspace="w")
    record = entry.requests.new_record(req, key=key, fingerprint="f")
    outcome = entry.requests.submit(record, CALL)
    assert isinstance(outcome, Held)
    wait_until(lambda: entry.dispatcher.opened == 1, WAIT_S, "the request is queued")
    return outcome.record


def wait_until_stopped(entries: list[FakeEntry]) -> None:
    def stopped() -> bool:
        for entry in entries:
            entry.leases.refresh()
        entries[0].requests.scan()
        return len(entries[0].requests) == 0

    wait_until(stopped, WAIT_S, "the request stops")


def count_stored_calls(store: MemoryObjectStore) -> int:
    listed = store.list("calls/")
    assert isinstance(listed, Listed)
    return len(listed.objects)


def key_scanned_by(name: str) -> str:
    """Returns a record key whose shard the given entry scans for all entries."""
    names = {f"e{i}" for i in range(3)}
    keys = (f"k{i}" for i in range(1_000))
    return next(k for k in keys if task_owner(shard_key(shard_of(k)), names) == name)


@pytest.mark.parametrize("scanned_by", ["e0", "e2"])
@pytest.mark.parametrize("at", [0, 1], ids=["at its entry", "at another entry"])
def test_cancelled_request_leaves_the_queue_and_its_call_is_deleted(
    store: MemoryObjectStore, entries: list[FakeEntry], at: int, scanned_by: str
) -> None:
    key = key_scanned_by(scanned_by)
    # The first scan reads all shards. Later ones read only the entry's share of them
    # and the shards of its own requests.
    entries[0].requests.scan()
    record = submit_request(entries[0], key)
    assert count_stored_calls(store) == 1
    outcome = entries[at].record_store.apply(key, cancel("w", at=time.time()))
    assert isinstance(outcome, Held)
    assert outcome.record.state is ClaimState.CANCELLED
    wait_until_stopped(entries)
    found = entries[2].record_store.find(key, max_age_s=0.0)
    assert found is not None
    assert found.state is ClaimState.CANCELLED
    assert found.owner == record.owner
    assert entries[0].dispatcher.opened == 1
    wait_until(lambda: count_stored_calls(store) == 0, WAIT_S, "the call is deleted")


def test_request_cannot_be_cancelled_by_another_workspace(
    store: MemoryObjectStore, entries: list[FakeEntry]
) -> None:
    submit_request(entries[0], "k")
    entries[1].record_store.apply("k", cancel("other", at=time.time()))
    found = entries[2].record_store.find("k", max_age_s=0.0)
    assert found is not None
    assert found.state is ClaimState.ACCEPTED
    entries[1].record_store.apply("k", cancel("w", at=time.time()))
    wait_until_stopped(entries)
