"""Durable requests: run by the entry that owns their record, adopted when it dies."""

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
from cornelpin.daemon.blobs import Answer, StoredCall
from cornelpin.daemon.http.acceptance import encode_prompt
from cornelpin.daemon.http.completion_events import format_sse, merge_events
from cornelpin.daemon.http.wsgi import JSON_TYPE
from cornelpin.daemon.ledger import CHANGE_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.tickets import Ticket
    from cornelpin.daemon.blobs import Blobs
    from cornelpin.daemon.dispatch import Dispatcher, Exchange
    from cornelpin.daemon.leases import EntryLeases
    from cornelpin.daemon.ledger import Ledger
    from cornelpin.daemon.process import Process

OWNER_BYTES = 12
RETRY_S = 0.5
DISPATCH_TIMEOUT_S = 1.5
SCAN_AGE_S = 1.5
MAX_RUNNERS = 1024
BACKEND_ERROR = 500
OK = 200


class Superseded(Exception):
    """Another entry owns the record now, or it is final."""


class DurableRequests:
    """Files, runs, concludes and adopts durable requests."""

    def __init__(
        self,
        process: Process,
        dispatcher: Dispatcher,
        ledger: Ledger,
        blobs: Blobs,
        leases: EntryLeases,
    ) -> None:
        self._process = process
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._blobs = blobs
        self._leases = leases
        self._lock = threading.Lock()
        self._owned: dict[str, str] = {}
        self._executor = ThreadPoolExecutor(MAX_RUNNERS, thread_name_prefix="durable")

    def __len__(self) -> int:
        return len(self._owned)

    # Acceptance

    def file(
        self, record: Record, call: StoredCall, *, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> Outcome | NotStored:
        """Stores a new record and, once it is stored, starts to run it."""
        object_key = f"calls/{record.key}/{record.owner}"
        packed = self._blobs.pack(call, object_key)
        if packed is None:
            return NotStored("the request cannot be stored now")
        record = attrs.evolve(record, call=packed)
        self._own(record.owner, record.key)
        outcome = self._ledger.apply(record.key, claim(record), timeout_s=timeout_s)
        if isinstance(outcome, Held):
            self._start(outcome.record)
        else:
            # A record that was given up but is stored after all is found by a scan.
            self._disown(record.owner)
        return outcome

    def new_record(self, req: Request, *, key: str, fingerprint: str) -> Record:
        """Returns a record that this entry owns."""
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
        """Adopts unfinished requests that nobody works on."""
        for record in self._ledger.unfinished(self._watched(), SCAN_AGE_S):
            if self._orphaned(record) and not self._process.leaving.is_set():
                self._adopt(record)

    def _watched(self) -> set[int]:
        """Returns the shards to look at: this entry's share, and those of its own.

        Another entry may cancel or adopt what this one runs. A shard is read once in
        any case, so that the entry knows what was claimed before its start.
        """
        name = self._process.settings.name
        live = self._leases.live()
        share = {n for n in range(SHARDS) if task_owner(shard_key(n), live) == name}
        with self._lock:
            own = {shard_of(key) for key in self._owned.values()}
        return share | own | self._ledger.unread()

    def _orphaned(self, record: Record) -> bool:
        if record.incarnation == self._process.incarnation:
            with self._lock:
                return record.owner not in self._owned
        return self._leases.expired(record.entry, record.incarnation)

    def _adopt(self, seen: Record) -> None:
        owner = secrets.token_hex(OWNER_BYTES)
        change = take_over(
            seen,
            owner=owner,
            entry=self._process.settings.name,
            incarnation=self._process.incarnation,
        )
        self._own(owner, seen.key)
        outcome = self._ledger.apply(seen.key, change)
        if not isinstance(outcome, Held):
            self._disown(owner)
            return
        self._process.ring.record(
            "durable.adopted", request=seen.request_id, detail=seen.entry
        )
        self._start(outcome.record)

    # Running

    def _own(self, owner: str, key: str) -> None:
        with self._lock:
            self._owned[owner] = key

    def _disown(self, owner: str) -> None:
        with self._lock:
            self._owned.pop(owner, None)

    def _start(self, record: Record) -> None:
        self._executor.submit(self._run, record)

    def _run(self, record: Record) -> None:
        """Runs a request until it is concluded or belongs to another entry."""
        try:
            call = self._read_call(record)
            while not self._attempt(record, call):
                time.sleep(RETRY_S)
        except Superseded:
            self._process.ring.record("durable.superseded", request=record.request_id)
        except Exception as exc:
            logger.exception("durable request {} failed", record.request_id)
            self._fail(record, Reason.BACKEND_FAILED, f"{type(exc).__name__}: {exc}")
        finally:
            self._disown(record.owner)

    def _read_call(self, record: Record) -> StoredCall:
        while True:
            call = self._blobs.call(record.call)
            if call is not None:
                return call
            self._check_owned(record)
            time.sleep(RETRY_S)

    def _attempt(self, record: Record, call: StoredCall) -> bool:
        """Tries to run a request; returns whether it is concluded."""
        self._check_owned(record)
        try:
            exchange = self._open(record, call)
        except Refusal as exc:
            return self._refused(record, exc)
        try:
            answer = _collect(exchange, call)
            # Stored before the side may forget the run.
            self._conclude(record, answer)
        except Refusal as exc:
            return self._refused(record, exc)
        finally:
            exchange.close()
        return True

    def _refused(self, record: Record, exc: Refusal) -> bool:
        final = exc.reason is Reason.QUARANTINED
        if exc.execution is ExecutionStatus.NOT_RUN and not final:
            return False
        self._fail(record, exc.reason, exc.detail)
        return True

    def _open(self, record: Record, call: StoredCall) -> Exchange:
        answers_s = self._process.view.config.retention.answers_s
        req = stored_request(record, call, answers_s)
        if record.state is ClaimState.DISPATCHED:
            exchange = self._dispatcher.adopt(
                req,
                server=record.side,
                incarnation=record.side_incarnation,
                version=record.version,
                attempt=record.attempt,
            )
        else:
            known = self._ledger.known(record.key)
            exchange = self._dispatcher.open(
                req, version=call.version, attempt=known.attempt if known else 0
            )
        exchange.before_grant = self._note_grant(record)
        exchange.caller_gone = lambda: self._stopped(record, exchange)
        return exchange

    def _note_grant(self, record: Record) -> Callable[[str, Ticket], bool]:
        """Returns the function that stores whom a request is granted to."""

        def note(server: str, ticket: Ticket) -> bool:
            change = dispatch(
                record.owner,
                side=server,
                incarnation=ticket.incarnation,
                version=ticket.version,
                attempt=ticket.attempt + 1,
                at=time.time(),
            )
            outcome = self._ledger.apply(
                record.key, change, timeout_s=DISPATCH_TIMEOUT_S
            )
            if isinstance(outcome, Held):
                return True
            if isinstance(outcome, NotStored):
                return False
            raise Superseded

        return note

    def _stopped(self, record: Record, exchange: Exchange) -> bool:
        """Whether to give a request up: cancelled, or left to another entry."""
        stopping = self._process.stopping.is_set()
        return self._cancelled(record) or (stopping and exchange.waiting)

    def _check_owned(self, record: Record) -> None:
        if self._cancelled(record) or self._process.stopping.is_set():
            raise Superseded

    def _cancelled(self, record: Record) -> bool:
        """Whether the record, as far as known here, is final or another's."""
        found = self._ledger.known(record.key)
        return found is not None and (found.state.final or found.owner != record.owner)

    # Ends

    def _conclude(self, record: Record, answer: Answer) -> None:
        packed = EMPTY
        object_key = f"answers/{record.key}/{record.owner}"
        while not packed.present:
            packed = self._blobs.pack(answer, object_key) or Packed()
            if not packed.present:
                if self._cancelled(record):
                    raise Superseded
                time.sleep(RETRY_S)
        self._store_end(
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
        self._store_end(record, change)
        self._process.ring.record("durable.failed", request=record.request_id)

    def _store_end(self, record: Record, change: Change) -> None:
        self._ledger.apply(record.key, change, timeout_s=None)


def stored_request(record: Record, call: StoredCall, timeout_s: float) -> Request:
    """Returns the request of a record, with the prefix of its prompt."""
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
        keep=True,
    )


def _collect(exchange: Exchange, call: StoredCall) -> Answer:
    """Reads a whole answer in the form that the request asked for.

    Raises:
        Refusal: If there is no whole answer.
    """
    head = exchange.head()
    parts = [part for batch in exchange.parts() for part in batch]
    if call.kind == "service":
        return Answer(head.status, dict(head.headers), b"".join(parts))
    if head.status >= BACKEND_ERROR:
        detail = f"the engine answered {head.status}"
        raise Refusal(Reason.BACKEND_FAILED, ExecutionStatus.MAY_HAVE_RUN, detail)
    if head.status != OK:
        return Answer(head.status, dict(head.headers), b"".join(parts))
    if call.streamed:
        headers = {"Content-Type": "text/event-stream"}
        return Answer(OK, headers, b"".join(format_sse([parts])))
    return Answer(OK, {"Content-Type": JSON_TYPE}, merge_events([parts]))
