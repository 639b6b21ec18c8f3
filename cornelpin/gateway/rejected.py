"""Requests that end with a response made by the entry itself."""

from __future__ import annotations

import attrs


@attrs.frozen
class Rejected(Exception):
    """Raised to end a request with a response made by the entry itself.

    In contrast, the dispatcher's ``Refused`` says that a request gets no slot; the
    entry responds to it with ``Rejected`` unless it forwards a server's response.

    Attributes:
        status: HTTP status of the response.
        reason: Its body, also logged.
        retry_after_s: Its Retry-After in seconds, if any.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
