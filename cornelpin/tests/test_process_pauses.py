"""Responses that arrive while the process of an entry is paused."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

import pytest

from cornelpin.gateway.attempts import MIN_SAMPLES
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import route, run_harness, until
from standins.fleet.raw_http import format_response

ANSWER_S = 0.1
"""Duration of a run."""
PAUSE_S = 2.3
"""Longer than the idle time-out of a response's head and of a gap between events."""
LONG = {"Deadline-Ms": "6000"}


class ThreadedServer:
    """A backend server that runs on while the event loop is blocked.

    Args:
        stream: Whether it sends its responses in two parts, ``ANSWER_S`` apart.

    Attributes:
        runs: Number of requests received.
        started: Set when a request has been received and the first part of a streamed
            response sent.
    """

    def __init__(self, *, stream: bool) -> None:
        self._stream = stream
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.runs = 0
        self.started = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def address(self) -> str:
        """Address as registered in the store."""
        ip, port = self._listener.getsockname()
        return f"{ip}:{port}"

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve_one, args=(conn,), daemon=True).start()

    def _serve_one(self, conn: socket.socket) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            data = conn.recv(65_536)
            if not data:
                return
            received += data
        self.runs += 1
        lines = received.decode("latin-1").split("\r\n")
        request_id = next(
            line.partition(":")[2].strip()
            for line in lines
            if line.lower().startswith("request-id:")
        )
        headers = {
            "Request-Id": request_id,
            "Response-Seal": "i-thread.1",
            "Connection": "close",
        }
        if self._stream:
            headers["Content-Type"] = "text/event-stream"
        body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        whole = format_response(200, headers, body)
        cut = len(whole) - len(body) // 2 if self._stream else 0
        conn.sendall(whole[:cut])
        self.started.set()
        time.sleep(ANSWER_S)
        conn.sendall(whole[cut:])
        conn.close()


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
def test_response_that_arrived_during_a_pause_is_delivered(path: str) -> None:
    """Guards against time-outs that discard a response already received.

    A paused host wakes with the response in its socket and the time-out in the past.
    """
    server = ThreadedServer(stream=path.startswith("/stream/"))

    async def scenario() -> None:
        routes = [
            route("/safe/", "safe", timeout_ms=6_000),
            route(
                "/stream/", "stream", timeout_ms=6_000, resumable=True, max_attempts=2
            ),
        ]
        async with run_harness(servers=0, routes=routes) as harness:
            spec = {
                "service": "app",
                "address": server.address,
                "zone": "here",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "born": 0,
                "cold_left_ms": 0,
                "seq": 1,
            }
            harness.store.put("servers", "i-thread", spec)
            (entry,) = harness.entries
            await until(
                lambda: bool(entry.state.servers.all(asyncio.get_running_loop().time()))
            )
            address = entry._settings.callers
            # Idle time-outs apply only to servers of known speed.
            for _ in range(MIN_SAMPLES):
                assert (await fetch(address, path, headers=LONG)).status == 200
            server.started.clear()

            async def pause() -> None:
                while not server.started.is_set():
                    await asyncio.sleep(0.001)
                await asyncio.sleep(0.03)
                time.sleep(PAUSE_S)  # noqa: ASYNC251

            _, response = await asyncio.gather(
                pause(), fetch(address, path, headers=LONG)
            )
            assert response.status == 200
            assert server.runs == MIN_SAMPLES + 1

    try:
        asyncio.run(scenario())
    finally:
        server.close()
