"""Driver for plain services: status and body pass through unchanged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelpin.backends._http import HttpExchange, perform
from cornelpin.backends._registry import (
    DONE,
    UNKNOWN,
    Call,
    CancelToken,
    OrderResult,
    ResponseSink,
    RunResult,
    backend,
)

if TYPE_CHECKING:
    from cornelpin.http1.blocking import ResponseHead

# Response headers that are not forwarded: hop-by-hop ones, and Content-Length, as the
# entry frames the body again.
NOT_FORWARDED_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade"}
)


@backend("service")
class ServiceBackend:
    """A plain HTTP service."""

    def __init__(self, *, url: str) -> None:
        self._url = url

    def run(self, call: Call, sink: ResponseSink, cancel: CancelToken) -> RunResult:
        """Performs one call."""

        def forward(exchange: HttpExchange) -> RunResult:
            headers = {**call.headers, "X-Request-Id": call.request_id}
            head = exchange.send(call.method, call.path, headers, call.body)
            sink.head(head.status, _forwarded_headers(head))
            while data := exchange.read():
                sink.parts([data])
            return RunResult(DONE)

        return perform(self._url, cancel, forward)

    def resume(
        self, call: Call, offset: int, sink: ResponseSink, cancel: CancelToken
    ) -> RunResult:
        """Returns ``unknown``: plain services keep no responses to resume."""
        return RunResult(UNKNOWN, "a plain service cannot resume an answer")

    def versions(self) -> list[str]:
        """Returns no versions: plain services have none."""
        return []

    def order(self, op: str, version: str, fence: int) -> OrderResult:
        """Rejects the order: plain services have no versions."""
        return OrderResult(done=False, detail="a plain service has no versions")


def _forwarded_headers(head: ResponseHead) -> dict[str, str]:
    return {
        name: value
        for name, value in head.headers.items()
        if name.lower() not in NOT_FORWARDED_HEADERS
    }
