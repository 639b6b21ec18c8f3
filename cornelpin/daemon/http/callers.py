"""HTTP API for callers: model routes, plain services and the list of models."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from cornelpin.core.execution import Reason, Refusal
from cornelpin.daemon.http.acceptance import (
    find_workspace,
    read_completion,
    resolve_route,
    routes_of,
)
from cornelpin.daemon.http.exchange_responses import (
    service_response,
    streamed_response,
    whole_response,
)
from cornelpin.daemon.http.keyed import KEY_HEADER
from cornelpin.daemon.http.messages import HttpRequest, HttpResponse, json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.tickets import Request
    from cornelpin.daemon.dispatch import Dispatcher, Exchange
    from cornelpin.daemon.http.durable import DurableApi
    from cornelpin.daemon.http.keyed import KeyedRequests
    from cornelpin.daemon.process import Process

REQUEST_ID_BYTES = 12
SERVICE_COST_TOKENS = 1


def new_request_id() -> str:
    """Returns a random request id."""
    return f"r-{secrets.token_hex(REQUEST_ID_BYTES)}"


class CallerApi:
    """Accepts callers' requests and returns the responses."""

    def __init__(
        self,
        process: Process,
        dispatcher: Dispatcher,
        keyed: KeyedRequests,
        durable: DurableApi,
    ) -> None:
        self._process = process
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._durable = durable

    def durable_requests(self, http: HttpRequest) -> HttpResponse:
        """Returns the result of a durable request, or cancels it."""
        name, _ = find_workspace(http, self._process.view.config)
        return self._durable.handle(http, name)

    def models(self, http: HttpRequest) -> HttpResponse:
        """Lists the model routes of the caller's workspace."""
        config = self._process.view.config
        _, workspace = find_workspace(http, config)
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cornelpin"}
            for name in routes_of(config, workspace, "model")
        ]
        return json_response({"object": "list", "data": rows})

    def complete(self, http: HttpRequest, request_id: str) -> HttpResponse:
        """Handles a completion or chat completion."""
        config = self._process.view.config
        named_workspace = find_workspace(http, config)
        call = http.read_json(lambda document: read_completion(document, http))
        resolved = resolve_route(config, named_workspace, call.route, kind="model")
        req = resolved.build_request(
            http,
            request_id,
            path=http.path,
            cost=call.cost_tokens,
            prompt=call.prompt,
        )
        version = resolved.route.version or ""
        if req.durable:
            self._check_not_draining()
            return self._durable.submit(
                http, req, version=version, streamed=call.streamed
            )

        def perform() -> HttpResponse:
            exchange = self._open(http, req, version=version)
            respond = streamed_response if call.streamed else whole_response
            return respond(exchange, request_id)

        return self._perform_once(http, req, perform)

    def service(self, http: HttpRequest, request_id: str) -> HttpResponse:
        """Forwards a call to a plain service."""
        config = self._process.view.config
        named_workspace = find_workspace(http, config)
        route, _, rest = http.path.removeprefix("/v1/services/").partition("/")
        path = f"/{rest}?{http.query}" if http.query else f"/{rest}"
        resolved = resolve_route(config, named_workspace, route, kind="service")
        req = resolved.build_request(
            http, request_id, path=path, cost=SERVICE_COST_TOKENS
        )
        if req.durable:
            self._check_not_draining()
            return self._durable.submit(http, req, version="", streamed=False)

        def perform() -> HttpResponse:
            return service_response(self._open(http, req), request_id)

        return self._perform_once(http, req, perform)

    def _perform_once(
        self, http: HttpRequest, req: Request, perform: Callable[[], HttpResponse]
    ) -> HttpResponse:
        """Performs a request; claims its idempotency key first, so that it runs once.

        A request on an idempotent route may run again, so its key is not claimed.
        """
        key = http.header(KEY_HEADER)
        if not key or req.idempotent:
            return perform()
        self._check_not_draining()
        return self._keyed.handle(req, key, perform)

    def _check_not_draining(self) -> None:
        if self._process.draining.is_set():
            raise Refusal(
                Reason.LEAVING, detail="this entry is stopping", retry_after_s=1.0
            )

    def _open(self, http: HttpRequest, req: Request, *, version: str = "") -> Exchange:
        self._check_not_draining()
        exchange = self._dispatcher.open(req, version=version)
        # With a key the run continues after a disconnect, as a retry may fetch its
        # response. Runs on idempotent routes continue, too, though their keys are not
        # claimed and no retry can fetch the response.
        if not http.header(KEY_HEADER):
            exchange.should_abandon = http.is_disconnected
        return exchange
