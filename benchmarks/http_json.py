"""JSON client for the HTTP interfaces of operators and stand-ins."""

from __future__ import annotations

import http.client
import json
from typing import Any

from attrs import frozen

REQUEST_TIMEOUT_S = 5.0


@frozen
class JsonReply:
    """Status, decoded body and request id of a response."""

    status: int
    body: Any
    request_id: str = ""


@frozen
class JsonClient:
    """Sends JSON to one address, one connection per request."""

    address: str
    port: int
    token: str = ""
    timeout_s: float = REQUEST_TIMEOUT_S

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonReply:
        """Sends one request and decodes the JSON response.

        Raises:
            OSError: The server could not be reached or did not respond in time.
        """
        request_headers = {"Content-Type": "application/json", **(headers or {})}
        if self.token:
            request_headers["Authorization"] = f"Bearer {self.token}"
        conn = http.client.HTTPConnection(self.address, self.port, self.timeout_s)
        try:
            payload = None if body is None else json.dumps(body)
            conn.request(method, path, payload, request_headers)
            response = conn.getresponse()
            raw = response.read()
            return JsonReply(
                response.status,
                decode(raw),
                response.headers.get("X-Request-Id") or "",
            )
        finally:
            conn.close()


def decode(raw: bytes) -> Any:
    """Decodes JSON; returns None for a body that is not JSON."""
    try:
        return json.loads(raw)
    except ValueError:
        return None
