"""HTTP endpoints for the platform: readiness and metrics."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from cornelpin.http1.server import (
    BadRequest,
    ClientConnection,
    ClientRequest,
    Headers,
    Limits,
    Responder,
)

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry
    from cornelpin.gateway.state import GatewayState

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


class MetricsEndpoint(_Endpoint):
    """Serves the metrics and the status of the process."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Responds with the status as JSON, or metrics in Prometheus text format."""
        if req.target == STATUS_TARGET:
            body = json.dumps(self._entry.status()).encode()
            headers = [(b"content-type", b"application/json")]
            responder.send_response(200, headers, body)
            return
        metrics = self._entry.state.metrics
        body = metrics.text() if metrics is not None else b""
        responder.send_response(
            200, [(b"content-type", b"text/plain; version=0.0.4")], body
        )
