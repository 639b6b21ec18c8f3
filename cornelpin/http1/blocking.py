"""One blocking HTTP/1.1 exchange, whose response is whole or an error."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import attrs
import h11

from cornelpin.http1.client import MAX_HEAD_BYTES, MAX_STATUS
from cornelpin.http1.writer import untaken_bytes

if TYPE_CHECKING:
    from collections.abc import Mapping

READ_BYTES = 65_536
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")


class BadResponse(ConnectionError):
    """The response is cut or malformed."""


@attrs.frozen
class ResponseHead:
    """Head of a final response.

    Attributes:
        status: HTTP status, from 200 to 599.
        headers: Headers with their names as received; of equal ones the last.
    """

    status: int
    headers: dict[str, str]

    def get(self, name: str, default: str = "") -> str:
        """Returns the value of a header."""
        found = (v for n, v in self.headers.items() if n.lower() == name.lower())
        return next(found, default)


class BlockingExchange:
    """A request and its response on a connected socket, which takes no other one.

    A response that ends with the connection is whole if the server ends its side after
    it has taken the request. All others are whole by their framing alone.

    Args:
        sock: The socket, with the time-out of each read and write.
        host: Value of the Host header.
    """

    def __init__(self, sock: socket.socket, host: str) -> None:
        self._sock = sock
        self._host = host
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._interrupted = False
        self._ended = False

    def interrupt(self) -> None:
        """Ends the exchange from another thread; reads fail."""
        self._interrupted = True
        self._sock.shutdown(socket.SHUT_RDWR)

    def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Sends the request.

        Raises:
            ValueError: If it can't be written as HTTP; nothing was sent.
            OSError: If the connection fails.
        """
        fields = {"Host": self._host, "Accept-Encoding": "identity"}
        if body or method in METHODS_WITH_BODY:
            fields["Content-Length"] = str(len(body))
        given = {name.lower() for name in headers}
        fields = {n: v for n, v in fields.items() if n.lower() not in given}
        fields |= headers
        try:
            head = self._http.send(
                h11.Request(
                    method=method.encode("ascii"),
                    target=path.encode("ascii"),
                    headers=[
                        (name.encode("latin-1"), value.encode("latin-1"))
                        for name, value in fields.items()
                    ],
                )
            )
            data = self._http.send(h11.Data(data=body)) if body else b""
            end = self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise ValueError(f"not sendable: {exc}") from exc
        self._sock.sendall(b"".join(part for part in (head, data, end) if part))

    def read_head(self) -> ResponseHead:
        """Returns the head of the response, without interim ones.

        Raises:
            BadResponse: If there is none.
            OSError: If the connection fails.
        """
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                break
            if not isinstance(event, h11.InformationalResponse):
                raise BadResponse("closed without a response")
            if event.status_code == 101:
                raise BadResponse("an upgrade that was not asked for")
        if event.status_code > MAX_STATUS:
            raise BadResponse(f"not HTTP: status {event.status_code}")
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in event.headers.raw_items()
        }
        return ResponseHead(event.status_code, headers)

    def read(self) -> bytes:
        """Returns the next part of the body, empty at the end of a whole response.

        Raises:
            BadResponse: If the response is cut or malformed.
            OSError: If the connection fails.
        """
        while not self._ended:
            parts = self._received_parts(self._next_event())
            if parts:
                return b"".join(parts)
        return b""

    def read_all(self) -> bytes:
        """Returns the rest of the body; raises as ``read``."""
        return b"".join(iter(self.read, b""))

    def _received_parts(self, event: object) -> list[bytes]:
        """Returns the data of an event and of those that have arrived with it."""
        parts = []
        while event is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                self._ended = True
                break
            if not isinstance(event, h11.Data):
                raise BadResponse("closed within a response")
            parts.append(bytes(event.data))
            event = self._received_event()
        return parts

    def _next_event(self) -> object:
        while (event := self._received_event()) is h11.NEED_DATA:
            data = self._sock.recv(READ_BYTES)
            if not data:
                self._check_end()
            self._http.receive_data(data)
        return event

    def _received_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadResponse(f"cut, or not HTTP: {exc}") from exc

    def _check_end(self) -> None:
        if self._interrupted:
            raise BadResponse("interrupted")
        if untaken_bytes(self._sock):
            raise BadResponse("closed before the request was sent")
