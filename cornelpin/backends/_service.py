"""Driver of plain services: status and body pass through unchanged."""

from __future__ import annotations

import http.client

from cornelpin.backends._http import READ_BYTES, Exchange, perform
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

# Headers that belong to one connection and are not passed on.
HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade"}
)


@backend("service")
class ServiceBackend:
    """A plain HTTP service."""

    def __init__(self, *, url: str) -> None:
        self._url = url

    def run(self, call: Call, sink: ResponseSink, cancel: CancelToken) -> RunResult:
        """Performs one call."""

        def pass_on(exchange: Exchange) -> RunResult:
            headers = {**call.headers, "X-Request-Id": call.request_id}
            resp = exchange.send(call.method, call.path, headers, call.body)
            sink.head(resp.status, _passed_headers(resp))
            while data := resp.read(READ_BYTES):
                sink.parts([data])
            return RunResult(DONE)

        return perform(self._url, cancel, pass_on)

    def resume(
        self, call: Call, offset: int, sink: ResponseSink, cancel: CancelToken
    ) -> RunResult:
        """Plain services keep no answers, so nothing can be resumed."""
        return RunResult(UNKNOWN, "a plain service cannot resume an answer")

    def versions(self) -> list[str]:
        """Plain services have no versions."""
        return []

    def order(self, op: str, version: str, fence: int) -> OrderResult:
        """Plain services take no orders."""
        return OrderResult(done=False, detail="a plain service has no versions")


def _passed_headers(resp: http.client.HTTPResponse) -> dict[str, str]:
    return {
        name: value
        for name, value in resp.headers.items()
        if name.lower() not in HOP_HEADERS
    }
