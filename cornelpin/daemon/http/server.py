"""Serves a WSGI application with waitress."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from waitress.server import create_server

from cornelpin.daemon.http._errors import ProblemChannel

if TYPE_CHECKING:
    from collections.abc import Callable

OUTPUT_BUFFER_BYTES = 1024 * 1024
# An idle connection is closed after this time; checked at the cleanup interval.
CHANNEL_TIMEOUT_S = 120
CLEANUP_INTERVAL_S = 10
MAX_CONNECTIONS = 4000
BACKLOG = 1024
REQUEST_LOOKAHEAD = 5
MIB = 1024 * 1024


class HttpServer:
    """A waitress server whose loop runs in its own thread."""

    def __init__(
        self,
        app: Callable[..., Any],
        *,
        address: str,
        port: int,
        threads: int,
        max_body_bytes: int = MIB,
        max_header_bytes: int = 64 * 1024,
    ) -> None:
        self._server = create_server(
            app,
            host=address,
            port=port,
            threads=threads,
            ident="cornelpin",
            # Sends stream events at once instead of waiting for a full buffer.
            send_bytes=1,
            outbuf_high_watermark=OUTPUT_BUFFER_BYTES,
            max_request_body_size=max_body_bytes,
            max_request_header_size=max_header_bytes,
            connection_limit=MAX_CONNECTIONS,
            backlog=BACKLOG,
            channel_timeout=CHANNEL_TIMEOUT_S,
            cleanup_interval=CLEANUP_INTERVAL_S,
            # Lets waitress detect clients that disconnect while their request runs.
            channel_request_lookahead=REQUEST_LOOKAHEAD,
            asyncore_use_poll=True,
        )
        self._server.channel_class = ProblemChannel

    def start(self) -> None:
        """Starts serving."""
        threading.Thread(target=self._server.run, name="http", daemon=True).start()

    def stop(self) -> None:
        """Closes the listening socket."""
        self._server.close()
