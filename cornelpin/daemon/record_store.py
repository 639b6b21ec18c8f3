"""Stores the records of claims and durable requests, distributed over shards.

Each shard has a writer that batches its changes; reads use its latest snapshot.
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
# Delay after which a change of ``apply_later`` is written if no other write took it.
DEFERRED_DELAY_S = 0.25
MAX_READ_AGE_S = 0.2
FLUSH_POLL_INTERVAL_S = 0.02
# Limits of the shard writes of one entry, over all shards.
WRITES_PER_S = 60.0
WRITE_BURST = 30.0


class RecordStore:
    """Reads and changes the records of claims and durable requests."""

    def __init__(
        self,
        objects: ObjectStore,
        retention: Callable[[], Retention],
        *,
        writes_per_s: float = WRITES_PER_S,
    ) -> None:
        self._retention = retention
        budget = WriteBudget(writes_per_s, WRITE_BURST)
        self._writers = [
            ShardWriter(number, objects, budget, retention) for number in range(SHARDS)
        ]

    def start(self, supervisor: Supervisor) -> None:
        """Starts the writer of each shard."""
        for number, writer in enumerate(self._writers):
            supervisor.start(f"claims-{number}", writer.run)

    def apply(
        self, key: str, change: Change, *, timeout_s: float | None = CHANGE_TIMEOUT_S
    ) -> Outcome | NotStored:
        """Applies a change and waits until it is stored.

        Args:
            key: Key of the record.
            change: The change.
            timeout_s: Maximum wait in seconds; None to wait without a limit.
        """
        pending = PendingChange(key, change, time.monotonic())
        self._writer_of(key).submit(pending)
        return pending.wait(timeout_s)

    def apply_later(self, key: str, change: Change) -> PendingChange:
        """Queues a change and returns at once.

        The change joins the shard's next write, or is written alone after a short
        delay; it has no time limit.
        """
        pending = PendingChange(key, change, time.monotonic() + DEFERRED_DELAY_S)
        self._writer_of(key).submit(pending)
        return pending

    def find(self, key: str, *, max_age_s: float = MAX_READ_AGE_S) -> Record | None:
        """Returns a record that is not expired, or None if there is none.

        Args:
            key: Key of the record.
            max_age_s: Maximum age of the shard's snapshot in seconds.

        Raises:
            RecordStoreUnavailable: If the record's shard or segment cannot be read.
        """
        try:
            found = self._writer_of(key).reader.find(key, max_age_s)
        except SegmentUnreadableError as exc:
            raise RecordStoreUnavailable from exc
        return found and expire_record(found, self._retention(), time.time())

    def snapshot_of(self, key: str) -> ShardSnapshot | None:
        """Returns the latest snapshot of a key's shard without reading the store."""
        return self._writer_of(key).reader.snapshot

    def cached(self, key: str) -> Record | None:
        """Returns a record from its shard's latest snapshot."""
        snapshot = self.snapshot_of(key)
        return snapshot.records.get(key) if snapshot is not None else None

    def unfinished(self, numbers: Iterable[int], max_age_s: float) -> list[Record]:
        """Returns the durable records that are not final, of the readable shards.

        Args:
            numbers: Numbers of the shards to read.
            max_age_s: Maximum age of their snapshots in seconds.
        """
        snapshots = [self._writers[n].reader.read(max_age_s) for n in numbers]
        return [
            record
            for snapshot in snapshots
            if snapshot is not None
            for record in snapshot.records.values()
            if record.durable and not record.state.final
        ]

    def unread_shards(self) -> set[int]:
        """Returns the numbers of the shards that have no snapshot yet."""
        return {
            n
            for n, writer in enumerate(self._writers)
            if writer.reader.snapshot is None
        }

    @property
    def readers(self) -> list[ShardReader]:
        """The readers of all shards, in the order of shard numbers."""
        return [writer.reader for writer in self._writers]

    def purge_expired(self) -> None:
        """Queues a write of each shard that contains expired records or segments."""
        for writer in self._writers:
            writer.submit_purge()

    def flush(self, timeout_s: float) -> bool:
        """Waits until no change is pending.

        Returns:
            Whether all changes are written or abandoned within the time limit.
        """
        deadline = time.monotonic() + timeout_s
        while not all(writer.idle for writer in self._writers):
            if time.monotonic() > deadline:
                return False
            time.sleep(FLUSH_POLL_INTERVAL_S)
        return True

    def _writer_of(self, key: str) -> ShardWriter:
        return self._writers[shard_of(key)]


class RecordStoreUnavailable(Exception):
    """The shard or segment that may contain a record cannot be read."""
