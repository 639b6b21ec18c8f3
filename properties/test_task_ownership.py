"""Tasks and shards are owned by exactly one live entry, after entries stop too.

Guards against shards whose durable requests no entry adopts, and against entries that
count as stopped before their shards were read.
"""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from cornelpin.core.claim_shards import SHARDS, shard_key
from cornelpin.core.task_ownership import task_owner
from cornelpin.daemon import leases
from cornelpin.daemon.leases import LEASE_DURATION_S, EntryLeases
from cornelpin.stores.memory_objects import MemoryObjectStore
from properties.profiles import run_settings

NAMES = ("e1", "e2", "e3", "e4")


@run_settings(100)
@given(st.sets(st.text(), min_size=2, max_size=8), st.data())
def test_only_the_tasks_of_a_removed_entry_change_owner(
    entries: set[str], data: st.DataObject
) -> None:
    removed = data.draw(st.sampled_from(sorted(entries)))
    for task in map(shard_key, range(SHARDS)):
        before, after = task_owner(task, entries), task_owner(task, entries - {removed})
        assert before in entries
        assert after == before or before == removed


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [1000.0]
    monkeypatch.setattr(leases.time, "monotonic", lambda: now[0])
    return now


@pytest.mark.parametrize("stopped", [(), ("e1",), ("e1", "e2"), ("e1", "e2", "e3")])
def test_shards_of_stopped_entries_get_one_live_owner(
    stopped: tuple[str, ...], clock: list[float]
) -> None:
    store = MemoryObjectStore()
    entries = {n: EntryLeases(store, name=n, incarnation="i") for n in NAMES}
    for _ in range(2):
        for entry in entries.values():
            entry.refresh()
    assert all(entry.live() == set(NAMES) for entry in entries.values())
    live = [entries[name] for name in NAMES if name not in stopped]
    for _ in range(int(LEASE_DURATION_S) + 2):
        clock[0] += 1.0
        for entry in live:
            entry.refresh()
    for task in map(shard_key, range(SHARDS)):
        owners = {task_owner(task, entry.live()) for entry in live}
        assert len(owners) == 1
        assert owners.isdisjoint(stopped)


def test_stopped_entry_counts_as_active_until_a_read_after_its_lease_ended(
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
