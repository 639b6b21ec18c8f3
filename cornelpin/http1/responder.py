"""The response to one request, written by the program that serves it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from cornelpin.http1.requests import Headers
    from cornelpin.http1.server import ClientConnection


class Responder:
    """Writes one response.

    Attributes:
        started: Whether the head was written.
        finished: Whether the response is complete.
    """

    def __init__(self, conn: ClientConnection, request_method: bytes) -> None:
        self._conn = conn
        self._method = request_method
        self.started = False
        self.finished = False

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response; adds its Content-Length."""
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        self.start(status, framed)
        self.send_body(body)
        self.finish()

    def start(self, status: int, headers: Headers, *, reason: bytes = b"") -> None:
        """Writes the head of a response."""
        self.started = True
        if self._conn.app.closing():
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        self._conn.send(head)

    def send_body(self, body: bytes) -> None:
        """Writes a whole body; none to a request for the head only."""
        if body and self._method != b"HEAD":
            self._conn.send(h11.Data(data=body))

    async def write(self, data: bytes) -> None:
        """Writes a part of the body; waits while the client reads too slowly."""
        self._conn.send(h11.Data(data=data))
        await self._conn.drain()

    def finish(self) -> None:
        """Ends the response as complete."""
        self._conn.send(h11.EndOfMessage())
        self.finished = True

    def abort(self) -> None:
        """Aborts the connection, so that the response does not look complete."""
        self._conn.abort()
