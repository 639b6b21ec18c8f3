"""HTTP API of durable requests: submission, collection and cancellation."""

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
    check_fingerprint,
    replay,
    retry_digest,
    store_refusal,
    validate_key,
)
from cornelpin.daemon.http.messages import HttpRequest, HttpResponse, json_response
from cornelpin.daemon.record_store import RecordStoreUnavailable

if TYPE_CHECKING:
    from cornelpin.core.tickets import Request
    from cornelpin.daemon.blobs import Blobs
    from cornelpin.daemon.claim_peers import ClaimPeers
    from cornelpin.daemon.durable import DurableRequests
    from cornelpin.daemon.http.waiters import Waiters
    from cornelpin.daemon.record_store import RecordStore

REQUESTS_PREFIX = "/v1/requests/"
COLLECT_POLL_INTERVAL_S = 0.1
COLLECT_RETRY_AFTER_S = 1
ACCEPTED = 202


class DurableApi:
    """Accepts durable requests and returns their answers."""

    def __init__(
        self,
        requests: DurableRequests,
        record_store: RecordStore,
        blobs: Blobs,
        waiters: Waiters,
        claim_peers: ClaimPeers,
    ) -> None:
        self._requests = requests
        self._record_store = record_store
        self._blobs = blobs
        self._waiters = waiters
        self._claim_peers = claim_peers

    def submit(
        self, http: HttpRequest, req: Request, *, version: str, streamed: bool
    ) -> HttpResponse:
        """Stores a request, then responds with 202 or waits for its answer.

        Args:
            http: The caller's HTTP request.
            req: The request.
            version: Version of its route, empty for a service.
            streamed: Whether the caller asked for a stream of events.

        Raises:
            Refusal: If the request is not stored, fails or is not done in time.
        """
        key = validate_key(http.header(KEY_HEADER))
        stored_key = record_key(req.workspace, key) if key else req.request_id
        fingerprint = retry_digest(req)
        record = self._requests.new_record(req, key=stored_key, fingerprint=fingerprint)
        self._claim_peers.note_dispatch(record.key, record.owner)
        outcome = self._requests.submit(record, _call(req, version, streamed))
        match outcome:
            case NotStored():
                raise self._storage_refusal(record, outcome)
            case Existing(found):
                # Another owner has the key. The note of the dispatch stays, unlike in
                # `keyed.py`: the key's first request may run, and it may be this very
                # request, adopted by another entry under a new owner.
                check_fingerprint(found, fingerprint)
                current = found
            case Held(found):
                current = found
            case _:
                raise store_refusal("the record vanished", may_have_run=True)
        if _prefers_async(http):
            return _accepted(current)
        self._waiters.add(req.request_id)
        try:
            return self._wait(current, req)
        finally:
            self._waiters.remove(req.request_id)

    def _storage_refusal(self, record: Record, outcome: NotStored) -> Refusal:
        if outcome.unresolved:
            return store_refusal(outcome.reason, may_have_run=True)
        self._claim_peers.forget_dispatch(record.key, record.owner)
        # Asks all other entries and waits for their replies.
        ran = self._claim_peers.may_have_run(record.key, record.owner)
        return store_refusal(outcome.reason, may_have_run=ran)

    def _wait(self, record: Record, req: Request) -> HttpResponse:
        current = record
        while not current.state.final:
            if req.remaining_s() <= 0:
                raise Refusal(
                    Reason.DEADLINE,
                    ExecutionStatus.MAY_HAVE_RUN,
                    f"accepted; collect it at {REQUESTS_PREFIX}{record.request_id}",
                )
            time.sleep(COLLECT_POLL_INTERVAL_S)
            current = self._reread(current)
        return replay(current, self._blobs)

    def _reread(self, last: Record) -> Record:
        try:
            return self._record_store.find(last.key) or last
        except RecordStoreUnavailable:
            return last

    def handle(self, http: HttpRequest, workspace: str) -> HttpResponse:
        """Collects or cancels a durable request of the caller's workspace."""
        request_id = http.path.removeprefix(REQUESTS_PREFIX)
        if http.method == "GET":
            return self._collect(request_id, workspace)
        if http.method == "DELETE":
            return self._cancel(request_id, workspace)
        raise Refusal(
            Reason.BAD_REQUEST,
            detail=f"{REQUESTS_PREFIX} takes GET and DELETE, not {http.method}",
        )

    def _collect(self, request_id: str, workspace: str) -> HttpResponse:
        try:
            # Another entry may have accepted it since the last read here.
            record = self._record_store.find(request_id) or self._record_store.find(
                request_id, max_age_s=0.0
            )
        except RecordStoreUnavailable as exc:
            raise store_refusal("the record cannot be read now") from exc
        if record is None or not record.durable or record.workspace != workspace:
            raise _not_found()
        if not record.state.final:
            return _accepted(record)
        return replay(record, self._blobs)

    def _cancel(self, request_id: str, workspace: str) -> HttpResponse:
        outcome = self._record_store.apply(
            request_id, cancel(workspace, at=time.time())
        )
        match outcome:
            case NotStored():
                raise store_refusal(outcome.reason, may_have_run=outcome.unresolved)
            case Absent():
                raise _not_found()
            # Ended by this change (cancelled, or failed if dispatched) or before it.
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
    preferences = http.header("Prefer").lower().split(",")
    return "respond-async" in (preference.strip() for preference in preferences)


def _accepted(record: Record) -> HttpResponse:
    headers = {
        "Location": f"{REQUESTS_PREFIX}{record.request_id}",
        "X-Request-Id": record.request_id,
        "Preference-Applied": "respond-async",
        "Retry-After": str(COLLECT_RETRY_AFTER_S),
    }
    return json_response(_document(record), status=ACCEPTED, headers=headers)


def _document(record: Record) -> dict[str, object]:
    return {
        "id": record.request_id,
        "state": record.state.value,
        "may_have_run": record.state not in (ClaimState.ACCEPTED, ClaimState.CANCELLED),
        "detail": record.detail,
    }


def _not_found() -> Refusal:
    return Refusal(Reason.NO_ROUTE, detail="this workspace has no such request")
