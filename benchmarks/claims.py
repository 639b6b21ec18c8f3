"""Object store load caused by calls with keys: ``python -m benchmarks.claims``.

Several record stores, one per entry, claim and conclude calls in an open loop over
HTTP against the object store stand-in, which counts the requests that it receives.
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
    """Store requests and claim latency at one load."""

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
    """Claims calls at a fixed rate over several record stores.

    Attributes:
        record_stores: One record store per entry.
        claim_times_s: Duration of each claim in seconds.
        refused: Number of claims that were not stored.
    """

    record_stores: list[RecordStore]
    claim_times_s: list[float] = field(factory=list)
    refused: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def run(self, calls_per_s: float, duration_s: float) -> None:
        """Starts calls in an open loop and waits until all claims have returned."""
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
            self.claim_times_s.append(time.monotonic() - start)
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
    """Runs one load against a new stand-in of the object store."""
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
            [RecordStore(HttpObjectStore(url=url), _retention) for _ in range(entries)]
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
    claim_times_ms = [time_s * MS_PER_S for time_s in load.claim_times_s]
    return Row(
        calls_per_s=calls_per_s,
        held=len(claim_times_ms) - load.refused,
        refused=load.refused,
        writes_per_s=stats["writes"] / elapsed_s,
        conflicts_per_s=stats["conflicts"] / elapsed_s,
        reads_per_s=stats["reads"] / elapsed_s,
        median_ms=statistics.median(claim_times_ms),
        p95_ms=statistics.quantiles(claim_times_ms, n=20)[P95_INDEX],
    )


def _retention() -> Retention:
    return RETENTION


@click.command()
@click.option("--rate", "rates", multiple=True, type=float, default=(20, 100, 300))
@click.option("--duration-s", default=8.0, help="Duration of each load.")
@click.option(
    "--entries", default=3, help="Number of entries, each with a record store."
)
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
