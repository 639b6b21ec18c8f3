"""Wires up the parts of an entry that keep records in the object store."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from cornelpin.core.claim_shards import Retention
from cornelpin.core.task_ownership import task_owner
from cornelpin.daemon.blobs import Blobs
from cornelpin.daemon.claim_peers import ClaimPeers
from cornelpin.daemon.durable import DurableRequests
from cornelpin.daemon.garbage_collector import GarbageCollector
from cornelpin.daemon.http.durable import DurableApi
from cornelpin.daemon.http.keyed import KeyedRequests
from cornelpin.daemon.http.waiters import Waiters
from cornelpin.daemon.leases import RENEW_INTERVAL_S, EntryLeases
from cornelpin.daemon.record_store import RecordStore
from cornelpin.daemon.supervisor import every

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.dispatch import Dispatcher
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.stores.objects import ObjectStore

SCAN_INTERVAL_S = 2.0
SWEEP_INTERVAL_S = 120.0
# Name of the sweep when its owner among the entries is chosen.
SWEEP_TASK = "sweep"
FLUSH_TIMEOUT_S = 5.0
DRAIN_POLL_INTERVAL_S = 0.05


class EntryRecords:
    """Claims and durable requests of an entry, with their periodic tasks.

    Attributes:
        claim_peers: Asks other entries about claims while the store is unavailable.
        keyed: Handles requests with an idempotency key.
        durable_api: HTTP API of durable requests.
    """

    def __init__(
        self,
        process: Process,
        dispatcher: Dispatcher,
        objects: ObjectStore,
        peers: Callable[[], list[Peer]],
    ) -> None:
        self._process = process
        self._record_store = RecordStore(objects, self._retention)
        self._leases = EntryLeases(
            objects, name=process.settings.name, incarnation=process.incarnation
        )
        self._garbage = GarbageCollector(objects, self._record_store.readers)
        blobs = Blobs(objects)
        self._waiters = Waiters()
        self._durable_requests = DurableRequests(
            process, dispatcher, self._record_store, blobs, self._leases
        )
        self.claim_peers = ClaimPeers(process, self._record_store, self._leases, peers)
        self.keyed = KeyedRequests(
            process,
            self._record_store,
            blobs,
            self._leases,
            self._waiters,
            self.claim_peers,
        )
        self.durable_api = DurableApi(
            self._durable_requests,
            self._record_store,
            blobs,
            self._waiters,
            self.claim_peers,
        )

    def _retention(self) -> Retention:
        retention = self._process.view.config.retention
        return Retention(retention.answers_s, retention.claims_s)

    def start(self) -> None:
        """Starts the shard writers and the periodic tasks."""
        sup = self._process.supervisor
        self._record_store.start(sup)
        metered = self._process.control_cost.metered
        sup.start("leases", metered(every(RENEW_INTERVAL_S, self._leases.refresh)))
        sup.start("adoption", metered(self._adopt))
        # Task names are used outside: "tidying" is the sweep.
        sup.start("tidying", metered(every(SWEEP_INTERVAL_S, self._sweep)))

    def _adopt(self, stop: threading.Event) -> None:
        """Scans at once, so that every shard has a snapshot, then periodically."""
        self._durable_requests.scan()
        every(SCAN_INTERVAL_S, self._durable_requests.scan)(stop)

    def _sweep(self) -> None:
        """Removes expired records and unreferenced objects, on one entry for all."""
        if task_owner(SWEEP_TASK, self._leases.live()) == self._process.settings.name:
            self._garbage.sweep()
            self._record_store.purge_expired()

    def release_and_wait(self) -> None:
        """Releases the lease, then waits for callers and pending writes.

        Other entries adopt the durable requests once the lease is gone.
        """
        self._leases.release()
        while len(self._waiters):
            time.sleep(DRAIN_POLL_INTERVAL_S)
        self._record_store.flush(FLUSH_TIMEOUT_S)
