"""Routes an entry's HTTP requests to their handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.daemon.http.callers import new_request_id
from cornelpin.daemon.http.durable import REQUESTS_PREFIX
from cornelpin.daemon.http.health import HEALTH_PATHS, HealthApi
from cornelpin.daemon.http.messages import HttpRequest, HttpResponse, problem

if TYPE_CHECKING:
    from cornelpin.daemon.http.admin import AdminApi
    from cornelpin.daemon.http.callers import CallerApi
    from cornelpin.daemon.process import Process

COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
NOT_READY_RETRY_S = 1.0


class EntryApp:
    """HTTP application of an entry: callers, operators, health and metrics."""

    def __init__(self, process: Process, callers: CallerApi, admin: AdminApi) -> None:
        self._process = process
        self._callers = callers
        self._admin = admin
        self._health = HealthApi(process)

    def handle(self, http: HttpRequest) -> HttpResponse:
        """Handles a request; refusals and errors become problem documents."""
        request_id = new_request_id()
        try:
            resp = self._route(http, request_id)
        except Refusal as exc:
            self._process.ring.record(
                "request.refused", request=request_id, detail=exc.reason.value
            )
            # A refusal with a tier is counted by its exchange.
            if not exc.tier:
                self._process.meters.count_outcome("", exc.reason.value)
            resp = problem(exc, request_id=request_id)
        except Exception:
            logger.exception("request {} failed", request_id)
            failure = Refusal(
                Reason.BACKEND_FAILED, ExecutionStatus.MAY_HAVE_RUN, "internal error"
            )
            resp = problem(failure, request_id=request_id)
        resp.headers.setdefault("X-Request-Id", request_id)
        return resp

    def _route(self, http: HttpRequest, request_id: str) -> HttpResponse:
        if http.path.startswith("/v1/") and not self._process.config_current.is_set():
            raise Refusal(
                Reason.NOT_READY,
                detail="this entry has no configuration that is surely current",
                retry_after_s=NOT_READY_RETRY_S,
            )
        if http.path in COMPLETION_PATHS:
            self._require_method(http, "POST")
            return self._callers.complete(http, request_id)
        if http.path.startswith("/v1/services/"):
            return self._callers.service(http, request_id)
        if http.path.startswith(REQUESTS_PREFIX):
            return self._callers.durable_requests(http)
        if http.path == "/v1/models":
            self._require_method(http, "GET")
            return self._callers.models(http)
        if http.path.startswith("/admin/v1/"):
            return self._admin.handle(http)
        if http.path in HEALTH_PATHS:
            return self._health.handle(http)
        raise Refusal(Reason.NO_ROUTE, detail=f"nothing is served at {http.path}")

    def _require_method(self, http: HttpRequest, method: str) -> None:
        if http.method != method:
            raise Refusal(
                Reason.BAD_REQUEST,
                detail=f"{http.path} takes {method}, not {http.method}",
            )
