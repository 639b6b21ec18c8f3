"""Streams that break off and are resumed by a server that responds otherwise."""

from __future__ import annotations

import asyncio

import pytest

from cornelpin.tests.fleet_client import connect, request
from cornelpin.tests.gateway_harness import Harness, route, run_harness
from standins.fleet.server import Behaviour

EVENT = b"id: 1\ndata: piece 1\n\n"
HEAD = b"HTTP/1.1 200 X\r\n%s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = HEAD + b"Content-Length: 400\r\n\r\n"
NO_LENGTH = HEAD + b"Connection: close\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


BREAKS = {
    "reset after an event": (CHUNKED + chunk(EVENT), "reset"),
    "closed after an event": (CHUNKED + chunk(EVENT), "close"),
    "closed within an event": (CHUNKED + chunk(EVENT + b"id: 2\nda"), "close"),
    "closed within a chunk": (CHUNKED + chunk(EVENT) + b"10\r\nid: 2", "close"),
    "ended within an event": (
        CHUNKED + chunk(EVENT + b"id: 2\nda") + b"0\r\n\r\n",
        "keep",
    ),
    "not chunked": (CHUNKED + chunk(EVENT) + b"no chunk\r\n", "keep"),
    "closed before the stated length": (LENGTH + EVENT, "close"),
    "reset without a length": (NO_LENGTH + EVENT, "reset"),
}
ERROR = b"internal error"
ANSWERS = {
    "500 with a length": (
        b"HTTP/1.1 500 X\r\n%s\r\nContent-Length: 14\r\n\r\n" + ERROR,
        "keep",
    ),
    "500 in chunks": (
        b"HTTP/1.1 500 X\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk(ERROR)
        + b"0\r\n\r\n",
        "keep",
    ),
    "500 without a length": (
        b"HTTP/1.1 500 X\r\n%s\r\nConnection: close\r\n\r\n" + ERROR,
        "close",
    ),
    "503 not run": (
        b"HTTP/1.1 503 X\r\n%s\r\nNot-Executed: 1\r\nContent-Length: 14\r\n\r\n"
        + ERROR,
        "keep",
    ),
    "404": (b"HTTP/1.1 404 X\r\n%s\r\nContent-Length: 14\r\n\r\n" + ERROR, "keep"),
    "another response before it": (
        b"HTTP/1.1 500 X\r\nRequest-Id: other\r\nContent-Length: 14\r\n\r\n" + ERROR,
        "close",
    ),
    "200 that is no stream": (HEAD + b"Content-Length: 14\r\n\r\n" + ERROR, "keep"),
    "200 that is empty": (HEAD + b"Content-Length: 0\r\n\r\n", "keep"),
    "head of an error within the stream": (
        CHUNKED + chunk(b"HTTP/1.1 500 X\r\n\r\n" + ERROR + b"\n\n") + b"0\r\n\r\n",
        "keep",
    ),
    "200 unsigned": (
        b"HTTP/1.1 200 X\r\nRequest-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk(b"id: 2\ndata: unsigned\n\n")
        + b"0\r\n\r\n",
        "keep",
    ),
    "events from the beginning": (
        CHUNKED + chunk(EVENT) + chunk(b"id: 2\ndata: piece 2\n\n") + b"0\r\n\r\n",
        "keep",
    ),
    "no HTTP": (b"HTTP/1.1 banana\r\n\r\n" + ERROR, "close"),
}


async def body_of_stream(harness: Harness, path: str) -> tuple[bytes, bytes, bool]:
    """Returns head and body of a streamed response, and whether it is complete."""
    async with connect(harness.entries[0]._settings.callers) as client:
        client.writer.write(
            request(
                path, method="POST", request_id="s1", headers={"Deadline-Ms": "800"}
            )
        )
        head = await client._reader.readuntil(b"\r\n\r\n")
        body, complete = await client._body({"transfer-encoding": "chunked"})
        return head, body, complete


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("broken", BREAKS)
@pytest.mark.parametrize("resumable", [True, False])
def test_broken_stream_ends_as_broken_whatever_the_next_server_responds(
    broken: str, answer: str, resumable: bool
) -> None:
    """Guards against errors of other runs in a stream, and an end that is none."""

    async def scenario() -> None:
        routes = [route("/stream/", "stream", resumable=resumable)]
        async with run_harness(servers=2, routes=routes) as harness:
            first, second = harness.servers

            # Whichever is asked first breaks off, the other one answers.
            for server, other in ((first, second), (second, first)):
                server.behaviour = Behaviour(raw=BREAKS[broken])
                run = server._run

                async def run_once(*args, run=run, other=other):  # type: ignore
                    other.behaviour = Behaviour(raw=ANSWERS[answer])
                    return await run(*args)

                server._run = run_once  # type: ignore[method-assign]
            head, body, complete = await body_of_stream(harness, "/stream/x")
            assert head.startswith(b"HTTP/1.1 200")
            assert (body, complete) == (EVENT, False)
            if resumable:
                assert first.arrivals and second.arrivals

    asyncio.run(scenario())
