"""Requests as an HTTP/1.1 connection reads them, and why it may not."""

from __future__ import annotations

import attrs

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class Limits:
    """Limits on one connection.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        header_timeout_s: Time for the whole head from its first byte, seconds.
        idle_timeout_s: Time without data between requests or within a body, seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class ClientRequest:
    """A complete request.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        headers: Headers with names in lower case.
        body: Parts of the body, without its transfer framing.
        received: Monotonic time of its first byte.
        completed: Monotonic time of its last byte.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: tuple[bytes, ...]
    received: float
    completed: float


class BadRequest(Exception):
    """A request that violates HTTP or exceeds a limit.

    Args:
        status: HTTP status of the response.
        reason: Body of the response.
        retry_after_s: Its Retry-After in seconds, if any.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s


class ConnectionEnded(Exception):
    """The connection ends without a response.

    The client has closed it, or no request has begun within the idle timeout.
    """


def content_length(headers: Headers) -> int | None:
    """Returns the length of a body, None for one in chunks."""
    fields = dict(headers)
    if b"transfer-encoding" in fields:
        return None
    return int(fields.get(b"content-length", b"0"))


def check_framing(headers: Headers) -> None:
    """Rejects requests whose length is ambiguous, against request smuggling."""
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequest(400, "both Transfer-Encoding and Content-Length")
    if names.count(b"host") > 1 or names.count(b"content-length") > 1:
        raise BadRequest(400, "a repeated Host or Content-Length")
