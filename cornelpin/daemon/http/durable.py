"""Callers' interface of durable requests: acceptance, collection, cancelling."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cornelpin.core.claims import (
    Absent,
    ClaimState,
    Existing,
    Held,
    NotStored,
    Record,
    cancel,
    record_key,
)
from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.daemon.blobs import StoredCall
from cornelpin.daemon.http.keyed import (
    KEY_HEADER,
    check_same,
    checked_key,
    fingerprint_of,
    replay,
    store_refusal,
)
from cornelpin.daemon.http.wsgi import HttpRequest, HttpResponse, json_response
from cornelpin.daemon.record_store import RecordStoreUnavailable

if TYPE_CHECKING:
    from cornelpin.core.tickets import Request
    from cornelpin.daemon.blobs import Blobs
    from cornelpin.daemon.claim_peers import ClaimPeers
    from cornelpin.daemon.durable import DurableRequests
    from cornelpin.daemon.http.waiters import Waiters
    from cornelpin.daemon.record_store import RecordStore

REQUESTS_PREFIX = "/v1/requests/"
COLLECT_POLL_S = 0.1
COLLECT_RETRY_S = 1
ACCEPTED = 202


class DurableApi:
    """Accepts durable requests and hands out their answers."""

    def __init__(
        self,
        requests: DurableRequests,
        record_store: RecordStore,
        blobs: Blobs,
        waiters: Waiters,
        peers: ClaimPeers,
    ) -> None:
        self._requests = requests
        self._record_store = record_store
        self._blobs = blobs
        self._waiters = waiters
        self._peers = peers

    def submit(
        self, http: HttpRequest, req: Request, *, version: str, streamed: bool
    ) -> HttpResponse:
        """Stores a request, then answers 202 or waits for its answer."""
        key = checked_key(http.header(KEY_HEADER))
        filed_as = record_key(req.workspace, key) if key else req.request_id
        fingerprint = fingerprint_of(req)
        record = self._requests.new_record(req, key=filed_as, fingerprint=fingerprint)
        self._peers.remember(record.key, record.owner)
        outcome = self._requests.submit(record, _call(req, version, streamed))
        match outcome:
            case NotStored():
                raise self._not_stored(record, outcome)
            case Existing(found):
                check_same(found, fingerprint)
                current = found
            case Held(found):
                current = found
            case _:
                raise store_refusal("the record vanished", unresolved=True)
        if _prefers_async(http):
            return _accepted(current)
        self._waiters.enter(req.request_id)
        try:
            return self._wait(current, req)
        finally:
            self._waiters.leave(req.request_id)

    def _not_stored(self, record: Record, outcome: NotStored) -> Refusal:
        if outcome.unresolved:
            return store_refusal(outcome.reason, unresolved=True)
        self._peers.forget(record.key, record.owner)
        ran = self._peers.may_have_run(record.key, record.owner)
        return store_refusal(outcome.reason, unresolved=ran)

    def _wait(self, record: Record, req: Request) -> HttpResponse:
        current = record
        while not current.state.final:
            if req.remaining_s() <= 0:
                raise Refusal(
                    Reason.DEADLINE,
                    ExecutionStatus.MAY_HAVE_RUN,
                    f"accepted; collect it at {REQUESTS_PREFIX}{record.request_id}",
                )
            time.sleep(COLLECT_POLL_S)
            current = self._look(current)
        return replay(current, self._blobs)

    def _look(self, known: Record) -> Record:
        try:
            return self._record_store.find(known.key) or known
        except RecordStoreUnavailable:
            return known

    def handle(self, http: HttpRequest, workspace: str) -> HttpResponse:
        """Answers a request for a durable request of the caller's workspace."""
        key = http.path.removeprefix(REQUESTS_PREFIX)
        if http.method == "GET":
            return self._collect(key, workspace)
        if http.method == "DELETE":
            return self._cancel(key, workspace)
        raise Refusal(
            Reason.BAD_REQUEST,
            detail=f"{REQUESTS_PREFIX} takes GET and DELETE, not {http.method}",
        )

    def _collect(self, key: str, workspace: str) -> HttpResponse:
        try:
            # Another entry may have accepted it since the latest read here.
            record = self._record_store.find(key) or self._record_store.find(
                key, max_age_s=0.0
            )
        except RecordStoreUnavailable as exc:
            raise store_refusal("the record cannot be read now") from exc
        if record is None or not record.durable or record.workspace != workspace:
            raise _unknown()
        if not record.state.final:
            return _accepted(record)
        return replay(record, self._blobs)

    def _cancel(self, key: str, workspace: str) -> HttpResponse:
        outcome = self._record_store.apply(key, cancel(workspace, at=time.time()))
        match outcome:
            case NotStored():
                raise store_refusal(outcome.reason, unresolved=outcome.unresolved)
            case Absent():
                raise _unknown()
            case Held(record) | Existing(record):
                return json_response(_document(record))


def _call(req: Request, version: str, streamed: bool) -> StoredCall:
    return StoredCall(
        route=req.route,
        version=version,
        tier=req.tier,
        kind=req.kind,
        method=req.method,
        path=req.path,
        headers=dict(req.headers),
        body=req.body,
        cost=req.cost,
        idempotent=req.idempotent,
        streamed=streamed,
        fingerprint=req.fingerprint,
    )


def _prefers_async(http: HttpRequest) -> bool:
    wishes = http.header("Prefer").lower().split(",")
    return "respond-async" in (wish.strip() for wish in wishes)


def _accepted(record: Record) -> HttpResponse:
    headers = {
        "Location": f"{REQUESTS_PREFIX}{record.request_id}",
        "X-Request-Id": record.request_id,
        "Preference-Applied": "respond-async",
        "Retry-After": str(COLLECT_RETRY_S),
    }
    return json_response(_document(record), status=ACCEPTED, headers=headers)


def _document(record: Record) -> dict[str, object]:
    return {
        "id": record.request_id,
        "state": record.state.value,
        "may_have_run": record.state not in (ClaimState.ACCEPTED, ClaimState.CANCELLED),
        "detail": record.detail,
    }


def _unknown() -> Refusal:
    return Refusal(Reason.NO_ROUTE, detail="this workspace has no such request")
