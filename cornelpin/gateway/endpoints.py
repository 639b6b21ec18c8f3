"""HTTP endpoints for the platform: readiness and metrics."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

from cornelpin.http1.requests import Limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.gateway.app import Entry
    from cornelpin.gateway.state import GatewayState
    from cornelpin.http1.requests import BadRequest, ClientRequest, Headers
    from cornelpin.http1.responder import Responder
    from cornelpin.http1.server import ClientConnection

LIMITS = Limits(
    header_bytes=8_192, body_bytes=8_192, header_timeout_s=3.0, idle_timeout_s=10.0
)
"""Limits on the platform's probes and scrapes, which are a few hundred bytes."""


class _Endpoint:
    """Base class of the endpoints, whose methods ClientConnection calls."""

    def limits(self) -> Limits:
        """Returns the limits on requests."""
        return LIMITS

    def closing(self) -> bool:
        """Returns False: connections are kept alive."""
        return False

    def bad_request_headers(self, exc: BadRequest, conn: ClientConnection) -> Headers:
        """Returns no additional headers."""
        return []


class ReadyEndpoint(_Endpoint):
    """Readiness probe of the balancer."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Responds 200 when ready, else 503."""
        responder.send_response(200 if self._state.ready else 503, [], b"")


STATUS_TARGET = b"/status"
"""Path of the status; all others show the metrics."""


MAX_AGE_S = 0.2
"""Time for which a report is sent again: it costs as much as many requests."""


class _Report:
    """A report of the process, made again when it is too old."""

    def __init__(self, make: Callable[[], bytes], content_type: bytes) -> None:
        self._make = make
        self._body = b""
        self._made_at = float("-inf")
        self.headers: Headers = [(b"content-type", content_type)]

    def body(self) -> bytes:
        now = time.monotonic()
        if now - self._made_at > MAX_AGE_S:
            self._body, self._made_at = self._make(), now
        return self._body


class MetricsEndpoint(_Endpoint):
    """Serves the metrics and the status of the process."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._status = _Report(
            lambda: json.dumps(entry.status()).encode(), b"application/json"
        )
        self._metrics = _Report(self._metrics_text, b"text/plain; version=0.0.4")

    def _metrics_text(self) -> bytes:
        metrics = self._entry.state.metrics
        return metrics.text() if metrics is not None else b""

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Responds with the status as JSON, or metrics in Prometheus text format."""
        report = self._status if req.target == STATUS_TARGET else self._metrics
        responder.send_response(200, report.headers, report.body())
