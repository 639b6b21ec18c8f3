"""Configuration patches in an object store with races, outages and lost replies.

A lost reply leaves the outcome of a conditional write unknown. The store must neither
report a patch as stored that is not, nor apply one twice, nor let the number fall.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

import pytest

from cornelpin.core.configstore import (
    RESOLVE_ATTEMPTS,
    Accepted,
    ConfigStore,
    HistoryEntry,
    Invalid,
    NoSuchNumber,
    NotStored,
    Snapshot,
    Stale,
    Undecided,
)
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import Listed, Unavailable, Unknown

FIRST_PATCH = {"tiers": {"a": {"urgency": 1}}}
SECOND_PATCH = {"tiers": {"b": {}}}


def make_store(objects: MemoryObjectStore) -> ConfigStore:
    return ConfigStore(objects, clock=lambda: 5.0, sleep=lambda seconds: None)


def stored_number(store: ConfigStore) -> int:
    snapshot = store.load()
    assert isinstance(snapshot, Snapshot)
    assert snapshot.config.number == snapshot.number
    return snapshot.number


def test_patches_appear_in_the_history() -> None:
    objects = MemoryObjectStore()
    store = make_store(objects)
    assert stored_number(store) == 0
    assert store.submit(0, FIRST_PATCH, author="anna") == Accepted(1)
    assert store.submit(1, SECOND_PATCH, author="bice") == Accepted(2)
    assert store.submit(2, {"tiers": {"a": None}}, author="anna") == Accepted(3)
    other = make_store(objects)
    assert stored_number(other) == 3
    entry = other.history(2)
    assert isinstance(entry, HistoryEntry)
    assert (entry.author, entry.at, entry.patch) == ("bice", 5.0, SECOND_PATCH)
    assert other.diff(1, 3) == {"tiers": {"a": None, "b": {}}}
    assert other.history(4) == NoSuchNumber(4)


@pytest.mark.parametrize(
    ("base", "changed"),
    [(0, {"tiers": {"a": {"urgency": 1}, "b": {}}}), (1, SECOND_PATCH)],
)
def test_patch_of_another_number_is_stale(base: int, changed: dict) -> None:
    store = make_store(MemoryObjectStore())
    store.submit(0, FIRST_PATCH, author="anna")
    store.submit(1, SECOND_PATCH, author="anna")
    assert store.submit(base, {}, author="bice") == Stale(2, changed)
    assert store.submit(9, {}, author="bice") == Stale(2, None)


@pytest.mark.parametrize(
    ("patch", "path"),
    [
        ({"tiers": {"a": {"urgency": -1}}}, "$.tiers.a.urgency"),
        ({"tier": {}}, "$.tier"),
        ([], "$"),
    ],
)
def test_invalid_patch_writes_nothing(patch: object, path: str) -> None:
    objects = MemoryObjectStore()
    outcome = make_store(objects).submit(0, patch, author="anna")
    assert isinstance(outcome, Invalid)
    assert [fault.path for fault in outcome.faults] == [path]
    assert (objects.calls.counts().writes, objects.list("")) == (0, Listed(()))


def test_one_of_several_concurrent_patches_is_accepted() -> None:
    objects = MemoryObjectStore()
    start = threading.Barrier(4)
    outcomes = []

    def submit_at_once(name: str) -> None:
        store = make_store(objects)
        start.wait()
        outcomes.append(store.submit(0, {"tiers": {name: {}}}, author=name))

    threads = [threading.Thread(target=submit_at_once, args=(n,)) for n in "abcd"]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes.count(Accepted(1)) == 1
    assert sum(isinstance(outcome, Stale) for outcome in outcomes) == 3
    assert stored_number(make_store(objects)) == 1


class HeadFaults(MemoryObjectStore):
    """Runs hooks before and after the first write of the head."""

    def __init__(self, before: Callable, after: Callable) -> None:
        super().__init__()
        self.hooks = [before, after]

    def put(self, key: str, value: bytes, *, if_version: int | None) -> object:
        if key != "config/head" or not self.hooks:
            return super().put(key, value, if_version=if_version)
        before, after = self.hooks
        self.hooks = []
        before(self)
        outcome = super().put(key, value, if_version=if_version)
        after(self)
        return outcome


def nothing(objects: MemoryObjectStore) -> None:
    pass


def lose_answer(objects: MemoryObjectStore) -> None:
    objects.lose_answers = 1


def lose_write(objects: MemoryObjectStore) -> None:
    objects.lose_writes = 1


def lose_writes(objects: MemoryObjectStore) -> None:
    objects.lose_writes = 1 + RESOLVE_ATTEMPTS


def start_outage(objects: MemoryObjectStore) -> None:
    objects.outage = True


def other_patch(objects: MemoryObjectStore) -> None:
    number = stored_number(make_store(objects))
    accepted = make_store(objects).submit(number, SECOND_PATCH, author="bice")
    assert accepted == Accepted(number + 1)


@pytest.mark.parametrize(
    ("before", "after", "outcome", "number"),
    [
        (lose_answer, nothing, Accepted(1), 1),
        (lose_answer, other_patch, Accepted(1), 2),
        (lose_write, nothing, Accepted(1), 1),
        (lose_write, other_patch, Stale(1, SECOND_PATCH), 1),
        (other_patch, nothing, Stale(1, SECOND_PATCH), 1),
        (lose_writes, nothing, Undecided("write lost"), 0),
        (lose_answer, start_outage, Undecided("answer lost"), 1),
        (start_outage, nothing, NotStored("outage"), 0),
    ],
)
def test_faults_while_the_head_is_replaced(
    before: Callable, after: Callable, outcome: object, number: int
) -> None:
    objects = HeadFaults(before, after)
    assert make_store(objects).submit(0, FIRST_PATCH, author="anna") == outcome
    objects.outage = False
    assert stored_number(make_store(objects)) == number


@pytest.mark.parametrize("lost", ["lose_answers", "lose_writes"])
def test_faults_before_the_head_is_written(lost: str) -> None:
    objects = MemoryObjectStore()
    setattr(objects, lost, 1)
    outcome = make_store(objects).submit(0, FIRST_PATCH, author="anna")
    expected = Accepted if lost == "lose_answers" else NotStored
    assert isinstance(outcome, expected)
    assert stored_number(make_store(objects)) == (1 if lost == "lose_answers" else 0)


def test_outage_is_reported() -> None:
    objects = MemoryObjectStore()
    store = make_store(objects)
    objects.outage = True
    assert store.load() == Unavailable("outage")
    assert store.submit(0, FIRST_PATCH, author="anna") == NotStored("outage")


def test_missing_head_does_not_reset_the_number() -> None:
    objects = MemoryObjectStore()
    store = make_store(objects)
    store.submit(0, FIRST_PATCH, author="anna")
    assert stored_number(store) == 1
    objects.delete("config/head")
    assert isinstance(store.load(), Unavailable)
    assert not isinstance(
        store.submit(0, FIRST_PATCH, author="anna"), Accepted | Unknown
    )
