"""Requests with an idempotency key: claimed before dispatch, answered alike after."""

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
from cornelpin.daemon.blobs import Answer
from cornelpin.daemon.http.completion_events import END_EVENT
from cornelpin.daemon.http.wsgi import HttpResponse
from cornelpin.daemon.ledger import CHANGE_TIMEOUT_S, LedgerUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from cornelpin.core.tickets import Request
    from cornelpin.daemon.blobs import Blobs
    from cornelpin.daemon.claim_peers import ClaimPeers
    from cornelpin.daemon.http.waiters import Waiters
    from cornelpin.daemon.leases import EntryLeases
    from cornelpin.daemon.ledger import Ledger
    from cornelpin.daemon.process import Process

KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 255
OWNER_BYTES = 12
JOIN_POLL_S = 0.1
MAX_ANSWER_BYTES = 2 * 1024 * 1024
STORE_RETRY_S = 1.0


def new_owner() -> str:
    """Returns a random owner id."""
    return secrets.token_hex(OWNER_BYTES)


def checked_key(key: str) -> str:
    """Returns an idempotency key.

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


def fingerprint_of(req: Request) -> str:
    """Returns the digest that a repeat under the same key must have too."""
    digest = hashlib.sha256()
    texts = (req.kind, req.route, req.method, req.path)
    for part in (
        *(text.encode("utf-8", "surrogateescape") for text in texts),
        req.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]


def check_same(found: Record, fingerprint: str) -> None:
    """Checks that a repeat is one.

    Raises:
        Refusal: If the key came with another request before.
    """
    if found.fingerprint != fingerprint:
        raise Refusal(
            Reason.KEY_REUSED,
            detail=f"this {KEY_HEADER} was used with another request before",
        )


def store_refusal(reason: str, *, unresolved: bool = False) -> Refusal:
    """Returns the refusal for a record that could not be stored."""
    execution = ExecutionStatus.MAY_HAVE_RUN if unresolved else ExecutionStatus.NOT_RUN
    return Refusal(Reason.STORE_UNAVAILABLE, execution, reason, STORE_RETRY_S)


class ClaimedCalls:
    """Claims requests before their dispatch and records their answers."""

    def __init__(
        self,
        process: Process,
        ledger: Ledger,
        blobs: Blobs,
        leases: EntryLeases,
        waiters: Waiters,
        peers: ClaimPeers,
    ) -> None:
        self._process = process
        self._ledger = ledger
        self._blobs = blobs
        self._leases = leases
        self._waiters = waiters
        self._peers = peers

    def answer(
        self, req: Request, key: str, perform: Callable[[], HttpResponse]
    ) -> HttpResponse:
        """Performs a request unless another one had its key; then answers alike.

        Args:
            req: The request.
            key: The caller's idempotency key.
            perform: Dispatches the request and returns its answer.

        Raises:
            Refusal: If there is no answer.
        """
        record = self._new_record(req, checked_key(key))
        self._waiters.enter(record.owner)
        try:
            resp = self._claimed(record, req, perform)
        except BaseException:
            self._waiters.leave(record.owner)
            raise
        if not isinstance(resp.chunks, _RecordedChunks):
            self._waiters.leave(record.owner)
        return resp

    def _claimed(
        self, record: Record, req: Request, perform: Callable[[], HttpResponse]
    ) -> HttpResponse:
        while True:
            self._peers.remember(record.key, record.owner)
            timeout_s = max(0.0, min(CHANGE_TIMEOUT_S, req.remaining_s()))
            outcome = self._ledger.apply(record.key, claim(record), timeout_s=timeout_s)
            match outcome:
                case Held():
                    return self._perform(record, perform)
                case NotStored():
                    # Nothing was dispatched, and what may yet be written is fenced.
                    self._peers.forget(record.key, record.owner)
                    self._ledger.apply_later(record.key, release(record.owner))
                    ran = self._peers.may_have_run(record.key, record.owner)
                    raise store_refusal(outcome.reason, unresolved=ran)
                case Existing(found):
                    self._peers.forget(record.key, record.owner)
                    resp = self._join(found, record, req)
                    if resp is not None:
                        return resp

    def _new_record(self, req: Request, key: str) -> Record:
        return Record(
            key=record_key(req.workspace, key),
            request_id=req.request_id,
            workspace=req.workspace,
            fingerprint=fingerprint_of(req),
            owner=new_owner(),
            entry=self._process.settings.name,
            incarnation=self._process.incarnation,
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
            self._refused(record, exc)
            raise
        except BaseException as exc:
            self._failed(record, Reason.BACKEND_FAILED.value, type(exc).__name__)
            raise
        resp.chunks = _RecordedChunks(self, record, resp)
        return resp

    def _refused(self, record: Record, exc: Refusal) -> None:
        if exc.execution is ExecutionStatus.NOT_RUN:
            self._peers.forget(record.key, record.owner)
            self._ledger.apply_later(record.key, release(record.owner))
        else:
            self._failed(record, exc.reason.value, exc.detail)

    def _failed(self, record: Record, reason: str, detail: str) -> None:
        change = conclude(
            record.owner,
            ClaimState.FAILED,
            at=time.time(),
            reason=reason,
            detail=detail,
        )
        self._ledger.apply_later(record.key, change)

    def record_answer(self, record: Record, answer: Answer | None) -> None:
        """Records a whole answer; None for one too long to keep."""
        packed = EMPTY
        if answer is not None:
            object_key = f"answers/{record.key}/{record.owner}"
            packed = self._blobs.pack(answer, object_key) or EMPTY
        change = conclude(record.owner, ClaimState.DONE, at=time.time(), answer=packed)
        self._ledger.apply_later(record.key, change)
        self._waiters.leave(record.owner)

    def record_broken(self, record: Record) -> None:
        """Records that the answer did not reach its end."""
        self._failed(record, Reason.BACKEND_FAILED.value, "the answer broke off")
        self._waiters.leave(record.owner)

    # Repeats

    def _join(self, found: Record, mine: Record, req: Request) -> HttpResponse | None:
        """Waits for the first request's end.

        Returns:
            Its answer; None if it surely did not run, so that this one may.
        """
        current: Record | None = found
        while current is not None and current.owner != mine.owner:
            check_same(current, mine.fingerprint)
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
            time.sleep(JOIN_POLL_S)
            current = self._look(current)
        return None

    def _look(self, known: Record) -> Record | None:
        try:
            return self._ledger.find(known.key)
        except LedgerUnavailable:
            return known


def replay(record: Record, blobs: Blobs) -> HttpResponse:
    """Returns the kept answer of a final record.

    Raises:
        Refusal: If the request failed or its answer is not kept.
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
    answer = blobs.answer(record.answer)
    if answer is None:
        raise Refusal(
            Reason.STORE_UNAVAILABLE,
            ExecutionStatus.RAN,
            "it ran; its answer cannot be read now",
            STORE_RETRY_S,
        )
    headers = {**answer.headers, "X-Request-Id": record.request_id}
    headers["Content-Length"] = str(len(answer.body))
    return HttpResponse(answer.status, headers, [answer.body])


def _still_running() -> Refusal:
    return Refusal(
        Reason.IN_PROGRESS,
        ExecutionStatus.MAY_HAVE_RUN,
        "this key's first request is still running",
        STORE_RETRY_S,
    )


@attrs.define(eq=False)
class _RecordedChunks:
    """Passes an answer on and records it once it is whole."""

    _calls: ClaimedCalls
    _record: Record
    _resp: HttpResponse
    _inner: Iterable[bytes] = attrs.field(init=False)
    _kept: list[bytes] = attrs.field(factory=list, init=False)
    _size: int = attrs.field(default=0, init=False)
    _whole: bool = attrs.field(default=False, init=False)
    _closed: bool = attrs.field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        self._inner = self._resp.chunks
        # An answer that is not streamed is whole before its first byte leaves.
        self._whole = isinstance(self._inner, list)

    def __iter__(self) -> Iterator[bytes]:
        for chunk in self._inner:
            self._size += len(chunk)
            if self._size <= MAX_ANSWER_BYTES:
                self._kept.append(chunk)
            self._whole = self._whole or chunk == END_EVENT
            yield chunk

    def close(self) -> None:
        """Ends the answer; called by the HTTP server in any case."""
        if self._closed:
            return
        self._closed = True
        close = getattr(self._inner, "close", None)
        if close is not None:
            close()
        if not self._whole:
            self._calls.record_broken(self._record)
            return
        self._calls.record_answer(self._record, self._answer())

    def _answer(self) -> Answer | None:
        chunks = self._inner if isinstance(self._inner, list) else self._kept
        if self._size > MAX_ANSWER_BYTES:
            return None
        body = b"".join(chunks)
        return Answer(self._resp.status, dict(self._resp.headers), body)
