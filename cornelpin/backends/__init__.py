"""Drivers for backend servers: model engines and plain services."""

from __future__ import annotations

from cornelpin.backends import _engine, _service  # noqa: F401
from cornelpin.backends._registry import (
    CANCELLED,
    DONE,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Backend,
    Call,
    CancelToken,
    OrderResult,
    ResponseSink,
    RunResult,
    backend,
    make_backend,
)

__all__ = [
    "CANCELLED",
    "DONE",
    "FAILED",
    "NOT_RUN",
    "UNKNOWN",
    "Backend",
    "Call",
    "CancelToken",
    "OrderResult",
    "ResponseSink",
    "RunResult",
    "backend",
    "make_backend",
]
