"""Answers to the platform itself: readiness and metrics."""

from __future__ import annotations

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
"""Bounds on the platform's own questions, which are a few hundred bytes."""


class _Endpoint:
    """Common part of the endpoints."""

    def limits(self) -> Limits:
        """Returns the bounds on questions."""
        return LIMITS

    def closing(self) -> bool:
        """Returns that connections are kept."""
        return False

    def bad_request(self, exc: BadRequest, conn: ClientConnection) -> Headers:
        """Returns no headers of its own."""
        return []


class ReadyEndpoint(_Endpoint):
    """Tells the balancer whether clients may come."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Answers 200 when ready, else 503."""
        responder.send_response(200 if self._state.ready else 503, [], b"")


class MetricsEndpoint(_Endpoint):
    """Serves the figures of the process."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Answers with all figures as text."""
        metrics = self._entry.state.metrics
        body = metrics.text() if metrics is not None else b""
        responder.send_response(
            200, [(b"content-type", b"text/plain; version=0.0.4")], body
        )
