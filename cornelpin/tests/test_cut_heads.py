"""Servers that end a connection within the head of a response."""

from __future__ import annotations

import asyncio

import pytest

from cornelpin.platform import Store, StoreUnavailable
from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import Harness, route, run_harness
from standins.fleet.raw_http import RawRequest, RawServer

HEADERS = b"Request-Id: %i\r\nResponse-Seal: s.1\r\n"
BODY = b"id: 1\ndata: whole\n\n"
HEADS = {
    "length": b"HTTP/1.1 200 X\r\n" + HEADERS + b"Content-Length: 19\r\n\r\n",
    "length_first": b"HTTP/1.1 200 X\r\nContent-Length: 19\r\n" + HEADERS + b"\r\n",
    "chunked": b"HTTP/1.1 200 X\r\n" + HEADERS + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": b"HTTP/1.1 200 X\r\n" + HEADERS + b"\r\n",
    "bare_lines": b"HTTP/1.1 200 X\n" + HEADERS.replace(b"\r", b"") + b"\n",
    "interim": b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\n" + HEADERS + b"\r\n",
}
"""Heads of whole responses; ``%i`` stands for the id of the request."""
AT_ONCE = 40


class CutHeads:
    """A handler that writes the beginning of a head, as long as the target says."""

    def __init__(self, head: bytes, ending: str) -> None:
        self._head = head
        self._ending = ending
        self.sizes: set[int] = set()

    def cut(self, req: RawRequest) -> bytes:
        request_id = req.headers["request-id"].encode()
        size = int(req.target.rpartition("/")[2])
        self.sizes.add(size)
        return self._head.replace(b"%i", request_id)[:size]

    async def __call__(self, req: RawRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(self.cut(req))
        await writer.drain()
        if self._ending == "reset":
            await asyncio.sleep(0.01)
            writer.transport.abort()
        return False


def forget_health(harness: Harness) -> None:
    """Lets the entry send to servers that have failed."""
    harness.entries[0].scheduler.dispatcher._candidates._health.clear()


async def ask(harness: Harness, kind: str, size: int) -> Response:
    forget_health(harness)
    return await fetch(
        harness.entries[0]._settings.callers,
        f"/{kind}/{size}",
        method="POST" if kind == "stream" else "GET",
        request_id=f"r{size:03d}",
    )


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_cut_head_is_no_answer(kind: str, head: str, ending: str) -> None:
    """Guards against 200 with an empty or short body after a head that was cut.

    The head is cut after each of its bytes.
    """

    async def scenario() -> None:
        routes = [route(f"/{kind}/", kind, max_attempts=1)]
        async with run_harness(routes=routes) as harness:
            server = harness.servers[0]
            server.slots = 500
            harness.store.put("servers", server.id, server.store_spec())
            handler = server.server._handle = CutHeads(HEADS[head], ending)
            length = len(HEADS[head].replace(b"%i", b"r000"))
            for first in range(0, length, AT_ONCE):
                sizes = range(first, min(length, first + AT_ONCE))
                responses = await asyncio.gather(
                    *(ask(harness, kind, size) for size in sizes)
                )
                # The others were refused: the server was ejected meanwhile.
                missing = [size for size in sizes if size not in handler.sizes]
                responses += [await ask(harness, kind, size) for size in missing]
                for response in responses:
                    assert response.status in {502, 503}, response
                    assert response.complete
            assert handler.sizes == set(range(length))

    asyncio.run(scenario())


@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize(
    ("head", "body"),
    [("length", BODY[:-1]), ("chunked", b"13\r\n" + BODY), ("chunked", b"13\r\nid")],
)
@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_cut_body_is_never_framed_as_whole(
    kind: str, head: str, body: bytes, ending: str
) -> None:
    async def scenario() -> None:
        routes = [route(f"/{kind}/", kind, max_attempts=1)]
        async with run_harness(routes=routes) as harness:
            harness.servers[0].server._handle = CutHeads(HEADS[head] + body, ending)
            response = await ask(harness, kind, 999)
            assert not (response.status == 200 and response.complete), response
            assert response.status in {200, 502}
            assert kind == "stream" or response.status == 502

    asyncio.run(scenario())


@pytest.mark.parametrize("head", ["length", "chunked"])
def test_store_that_cuts_a_head_is_unavailable(head: str) -> None:
    async def scenario() -> None:
        whole = HEADS[head].replace(b"%i", b"1")
        for size in range(1, len(whole), 7):

            async def write_cut(
                req: RawRequest, writer: asyncio.StreamWriter, size: int = size
            ) -> bool:
                writer.write(whole[:size])
                await writer.drain()
                return False

            server = RawServer(write_cut)
            await server.start("127.0.0.1")
            with pytest.raises(StoreUnavailable):
                await Store(server.address).list("config")
            await server.stop()

    asyncio.run(scenario())
