"""Problem documents for requests that waitress refuses by itself.

These are malformed or too large and never reach the application, so "not run" is
always true of them. An error of the application itself may have run.
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
    """Returns the problem document for an error that waitress found."""
    if code == PAYLOAD_TOO_LARGE:
        refusal = Refusal(Reason.TOO_LARGE, detail=detail)
    elif code == INTERNAL_ERROR:
        refusal = Refusal(Reason.BACKEND_FAILED, ExecutionStatus.MAY_HAVE_RUN, detail)
    else:
        refusal = Refusal(Reason.BAD_REQUEST, detail=detail)
    return problem(refusal)


class ProblemTask(ErrorTask):
    """Answers a refused request with a problem document and closes."""

    def execute(self) -> None:
        """Writes the response."""
        error = self.request.error
        resp = error_response(error.code, str(error.body))
        self.status = f"{error.code} {error.reason}"
        self.response_headers.extend(resp.headers.items())
        self.set_close_on_finish()
        body = b"".join(resp.chunks)
        self.content_length = len(body)
        self.write(body)


class ProblemChannel(HTTPChannel):
    """A connection whose refused requests get problem documents."""

    error_task_class = ProblemTask
