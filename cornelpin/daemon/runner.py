"""Executes granted requests on one backend server."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cornelpin.backends import (
    CANCELLED,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Call,
    RunResult,
)
from cornelpin.core.execution import Reason
from cornelpin.daemon.messages import Grant
from cornelpin.daemon.runs import Run, RunTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.backends import Backend, CancelToken
    from cornelpin.core.events import EventRing
    from cornelpin.daemon.messages import Resume
    from cornelpin.daemon.peer import Peer

# Resumed runs may exceed the number of slots.
EXTRA_RUN_THREADS = 64


class Runner:
    """Executes runs in threads; keeps them until their responses are collected.

    Args:
        backend: The backend server.
        ring: Records the events of the runs.
        slots: Number of slots of the backend server.
        on_end: Called after a run has ended unless it was cancelled or not run.
        before_end: Called before a run is marked as ended.
    """

    def __init__(
        self,
        backend: Backend,
        ring: EventRing,
        *,
        slots: int,
        on_end: Callable[[Run, RunResult], None],
        before_end: Callable[[Run, RunResult], None] = lambda run, result: None,
    ) -> None:
        self.runs = RunTable()
        self._backend = backend
        self._ring = ring
        self._on_end = on_end
        self.before_end = before_end
        self._executor = ThreadPoolExecutor(
            slots + EXTRA_RUN_THREADS, thread_name_prefix="run"
        )

    def start(self, run: Run, release: Callable[[], None]) -> None:
        """Starts a granted request; calls ``release`` once its slot is free."""
        self._executor.submit(self._run, run, release, self._backend.run)

    def resume(self, run: Run, offset: int, release: Callable[[], None]) -> None:
        """Resumes a stream that an earlier process of this side started."""

        # A run that the server does not know may have run: entries see it as failed.
        def resume(call: Call, sink: Run, cancel: CancelToken) -> RunResult:
            result = self._backend.resume(call, offset, sink, cancel)
            return (
                attrs.evolve(result, outcome=FAILED)
                if result.outcome == UNKNOWN
                else result
            )

        self._executor.submit(self._run, run, release, resume)

    def _run(
        self,
        run: Run,
        release: Callable[[], None],
        action: Callable[[Call, Run, CancelToken], RunResult],
    ) -> None:
        self._ring.record("run.started", request=run.request_id)
        try:
            result = action(_call(run.grant), run, run.cancel)
        except Exception as exc:
            logger.exception("run {} failed", run.request_id)
            result = RunResult(FAILED, f"{type(exc).__name__}: {exc}")
        try:
            self.before_end(run, result)
        finally:
            release()
        self._finish(run, result)

    def _finish(self, run: Run, result: RunResult) -> None:
        self._ring.record(f"run.{result.outcome}", request=run.request_id)
        if result.outcome == NOT_RUN:
            self.runs.remove_refused(run)
            run.refuse(Reason.NO_SERVER.value, result.detail)
            return
        run.end(result.outcome, result.detail)
        if result.outcome != CANCELLED:
            self._on_end(run, result)


def resumed_run(msg: Resume, peer: Peer) -> Run:
    """Builds the run of a request that an earlier process of this side started.

    A Resume does not carry the rest of the grant: tier, workspace, cost and content
    digest stay empty, and the slot is counted for no tier.
    """
    grant = Grant(
        request_id=msg.request_id,
        direct=False,
        route=msg.route,
        version=msg.version,
        tier="",
        workspace="",
        cost=0,
        method="GET",
        path=msg.path,
        headers={},
        body=b"",
        fingerprint="",
        keep=False,
        attempt=msg.attempt,
    )
    run = Run(grant, peer)
    run.set_first_offset(msg.offset)
    return run


def _call(grant: Grant) -> Call:
    return Call(
        request_id=grant.request_id,
        route=grant.route,
        version=grant.version,
        method=grant.method,
        path=grant.path,
        headers=grant.headers,
        body=grant.body,
    )
