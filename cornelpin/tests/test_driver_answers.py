"""The daemon tells whole answers of other servers from cut and malformed ones."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from cornelpin.backends import (
    CANCELLED,
    DONE,
    FAILED,
    Call,
    CancelToken,
    RunResult,
    make_backend,
)
from cornelpin.stores.http_client import HttpClient, NoResponse
from standins.fleet.early_answers import ENDINGS, EarlyServer

UPLOADS_BYTES = [100_000, 20_000_000]
"""One that the kernel of the sender takes whole, and one that it does not."""
OK = "HTTP/1.1 200 OK\r\n"
CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n"
TOKENS = "data: one\n\ndata: [DONE]\n\n"
WHOLE = {
    "length": (OK + "Content-Length: 4\r\n\r\nbody", "keep"),
    "length, then reset": (OK + "Content-Length: 4\r\n\r\nbody", "reset"),
    "chunks": (CHUNKED + "4\r\nbody\r\n0\r\n\r\n", "keep"),
    "chunks with a trailer": (CHUNKED + "4;x=y\r\nbody\r\n0\r\nT: v\r\n\r\n", "close"),
    "no length": (OK + "\r\nbody", "close"),
    "HTTP/1.0": ("HTTP/1.0 200 OK\r\n\r\nbody", "close"),
    "interim responses before": (
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        + OK
        + "Content-Length: 4\r\n\r\nbody",
        "keep",
    ),
}
NOT_WHOLE = {
    "length, closed": (OK + "Content-Length: 9\r\n\r\nbody", "close"),
    "length, reset": (OK + "Content-Length: 9\r\n\r\nbody", "reset"),
    "length, half-closed": (OK + "Content-Length: 9\r\n\r\nbody", "half-close, close"),
    "only a head, closed": (OK + "Content-Length: 9\r\n\r\n", "close"),
    "chunks, closed": (CHUNKED + "4\r\nbody\r\n", "close"),
    "chunks, reset": (CHUNKED + "4\r\nbody\r\n", "reset"),
    "chunks, closed within one": (CHUNKED + "9\r\nbody", "close"),
    "chunks, closed in the last": (CHUNKED + "4\r\nbody\r\n0\r\n", "close"),
    "no chunk": (CHUNKED + "4\r\nbody\r\nno chunk\r\n", "close"),
    "no length, reset": (OK + "\r\nbody", "reset"),
    "closed in the head": (OK + "Content-Length: 4\r\n", "close"),
    "no answer": ("", "close"),
    "no HTTP": ("banana\r\n\r\nbody", "close"),
    "odd length": (OK + "Content-Length: abc\r\n\r\nbody", "close"),
    "negative length": (OK + "Content-Length: -4\r\n\r\nbody", "close"),
    "two lengths": (
        OK + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
        "close",
    ),
    "unknown encoding": (OK + "Transfer-Encoding: gzip\r\n\r\nbody", "close"),
    **{
        f"status {status}": (
            f"HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\nbody",
            "close",
        )
        for status in ["000", "099", "00", "2000", "-20", "600", "999", "101", "199"]
    },
}
ENGINE_NOT_WHOLE = {
    "stream without its end": (CHUNKED + "b\r\ndata: one\n\n\r\n0\r\n\r\n", "keep"),
    "error, closed": (
        "HTTP/1.1 400 X\r\nContent-Length: 9\r\n\r\nbody",
        "close",
    ),
    "status 000": (f"HTTP/1.1 000 X\r\n\r\n{TOKENS}", "close"),
    "status 999": (f"HTTP/1.1 999 X\r\n\r\n{TOKENS}", "close"),
    "status 101": (f"HTTP/1.1 101 X\r\n\r\n{TOKENS}", "close"),
}


@attrs.define
class Sink:
    """What a driver passes on."""

    statuses: list[int] = attrs.field(factory=list)
    body: bytes = b""

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.statuses.append(status)

    def parts(self, parts: list[bytes]) -> None:
        self.body += b"".join(parts)


async def run(
    kind: str,
    answer: str,
    ending: str,
    body: bytes = b"{}",
    cancel_after_s: float | None = None,
) -> tuple[RunResult, Sink]:
    """Runs a request at a server with this answer."""
    server = EarlyServer(lambda head: answer.encode(), ending)
    await server.start()
    ip, port = server.address
    backend = make_backend(kind, url=f"http://{ip}:{port}")
    call = Call("r1", "route", "", "POST", "/v1/chat/completions", {}, body)
    sink, cancel = Sink(), CancelToken()
    if cancel_after_s is not None:
        asyncio.get_running_loop().call_later(cancel_after_s, cancel.cancel)
    try:
        async with asyncio.timeout(10.0):
            return await asyncio.to_thread(backend.run, call, sink, cancel), sink
    finally:
        await server.stop()


@pytest.mark.parametrize("case", WHOLE)
def test_whole_answer_is_done(case: str) -> None:
    result, sink = asyncio.run(run("service", *WHOLE[case]))
    assert (result.outcome, sink.statuses, sink.body) == (DONE, [200], b"body")


@pytest.mark.parametrize("case", NOT_WHOLE)
def test_cut_or_malformed_answer_of_a_service_is_not_done(case: str) -> None:
    """Guards against a part of an answer, or none, that a caller takes for one."""
    result, sink = asyncio.run(run("service", *NOT_WHOLE[case]))
    assert result.outcome == FAILED, sink
    assert set(sink.statuses) <= {200}


@pytest.mark.parametrize("case", ENGINE_NOT_WHOLE)
def test_cut_or_malformed_answer_of_an_engine_is_not_done(case: str) -> None:
    result, sink = asyncio.run(run("engine", *ENGINE_NOT_WHOLE[case]))
    assert result.outcome == FAILED, sink
    assert set(sink.statuses) <= {200, 400}


@pytest.mark.parametrize("ending", ENDINGS[:-1])
@pytest.mark.parametrize("framing", ["", "Content-Length: 9\r\n"])
@pytest.mark.parametrize("size", UPLOADS_BYTES)
def test_answer_that_is_cut_during_an_upload_is_not_done(
    framing: str, ending: str, size: int
) -> None:
    answer = f"{OK}{framing}\r\nbody"
    body = b"x" * size
    result, sink = asyncio.run(run("service", answer, ending, body))
    assert result.outcome == FAILED, sink


def test_answer_without_length_that_is_cancelled_is_not_done() -> None:
    """Guards against the end that a cancellation makes, taken for the server's."""
    result, _ = asyncio.run(run("service", OK + "\r\nbody", "keep", b"", 0.2))
    assert result.outcome == CANCELLED


@pytest.mark.parametrize(
    "case", [name for name in NOT_WHOLE if name.startswith(("status", "length"))]
)
def test_cut_or_malformed_answer_of_the_store_is_no_response(case: str) -> None:
    async def scenario() -> None:
        answer, ending = NOT_WHOLE[case]
        server = EarlyServer(lambda head: answer.encode(), ending)
        await server.start()
        ip, port = server.address
        client = HttpClient(f"http://{ip}:{port}")
        response = await asyncio.to_thread(client.call, "GET", "/objects")
        assert isinstance(response, NoResponse)
        await server.stop()

    asyncio.run(scenario())
