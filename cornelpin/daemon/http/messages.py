"""Requests and responses between the HTTP server and the handlers."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from cornelpin.core.execution import Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"


UNLISTED_HEADERS = frozenset({"content-length", "transfer-encoding"})
"""Headers that tell the length of a body, which is known here."""
_DECODING = threading.Lock()


def _is_connected() -> bool:
    return False


@attrs.frozen
class HttpRequest:
    """An HTTP request as handlers receive it.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query string.
        body: Request body.
        fields: Values by lower-case name; those of a repeated field are joined.
        is_disconnected: Returns whether the client has left.
    """

    method: str
    path: str
    query: str
    body: bytes
    fields: dict[str, str] = attrs.field(factory=dict)
    is_disconnected: Callable[[], bool] = _is_connected

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty string."""
        return self.fields.get(name.lower(), "")

    def headers(self) -> dict[str, str]:
        """Returns all headers except those that tell the length of the body."""
        return {
            name.title(): value
            for name, value in self.fields.items()
            if name not in UNLISTED_HEADERS
        }

    def bearer_token(self) -> str:
        """Returns the bearer token, or an empty string."""
        scheme, _, token = self.header("Authorization").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""

    def read_json(self, read: Callable[[dict[str, Any]], T]) -> T:
        """Returns what a function reads from the body, a JSON object.

        One body of the process is decoded at a time, as it takes many times its size;
        ``read`` must not return large parts of it.

        Args:
            read: Reads what is wanted.

        Raises:
            Refusal: If the body is not a JSON object.
        """
        with _DECODING:
            return read(self._decoded())

    def _decoded(self) -> dict[str, Any]:
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise Refusal(
                Reason.BAD_REQUEST, detail=f"the body is not JSON: {exc}"
            ) from exc
        if not isinstance(document, dict):
            raise Refusal(Reason.BAD_REQUEST, detail="the body must be a JSON object")
        return document


@attrs.define
class HttpResponse:
    """A response; ``chunks`` may be a generator that produces a stream."""

    status: int
    headers: dict[str, str]
    chunks: Iterable[bytes]


def json_response(
    document: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> HttpResponse:
    """Returns a JSON response."""
    body = json.dumps(document).encode()
    fields = {"Content-Type": JSON_TYPE, **(headers or {})}
    fields["Content-Length"] = str(len(body))
    return HttpResponse(status, fields, [body])


def problem(
    refusal: Refusal, *, request_id: str = "", extra: dict[str, Any] | None = None
) -> HttpResponse:
    """Returns a problem document (RFC 9457) for a refusal."""
    may_have_run = refusal.execution.may_have_run
    title = refusal.reason.value.replace("_", " ")
    document: dict[str, Any] = {
        "type": f"urn:cornelpin:problem:{refusal.reason.value}",
        "title": title,
        "status": refusal.status,
        "detail": refusal.detail or title,
        "reason": refusal.reason.value,
        "may_have_run": may_have_run,
        "request_id": request_id,
        # The official OpenAI client shows error.message.
        "error": {"message": refusal.detail or title, "type": refusal.reason.value},
        **(extra or {}),
    }
    headers = {"X-Cornelpin-May-Have-Run": str(may_have_run).lower()}
    if refusal.retry_after_s is not None:
        document["retry_after_s"] = round(refusal.retry_after_s, 3)
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    resp = json_response(document, status=refusal.status, headers=headers)
    resp.headers["Content-Type"] = PROBLEM_TYPE
    return resp
