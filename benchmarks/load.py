"""Open-loop load generator that records what each caller received."""

from __future__ import annotations

import http.client
import itertools
import json
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from attrs import define, field, frozen

from benchmarks.http_json import decode
from benchmarks.records import Answer, Kind, SentRecord
from benchmarks.sse import (
    StreamError,
    choice_text,
    completion_texts,
    response_lines,
)
from benchmarks.workload import CHAT_PREFIX, PlannedRequest
from standins.answers import expected_answer

OK = 200
ACCEPTED = 202
# Added to the timeout of a request; also the timeout of one poll for its response.
TIMEOUT_MARGIN_S = 5.0
COLLECT_INTERVAL_S = 0.2
COLLECT_TIMEOUT_S = 60.0
MAX_WORKERS = 256


@frozen
class Target:
    """An entry that callers send to."""

    name: str
    address: str
    port: int


@define
class Sender:
    """Sends planned requests at their times, whether or not earlier ones have ended.

    Attributes:
        targets: Entries, used round robin.
        tokens: Bearer token by workspace.
        collect_timeout_s: Time limit for the response to a durable request.
        records: One record for each request sent.
    """

    targets: list[Target]
    tokens: Mapping[str, str]
    collect_timeout_s: float = COLLECT_TIMEOUT_S
    records: list[SentRecord] = field(factory=list)
    _next_index: Iterator[int] = field(factory=itertools.count)

    def run(
        self, planned: Iterable[PlannedRequest], start_at: float | None = None
    ) -> list[SentRecord]:
        """Sends all requests and returns their records once each has ended.

        Args:
            planned: Requests in order of their send times.
            start_at: Unix time that the send times are relative to; now by default.
        """
        start = time.time() if start_at is None else start_at
        with ThreadPoolExecutor(MAX_WORKERS, "caller") as pool:
            futures: list[Future[SentRecord]] = []
            for request in planned:
                intended_at = start + request.at_s
                time.sleep(max(0.0, intended_at - time.time()))
                target = self.targets[next(self._next_index) % len(self.targets)]
                futures.append(pool.submit(self.send, request, target, intended_at))
            return [future.result() for future in futures]

    def send(
        self, request: PlannedRequest, target: Target, intended_at: float
    ) -> SentRecord:
        """Sends one request to one entry and records the outcome."""
        record = new_record(request, target, intended_at)
        self.records.append(record)
        try:
            _exchange(record, request, target, self.tokens[request.workspace])
            if record.accepted:
                self._collect(record, request, target)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            _record_error(record, exc)
        record.finished_at = time.time()
        return record

    def _collect(
        self, record: SentRecord, request: PlannedRequest, first: Target
    ) -> None:
        """Polls the entries in turn for the response to a durable request."""
        deadline = time.time() + self.collect_timeout_s
        others = [target for target in self.targets if target != first]
        for target in itertools.cycle([first, *others]):
            if time.time() > deadline:
                return
            if self._poll_once(record, request, target):
                return
            time.sleep(COLLECT_INTERVAL_S)

    def _poll_once(
        self, record: SentRecord, request: PlannedRequest, target: Target
    ) -> bool:
        """Polls one entry; returns whether the request has ended."""
        conn = http.client.HTTPConnection(
            target.address, target.port, timeout=TIMEOUT_MARGIN_S
        )
        token = self.tokens[request.workspace]
        try:
            path = f"/v1/requests/{record.request_id}"
            conn.request("GET", path, headers={"Authorization": f"Bearer {token}"})
            response = conn.getresponse()
            raw = response.read()
        except (OSError, http.client.HTTPException) as exc:
            record.error = f"collect: {type(exc).__name__}"
            return False
        finally:
            conn.close()
        record.status, record.reason, record.may_have_run = response.status, "", None
        if response.status == OK:
            _record_completion(record, request, raw)
            return True
        if response.status != ACCEPTED:
            _record_problem(record, decode(raw))
        # An entry that lags may not know the request yet, so "not run" is not final.
        return record.may_have_run is True


def new_record(
    request: PlannedRequest, target: Target, intended_at: float
) -> SentRecord:
    """Returns the record of a request that is about to be sent."""
    return SentRecord(
        call_id=request.call_id,
        workspace=request.workspace,
        tier=request.tier.name,
        route=request.tier.route,
        kind=request.tier.kind,
        digest=request.digest,
        idempotent=request.tier.idempotent,
        durable=request.tier.durable,
        key=request.key,
        entry=target.name,
        intended_at=intended_at,
        started_at=time.time(),
    )


def _exchange(
    record: SentRecord, request: PlannedRequest, target: Target, token: str
) -> None:
    timeout_s = request.tier.timeout_s + TIMEOUT_MARGIN_S
    conn = http.client.HTTPConnection(target.address, target.port, timeout=timeout_s)
    try:
        conn.request("POST", *_payload(request), _headers(request, token))
        response = conn.getresponse()
        record.status = response.status
        record.request_id = response.headers.get("X-Request-Id") or ""
        if response.status == OK:
            _read_answer(record, request, response)
            return
        raw = response.read()
        record.accepted = response.status == ACCEPTED
        if not record.accepted:
            _record_problem(record, decode(raw))
    finally:
        conn.close()


def _payload(request: PlannedRequest) -> tuple[str, bytes]:
    tier = request.tier
    if tier.kind is Kind.SERVICE:
        return f"/v1/services/{tier.route}/calls", request.text.encode()
    body = {
        "model": tier.route,
        "max_tokens": request.output_tokens,
        "stream": request.streamed,
    }
    if request.chat:
        content = request.text.removeprefix(CHAT_PREFIX)
        messages = [{"role": "user", "content": content}]
        payload = json.dumps({**body, "messages": messages})
        return "/v1/chat/completions", payload.encode()
    return "/v1/completions", json.dumps({**body, "prompt": request.text}).encode()


def _headers(request: PlannedRequest, token: str) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
        "X-Cornelpin-Tier": request.tier.name,
        "X-Cornelpin-Timeout-S": str(request.tier.timeout_s),
    }
    if request.key:
        headers["Idempotency-Key"] = request.key
    if request.tier.durable:
        headers["Prefer"] = "respond-async"
    return headers


def _read_answer(
    record: SentRecord,
    request: PlannedRequest,
    response: http.client.HTTPResponse,
) -> None:
    if not request.streamed:
        _record_completion(record, request, response.read())
        return
    text = ""
    try:
        for part in completion_texts(response_lines(response)):
            if part is None:
                record.answer = _compare(text, request)
                return
            record.first_token_at = record.first_token_at or time.time()
            text += part
    except StreamError as exc:
        _record_problem(record, exc.problem)
        record.answer = Answer.FAILED
        return
    # The body ended as framed, so the caller assumes that it is complete.
    record.answer = Answer.CUT


def _record_completion(record: SentRecord, request: PlannedRequest, raw: bytes) -> None:
    compare: dict[Kind, Callable[[Any, PlannedRequest], Answer]] = {
        Kind.MODEL: _compare_completion,
        Kind.SERVICE: _compare_service,
    }
    record.answer = compare[request.tier.kind](decode(raw), request)


def _compare_completion(body: Any, request: PlannedRequest) -> Answer:
    choices = body.get("choices", []) if isinstance(body, dict) else []
    return _compare("".join(choice_text(choice) for choice in choices), request)


def _compare_service(body: Any, request: PlannedRequest) -> Answer:
    digest = body.get("body_sha") if isinstance(body, dict) else None
    return Answer.COMPLETE if digest == request.digest else Answer.WRONG


def _compare(text: str, request: PlannedRequest) -> Answer:
    expected = expected_answer(request.text, request.output_tokens)
    if text == expected:
        return Answer.COMPLETE
    return Answer.CUT if expected.startswith(text) else Answer.WRONG


def _record_problem(record: SentRecord, problem: Any) -> None:
    """Records reason and execution status; an unstated status stays None."""
    if not isinstance(problem, dict):
        return
    # An error event in a stream states its reason as the type, as in OpenAI's API.
    record.reason = str(problem.get("reason") or problem.get("type") or "")
    may_have_run = problem.get("may_have_run")
    record.may_have_run = may_have_run if isinstance(may_have_run, bool) else None


def _record_error(record: SentRecord, exc: Exception) -> None:
    record.error = f"{type(exc).__name__}: {exc}"
    # Without an end marker the caller knows that the response is incomplete.
    if record.status == OK:
        record.answer = Answer.BROKEN
