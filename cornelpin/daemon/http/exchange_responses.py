"""Builds the responses to callers from what an exchange receives.

An exchange is an entry's side of one dispatched request (``daemon.dispatch``).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.daemon.http.completion_events import format_sse, merge_events
from cornelpin.daemon.http.messages import JSON_TYPE, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from cornelpin.daemon.dispatch import Exchange
    from cornelpin.daemon.messages import Head

OK = 200
FIRST_SERVER_ERROR = 500


def service_response(exchange: Exchange, request_id: str) -> HttpResponse:
    """Returns the response of a plain service unchanged."""
    try:
        head = exchange.head()
        body = _read_body(exchange)
    finally:
        exchange.close()
    return _response(head.status, head.headers, body, request_id)


def whole_response(exchange: Exchange, request_id: str) -> HttpResponse:
    """Returns the response of a model engine as one document."""
    try:
        head = exchange.head()
        if head.status != OK:
            return _other_status_response(head, exchange, request_id)
        body = merge_events(exchange.parts())
    finally:
        exchange.close()
    return _response(OK, {"Content-Type": JSON_TYPE}, body, request_id)


def streamed_response(exchange: Exchange, request_id: str) -> HttpResponse:
    """Returns the response of a model engine as a stream of events."""
    try:
        head = exchange.head()
        if head.status != OK:
            return _other_status_response(head, exchange, request_id)
    except BaseException:
        exchange.close()
        raise
    headers = {
        "Content-Type": "text/event-stream",
        "Cache-Control": "no-store",
        **_run_headers(request_id),
    }
    return HttpResponse(OK, headers, _StreamedChunks(exchange))


class _StreamedChunks:
    """Iterates over a streamed response; the server always calls ``close``."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._chunks = format_sse(exchange.parts())

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        self._exchange.close()


def _other_status_response(
    head: Head, exchange: Exchange, request_id: str
) -> HttpResponse:
    """Returns a response other than 200; raises a refusal for a server error."""
    try:
        body = _read_body(exchange)
    finally:
        exchange.close()
    if head.status >= FIRST_SERVER_ERROR:
        raise Refusal(
            Reason.BACKEND_FAILED,
            ExecutionStatus.MAY_HAVE_RUN,
            f"the engine answered {head.status}",
        )
    return _response(head.status, head.headers, body, request_id)


def _read_body(exchange: Exchange) -> bytes:
    return b"".join(part for batch in exchange.parts() for part in batch)


def _response(
    status: int, headers: Mapping[str, str], body: bytes, request_id: str
) -> HttpResponse:
    headers = {**headers, **_run_headers(request_id), "Content-Length": str(len(body))}
    return HttpResponse(status, headers, [body])


def _run_headers(request_id: str) -> dict[str, str]:
    return {"X-Request-Id": request_id, "X-Cornelpin-May-Have-Run": "true"}
