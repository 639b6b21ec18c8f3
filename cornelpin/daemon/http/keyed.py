"""Handles requests with an idempotency key.

A request is claimed before its dispatch, so that a key runs once; retries with the key
get the stored answer.
"""

from __future__ import annotations

import hashlib
import secrets
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.core.claims import (
    EMPTY,
    ClaimState,
    Existing,
    Held,
    NotStored,
    Record,
    claim,
    conclude,
    record_key,
    release,
)
from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.daemon.blobs import StoredAnswer
from cornelpin.daemon.http.completion_events import END_EVENT
from cornelpin.daemon.http.messages import HttpResponse
from cornelpin.daemon.record_store import CHANGE_TIMEOUT_S, RecordStoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from cornelpin.core.tickets import Request
    from cornelpin.daemon.blobs import Blobs
    from cornelpin.daemon.claim_peers import ClaimPeers
    from cornelpin.daemon.http.waiters import Waiters
    from cornelpin.daemon.leases import EntryLeases
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.record_store import RecordStore

KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 255
OWNER_BYTES = 12
JOIN_POLL_INTERVAL_S = 0.1
MAX_ANSWER_BYTES = 2 * 1024 * 1024
STORE_RETRY_AFTER_S = 1.0


def new_owner() -> str:
    """Returns a random owner id."""
    return secrets.token_hex(OWNER_BYTES)


def validate_key(key: str) -> str:
    """Returns an idempotency key after a check of its length.

    Raises:
        Refusal: If it is too long.
    """
    if len(key) > MAX_KEY_CHARS:
        raise Refusal(
            Reason.BAD_REQUEST,
            detail=f"{KEY_HEADER} has {len(key)} characters; "
            f"at most {MAX_KEY_CHARS} are allowed",
        )
    return key


def retry_digest(req: Request) -> str:
    """Returns the digest that a request shares with its retries.

    It is stored as the record's ``fingerprint``. ``Request.fingerprint`` is another
    digest: it identifies contents that may crash servers.
    """
    digest = hashlib.sha256()
    texts = (req.kind, req.route, req.method, req.path)
    for part in (
        *(text.encode("utf-8", "surrogateescape") for text in texts),
        req.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]


def check_fingerprint(found: Record, fingerprint: str) -> None:
    """Checks that a request is a retry of the one that the record was made for.

    Raises:
        Refusal: If the key was used with another request before.
    """
    if found.fingerprint != fingerprint:
        raise Refusal(
            Reason.KEY_REUSED,
            detail=f"this {KEY_HEADER} was used with another request before",
        )


def store_refusal(reason: str, *, may_have_run: bool = False) -> Refusal:
    """Returns the refusal for a record that could not be stored or read.

    Args:
        reason: Sentence that describes the failure.
        may_have_run: Whether the request may have run.
    """
    execution = (
        ExecutionStatus.MAY_HAVE_RUN if may_have_run else ExecutionStatus.NOT_RUN
    )
    return Refusal(Reason.STORE_UNAVAILABLE, execution, reason, STORE_RETRY_AFTER_S)


class KeyedRequests:
    """Claims requests with a key before their dispatch and records their answers."""

    def __init__(
        self,
        process: Process,
        record_store: RecordStore,
        blobs: Blobs,
        leases: EntryLeases,
        waiters: Waiters,
        claim_peers: ClaimPeers,
    ) -> None:
        self._process = process
        self._record_store = record_store
        self._blobs = blobs
        self._leases = leases
        self._waiters = waiters
        self._claim_peers = claim_peers

    def handle(
        self, req: Request, key: str, perform: Callable[[], HttpResponse]
    ) -> HttpResponse:
        """Performs a request, or returns the answer of an earlier one with its key.

        Args:
            req: The request.
            key: The caller's idempotency key.
            perform: Dispatches the request and returns its response.

        Raises:
            Refusal: If the request or the earlier one failed or was refused.
        """
        record = self._new_record(req, validate_key(key))
        self._waiters.add(record.owner)
        try:
            resp = self._claim_or_join(record, req, perform)
        except BaseException:
            self._waiters.remove(record.owner)
            raise
        # Recorded chunks remove the waiter when they are closed.
        if not isinstance(resp.chunks, _RecordedChunks):
            self._waiters.remove(record.owner)
        return resp

    def _claim_or_join(
        self, record: Record, req: Request, perform: Callable[[], HttpResponse]
    ) -> HttpResponse:
        while True:
            # Notes a possible dispatch. The note precedes the claim, so that from the
            # claim on this entry reports the key to others that ask about it.
            self._claim_peers.note_dispatch(record.key, record.owner)
            timeout_s = max(0.0, min(CHANGE_TIMEOUT_S, req.remaining_s()))
            outcome = self._record_store.apply(
                record.key, claim(record), timeout_s=timeout_s
            )
            match outcome:
                case Held():
                    return self._perform(record, perform)
                case NotStored():
                    # Nothing was dispatched. The release removes the claim, or makes a
                    # write of it that is still in flight fail.
                    self._claim_peers.forget_dispatch(record.key, record.owner)
                    self._record_store.apply_later(record.key, release(record.owner))
                    # Asks all other entries and waits for their replies.
                    ran = self._claim_peers.may_have_run(record.key, record.owner)
                    raise store_refusal(outcome.reason, may_have_run=ran)
                case Existing(found):
                    self._claim_peers.forget_dispatch(record.key, record.owner)
                    resp = self._join(found, record, req)
                    if resp is not None:
                        return resp

    def _new_record(self, req: Request, key: str) -> Record:
        return Record(
            key=record_key(req.workspace, key),
            request_id=req.request_id,
            workspace=req.workspace,
            fingerprint=retry_digest(req),
            owner=new_owner(),
            entry=self._process.settings.name,
            incarnation=self._process.incarnation,
            # Keyed requests skip ACCEPTED: once claimed they count as possibly run.
            state=ClaimState.DISPATCHED,
            at=time.time(),
        )

    # The first request under a key

    def _perform(
        self, record: Record, perform: Callable[[], HttpResponse]
    ) -> HttpResponse:
        self._process.ring.record("claim.held", request=record.request_id)
        try:
            resp = perform()
        except Refusal as exc:
            self._record_refusal(record, exc)
            raise
        except BaseException as exc:
            self._record_failure(
                record, Reason.BACKEND_FAILED.value, type(exc).__name__
            )
            raise
        resp.chunks = _RecordedChunks(self, record, resp)
        return resp

    def _record_refusal(self, record: Record, exc: Refusal) -> None:
        if exc.execution is ExecutionStatus.NOT_RUN:
            self._claim_peers.forget_dispatch(record.key, record.owner)
            self._record_store.apply_later(record.key, release(record.owner))
        else:
            self._record_failure(record, exc.reason.value, exc.detail)

    def _record_failure(self, record: Record, reason: str, detail: str) -> None:
        change = conclude(
            record.owner,
            ClaimState.FAILED,
            at=time.time(),
            reason=reason,
            detail=detail,
        )
        self._record_store.apply_later(record.key, change)

    def record_answer(self, record: Record, answer: StoredAnswer | None) -> None:
        """Records a complete answer; None for one that is too long to store."""
        # EMPTY records that no answer is kept: it is too long, or `pack` returned None
        # because it could not be stored.
        packed = EMPTY
        if answer is not None:
            object_key = f"answers/{record.key}/{record.owner}"
            packed = self._blobs.pack(answer, object_key) or EMPTY
        change = conclude(record.owner, ClaimState.DONE, at=time.time(), answer=packed)
        self._record_store.apply_later(record.key, change)
        self._waiters.remove(record.owner)

    def record_incomplete(self, record: Record) -> None:
        """Records that the response broke off before its end."""
        self._record_failure(
            record, Reason.BACKEND_FAILED.value, "the answer broke off"
        )
        self._waiters.remove(record.owner)

    # Retries

    def _join(self, found: Record, own: Record, req: Request) -> HttpResponse | None:
        """Waits until the first request with the key has ended.

        Returns:
            Its answer, or None if the key is free again or was claimed by this request
            after all: the caller then claims it again.

        Raises:
            Refusal: If the first request failed, its entry is lost or it is still
                running at the deadline.
        """
        current: Record | None = found
        while current is not None and current.owner != own.owner:
            check_fingerprint(current, own.fingerprint)
            if current.state.final:
                return replay(current, self._blobs)
            if self._leases.expired(current.entry, current.incarnation):
                raise Refusal(
                    Reason.SERVER_LOST,
                    ExecutionStatus.MAY_HAVE_RUN,
                    "the entry that ran this key's first request is lost",
                )
            if req.remaining_s() <= 0:
                raise _still_running()
            time.sleep(JOIN_POLL_INTERVAL_S)
            current = self._reread(current)
        return None

    def _reread(self, last: Record) -> Record | None:
        try:
            return self._record_store.find(last.key)
        except RecordStoreUnavailable:
            return last


def replay(record: Record, blobs: Blobs) -> HttpResponse:
    """Returns the stored answer of a final record.

    Raises:
        Refusal: If the request failed, or its answer is not stored or cannot be read.
    """
    if record.state is ClaimState.CANCELLED:
        raise Refusal(Reason.CANCELLED, detail=record.detail)
    if record.state is ClaimState.FAILED:
        raise Refusal(
            Reason(record.reason), ExecutionStatus.MAY_HAVE_RUN, record.detail
        )
    if not record.answer.present:
        raise Refusal(
            Reason.ANSWER_EXPIRED, ExecutionStatus.RAN, "it ran; its answer is not kept"
        )
    answer = blobs.read_answer(record.answer)
    if answer is None:
        raise Refusal(
            Reason.STORE_UNAVAILABLE,
            ExecutionStatus.RAN,
            "it ran; its answer cannot be read now",
            STORE_RETRY_AFTER_S,
        )
    headers = {**answer.headers, "X-Request-Id": record.request_id}
    headers["Content-Length"] = str(len(answer.body))
    return HttpResponse(answer.status, headers, [answer.body])


def _still_running() -> Refusal:
    return Refusal(
        Reason.IN_PROGRESS,
        ExecutionStatus.MAY_HAVE_RUN,
        "this key's first request is still running",
        STORE_RETRY_AFTER_S,
    )


@attrs.define(eq=False)
class _RecordedChunks:
    """Passes on the chunks of a response and records the answer once complete."""

    _requests: KeyedRequests
    _record: Record
    _resp: HttpResponse
    _inner: Iterable[bytes] = attrs.field(init=False)
    _kept: list[bytes] = attrs.field(factory=list, init=False)
    _size: int = attrs.field(default=0, init=False)
    _complete: bool = attrs.field(default=False, init=False)
    _closed: bool = attrs.field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        self._inner = self._resp.chunks
        # A response that is not streamed is complete before its first byte is sent.
        self._complete = isinstance(self._inner, list)

    def __iter__(self) -> Iterator[bytes]:
        for chunk in self._inner:
            self._size += len(chunk)
            if self._size <= MAX_ANSWER_BYTES:
                self._kept.append(chunk)
            self._complete = self._complete or chunk == END_EVENT
            yield chunk

    def close(self) -> None:
        """Ends the response; the HTTP server always calls it."""
        if self._closed:
            return
        self._closed = True
        close = getattr(self._inner, "close", None)
        if close is not None:
            close()
        if not self._complete:
            self._requests.record_incomplete(self._record)
            return
        self._requests.record_answer(self._record, self._answer())

    def _answer(self) -> StoredAnswer | None:
        # A list may be closed without having been iterated, or only in part, so it is
        # taken whole; MAX_ANSWER_BYTES then applies just to the chunks iterated.
        chunks = self._inner if isinstance(self._inner, list) else self._kept
        if self._size > MAX_ANSWER_BYTES:
            return None
        body = b"".join(chunks)
        return StoredAnswer(self._resp.status, dict(self._resp.headers), body)
