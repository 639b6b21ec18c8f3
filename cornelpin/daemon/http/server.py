"""Serves a WSGI application with waitress."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from waitress.server import create_server

from cornelpin.daemon.http._errors import ProblemChannel

if TYPE_CHECKING:
    from collections.abc import Callable

OUTBUF_BYTES = 1024 * 1024
CHANNEL_TIMEOUT_S = 120
CLEANUP_S = 10
MAX_CONNECTIONS = 4000
BACKLOG = 1024
LOOK_AHEAD = 5
MIB = 1024 * 1024


class HttpServer:
    """A waitress server whose loop runs in a task of its own."""

    def __init__(
        self,
        app: Callable[..., Any],
        *,
        address: str,
        port: int,
        threads: int,
        max_body_bytes: int = MIB,
        header_bytes: int = 64 * 1024,
    ) -> None:
        self._server = create_server(
            app,
            host=address,
            port=port,
            threads=threads,
            ident="cornelpin",
            # Stream events must leave at once, not when a buffer is full.
            send_bytes=1,
            outbuf_high_watermark=OUTBUF_BYTES,
            max_request_body_size=max_body_bytes,
            max_request_header_size=header_bytes,
            connection_limit=MAX_CONNECTIONS,
            backlog=BACKLOG,
            channel_timeout=CHANNEL_TIMEOUT_S,
            cleanup_interval=CLEANUP_S,
            # Needed to notice callers that go away while they wait.
            channel_request_lookahead=LOOK_AHEAD,
            asyncore_use_poll=True,
        )
        self._server.channel_class = ProblemChannel

    def start(self) -> None:
        """Starts serving."""
        threading.Thread(target=self._server.run, name="http", daemon=True).start()

    def stop(self) -> None:
        """Closes the listening socket."""
        self._server.close()
