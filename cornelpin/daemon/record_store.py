"""The ledger: records of claims and durable requests, kept in shards.

Changes of a shard are written in batches by its writer; reads use its latest copy.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from cornelpin.core.claim_shards import SHARDS, Retention, expire_record, shard_of
from cornelpin.core.claims import Change, NotStored, Outcome, Record
from cornelpin.daemon.pending_changes import PendingChange
from cornelpin.daemon.segments import SegmentUnreadableError
from cornelpin.daemon.shard_reader import ShardReader, ShardSnapshot
from cornelpin.daemon.shard_writer import ShardWriter
from cornelpin.daemon.write_budget import WriteBudget
from cornelpin.stores.objects import ObjectStore

if TYPE_CHECKING:
    from cornelpin.daemon.supervisor import Supervisor

CHANGE_TIMEOUT_S = 3.0
LAZY_S = 0.25
READ_AGE_S = 0.2
FLUSH_POLL_S = 0.02
WRITES_PER_S = 60.0
WRITE_BURST = 30.0


class RecordStore:
    """Records of claims and durable requests, by shard."""

    def __init__(
        self,
        objects: ObjectStore,
        retention: Callable[[], Retention],
        *,
        writes_per_s: float = WRITES_PER_S,
    ) -> None:
        self._retention = retention
        budget = WriteBudget(writes_per_s, WRITE_BURST)
        self._shards = [
            ShardWriter(number, objects, budget, retention) for number in range(SHARDS)
        ]

    def start(self, supervisor: Supervisor) -> None:
        """Starts one writer for each shard."""
        for number, shard in enumerate(self._shards):
            supervisor.start(f"claims-{number}", shard.run)

    def apply(
        self, key: str, change: Change, *, timeout_s: float | None = CHANGE_TIMEOUT_S
    ) -> Outcome | NotStored:
        """Makes a change and waits until it is stored.

        Args:
            key: Key of the record.
            change: The change.
            timeout_s: Longest wait in seconds; None to wait until it is stored.
        """
        pending = PendingChange(key, change, time.monotonic())
        self._shard(key).submit(pending)
        return pending.wait(timeout_s)

    def apply_later(self, key: str, change: Change) -> PendingChange:
        """Makes a change with one of the next writes, whenever the store is up."""
        pending = PendingChange(key, change, time.monotonic() + LAZY_S)
        self._shard(key).submit(pending)
        return pending

    def find(self, key: str, *, max_age_s: float = READ_AGE_S) -> Record | None:
        """Returns a record, None if there is none.

        Raises:
            LedgerUnavailable: If the store does not answer.
        """
        try:
            found = self._shard(key).reader.find(key, max_age_s)
        except SegmentUnreadableError as exc:
            raise RecordStoreUnavailable from exc
        return found and expire_record(found, self._retention(), time.time())

    def snapshot_of(self, key: str) -> ShardSnapshot | None:
        """Returns the latest copy of a key's shard, without a call."""
        return self._shard(key).reader.snapshot

    def known(self, key: str) -> Record | None:
        """Returns a record as it was last read or written here, without a call."""
        snapshot = self.snapshot_of(key)
        return snapshot.records.get(key) if snapshot is not None else None

    def unfinished(self, shards: Iterable[int], max_age_s: float) -> list[Record]:
        """Returns the durable records that are not final, as far as readable."""
        copies = [self._shards[shard].reader.read(max_age_s) for shard in shards]
        return [
            record
            for snapshot in copies
            if snapshot is not None
            for record in snapshot.records.values()
            if record.durable and not record.state.final
        ]

    def unread(self) -> set[int]:
        """Returns the shards that have not been read since the start."""
        return {
            n for n, shard in enumerate(self._shards) if shard.reader.snapshot is None
        }

    @property
    def readers(self) -> list[ShardReader]:
        """The readers of all shards, by number."""
        return [shard.reader for shard in self._shards]

    def purge_expired(self) -> None:
        """Has shards written again that hold something expired."""
        for shard in self._shards:
            shard.submit_purge()

    def flush(self, timeout_s: float) -> bool:
        """Waits until no change is left to write."""
        until = time.monotonic() + timeout_s
        while not all(shard.idle for shard in self._shards):
            if time.monotonic() > until:
                return False
            time.sleep(FLUSH_POLL_S)
        return True

    def _shard(self, key: str) -> ShardWriter:
        return self._shards[shard_of(key)]


class RecordStoreUnavailable(Exception):
    """The object store does not answer."""
