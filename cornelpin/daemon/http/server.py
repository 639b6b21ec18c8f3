"""Serves HTTP: connections in an event loop of their own, handlers in threads."""

from __future__ import annotations

import asyncio
import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING

from loguru import logger

from cornelpin.daemon.http._errors import ProblemConnection
from cornelpin.daemon.http.threads import ThreadedApp
from cornelpin.daemon.process_limits import descriptor_limit
from cornelpin.http1.connections import Resources
from cornelpin.http1.listener import Listener, listening_socket
from cornelpin.http1.pacing import TurnGate
from cornelpin.http1.requests import Limits
from cornelpin.http1.server import RECEIVE_BUFFER_BYTES
from cornelpin.http1.shares import caller_connections, traffic_memory

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.http.messages import HttpRequest, HttpResponse
    from cornelpin.daemon.settings import LimitSettings
    from cornelpin.http1.connections import OpenConnections

HEADER_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 120.0
REPORT_S = 5.0
"""Least time between two log lines about a lack of memory or connections."""
FILE_DESCRIPTORS = 200
"""Descriptors that are not for sockets."""


def client_connections(limits: LimitSettings) -> OpenConnections:
    """Returns the connections that clients may have, by the limits of the process."""
    sockets = max(0, descriptor_limit(limits.max_fds) - FILE_DESCRIPTORS)
    return caller_connections(limits.memory_mb, sockets)


class HttpServer:
    """An HTTP server whose event loop runs in its own thread.

    Args:
        handle: Returns the response to a request; it is called in a thread.
        address: IP address to listen on.
        port: Port to listen on.
        threads: Number of requests that are handled at once.
        limits: Limits of the process.

    Attributes:
        resources: Memory and connections of its clients.
    """

    def __init__(
        self,
        handle: Callable[[HttpRequest], HttpResponse],
        *,
        address: str,
        port: int,
        threads: int,
        limits: LimitSettings,
    ) -> None:
        self._handle = handle
        self._threads = threads
        self._limits = Limits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self._sock = listening_socket(
            (address, port), receive_bytes=RECEIVE_BUFFER_BYTES
        )
        memory = traffic_memory(limits.memory_mb)
        callers = client_connections(limits)
        memory.make_room = callers.evict_stalled
        self.resources = Resources(memory, TurnGate(), callers)
        self._listening: Future[None] = Future()
        self._reported = (0, 0, 0)

    def start(self) -> None:
        """Starts serving; returns once connections are accepted.

        Raises:
            OSError: If the socket can't listen.
        """
        threading.Thread(target=self._run, name="http", daemon=True).start()
        self._listening.result()

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except Exception as exc:
            if self._listening.done():
                raise
            self._listening.set_exception(exc)

    async def _serve(self) -> None:
        app = ThreadedApp(self._handle, self._limits, threads=self._threads)
        listener = Listener(self._sock, lambda: ProblemConnection(app, self.resources))
        self._listening.set_result(None)
        try:
            while True:
                await asyncio.sleep(REPORT_S)
                self._report()
        finally:
            listener.close()

    def _report(self) -> None:
        """Logs refusals and closed connections since the last line, if any."""
        memory, conns = self.resources.memory, self.resources.connections
        reported = self._reported
        self._reported = memory.refused, conns.closed, conns.evicted
        if self._reported == reported:
            return
        refused, closed, evicted = (
            now - before for now, before in zip(self._reported, reported, strict=True)
        )
        logger.warning(
            "short of memory or connections: {} requests refused, {} connections "
            "closed for new ones, {} ended without progress; {} of {} bytes and {} of "
            "{} connections in use",
            refused,
            closed,
            evicted,
            memory.used,
            memory.limit,
            len(conns),
            conns.limit,
        )
