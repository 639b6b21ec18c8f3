"""Requests whose bytes are read in the turn of the loop in which their time is over.

This is so after a pause of the process: the bytes have come in time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import pytest

from cornelpin.http1.connections import OpenConnections, Resources
from cornelpin.http1.memory import MemoryBudget
from cornelpin.http1.pacing import TurnGate
from cornelpin.http1.requests import Limits
from cornelpin.http1.server import ClientConnection

if TYPE_CHECKING:
    from cornelpin.http1.requests import BadRequest, ClientRequest, Headers
    from cornelpin.http1.responder import Responder

TIMEOUT_S = 1.0
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
PARTS = {
    "first_request": (b"", GET),
    "next_request": (GET, GET),
    "head": (GET[:20], GET[20:]),
    "body": (POST + b"ab", b"cd"),
}


class App:
    """Responds to each request with 200."""

    def limits(self) -> Limits:
        return Limits(
            header_bytes=8_192,
            body_bytes=8_192,
            header_timeout_s=TIMEOUT_S,
            idle_timeout_s=TIMEOUT_S,
        )

    def closing(self) -> bool:
        return False

    def bad_request_headers(self, exc: BadRequest, conn: ClientConnection) -> Headers:
        return []

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        responder.send_response(200, [], b"")


def statuses(data: bytes) -> list[int]:
    """Returns the statuses of responses without a body."""
    lines = data.split(b"\r\n")
    return [int(line.split()[1]) for line in lines if line.startswith(b"HTTP/1.1 ")]


@pytest.mark.parametrize("part", PARTS)
def test_request_read_after_a_pause_is_served(part: str) -> None:
    early, late = PARTS[part]

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        resources = Resources(MemoryBudget(2**20), TurnGate(), OpenConnections(10))
        server = await loop.create_server(
            lambda: ClientConnection(App(), resources), "127.0.0.1", 0
        )
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, server.sockets[0].getsockname())
            await loop.sock_sendall(sock, early)
            await asyncio.sleep(0.1)
            received = b"" if part != "next_request" else await loop.sock_recv(sock, 99)
            # Does not run the loop: the bytes come while the process pauses.
            sock.send(late)
            time.sleep(TIMEOUT_S)
            received += await loop.sock_recv(sock, 4_096)
        assert statuses(received) == [200] * len(received.split(b"HTTP/1.1 ")[1:])
        assert received
        server.close()

    asyncio.run(scenario())
