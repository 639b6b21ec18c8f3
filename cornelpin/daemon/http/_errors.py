"""Problem documents for errors that waitress reports itself.

Malformed and oversized requests never reach the application, so they have certainly
not run. After an internal error of the application, a request may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waitress.channel import HTTPChannel
from waitress.task import ErrorTask

from cornelpin.core.execution import ExecutionStatus, Reason, Refusal
from cornelpin.daemon.http.wsgi import problem

if TYPE_CHECKING:
    from cornelpin.daemon.http.wsgi import HttpResponse

PAYLOAD_TOO_LARGE = 413
INTERNAL_ERROR = 500


def error_response(code: int, detail: str) -> HttpResponse:
    """Returns the problem document for an error reported by waitress."""
    if code == PAYLOAD_TOO_LARGE:
        refusal = Refusal(Reason.TOO_LARGE, detail=detail)
    elif code == INTERNAL_ERROR:
        refusal = Refusal(Reason.BACKEND_FAILED, ExecutionStatus.MAY_HAVE_RUN, detail)
    else:
        refusal = Refusal(Reason.BAD_REQUEST, detail=detail)
    return problem(refusal)


class ProblemTask(ErrorTask):
    """Sends a problem document for a rejected request and closes the connection."""

    def execute(self) -> None:
        """Writes the response."""
        error = self.request.error
        resp = error_response(error.code, str(error.body))
        # The status line has waitress' code; the document's `status` is that of its
        # reason, which differs for an internal error (500, 502 in the document).
        self.status = f"{error.code} {error.reason}"
        self.response_headers.extend(resp.headers.items())
        self.set_close_on_finish()
        body = b"".join(resp.chunks)
        self.content_length = len(body)
        self.write(body)


class ProblemChannel(HTTPChannel):
    """A connection that sends problem documents for rejected requests."""

    error_task_class = ProblemTask
