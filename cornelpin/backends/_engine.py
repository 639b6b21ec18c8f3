"""Driver for model engines with an OpenAI-style API.

Every run is streamed from the engine, even if the caller wants one document, so that
after a broken connection it can be resumed at the number of parts received.
"""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING

from cornelpin.backends._http import (
    HttpExchange,
    Unreachable,
    perform,
    short_request,
)
from cornelpin.backends._registry import (
    CANCELLED,
    DONE,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Call,
    CancelToken,
    OrderResult,
    ResponseSink,
    RunResult,
    backend,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornelpin.http1.blocking import ResponseHead

EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
ORDER_TIMEOUT_S = 600.0


@backend("engine")
class EngineBackend:
    """A model engine with continuous batching and resumable streams."""

    def __init__(self, *, url: str) -> None:
        self._url = url

    def run(self, call: Call, sink: ResponseSink, cancel: CancelToken) -> RunResult:
        """Streams a completion."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
        }
        return self._stream(
            "POST", call.path, headers, _engine_body(call), sink, cancel, call
        )

    def resume(
        self, call: Call, offset: int, sink: ResponseSink, cancel: CancelToken
    ) -> RunResult:
        """Streams the rest of a run whose response the engine still holds."""
        path = f"/v1/streams/{call.request_id}?offset={offset}"
        result = self._stream("GET", path, {}, b"", sink, cancel, call)
        if result.outcome == NOT_RUN:
            # The run was started before, so a failure to connect now does not mean that
            # it has not run.
            return RunResult(UNKNOWN, result.detail, connection_failed=True)
        return result

    def versions(self) -> list[str]:
        """Returns the versions that the engine has loaded."""
        try:
            status, body = short_request(self._url, "GET", "/versions")
            loaded = json.loads(body) if status == 200 else []
        except (OSError, ValueError):
            return []
        if isinstance(loaded, dict):
            loaded = loaded.get("versions", [])
        return [str(version) for version in loaded]

    def order(self, op: str, version: str, fence: int) -> OrderResult:
        """Loads or unloads a version; returns after the engine has finished."""
        order = {"op": op, "version": version, "fence": fence}
        exchange = HttpExchange(self._url, read_timeout_s=ORDER_TIMEOUT_S)
        try:
            exchange.open()
            headers = {"Content-Type": "application/json"}
            body = json.dumps(order).encode()
            head = exchange.send("POST", "/orders", headers, body)
            detail = exchange.read_all().decode(errors="replace")
        except (Unreachable, OSError) as exc:
            return OrderResult(done=False, detail=f"{type(exc).__name__}: {exc}")
        finally:
            exchange.close()
        already_unloaded = op == "unload" and head.status == 404
        if head.status == 200 or already_unloaded:
            return OrderResult(done=True)
        return OrderResult(
            False, _retry_after_s(head), f"status {head.status}: {detail}"
        )

    def _stream(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        sink: ResponseSink,
        cancel: CancelToken,
        call: Call,
    ) -> RunResult:

        def stream(exchange: HttpExchange) -> RunResult:
            head = exchange.send(method, path, headers, body)
            # Only ``resume`` sends GET requests.
            if method == "GET" and head.status == 404:
                return RunResult(UNKNOWN, "the engine does not know the request")
            sink.head(head.status, _response_headers(head))
            if head.status != 200:
                sink.parts([exchange.read_all()])
                return RunResult(DONE if head.status < 500 else FAILED)
            return _forward_events(exchange, sink)

        result = perform(self._url, cancel, stream)
        if result.outcome == CANCELLED:
            self._cancel(call.request_id)
        return result

    def _cancel(self, request_id: str) -> None:
        with contextlib.suppress(OSError):
            short_request(self._url, "DELETE", f"/v1/streams/{request_id}")


def _engine_body(call: Call) -> bytes:
    """Returns the call's body, changed to request a stream from the call's version.

    The stream reports the token usage at its end.
    """
    document = json.loads(call.body)
    document["stream"] = True
    document["stream_options"] = {"include_usage": True}
    if call.version:
        document["model"] = f"{call.route}@{call.version}"
    return json.dumps(document).encode()


def _retry_after_s(head: ResponseHead) -> float:
    try:
        return max(0.0, float(head.get("Retry-After") or 0))
    except ValueError:
        return 0.0


def _response_headers(head: ResponseHead) -> dict[str, str]:
    return {"Content-Type": head.get("Content-Type", "application/json")}


def _forward_events(exchange: HttpExchange, sink: ResponseSink) -> RunResult:
    """Forwards stream events to the sink, up to the end marker."""
    for events in _event_batches(exchange):
        if events and events[-1] == END_OF_STREAM:
            if events[:-1]:
                sink.parts(events[:-1])
            return RunResult(DONE)
        if events:
            sink.parts(events)
    raise ConnectionError("the stream ended without its end marker")


def _event_batches(exchange: HttpExchange) -> Iterator[list[bytes]]:
    """Yields the complete events after each read, until the response ends."""
    pending = b""
    while data := exchange.read():
        *blocks, pending = (pending + data).split(b"\n\n")
        yield [
            block[len(EVENT_PREFIX) :]
            for block in blocks
            if block.startswith(EVENT_PREFIX)
        ]
