"""Runs granted requests on one backend server."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from loguru import logger

from cornelpin.backends import (
    CANCELLED,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Call,
    RunEnd,
)
from cornelpin.core.verdict import Reason
from cornelpin.daemon.messages import End, Grant
from cornelpin.daemon.runs import Run, RunTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.backends import Backend
    from cornelpin.core.events import EventRing
    from cornelpin.daemon.messages import Resume
    from cornelpin.daemon.peer import Peer

EXTRA_RUN_THREADS = 64


class Runner:
    """Starts runs in threads and keeps them until their answers are collected."""

    def __init__(
        self,
        backend: Backend,
        ring: EventRing,
        *,
        slots: int,
        on_end: Callable[[Run, RunEnd], None],
    ) -> None:
        self.runs = RunTable()
        self._backend = backend
        self._ring = ring
        self._on_end = on_end
        self._executor = ThreadPoolExecutor(
            slots + EXTRA_RUN_THREADS, thread_name_prefix="run"
        )

    def start(self, run: Run, release: Callable[[], None]) -> None:
        """Starts a granted request; ``release`` gives its slot back."""
        if not self.runs.add(run):
            release()
            return
        self._executor.submit(self._run, run, release)

    def resume(self, peer: Peer, msg: Resume) -> None:
        """Resumes a stream that an earlier process of this side started."""
        self._executor.submit(self._resume_at_engine, peer, msg)

    def _run(self, run: Run, release: Callable[[], None]) -> None:
        self._ring.record("run.started", request=run.request_id)
        try:
            end = self._backend.run(_call(run.grant), run, run.cancel)
        except Exception as exc:
            logger.exception("run {} failed", run.request_id)
            end = RunEnd(FAILED, f"{type(exc).__name__}: {exc}")
        finally:
            release()
        self._finish(run, end)

    def _finish(self, run: Run, end: RunEnd) -> None:
        self._ring.record(f"run.{end.outcome}", request=run.request_id)
        if end.outcome == NOT_RUN:
            run.refuse(Reason.NO_SERVER.value, end.detail)
            self.runs.forget(run.request_id)
            return
        run.end(end.outcome, end.detail)
        if end.outcome != CANCELLED:
            self._on_end(run, end)

    def _resume_at_engine(self, peer: Peer, msg: Resume) -> None:
        grant = _grant_of(msg)
        run = Run(grant, peer)
        run.begin_at(msg.offset)
        if not self.runs.add(run):
            peer.send(End(msg.request_id, msg.offset, FAILED, "resumed twice"))
            return
        self._ring.record("run.resumed-at-engine", request=msg.request_id)
        end = self._backend.resume(_call(grant), msg.offset, run, run.cancel)
        outcome = FAILED if end.outcome == UNKNOWN else end.outcome
        run.end(outcome, end.detail)


def _grant_of(msg: Resume) -> Grant:
    return Grant(
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
    )


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
