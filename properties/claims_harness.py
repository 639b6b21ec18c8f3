"""Builds one shard of claims on a store whose lost writes may take effect later."""

from __future__ import annotations

import time
from collections.abc import Callable

from cornelpin.core.claim_shards import Retention
from cornelpin.core.claims import ClaimState, Record
from cornelpin.daemon.archiving import ArchiveLimits
from cornelpin.daemon.shard_writer import ShardWriter
from cornelpin.daemon.write_budget import WriteBudget
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import Conflict, Unavailable, Unknown, Written
from properties.claims_model import KEEP_S

SHARD = 0
RETENTION = Retention(answers_s=3600.0, claims_s=KEEP_S)
# Small enough that a few records are archived and a few segments are merged.
SMALL_LIMITS = ArchiveLimits(
    threshold_bytes=200, min_batch_bytes=150, max_segment_bytes=500
)


class DelayedWrites(MemoryObjectStore):
    """A store that delays writes without an answer; they take effect at any later time.

    Attributes:
        delay_writes: Number of upcoming writes to delay.
        delay_keys: Prefix of the keys whose writes are delayed.
        delayed: Key, value and expected version of each delayed write.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delay_keys = ""
        self.delay_writes = 0
        self.delayed: list[tuple[str, bytes, int | None]] = []

    def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> Written | Conflict | Unavailable | Unknown:
        if (
            self.delay_writes > 0
            and not self.outage
            and key.startswith(self.delay_keys)
        ):
            self.delay_writes -= 1
            self.delayed.append((key, value, if_version))
            return Unknown("delayed")
        return super().put(key, value, if_version=if_version)

    def deliver(self) -> None:
        key, value, if_version = self.delayed.pop(0)
        lost = self.lose_answers, self.lose_writes
        self.lose_answers = self.lose_writes = 0
        super().put(key, value, if_version=if_version)
        self.lose_answers, self.lose_writes = lost


def make_record(
    key: str, owner: str, state: ClaimState, at: float | None = None
) -> Record:
    """Returns a claim.

    Args:
        key: Key and request id of the claim.
        owner: Id of one claim attempt: the entry's name, or "entry:number" to
            distinguish several attempts of an entry.
        state: State of the claim.
        at: Time of the state, in seconds; None for the present.
    """
    return Record(
        key=key,
        request_id=key,
        workspace="w",
        fingerprint="f",
        owner=owner,
        entry=owner.partition(":")[0],
        incarnation="i",
        state=state,
        at=time.time() if at is None else at,
        durable=state is ClaimState.ACCEPTED,
    )


def open_shard(
    store: MemoryObjectStore,
    *,
    limits: ArchiveLimits = SMALL_LIMITS,
    clock: Callable[[], float] = time.time,
) -> ShardWriter:
    budget = WriteBudget(1e6, 1e6)
    return ShardWriter(
        SHARD, store, budget, lambda: RETENTION, limits=limits, clock=clock
    )
