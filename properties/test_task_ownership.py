from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from cornelpin.core.claim_shards import SHARDS, shard_key
from cornelpin.core.task_ownership import task_owner
from cornelpin.daemon import leases
from cornelpin.daemon.leases import LEASE_S, EntryLeases
from cornelpin.stores.memory_objects import MemoryObjectStore
from properties.profiles import run_settings

NAMES = ("e1", "e2", "e3", "e4")


@run_settings(100)
@given(st.sets(st.text(), min_size=2, max_size=8), st.data())
def test_only_the_duties_of_a_lost_entry_move(
    entries: set[str], data: st.DataObject
) -> None:
    lost = data.draw(st.sampled_from(sorted(entries)))
    for duty in map(shard_key, range(SHARDS)):
        before, after = task_owner(duty, entries), task_owner(duty, entries - {lost})
        assert before in entries
        assert after == before or before == lost


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [1000.0]
    monkeypatch.setattr(leases.time, "monotonic", lambda: now[0])
    return now


@pytest.mark.parametrize("stopped", [(), ("e1",), ("e1", "e2"), ("e1", "e2", "e3")])
def test_shards_of_entries_that_stopped_are_shared_out(
    stopped: tuple[str, ...], clock: list[float]
) -> None:
    store = MemoryObjectStore()
    entries = {n: EntryLeases(store, name=n, incarnation="i") for n in NAMES}
    for _ in range(2):
        for entry in entries.values():
            entry.refresh()
    assert all(entry.live() == set(NAMES) for entry in entries.values())
    left = [entries[name] for name in NAMES if name not in stopped]
    for _ in range(int(LEASE_S) + 2):
        clock[0] += 1.0
        for entry in left:
            entry.refresh()
    for duty in map(shard_key, range(SHARDS)):
        holders = {task_owner(duty, entry.live()) for entry in left}
        assert len(holders) == 1
        assert holders.isdisjoint(stopped)


def test_entry_that_left_is_unaccounted_until_its_shard_is_read(
    clock: list[float],
) -> None:
    store = MemoryObjectStore()
    mine, other = (EntryLeases(store, name=n, incarnation="i") for n in ("e1", "e2"))
    other.refresh()
    mine.refresh()
    read_at = clock[0]
    store.outage = True
    clock[0] += 60.0
    mine.refresh()
    assert "e2" in mine.active_since(read_at)
    assert "e2" not in mine.active_since(clock[0])
