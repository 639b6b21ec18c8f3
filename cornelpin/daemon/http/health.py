"""Health probes and metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelpin.core.execution import Reason, Refusal
from cornelpin.daemon.http.messages import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem,
)

if TYPE_CHECKING:
    from cornelpin.daemon.process import Process

HEALTH_PATHS = ("/healthz", "/readyz", "/metrics")


class HealthApi:
    """Serves probes and scrapers, which need no token."""

    def __init__(self, process: Process) -> None:
        self._process = process

    def handle(self, http: HttpRequest) -> HttpResponse:
        """Handles a path of ``HEALTH_PATHS``; any other gets a problem document."""
        if http.path == "/healthz":
            return json_response({"status": "ok"})
        if http.path == "/readyz":
            return self._ready()
        if http.path == "/metrics":
            return self._metrics()
        valid = ", ".join(HEALTH_PATHS)
        return problem(
            Refusal(Reason.NO_ROUTE, detail=f"nothing at {http.path}; valid: {valid}")
        )

    def _ready(self) -> HttpResponse:
        process = self._process
        ready = process.config_current.is_set() and not process.draining.is_set()
        status = 200 if ready else 503
        return json_response(
            {"ready": ready, "number": self._process.view.number}, status=status
        )

    def _metrics(self) -> HttpResponse:
        content_type, text = self._process.meters.exposition()
        headers = {"Content-Type": content_type, "Content-Length": str(len(text))}
        return HttpResponse(200, headers, [text])
