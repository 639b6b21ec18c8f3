"""Client of an entry's HTTP API."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlencode

from cornelpin.stores.http_client import HttpClient, NotSent, Response

DEFAULT_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Success:
    """The entry performed the call."""

    value: Any


@dataclass(frozen=True)
class Refusal:
    """The entry refused the call; holds the members of its problem document."""

    status: int
    problem: Mapping[str, Any] = field(default_factory=dict)

    @property
    def reason(self) -> str:
        """The entry's explanation of the refusal."""
        for key in ("detail", "reason", "title"):
            if self.problem.get(key):
                return str(self.problem[key])
        return f"HTTP status {self.status}"

    @property
    def may_have_run(self) -> bool:
        """Whether the change or request may have taken effect."""
        # Problem documents of entries state `may_have_run`. A 5xx without it may come
        # from a proxy that had already forwarded the call; a 503 without it is assumed
        # to have been sent before the call was forwarded.
        assumed = self.status >= 500 and self.status != 503
        return bool(self.problem.get("may_have_run", assumed))


@dataclass(frozen=True)
class Unreachable:
    """No connection could be made, so nothing was done."""

    reason: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """The call may have reached the entry, but no complete response came back."""

    reason: str


Outcome = Success | Refusal | Unreachable | OutcomeUnknown


class Client:
    """Calls one entry.

    Args:
        url: Base URL of the entry.
        token: Bearer token of an operator or a workspace.
        timeout_s: Timeout in seconds of connecting and of each read.
    """

    def __init__(
        self, url: str, *, token: str | None, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._http = HttpClient(url, timeout_s=timeout_s)
        self._headers = {"Accept": "application/json"}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"

    def get(self, path: str, **query: object) -> Outcome:
        """Reads a resource; query parameters that are None are omitted."""
        params = {key: value for key, value in query.items() if value is not None}
        target = f"{path}?{urlencode(params)}" if params else path
        return self._call("GET", target, None, {})

    def post(
        self, path: str, body: Any, *, headers: Mapping[str, str] | None = None
    ) -> Outcome:
        """Posts a JSON document."""
        return self._call("POST", path, json.dumps(body).encode(), headers or {})

    def _call(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> Outcome:
        all_headers = {**self._headers, **headers}
        if body is not None:
            all_headers["Content-Type"] = "application/json"
        resp = self._http.call(method, path, body=body, headers=all_headers)
        if isinstance(resp, NotSent):
            return Unreachable(resp.reason)
        if not isinstance(resp, Response):
            return OutcomeUnknown(resp.reason)
        return _decode(resp)


def _decode(resp: Response) -> Outcome:
    try:
        value = json.loads(resp.body)
    except ValueError:
        if resp.status < 400:
            return OutcomeUnknown(f"status {resp.status} with a body that is not JSON")
        value = None
    if resp.status < 300:
        return Success(value)
    return Refusal(resp.status, value if isinstance(value, dict) else {})
