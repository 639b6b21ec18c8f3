"""The parts of an entry that keep records in the object store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cornelpin.core.claim_shards import Retention
from cornelpin.daemon.blobs import Blobs
from cornelpin.daemon.durable import DurableRequests
from cornelpin.daemon.http.durable import DurableApi
from cornelpin.daemon.http.keyed import ClaimedCalls
from cornelpin.daemon.http.waiters import Waiters
from cornelpin.daemon.leases import RENEW_S, EntryLeases
from cornelpin.daemon.ledger import Ledger
from cornelpin.daemon.supervisor import every

if TYPE_CHECKING:
    from cornelpin.daemon.dispatch import Dispatcher
    from cornelpin.daemon.process import Process
    from cornelpin.platform.objects import ObjectStore

SCAN_S = 2.0
FLUSH_TIMEOUT_S = 5.0
DRAIN_POLL_S = 0.05


class EntryRecords:
    """Claims and durable requests of an entry, with their periodic duties."""

    def __init__(
        self, process: Process, dispatcher: Dispatcher, objects: ObjectStore
    ) -> None:
        self._process = process
        self._ledger = Ledger(objects, self._retention)
        self._leases = EntryLeases(
            objects, name=process.settings.name, incarnation=process.incarnation
        )
        blobs = Blobs(objects)
        self._waiters = Waiters()
        self._requests = DurableRequests(
            process, dispatcher, self._ledger, blobs, self._leases
        )
        self.claimed = ClaimedCalls(
            process, self._ledger, blobs, self._leases, self._waiters
        )
        self.durable = DurableApi(self._requests, self._ledger, blobs, self._waiters)

    def _retention(self) -> Retention:
        retention = self._process.view.config.retention
        return Retention(retention.answers_s, retention.claims_s)

    def start(self) -> None:
        """Starts the writers and the periodic duties."""
        sup = self._process.supervisor
        self._ledger.start(sup)
        sup.start("leases", every(RENEW_S, self._leases.refresh))
        sup.start("adoption", every(SCAN_S, self._requests.scan))

    def wait_idle(self) -> None:
        """Hands durable requests over, and waits for callers and writes."""
        self._leases.give_back()
        while len(self._waiters):
            time.sleep(DRAIN_POLL_S)
        self._ledger.flush(FLUSH_TIMEOUT_S)
