"""Runs durable requests, which are stored before they are accepted.

The entry that owns the record runs the request. When that entry fails, another one
adopts it.
"""

from __future__ import annotations

import json
import secrets
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cornelpin.core.affinity import prefix_digests
from cornelpin.core.claim_shards import SHARDS, shard_key, shard_of
from cornelpin.core.claims import (
    EMPTY,
    Change,
    ClaimState,
    Held,
    NotStored,
    Outcome,
    Packed,
    Record,
    claim,
    conclude,
    dispatch,
    take_over,
)
from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.core.task_ownership import task_owner
from cornelpin.core.tickets import Request
from cornelpin.daemon.blobs import StoredAnswer, StoredCall
from cornelpin.daemon.http.acceptance import encode_prompt
from cornelpin.daemon.http.completion_events import format_sse, merge_events
from cornelpin.daemon.http.messages import JSON_TYPE
from cornelpin.daemon.record_store import CHANGE_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.tickets import Ticket
    from cornelpin.daemon.blobs import Blobs
    from cornelpin.daemon.dispatch import Dispatcher, Exchange
    from cornelpin.daemon.leases import EntryLeases
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.record_store import RecordStore

OWNER_BYTES = 12
RETRY_INTERVAL_S = 0.5
# Maximum wait for the store when a grant is recorded.
DISPATCH_TIMEOUT_S = 1.5
SCAN_MAX_SNAPSHOT_AGE_S = 1.5
MAX_THREADS = 1024
FIRST_SERVER_ERROR = 500
OK = 200


class Superseded(Exception):
    """The record is final or has another owner, or this entry is stopping."""


class DurableRequests:
    """Stores, runs, concludes and adopts durable requests."""

    def __init__(
        self,
        process: Process,
        dispatcher: Dispatcher,
        record_store: RecordStore,
        blobs: Blobs,
        leases: EntryLeases,
    ) -> None:
        self._process = process
        self._dispatcher = dispatcher
        self._record_store = record_store
        self._blobs = blobs
        self._leases = leases
        self._lock = threading.Lock()
        # Record keys of the requests that this entry works on, by owner id.
        self._keys_by_owner: dict[str, str] = {}
        self._executor = ThreadPoolExecutor(MAX_THREADS, thread_name_prefix="durable")

    def __len__(self) -> int:
        return len(self._keys_by_owner)

    # Acceptance

    def submit(
        self, record: Record, call: StoredCall, *, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> Outcome | NotStored:
        """Stores a new record and starts to run it once it is stored.

        Args:
            record: The record, owned by this entry.
            call: The request to store with it.
            timeout_s: Maximum wait for the store in seconds.
        """
        object_key = f"calls/{record.key}/{record.owner}"
        packed = self._blobs.pack(call, object_key)
        if packed is None:
            return NotStored("the request cannot be stored now")
        record = attrs.evolve(record, call=packed)
        self._add_owned(record.owner, record.key)
        outcome = self._record_store.apply(
            record.key, claim(record), timeout_s=timeout_s
        )
        if isinstance(outcome, Held):
            self._start(outcome.record)
        else:
            # If the record is stored after the timeout, a scan finds it.
            self._remove_owned(record.owner)
        return outcome

    def new_record(self, req: Request, *, key: str, fingerprint: str) -> Record:
        """Returns a new record that this entry owns.

        The request id in the record is the record key, by which the caller collects
        the answer.
        """
        return Record(
            key=key,
            request_id=key,
            workspace=req.workspace,
            fingerprint=fingerprint,
            owner=secrets.token_hex(OWNER_BYTES),
            entry=self._process.settings.name,
            incarnation=self._process.incarnation,
            state=ClaimState.ACCEPTED,
            at=time.time(),
            durable=True,
        )

    # Adoption

    def scan(self) -> None:
        """Adopts unfinished requests that no entry works on."""
        for record in self._record_store.unfinished(
            self._shards_to_scan(), SCAN_MAX_SNAPSHOT_AGE_S
        ):
            if self._is_orphaned(record) and not self._process.draining.is_set():
                self._adopt(record)

    def _shards_to_scan(self) -> set[int]:
        """Returns the shards to scan.

        These are:

        - this entry's share of the shards,
        - the shards of the requests that it runs, as another entry may have cancelled
          or adopted them,
        - the shards not read yet, so that claims made before its start are known.
        """
        name = self._process.settings.name
        live = self._leases.live()
        share = {n for n in range(SHARDS) if task_owner(shard_key(n), live) == name}
        with self._lock:
            own = {shard_of(key) for key in self._keys_by_owner.values()}
        return share | own | self._record_store.unread_shards()

    def _is_orphaned(self, record: Record) -> bool:
        # A record of this entry is orphaned only if it was stored after its submission
        # or adoption had timed out, so that no thread runs its request.
        if record.incarnation == self._process.incarnation:
            with self._lock:
                return record.owner not in self._keys_by_owner
        return self._leases.expired(record.entry, record.incarnation)

    def _adopt(self, orphan: Record) -> None:
        owner = secrets.token_hex(OWNER_BYTES)
        change = take_over(
            orphan,
            owner=owner,
            entry=self._process.settings.name,
            incarnation=self._process.incarnation,
        )
        self._add_owned(owner, orphan.key)
        outcome = self._record_store.apply(orphan.key, change)
        if not isinstance(outcome, Held):
            self._remove_owned(owner)
            return
        self._process.ring.record(
            "durable.adopted", request=orphan.request_id, detail=orphan.entry
        )
        self._start(outcome.record)

    # Running

    def _add_owned(self, owner: str, key: str) -> None:
        with self._lock:
            self._keys_by_owner[owner] = key

    def _remove_owned(self, owner: str) -> None:
        with self._lock:
            self._keys_by_owner.pop(owner, None)

    def _start(self, record: Record) -> None:
        self._executor.submit(self._run, record)

    def _run(self, record: Record) -> None:
        """Runs a request until it is concluded or superseded."""
        try:
            call = self._read_call(record)
            while not self._attempt(record, call):
                time.sleep(RETRY_INTERVAL_S)
        except Superseded:
            self._process.ring.record("durable.superseded", request=record.request_id)
        except Exception as exc:
            logger.exception("durable request {} failed", record.request_id)
            self._fail(record, Reason.BACKEND_FAILED, f"{type(exc).__name__}: {exc}")
        finally:
            self._remove_owned(record.owner)

    def _read_call(self, record: Record) -> StoredCall:
        while True:
            call = self._blobs.read_call(record.call)
            if call is not None:
                return call
            self._raise_if_superseded(record)
            time.sleep(RETRY_INTERVAL_S)

    def _attempt(self, record: Record, call: StoredCall) -> bool:
        """Makes one attempt to run a request; returns whether it is concluded."""
        self._raise_if_superseded(record)
        try:
            exchange = self._open(record, call)
        except Refusal as exc:
            return self._handle_refusal(record, exc)
        try:
            answer = _collect(exchange, call)
            # Stored before the exchange is closed, as the side may then drop the run.
            self._conclude(record, answer)
        except Refusal as exc:
            return self._handle_refusal(record, exc)
        finally:
            exchange.close()
        return True

    def _handle_refusal(self, record: Record, exc: Refusal) -> bool:
        """Returns whether a refusal concludes the request; False to try again."""
        final = exc.reason is Reason.QUARANTINED
        if exc.execution is ExecutionStatus.NOT_RUN and not final:
            return False
        self._fail(record, exc.reason, exc.detail)
        return True

    def _open(self, record: Record, call: StoredCall) -> Exchange:
        # The caller's timeout limits only its wait for the answer. The request itself
        # may wait and run for as long as its answer would be kept.
        answers_s = self._process.view.config.retention.answers_s
        req = stored_request(record, call, answers_s)
        if record.state is ClaimState.DISPATCHED:
            exchange = self._dispatcher.adopt(
                req,
                server=record.side,  # The field holds the backend server's name.
                incarnation=record.side_incarnation,
                version=record.version,
                attempt=record.attempt,
            )
        else:
            cached = self._record_store.cached(record.key)
            exchange = self._dispatcher.open(
                req, version=call.version, attempt=cached.attempt if cached else 0
            )
        exchange.before_grant = self._grant_recorder(record)
        exchange.should_abandon = lambda: self._should_abandon(record, exchange)
        return exchange

    def _grant_recorder(self, record: Record) -> Callable[[str, Ticket], bool]:
        """Returns a function that stores a grant before it is sent to the server."""

        def store_grant(server: str, ticket: Ticket) -> bool:
            change = dispatch(
                record.owner,
                side=server,
                incarnation=ticket.incarnation,
                version=ticket.version,
                attempt=ticket.attempt + 1,
                at=time.time(),
            )
            outcome = self._record_store.apply(
                record.key, change, timeout_s=DISPATCH_TIMEOUT_S
            )
            if isinstance(outcome, Held):
                return True
            if isinstance(outcome, NotStored):
                return False
            raise Superseded

        return store_grant

    def _should_abandon(self, record: Record, exchange: Exchange) -> bool:
        """Whether to abandon the exchange.

        True if the request was cancelled or adopted by another entry, or if this entry
        stops before a grant.
        """
        stopping = self._process.stopping.is_set()
        return self._is_superseded(record) or (stopping and exchange.waiting)

    def _raise_if_superseded(self, record: Record) -> None:
        if self._is_superseded(record) or self._process.stopping.is_set():
            raise Superseded

    def _is_superseded(self, record: Record) -> bool:
        """Whether the latest snapshot has the record as final or with another owner."""
        found = self._record_store.cached(record.key)
        return found is not None and (found.state.final or found.owner != record.owner)

    # Outcomes

    def _conclude(self, record: Record, answer: StoredAnswer) -> None:
        """Stores the answer; retries until it can be written.

        An answer over the size limit of an object can never be written: the retries
        then end only when the record is final or has another owner.

        Raises:
            Superseded: If the record is final or has another owner.
        """
        packed = EMPTY
        object_key = f"answers/{record.key}/{record.owner}"
        while not packed.present:
            packed = self._blobs.pack(answer, object_key) or Packed()
            if not packed.present:
                if self._is_superseded(record):
                    raise Superseded
                time.sleep(RETRY_INTERVAL_S)
        self._store_outcome(
            record,
            conclude(record.owner, ClaimState.DONE, at=time.time(), answer=packed),
        )
        self._process.ring.record("durable.done", request=record.request_id)

    def _fail(self, record: Record, reason: Reason, detail: str) -> None:
        change = conclude(
            record.owner,
            ClaimState.FAILED,
            at=time.time(),
            reason=reason.value,
            detail=detail,
        )
        self._store_outcome(record, change)
        self._process.ring.record("durable.failed", request=record.request_id)

    def _store_outcome(self, record: Record, change: Change) -> None:
        self._record_store.apply(record.key, change, timeout_s=None)


def stored_request(record: Record, call: StoredCall, timeout_s: float) -> Request:
    """Returns the request of a record, with the prefix digests of its prompt."""
    prompt = encode_prompt(json.loads(call.body)) if call.kind == "model" else b""
    return Request(
        request_id=record.request_id,
        workspace=record.workspace,
        route=call.route,
        tier=call.tier,
        kind=call.kind,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        cost=call.cost,
        deadline=time.monotonic() + timeout_s,
        max_wait_s=timeout_s,
        idempotent=call.idempotent,
        fingerprint=call.fingerprint,
        prefix=prefix_digests(record.workspace, prompt),
        prompt_bytes=len(prompt),
        durable=True,
    )


def _collect(exchange: Exchange, call: StoredCall) -> StoredAnswer:
    """Reads a complete response in the form that the caller asked for.

    Raises:
        Refusal: If the response is incomplete, or a model's engine returned a server
            error. A service's response is the answer whatever its status.
    """
    head = exchange.head()
    parts = [part for batch in exchange.parts() for part in batch]
    if call.kind == "service":
        return StoredAnswer(head.status, dict(head.headers), b"".join(parts))
    if head.status >= FIRST_SERVER_ERROR:
        detail = f"the engine answered {head.status}"
        raise Refusal(Reason.BACKEND_FAILED, ExecutionStatus.MAY_HAVE_RUN, detail)
    if head.status != OK:
        return StoredAnswer(head.status, dict(head.headers), b"".join(parts))
    if call.streamed:
        headers = {"Content-Type": "text/event-stream"}
        return StoredAnswer(OK, headers, b"".join(format_sse([parts])))
    return StoredAnswer(OK, {"Content-Type": JSON_TYPE}, merge_events([parts]))
