"""Final failures of requests, and what is known about whether a request ran."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ExecutionStatus(enum.Enum):
    """What is known about whether a request ran on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    @property
    def may_have_run(self) -> bool:
        """Whether the request could have had an effect; true for ``RAN``, too."""
        return self is not ExecutionStatus.NOT_RUN


class Reason(enum.Enum):
    """Why a request failed or was refused; the value appears in problem documents."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NO_ROUTE = "no_route"
    KEY_REUSED = "key_reused"
    STALE_NUMBER = "stale_number"
    INVALID_PATCH = "invalid_patch"
    TOO_LARGE = "too_large"
    SHED = "shed"
    OVER_LIMIT = "over_limit"
    NO_SERVER = "no_server"
    NOT_READY = "not_ready"
    SHORT_OF_MEMORY = "short_of_memory"
    LEAVING = "leaving"
    STORE_UNAVAILABLE = "store_unavailable"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    SERVER_LOST = "server_lost"
    BACKEND_FAILED = "backend_failed"
    CANCELLED = "cancelled"
    IN_PROGRESS = "in_progress"
    ANSWER_EXPIRED = "answer_expired"


HTTP_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NO_ROUTE: 404,
    Reason.KEY_REUSED: 409,
    Reason.STALE_NUMBER: 409,
    Reason.INVALID_PATCH: 422,
    Reason.TOO_LARGE: 413,
    Reason.SHED: 429,
    Reason.OVER_LIMIT: 429,
    Reason.NO_SERVER: 503,
    Reason.NOT_READY: 503,
    Reason.SHORT_OF_MEMORY: 503,
    Reason.LEAVING: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.DEADLINE: 504,
    Reason.QUARANTINED: 422,
    Reason.SERVER_LOST: 502,
    Reason.BACKEND_FAILED: 502,
    Reason.CANCELLED: 499,
    Reason.IN_PROGRESS: 409,
    Reason.ANSWER_EXPIRED: 410,
}


@dataclass(eq=False)
class Refusal(Exception):
    """Any final failure of a request, also of one that ran.

    The request was refused, failed, was cancelled, or its server was lost;
    ``execution`` says whether it may have run.

    Attributes:
        reason: Why the request failed.
        execution: Whether the request may have run.
        detail: One sentence for the caller.
        retry_after_s: Seconds after which the caller may retry, if known.
        tier: Name of the request's tier, if it was known.
    """

    reason: Reason
    execution: ExecutionStatus = ExecutionStatus.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None
    tier: str = ""

    @property
    def status(self) -> int:
        """The HTTP status code of the reason."""
        return HTTP_STATUS[self.reason]
