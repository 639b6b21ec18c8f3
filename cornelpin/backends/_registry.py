"""Registry of backend server drivers, filled by a decorator."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Protocol, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

DONE = "done"
FAILED = "failed"
CANCELLED = "cancelled"
NOT_RUN = "not_run"
UNKNOWN = "unknown"


@attrs.frozen
class Call:
    """One request to a backend server.

    Attributes:
        request_id: Id passed on as ``X-Request-Id``.
        route: Name of the route.
        version: Version of the route's model to use; empty for no particular one.
        method: HTTP method.
        path: Path and query.
        headers: Headers to pass on.
        body: Request body.
    """

    request_id: str
    route: str
    version: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class RunResult:
    """Result of a run.

    Attributes:
        outcome: What is known of the run:

            * ``done``: the response is complete; includes 4xx responses of an engine
              and every status of a plain service.
            * ``failed``: the request may have run; the response is an engine's 5xx
              or is incomplete.
            * ``cancelled``: the run was interrupted by its cancel token.
            * ``not_run``: the request never reached the backend server.
            * ``unknown``: only from ``resume``; the server does not know the run, keeps
              no responses or could not be reached.
        detail: Cause of a failure.
        connection_failed: Whether no connection was made, or it broke or brought a
            malformed reply, so the server may be down.
    """

    outcome: str
    detail: str = ""
    connection_failed: bool = False


@attrs.frozen
class OrderResult:
    """Result of an order to load or unload a version.

    Attributes:
        done: Whether the server executed the order.
        retry_after_s: Seconds after which the server asks for a retry, 0 if unknown.
        detail: Cause of a failure.
    """

    done: bool
    retry_after_s: float = 0.0
    detail: str = ""


class ResponseSink(Protocol):
    """Receives a response while it arrives."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Receives status and headers."""

    def parts(self, parts: list[bytes]) -> None:
        """Receives consecutive parts of the body."""


class CancelToken:
    """Lets another thread interrupt a run that is blocked on its connection."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._interrupt: Callable[[], None] | None = None
        self.cancelled = False

    def on_cancel(self, interrupt: Callable[[], None]) -> None:
        """Sets the function that interrupts the run; it is called at most once."""
        with self._lock:
            self._interrupt = interrupt
            already_cancelled = self.cancelled
        if already_cancelled:
            interrupt()

    def cancel(self) -> None:
        """Interrupts the run."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
            interrupt = self._interrupt
        if interrupt is not None:
            interrupt()


class Backend(Protocol):
    """Driver for one backend server."""

    def run(self, call: Call, sink: ResponseSink, cancel: CancelToken) -> RunResult:
        """Runs a request and passes its response to the sink."""

    def resume(
        self, call: Call, offset: int, sink: ResponseSink, cancel: CancelToken
    ) -> RunResult:
        """Passes on the rest of a response whose run an earlier process started.

        Args:
            call: The request.
            offset: Number of parts of the response that were passed on before.
            sink: Receives the rest of the response.
            cancel: Interrupts the run.
        """

    def versions(self) -> list[str]:
        """Returns the loaded versions; empty if the server is unreachable."""

    def order(self, op: str, version: str, fence: int) -> OrderResult:
        """Loads or unloads a version; returns after the server has finished.

        Args:
            op: ``load`` or ``unload``.
            version: The version.
            fence: Fencing token; a server that checks it rejects an order whose token
                is below the highest that it has received.
        """


B = TypeVar("B")

_drivers: dict[str, Callable[..., Backend]] = {}


def backend(kind: str) -> Callable[[type[B]], type[B]]:
    """Registers a driver class for a kind of backend server."""

    def register(cls: type[B]) -> type[B]:
        _drivers[kind] = cls  # type: ignore[assignment]
        return cls

    return register


def make_backend(kind: str, *, url: str) -> Backend:
    """Creates the driver for a kind of backend server.

    Raises:
        ValueError: If no driver is registered for the kind.
    """
    if kind not in _drivers:
        valid = ", ".join(sorted(_drivers))
        raise ValueError(f"unknown backend kind {kind!r}; valid: {valid}")
    return _drivers[kind](url=url)
