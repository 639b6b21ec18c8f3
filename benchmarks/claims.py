"""Writes to the object API under keyed calls: ``python -m benchmarks.claims``.

Several ledgers, one for each entry, claim and conclude calls over HTTP against the
object API's stand-in, open loop, and the stand-in counts what it was asked.
"""

from __future__ import annotations

import secrets
import statistics
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
from attrs import define, field, frozen

from benchmarks.http_json import JsonClient
from benchmarks.processes import LOOPBACK, ManagedProcess, PortAllocator
from cornelpin.core.claim_shards import Retention
from cornelpin.core.claims import ClaimState, Held, Packed, Record, claim, conclude
from cornelpin.daemon.record_store import RecordStore
from cornelpin.daemon.supervisor import Supervisor
from cornelpin.stores import HttpObjectStore

ANSWER_BYTES = 200
CALLERS = 512
RETENTION = Retention(answers_s=3600.0, claims_s=3600.0)
MS_PER_S = 1000
P95_INDEX = 18


@frozen
class Row:
    """What one load cost."""

    calls_per_s: float
    held: int
    refused: int
    writes_per_s: float
    conflicts_per_s: float
    reads_per_s: float
    median_ms: float
    p95_ms: float


@define
class Load:
    """Claims calls at a fixed rate over several ledgers.

    Attributes:
        ledgers: One ledger for each entry.
        waits_s: Time that each claim took.
        refused: Number of claims that were not stored.
    """

    record_stores: list[RecordStore]
    waits_s: list[float] = field(factory=list)
    refused: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def run(self, calls_per_s: float, duration_s: float) -> None:
        """Makes all calls and waits until each has been claimed."""
        start = time.monotonic()
        with ThreadPoolExecutor(CALLERS) as pool:
            for i in range(round(calls_per_s * duration_s)):
                time.sleep(max(0.0, start + i / calls_per_s - time.monotonic()))
                pool.submit(self._call, self.record_stores[i % len(self.record_stores)])

    def _call(self, record_store: RecordStore) -> None:
        record = _record()
        start = time.monotonic()
        outcome = record_store.apply(record.key, claim(record))
        with self._lock:
            self.waits_s.append(time.monotonic() - start)
            if not isinstance(outcome, Held):
                self.refused += 1
                return
        answer = Packed(value=bytes(ANSWER_BYTES))
        change = conclude(record.owner, ClaimState.DONE, at=time.time(), answer=answer)
        record_store.apply_later(record.key, change)


def _record() -> Record:
    return Record(
        key=f"r-{secrets.token_hex(12)}",
        request_id=f"r-{secrets.token_hex(12)}",
        workspace="workspace",
        fingerprint=secrets.token_hex(16),
        owner=secrets.token_hex(12),
        entry="entry",
        incarnation=secrets.token_hex(8),
        state=ClaimState.DISPATCHED,
        at=time.time(),
    )


def measure(calls_per_s: float, duration_s: float, entries: int) -> Row:
    """Runs one load against a fresh stand-in."""
    port = PortAllocator().allocate()
    folder = Path(tempfile.mkdtemp(prefix="claims-"))
    arguments = ["standins.objects", "--address", LOOPBACK, "--port", str(port)]
    process = ManagedProcess("objects", arguments, folder)
    process.start()
    process.wait_ready()
    supervisor = Supervisor("claims")
    try:
        url = f"http://{LOOPBACK}:{port}"
        load = Load(
            [RecordStore(HttpObjectStore(url=url), _kept) for _ in range(entries)]
        )
        for record_store in load.record_stores:
            record_store.start(supervisor)
        start = time.monotonic()
        load.run(calls_per_s, duration_s)
        for record_store in load.record_stores:
            record_store.flush(duration_s)
        elapsed_s = time.monotonic() - start
        stats = JsonClient(LOOPBACK, port).call("GET", "/stats").body
    finally:
        supervisor.stop()
        process.stop(5.0)
    waits_ms = [wait_s * MS_PER_S for wait_s in load.waits_s]
    return Row(
        calls_per_s=calls_per_s,
        held=len(waits_ms) - load.refused,
        refused=load.refused,
        writes_per_s=stats["writes"] / elapsed_s,
        conflicts_per_s=stats["conflicts"] / elapsed_s,
        reads_per_s=stats["reads"] / elapsed_s,
        median_ms=statistics.median(waits_ms),
        p95_ms=statistics.quantiles(waits_ms, n=20)[P95_INDEX],
    )


def _kept() -> Retention:
    return RETENTION


@click.command()
@click.option("--rate", "rates", multiple=True, type=float, default=(20, 100, 300))
@click.option("--duration-s", default=8.0, help="Length of each load.")
@click.option("--entries", default=3, help="Number of ledgers.")
def main(rates: tuple[float, ...], duration_s: float, entries: int) -> None:
    """Prints one line for each load."""
    columns = ("calls/s", "held", "refused", "writes/s", "conflicts/s", "reads/s")
    click.echo(" | ".join((*columns, "median ms", "p95 ms")))
    for rate in rates:
        row = measure(rate, duration_s, entries)
        click.echo(
            f"{row.calls_per_s:.0f} | {row.held} | {row.refused} | "
            f"{row.writes_per_s:.1f} | {row.conflicts_per_s:.1f} | "
            f"{row.reads_per_s:.1f} | {row.median_ms:.0f} | {row.p95_ms:.0f}"
        )


if __name__ == "__main__":
    main()
