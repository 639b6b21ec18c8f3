"""A small HTTP server for tests, answering by a function."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

Answer = tuple[int, Mapping[str, str], bytes] | None
Respond = Callable[[str, str, Mapping[str, str], bytes], Answer]


@contextmanager
def serve(respond: Respond) -> Iterator[str]:
    """Serves respond(method, path, headers, body); None drops the connection."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _answer(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            answer = respond(self.command, self.path, self.headers, body)
            if answer is None:
                self.close_connection = True
                return
            status, headers, content = answer
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
        setattr(Handler, f"do_{method}", Handler._answer)
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
