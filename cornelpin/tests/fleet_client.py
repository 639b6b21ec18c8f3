"""Minimal HTTP/1.1 client of the gateway, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_numbers = itertools.count(1)


@attrs.frozen
class Response:
    """A response as a client sees it.

    Attributes:
        status: Status; zero if the connection closed without a response.
        headers: Headers by lower-case name.
        body: Body without its framing.
        complete: Whether the body was complete by its framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


NO_RESPONSE = Response(0, {}, b"", False)


def request(
    target: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    host: str = "shop.example",
    request_id: str | None = None,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns the bytes of a request."""
    fields = {
        "Host": host,
        "Request-Id": request_id or f"req-{next(_numbers)}",
        "Deadline-Ms": "1500",
    }
    if body:
        fields["Content-Length"] = str(len(body))
    fields |= headers or {}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One client connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    async def fetch(self, target: str, **fields: object) -> Response:
        """Sends a request and returns its response."""
        return await self.send(request(target, **fields))  # type: ignore[arg-type]

    async def send(self, data: bytes) -> Response:
        """Sends raw bytes and returns the next response."""
        self.writer.write(data)
        return await self.read()

    async def read(self) -> Response:
        """Returns the next response."""
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            return NO_RESPONSE
        first, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        status = int(first.split(" ")[1])
        body, complete = await self._body(headers)
        return Response(status, headers, body, complete)

    async def _body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        if headers.get("transfer-encoding") != "chunked":
            size = int(headers.get("content-length", "0"))
            return await self._reader.readexactly(size), True
        body = b""
        try:
            while True:
                size = int((await self._reader.readline()).strip() or b"x", 16)
                body += (await self._reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return body, True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return body, False

    async def ended(self) -> bool:
        """Returns whether the entry closes the connection within 2 s."""
        try:
            async with asyncio.timeout(2):
                return await self._reader.read(1) == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


@contextlib.asynccontextmanager
async def connect(address: tuple[str, int]) -> AsyncIterator[Client]:
    """Opens a connection."""
    client = Client(*await asyncio.open_connection(*address))
    try:
        yield client
    finally:
        client.close()


async def fetch(address: tuple[str, int], target: str, **fields: object) -> Response:
    """Sends one request over a new connection."""
    async with connect(address) as client:
        return await client.fetch(target, **fields)
