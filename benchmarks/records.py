"""Typed records of the requests sent and of the runs at the stand-ins."""

from __future__ import annotations

import json
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any

from attrs import define, field, frozen


class Kind(StrEnum):
    """Kind of backend server that a request is meant for."""

    MODEL = "model"
    SERVICE = "service"


class Answer(StrEnum):
    """How the response that a caller received compares with the expected one.

    A WRONG response has other content, a CUT one is too short although it ended
    regularly, a BROKEN one ended with a transport error, and a FAILED one with an error
    event in its stream.
    """

    NONE = "none"
    COMPLETE = "complete"
    WRONG = "wrong"
    CUT = "cut"
    BROKEN = "broken"
    FAILED = "failed"


@frozen
class RunEvent:
    """One line of a stand-in's run log.

    Attributes:
        server: Name of the backend server that wrote the line.
        event: ``start`` or ``end``.
        request_id: Request id that the backend server received.
        digest: SHA-256 of the prompt (model) or of the body (service).
        at: Unix time in seconds.
        key: Idempotency key that a service received, empty if none.
        version: Model version that ran, empty for a service.
        outcome: ``done``, ``failed`` or ``cancelled`` on an end event.
        prompt_tokens: Length of the prompt in tokens.
        cached_tokens: Prompt tokens that the prefix cache supplied.
    """

    server: str
    event: str
    request_id: str
    digest: str
    at: float
    key: str = ""
    version: str = ""
    outcome: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0

    @classmethod
    def from_json(cls, server: str, line: dict[str, Any]) -> RunEvent:
        """Builds an event from one decoded line of a run log."""
        return cls(
            server=server,
            event=line["event"],
            request_id=line.get("request_id") or "",
            digest=line.get("prompt_sha") or line.get("body_sha") or "",
            at=float(line["at"]),
            key=line.get("key") or "",
            version=line.get("version") or "",
            outcome=line.get("outcome") or "",
            prompt_tokens=int(line.get("prompt_tokens") or 0),
            cached_tokens=int(line.get("cached_tokens") or 0),
        )


@define
class SentRecord:
    """One HTTP request as planned, sent and observed by a caller.

    Attributes:
        call_id: Identity of the logical call; retries of a call share it.
        workspace: Workspace that sent the request.
        tier: Priority tier of the request.
        route: Route that the request named.
        kind: Kind of backend server behind the route.
        digest: SHA-256 of the prompt (model) or of the body (service).
        idempotent: Whether the call may run more than once.
        durable: Whether the request must be completed once accepted.
        key: Idempotency key, empty if none was sent.
        entry: Name of the entry that the request went to.
        intended_at: Unix time at which the workload schedules the request.
        started_at: Unix time at which the sender sent it.
        finished_at: Unix time of the last byte or of the error.
        first_token_at: Unix time of the first streamed token.
        request_id: Value of ``X-Request-Id``, empty if none arrived.
        status: Final HTTP status, 0 when no response arrived.
        reason: Reason of a refusal.
        may_have_run: Execution status stated by a refusal, None without a refusal.
        accepted: Whether a durable request was acknowledged with 202.
        answer: How the response compares with the expected one.
        error: Transport error, empty if none.
    """

    call_id: str
    workspace: str
    tier: str
    route: str
    kind: Kind
    digest: str
    idempotent: bool = False
    durable: bool = False
    key: str = ""
    entry: str = ""
    intended_at: float = 0.0
    started_at: float = 0.0
    finished_at: float = 0.0
    first_token_at: float | None = None
    request_id: str = ""
    status: int = 0
    reason: str = ""
    may_have_run: bool | None = None
    accepted: bool = False
    answer: Answer = Answer.NONE
    error: str = field(default="")

    @property
    def latency_s(self) -> float:
        """Seconds from the intended send time to the end of the response."""
        return self.finished_at - self.intended_at


def read_run_log(server: str, path: Path) -> list[RunEvent]:
    """Reads a run log; skips a last line that a killed writer left incomplete."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").split("\n")
    return [RunEvent.from_json(server, json.loads(line)) for line in lines[:-1]]


def starts(events: Iterable[RunEvent]) -> list[RunEvent]:
    """Returns the start events in order of time."""
    return sorted((e for e in events if e.event == "start"), key=lambda e: e.at)
