"""Problem documents for requests that are not passed to the handlers.

Malformed and oversized requests never reach the application, so they have certainly
not run. After an internal error of the application, a request may have run.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.daemon.http.messages import problem
from cornelpin.http1.server import ClientConnection

if TYPE_CHECKING:
    from cornelpin.daemon.http.messages import HttpResponse
    from cornelpin.http1.requests import BadRequest, Headers

BODY_COPIES = 5.0
"""Memory of a body by its size: its parts, the body that a handler gets, and what is
sent on or not given back by the heap yet."""
REASONS: dict[int, Reason] = {
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Reason.TOO_LARGE,
    HTTPStatus.SERVICE_UNAVAILABLE: Reason.SHORT_OF_MEMORY,
}


def error_response(
    code: int, detail: str, retry_after_s: float | None = None
) -> HttpResponse:
    """Returns the problem document for a request that is not handled to its end.

    Args:
        code: HTTP status; 500 for an internal error.
        detail: What is wrong.
        retry_after_s: When to try again, in seconds, if that may help.
    """
    if code == HTTPStatus.INTERNAL_SERVER_ERROR:
        failed = Reason.BACKEND_FAILED
        return problem(Refusal(failed, ExecutionStatus.MAY_HAVE_RUN, detail))
    reason = REASONS.get(code, Reason.BAD_REQUEST)
    return problem(Refusal(reason, detail=detail, retry_after_s=retry_after_s))


def encode_headers(headers: dict[str, str]) -> Headers:
    """Returns headers as they are sent."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


class ProblemConnection(ClientConnection):
    """A connection that sends problem documents for bad requests."""

    body_share = BODY_COPIES

    def refusal(self, exc: BadRequest) -> tuple[Headers, bytes]:
        """Returns the headers and the body of the response to a bad request."""
        resp = error_response(exc.status, str(exc), exc.retry_after_s)
        del resp.headers["Content-Length"]
        return encode_headers(resp.headers), b"".join(resp.chunks)
