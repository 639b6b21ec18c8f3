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
        version: Backend server version to use, or an empty string.
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
    """How a run ended.

    Attributes:
        outcome: ``done``, ``failed``, ``cancelled``, ``not_run`` (surely never
            reached the backend server) or ``unknown`` (nothing to resume).
        detail: What went wrong.
        unreachable: Whether the backend server seems to have died.
    """

    outcome: str
    detail: str = ""
    unreachable: bool = False


@attrs.frozen
class OrderResult:
    """What became of an order to a backend server.

    Attributes:
        done: Whether it was carried out.
        retry_after_s: When the server asks to be tried again, 0 if it does not say.
        detail: What went wrong.
    """

    done: bool
    retry_after_s: float = 0.0
    detail: str = ""


class ResponseSink(Protocol):
    """Takes an answer as it arrives."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Takes status and headers."""

    def parts(self, parts: list[bytes]) -> None:
        """Takes consecutive body parts."""


class CancelToken:
    """Lets another task interrupt a run that is blocked on its connection."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._interrupt: Callable[[], None] | None = None
        self.cancelled = False

    def on_cancel(self, interrupt: Callable[[], None]) -> None:
        """Sets the function that interrupts the run; called at most once."""
        with self._lock:
            self._interrupt = interrupt
            now = self.cancelled
        if now:
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
    """Driver of one backend server."""

    def run(self, call: Call, sink: ResponseSink, cancel: CancelToken) -> RunResult:
        """Runs a request and passes its answer to the sink."""

    def resume(
        self, call: Call, offset: int, sink: ResponseSink, cancel: CancelToken
    ) -> RunResult:
        """Passes the rest of an answer that an earlier process started."""

    def versions(self) -> list[str]:
        """Returns the versions loaded; empty if the server is unreachable."""

    def order(self, op: str, version: str, fence: int) -> OrderResult:
        """Loads or unloads a version; returns when that is done."""


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
