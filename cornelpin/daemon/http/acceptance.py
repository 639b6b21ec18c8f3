"""Validates a caller's request: workspace, route, tier, timeout and estimated cost."""

from __future__ import annotations

import hashlib
import json
import time
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.affinity import prefix_digests
from cornelpin.core.execution import Reason, Refusal
from cornelpin.core.ranking import BYTES_PER_TOKEN
from cornelpin.core.tickets import Request

if TYPE_CHECKING:
    from cornelpin.core.config import Config, Route, Workspace
    from cornelpin.daemon.http.messages import HttpRequest

# Assumed output of a completion without a token limit.
DEFAULT_OUTPUT_TOKENS = 64
MAX_TIMEOUT_S = 86_400
MAX_SHOWN = 100
"""Characters of an invalid value in a refusal."""
# Headers for the entry or its connection; not forwarded to backend servers.
UNFORWARDED_HEADERS = frozenset(
    {"Authorization", "Host", "Connection", "Transfer-Encoding", "Expect"}
)


@attrs.frozen
class ResolvedRoute:
    """A request's workspace and route, as one configuration defines them.

    Attributes:
        config: Configuration used for the lookup.
        workspace_name: Name of the caller's workspace.
        workspace: The caller's workspace.
        route_name: Name of the requested route.
        route: The requested route.
    """

    config: Config
    workspace_name: str
    workspace: Workspace
    route_name: str
    route: Route

    def build_request(
        self,
        http: HttpRequest,
        request_id: str,
        *,
        path: str,
        cost: int,
        prompt: bytes = b"",
    ) -> Request:
        """Returns the request to dispatch.

        Args:
            http: The caller's request.
            request_id: Id assigned to the request.
            path: Path and query at the backend server.
            cost: Estimated work in tokens.
            prompt: Text whose prefix an engine may have cached.

        Raises:
            Refusal: If the size, tier or timeout is not allowed.
        """
        route = self.route
        if len(http.body) > route.max_body_bytes:
            raise Refusal(
                Reason.TOO_LARGE,
                detail=f"the body has {len(http.body)} bytes; "
                f"at most {route.max_body_bytes} are allowed",
            )
        tier = self._select_tier(http)
        timeout_s = _timeout_s(http, route.timeout_s)
        return Request(
            request_id=request_id,
            workspace=self.workspace_name,
            route=self.route_name,
            tier=tier,
            kind=route.kind,
            method=http.method,
            path=path,
            headers=_forwarded_headers(http),
            body=http.body,
            cost=cost,
            deadline=time.monotonic() + timeout_s,
            max_wait_s=min(timeout_s, self.config.tiers[tier].max_wait_s),
            idempotent=route.kind == "service" and route.idempotent,
            fingerprint=_content_digest(self.workspace_name, http),
            prefix=prefix_digests(self.workspace_name, prompt),
            prompt_bytes=len(prompt),
            durable=self.config.tiers[tier].durable,
        )

    def _select_tier(self, http: HttpRequest) -> str:
        allowed = {*self.workspace.tiers, self.route.tier}
        tier = http.header("X-Cornelpin-Tier") or self.route.tier
        if tier not in self.config.tiers or tier not in allowed:
            valid = ", ".join(sorted(allowed))
            raise Refusal(
                Reason.FORBIDDEN,
                detail=f"tier {tier!r} is not for this workspace; valid: {valid}",
            )
        return tier


def find_workspace(http: HttpRequest, config: Config) -> tuple[str, Workspace]:
    """Returns the name and the workspace of the caller's bearer token.

    Raises:
        Refusal: If there is no such workspace or no configuration yet.
    """
    if config.number == 0:
        raise Refusal(Reason.NOT_READY, detail="no configuration is in force yet")
    found = config.workspace_by_token(http.bearer_token())
    if found is None:
        raise Refusal(Reason.UNAUTHORIZED, detail="the bearer token names no workspace")
    return found.name, found


def resolve_route(
    config: Config,
    named_workspace: tuple[str, Workspace],
    route_name: str,
    *,
    kind: str,
) -> ResolvedRoute:
    """Returns the route that the caller requested, with the caller's workspace.

    Args:
        config: The configuration.
        named_workspace: Name and workspace of the caller, from ``find_workspace``.
        route_name: Name of the route.
        kind: Kind that the route must have, "model" or "service".

    Raises:
        Refusal: If the workspace has no route of that name and kind.
    """
    name, workspace = named_workspace
    route = config.routes.get(route_name)
    if route is None or route.kind != kind or route_name not in workspace.routes:
        valid = ", ".join(sorted(routes_of(config, workspace, kind)))
        raise Refusal(
            Reason.NO_ROUTE,
            detail=f"no {kind} route {route_name!r} for this workspace; valid: {valid}",
        )
    return ResolvedRoute(config, name, workspace, route_name, route)


def routes_of(config: Config, workspace: Workspace, kind: str) -> list[str]:
    """Returns the names of a workspace's routes of one kind."""
    return [
        name
        for name in workspace.routes
        if name in config.routes and config.routes[name].kind == kind
    ]


def _forwarded_headers(http: HttpRequest) -> dict[str, str]:
    return {
        name: value
        for name, value in http.headers().items()
        if name not in UNFORWARDED_HEADERS and not name.startswith("X-Cornelpin-")
    }


def _timeout_s(http: HttpRequest, default_s: float) -> float:
    text = http.header("X-Cornelpin-Timeout-S")
    if not text:
        return default_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        raise Refusal(
            Reason.BAD_REQUEST,
            detail=f"X-Cornelpin-Timeout-S is {text!r}; "
            "valid: seconds above 0 and up to 86400",
        )
    return timeout_s


@attrs.frozen
class Completion:
    """What the body of a completion or chat completion asks for.

    Attributes:
        route: The model it names.
        cost_tokens: Estimate of the work, prompt and output.
        prompt: The prompt or messages, for the lookup of cached prefixes.
        streamed: Whether the response is wanted as a stream.
    """

    route: str
    cost_tokens: int
    prompt: bytes
    streamed: bool


def read_completion(document: dict[str, Any], http: HttpRequest) -> Completion:
    """Reads the decoded body of a completion.

    Raises:
        Refusal: If it names no model or has an invalid limit.
    """
    route = document.get("model")
    if not isinstance(route, str):
        raise Refusal(
            Reason.BAD_REQUEST, detail="the body must name a route as its model"
        )
    return Completion(
        route,
        estimate_cost_tokens(document, len(http.body)),
        encode_prompt(document),
        streamed=document.get("stream") is True,
    )


def estimate_cost_tokens(document: dict[str, Any], body_bytes: int) -> int:
    """Estimates the work of a completion in tokens, prompt and output."""
    limit = document.get("max_completion_tokens", document.get("max_tokens"))
    if limit is not None and (type(limit) is not int or limit < 1):
        shown = json.dumps(limit)[:MAX_SHOWN]
        raise Refusal(
            Reason.BAD_REQUEST,
            detail=f"max_tokens is {shown}; valid: an integer of 1 or more",
        )
    return body_bytes // BYTES_PER_TOKEN + (limit or DEFAULT_OUTPUT_TOKENS)


def encode_prompt(document: dict[str, Any]) -> bytes:
    """Returns the prompt or messages as bytes, for the lookup of cached prefixes."""
    prompt = document.get("prompt", document.get("messages"))
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    return text.encode("utf-8", "surrogatepass")


def _content_digest(workspace: str, http: HttpRequest) -> str:
    """Returns the digest that identifies contents that may crash servers.

    It becomes ``Request.fingerprint``. The ``fingerprint`` of a record is another
    digest, ``keyed.retry_digest``, which identifies retries.
    """
    digest = hashlib.sha256()
    for part in (workspace.encode(), http.path.encode(), http.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]
