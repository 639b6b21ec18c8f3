"""Callers' interface: model routes, plain services and the list of models."""

from __future__ import annotations

import hashlib
import json
import secrets
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.tickets import Request
from cornelpin.core.verdict import Reason, Refusal, Verdict
from cornelpin.daemon.http.answers import join_events, stream_events
from cornelpin.daemon.http.keyed import KEY_HEADER
from cornelpin.daemon.http.wsgi import (
    JSON_TYPE,
    HttpRequest,
    HttpResponse,
    json_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from cornelpin.core.config import Config, Route, Workspace
    from cornelpin.daemon.dispatch import Dispatcher, Exchange
    from cornelpin.daemon.http.durable import DurableApi
    from cornelpin.daemon.http.keyed import ClaimedCalls
    from cornelpin.daemon.messages import Head
    from cornelpin.daemon.process import Process

REQUEST_ID_BYTES = 12
BYTES_PER_TOKEN = 6
DEFAULT_OUTPUT_TOKENS = 64
SERVICE_COST_TOKENS = 1
PRIVATE_HEADERS = frozenset(
    {"Authorization", "Host", "Connection", "Transfer-Encoding", "Expect"}
)


def new_request_id() -> str:
    """Returns a random request id."""
    return f"r-{secrets.token_hex(REQUEST_ID_BYTES)}"


class CallerApi:
    """Accepts callers' requests and returns their answers."""

    def __init__(
        self,
        process: Process,
        dispatcher: Dispatcher,
        claimed: ClaimedCalls,
        durable: DurableApi,
    ) -> None:
        self._process = process
        self._dispatcher = dispatcher
        self._claimed = claimed
        self._durable = durable

    def requests(self, http: HttpRequest) -> HttpResponse:
        """Collects or cancels a durable request."""
        name, _ = self._workspace(http, self._process.view.config)
        return self._durable.handle(http, name)

    def models(self, http: HttpRequest) -> HttpResponse:
        """Lists the model routes of the caller's workspace."""
        config = self._process.view.config
        _, workspace = self._workspace(http, config)
        names = [
            name
            for name in workspace.routes
            if name in config.routes and config.routes[name].kind == "model"
        ]
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cornelpin"}
            for name in names
        ]
        return json_response({"object": "list", "data": rows})

    def complete(self, http: HttpRequest, request_id: str) -> HttpResponse:
        """Answers a completion or chat completion."""
        config = self._process.view.config
        name, workspace = self._workspace(http, config)
        document = http.json()
        route = document.get("model")
        if not isinstance(route, str):
            raise Refusal(
                Reason.BAD_REQUEST, detail="the body must name a route as its model"
            )
        route_cfg = self._route(config, workspace, route, kind="model")
        req = self._request(
            http,
            request_id,
            workspace=(name, workspace),
            route=(route, route_cfg),
            path=http.path,
            cost=_model_cost(document, len(http.body)),
        )
        version = route_cfg.version or ""
        streamed = document.get("stream") is True
        if req.keep:
            self._check_open()
            return self._durable.submit(http, req, version=version, streamed=streamed)

        def perform() -> HttpResponse:
            exchange = self._open(http, req, version=version)
            answer = self._streamed if streamed else self._whole
            return answer(exchange, request_id)

        return self._once(http, req, perform)

    def service(self, http: HttpRequest, request_id: str) -> HttpResponse:
        """Passes a call to a plain service."""
        config = self._process.view.config
        name, workspace = self._workspace(http, config)
        route, _, rest = http.path.removeprefix("/v1/services/").partition("/")
        route_cfg = self._route(config, workspace, route, kind="service")
        path = f"/{rest}?{http.query}" if http.query else f"/{rest}"
        req = self._request(
            http,
            request_id,
            workspace=(name, workspace),
            route=(route, route_cfg),
            path=path,
            cost=SERVICE_COST_TOKENS,
        )
        if req.keep:
            self._check_open()
            return self._durable.submit(http, req, version="", streamed=False)
        return self._once(http, req, lambda: self._passed(http, req))

    def _once(
        self, http: HttpRequest, req: Request, perform: Callable[[], HttpResponse]
    ) -> HttpResponse:
        """Performs a request; one with a key is claimed before, and only once."""
        key = http.header(KEY_HEADER)
        if not key or req.idempotent:
            return perform()
        self._check_open()
        return self._claimed.answer(req, key, perform)

    def _passed(self, http: HttpRequest, req: Request) -> HttpResponse:
        exchange = self._open(http, req)
        try:
            head = exchange.head()
            body = b"".join(part for batch in exchange.parts() for part in batch)
        finally:
            exchange.close()
        headers = {**head.headers, **_answered(req.request_id)}
        headers["Content-Length"] = str(len(body))
        return HttpResponse(head.status, headers, [body])

    # Acceptance

    def _check_open(self) -> None:
        if self._process.leaving.is_set():
            raise Refusal(
                Reason.LEAVING, detail="this entry is stopping", retry_after_s=1.0
            )

    def _workspace(self, http: HttpRequest, config: Config) -> tuple[str, Workspace]:
        if config.number == 0:
            raise Refusal(Reason.NOT_READY, detail="no configuration is in force yet")
        found = config.workspace_by_token(http.bearer())
        if found is None:
            raise Refusal(
                Reason.UNAUTHORIZED, detail="the bearer token names no workspace"
            )
        return found.name, found

    def _route(
        self, config: Config, workspace: Workspace, name: str, *, kind: str
    ) -> Route:
        route = config.routes.get(name)
        if route is None or route.kind != kind or name not in workspace.routes:
            valid = ", ".join(
                sorted(
                    r
                    for r in workspace.routes
                    if r in config.routes and config.routes[r].kind == kind
                )
            )
            raise Refusal(
                Reason.NO_ROUTE,
                detail=f"no {kind} route {name!r} for this workspace; valid: {valid}",
            )
        return route

    def _request(
        self,
        http: HttpRequest,
        request_id: str,
        *,
        workspace: tuple[str, Workspace],
        route: tuple[str, Route],
        path: str,
        cost: int,
    ) -> Request:
        config = self._process.view.config
        route_name, route_cfg = route
        if len(http.body) > route_cfg.max_body_bytes:
            raise Refusal(
                Reason.TOO_LARGE,
                detail=f"the body has {len(http.body)} bytes; "
                f"at most {route_cfg.max_body_bytes} are allowed",
            )
        tier = self._tier(http, workspace[1], route_cfg)
        timeout_s = _timeout_s(http, route_cfg.timeout_s)
        return Request(
            request_id=request_id,
            workspace=workspace[0],
            route=route_name,
            tier=tier,
            kind=route_cfg.kind,
            method=http.method,
            path=path,
            headers=_passed_headers(http),
            body=http.body,
            cost=cost,
            deadline=time.monotonic() + timeout_s,
            max_wait_s=min(timeout_s, config.tiers[tier].max_wait_s),
            idempotent=route_cfg.kind == "service" and route_cfg.idempotent,
            fingerprint=_fingerprint(workspace[0], http),
            keep=config.tiers[tier].durable,
        )

    def _tier(self, http: HttpRequest, workspace: Workspace, route: Route) -> str:
        tier = http.header("X-Cornelpin-Tier") or route.tier
        config = self._process.view.config
        if tier not in config.tiers or tier not in (*workspace.tiers, route.tier):
            valid = ", ".join(sorted({*workspace.tiers, route.tier}))
            raise Refusal(
                Reason.FORBIDDEN,
                detail=f"tier {tier!r} is not for this workspace; valid: {valid}",
            )
        return tier

    def _open(self, http: HttpRequest, req: Request, *, version: str = "") -> Exchange:
        self._check_open()
        exchange = self._dispatcher.open(req, version=version)
        gone = http.environ.get("waitress.client_disconnected")
        # A repeat under the same key may come for the answer of a caller who left.
        if gone is not None and not http.header(KEY_HEADER):
            exchange.caller_gone = gone
        return exchange

    # Answers

    def _whole(self, exchange: Exchange, request_id: str) -> HttpResponse:
        try:
            head = exchange.head()
            if head.status != 200:
                return _engine_refusal(head, exchange, request_id)
            body = join_events(exchange.parts())
        finally:
            exchange.close()
        headers = {"Content-Type": JSON_TYPE, **_answered(request_id)}
        headers["Content-Length"] = str(len(body))
        return HttpResponse(200, headers, [body])

    def _streamed(self, exchange: Exchange, request_id: str) -> HttpResponse:
        try:
            head = exchange.head()
            if head.status != 200:
                return _engine_refusal(head, exchange, request_id)
        except BaseException:
            exchange.close()
            raise
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            **_answered(request_id),
        }
        return HttpResponse(200, headers, _StreamedChunks(exchange))


class _StreamedChunks:
    """Iterates over a streamed answer; waitress calls ``close`` in any case."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._chunks = stream_events(exchange.parts())

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        self._exchange.close()


def _engine_refusal(head: Head, exchange: Exchange, request_id: str) -> HttpResponse:
    """Passes the engine's own refusal on; its failures become problems."""
    try:
        body = b"".join(part for batch in exchange.parts() for part in batch)
    finally:
        exchange.close()
    if head.status >= 500:
        raise Refusal(
            Reason.BACKEND_FAILED,
            Verdict.MAY_HAVE_RUN,
            f"the engine answered {head.status}",
        )
    headers = {**head.headers, **_answered(request_id)}
    headers["Content-Length"] = str(len(body))
    return HttpResponse(head.status, headers, [body])


def _answered(request_id: str) -> dict[str, str]:
    return {"X-Request-Id": request_id, "X-Cornelpin-May-Have-Run": "true"}


def _passed_headers(http: HttpRequest) -> dict[str, str]:
    return {
        name: value
        for name, value in http.headers().items()
        if name not in PRIVATE_HEADERS and not name.startswith("X-Cornelpin-")
    }


def _timeout_s(http: HttpRequest, default_s: float) -> float:
    text = http.header("X-Cornelpin-Timeout-S")
    if not text:
        return default_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0 < timeout_s <= 86_400:
        raise Refusal(
            Reason.BAD_REQUEST,
            detail=f"X-Cornelpin-Timeout-S is {text!r}; "
            "valid: seconds above 0 and up to 86400",
        )
    return timeout_s


def _model_cost(document: dict[str, Any], body_bytes: int) -> int:
    """Estimates the work of a completion in tokens."""
    limit = document.get("max_completion_tokens", document.get("max_tokens"))
    if limit is not None and (type(limit) is not int or limit < 1):
        raise Refusal(
            Reason.BAD_REQUEST,
            detail=f"max_tokens is {json.dumps(limit)}; valid: an integer of 1 or more",
        )
    return body_bytes // BYTES_PER_TOKEN + (limit or DEFAULT_OUTPUT_TOKENS)


def _fingerprint(workspace: str, http: HttpRequest) -> str:
    digest = hashlib.sha256()
    for part in (workspace.encode(), http.path.encode(), http.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]
