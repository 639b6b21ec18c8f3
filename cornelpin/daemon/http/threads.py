"""Handlers that run in threads behind connections of an event loop."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from http.client import responses
from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

import h11
from loguru import logger

from cornelpin.daemon.http._errors import encode_headers, error_response
from cornelpin.daemon.http.messages import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterator

    from cornelpin.daemon.http.messages import HttpResponse
    from cornelpin.http1.requests import BadRequest, ClientRequest, Headers, Limits
    from cornelpin.http1.responder import Responder
    from cornelpin.http1.server import ClientConnection

WRITE_TIMEOUT_S = 120.0
"""Time for which a client may take nothing of a streamed response."""


class ClientLeft(Exception):
    """The client does not take the rest of a response."""


class ThreadedApp:
    """Passes each request to a handler in a thread.

    Args:
        handle: The handler.
        limits: Limits of the connections.
        threads: Number of requests that are handled at once; others wait.
    """

    def __init__(
        self,
        handle: Callable[[HttpRequest], HttpResponse],
        limits: Limits,
        *,
        threads: int,
    ) -> None:
        self._handle = handle
        self._limits = limits
        self._free_threads = asyncio.Semaphore(threads)

    def limits(self) -> Limits:
        """Returns the limits on requests."""
        return self._limits

    def closing(self) -> bool:
        """Returns False: connections are kept alive."""
        return False

    def bad_request_headers(self, exc: BadRequest, conn: ClientConnection) -> Headers:
        """Returns no additional headers."""
        return []

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Responds to a request; a handler goes on after its client has left.

        Its thread and its memory are counted until it has ended.
        """
        await self._free_threads.acquire()
        call = _Call(self._handle, req, responder)
        del req
        call.ended.add_done_callback(lambda _: self._free_threads.release())
        try:
            threading.Thread(target=call.run, name="http-call", daemon=True).start()
        except BaseException:
            call.end()
            raise
        try:
            await asyncio.shield(call.ended)
        except asyncio.CancelledError:
            call.left.set()
            # The connection's account counts the memory that the thread uses.
            await call.ended
            raise


class _Call:
    """One call of a handler.

    Args:
        handle: The handler.
        req: The request.
        responder: Takes the response.

    Attributes:
        left: Set when the client has left.
        ended: Done when the thread has ended.
    """

    def __init__(
        self,
        handle: Callable[[HttpRequest], HttpResponse],
        req: ClientRequest,
        responder: Responder,
    ) -> None:
        self._handle = handle
        self._requests = [req]
        self._responder = responder
        self._loop = asyncio.get_running_loop()
        self.left = threading.Event()
        self.ended: asyncio.Future[None] = self._loop.create_future()

    def run(self) -> None:
        """Calls the handler and sends its response; runs in a thread."""
        try:
            self._respond(self._response())
        except ClientLeft:
            pass
        except Exception:
            logger.exception("a response was not sent to its end")
        finally:
            # The loop is closed if the process ends.
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self.end)

    def end(self) -> None:
        """Notes the end of the thread."""
        if not self.ended.done():
            self.ended.set_result(None)

    def _response(self) -> HttpResponse:
        """Returns the handler's response; nothing here keeps the request after that."""
        try:
            req = decode_request(self._requests.pop(), self.left.is_set)
            return self._handle(req)
        except Exception:
            logger.exception("a request failed")
            return error_response(500, "internal error")

    def _respond(self, resp: HttpResponse) -> None:
        try:
            try:
                head = _head(resp)
            except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
                logger.error("a response has an invalid head: {}", exc)
                self._respond(error_response(500, "internal error"))
                return
            if isinstance(resp.chunks, list):
                # The thread does not wait: the connection keeps the response.
                body = b"".join(resp.chunks)
                self._loop.call_soon_threadsafe(self._send_whole, head, body)
                return
            self._wait_for(self._start(head))
            for chunk in resp.chunks:
                self._wait_for(self._send_part(chunk))
            self._wait_for(self._finish())
        finally:
            close = getattr(resp.chunks, "close", None)
            if close is not None:
                close()

    def _wait_for(self, coro: Coroutine[None, None, None]) -> None:
        asyncio.run_coroutine_threadsafe(coro, self._loop).result()

    def _send_whole(self, head: h11.Response, body: bytes) -> None:
        if not self.left.is_set():
            self._send_head(head)
            self._responder.send_body(body)
            self._responder.finish()

    async def _start(self, head: h11.Response) -> None:
        self._check_client()
        self._send_head(head)

    def _send_head(self, head: h11.Response) -> None:
        headers = list(head.headers.raw_items())
        self._responder.start(head.status_code, headers, reason=head.reason)

    async def _send_part(self, chunk: bytes) -> None:
        """Sends a part of a stream and waits until the client reads."""
        self._check_client()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._responder.write(chunk)
        except TimeoutError:
            self._responder.abort()
            raise ClientLeft from None

    async def _finish(self) -> None:
        self._check_client()
        self._responder.finish()

    def _check_client(self) -> None:
        if self.left.is_set():
            raise ClientLeft


def _head(resp: HttpResponse) -> h11.Response:
    """Returns the head of a response.

    Raises:
        h11.LocalProtocolError: If a name, a value or the status is invalid.
        UnicodeEncodeError: If a name or a value is not Latin-1.
    """
    return h11.Response(
        status_code=resp.status,
        headers=encode_headers(resp.headers),
        reason=responses.get(resp.status, "Refused").encode(),
    )


def decode_request(
    req: ClientRequest, is_disconnected: Callable[[], bool]
) -> HttpRequest:
    """Returns a request as handlers take it."""
    path, query = _split_target(req.target)
    fields: dict[str, str] = {}
    for name, value in _decoded(req.headers):
        fields[name] = f"{fields[name]}, {value}" if name in fields else value
    return HttpRequest(
        method=req.method.decode("latin-1"),
        path=path,
        query=query,
        body=b"".join(req.body),
        fields=fields,
        is_disconnected=is_disconnected,
    )


def _decoded(headers: Headers) -> Iterator[tuple[str, str]]:
    for name, value in headers:
        yield name.decode("latin-1").lower(), value.decode("latin-1")


def _split_target(target: bytes) -> tuple[str, str]:
    """Returns the decoded path and the query of a request's target."""
    if not target.startswith(b"/"):
        # The absolute form, as proxies get it.
        target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
    path, _, query = target.partition(b"?")
    return unquote_to_bytes(path).decode("latin-1"), query.decode("latin-1")
