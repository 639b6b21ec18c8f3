"""Answers that are cut or malformed: no caller gets one as a complete answer."""

from __future__ import annotations

import asyncio

import pytest

from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import LIMITS, Harness, route, run_harness
from standins.fleet.early_answers import ENDINGS, EarlyServer
from standins.fleet.server import FleetServer

UPLOADS_BYTES = [100_000, 3_000_000]
"""One that the kernel of the sender takes whole, and one that it does not."""
ROUTES = [
    route("/safe/", "safe"),
    route("/unsafe/", "unsafe", max_attempts=1),
    route("/stream/", "stream", max_attempts=1),
]
TARGETS = ["/safe/x", "/unsafe/x", "/stream/x"]
EVENT = b"id: 1\ndata: piece 1\n\n"
FRAMINGS = {
    "no length": b"\r\n" + EVENT,
    "length": b"Content-Length: 400\r\n\r\n" + EVENT,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n15\r\n" + EVENT + b"\r\n",
}
ODD_STATUSES = ["000", "099", "00", "0200", "2000", "-20", "600", "999", "OK", ""]
INTERIM_ONLY = ["101", "199"]


def answer(status: str, rest: bytes, head: bytes) -> bytes:
    """Returns a signed answer to the request with a head."""
    lines = head.decode("latin-1").split("\r\n")
    request_id = next(x for x in lines if x.lower().startswith("request-id:"))
    first = f"HTTP/1.1 {status} X\r\n{request_id}\r\nResponse-Seal: s.1\r\n"
    return first.encode() + rest


def early_server(
    harness: Harness, status: str, rest: bytes, ending: str
) -> FleetServer:
    """Returns a server that answers each head in this way; it is not started."""
    server = FleetServer("app", slots=4)
    server.server = EarlyServer(  # type: ignore[assignment]
        lambda head: answer(status, rest, head), ending
    )
    return server


async def response_to(
    target: str, status: str, rest: bytes, ending: str, body: bytes
) -> Response:
    """Returns what a caller gets of a server that answers early."""
    limits = LIMITS | {"max_body_bytes": 2 * max(UPLOADS_BYTES)}
    async with run_harness(servers=0, routes=ROUTES, limits=limits) as harness:
        server = early_server(harness, status, rest, ending)
        await server.start()
        harness.servers.append(server)
        harness.store.put("servers", server.id, server.store_spec())
        entry = harness.entries[0]
        async with asyncio.timeout(5.0):
            while not entry.state.servers.all(0.0):
                await asyncio.sleep(0.01)
        address = entry._settings.callers
        return await fetch(address, target, method="POST", body=body)


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("size", UPLOADS_BYTES)
def test_answer_that_is_cut_during_an_upload_is_not_complete(
    target: str, framing: str, ending: str, size: int
) -> None:
    """Guards against a part of an answer that its caller takes for the whole."""

    async def scenario() -> None:
        response = await response_to(
            target, "200", FRAMINGS[framing], ending, b"x" * size
        )
        assert (response.status, response.complete) != (200, True), response.body

    asyncio.run(scenario())


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("status", ODD_STATUSES + INTERIM_ONLY)
@pytest.mark.parametrize("ending", ["keep", "close"])
def test_odd_status_is_no_answer(target: str, status: str, ending: str) -> None:
    """Guards against statuses that HTTP does not have, such as 000, at callers."""

    async def scenario() -> None:
        rest = b"Content-Length: 4\r\n\r\nbody"
        response = await response_to(target, status, rest, ending, b"x")
        assert response.status in {502, 503, 504}
        assert response.complete

    asyncio.run(scenario())
