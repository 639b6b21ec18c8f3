"""Small HTTP server for tests whose responses come from a function."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

Response = tuple[int, Mapping[str, str], bytes] | None
Respond = Callable[[str, str, Mapping[str, str], bytes], Response]


@contextmanager
def serve(respond: Respond) -> Iterator[str]:
    """Runs a server and yields its URL.

    Args:
        respond: Called with method, path, headers and body of each request; returns
            status, headers and body, or None to close the connection.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _respond(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            response = respond(self.command, self.path, self.headers, body)
            if response is None:
                self.close_connection = True
                return
            status, headers, content = response
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            if status != 304:
                self.wfile.write(content)

        def log_message(self, *args: object) -> None:
            pass

    for method in ("GET", "PUT", "POST", "DELETE"):
        setattr(Handler, f"do_{method}", Handler._respond)
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_address[1]}"
    finally:
        server.shutdown()
        server.server_close()
        thread.join()
