"""The side role: the only way to one backend server."""

from __future__ import annotations

import contextlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from cornelpin.backends import (
    CANCELLED,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Call,
    RunEnd,
    make_backend,
)
from cornelpin.core.reservations import Reservation, ReservationQueue, TierPolicy
from cornelpin.core.slots import SlotTable
from cornelpin.core.verdict import Reason
from cornelpin.daemon.listener import PeerListener
from cornelpin.daemon.messages import (
    Ask,
    Cancel,
    End,
    EventsAsk,
    Gone,
    Grant,
    Heartbeat,
    NotRun,
    Reserve,
    Resume,
    Withdraw,
)
from cornelpin.daemon.replies import answer_events
from cornelpin.daemon.runs import Run, RunTable
from cornelpin.daemon.side_moves import REPORT_S, SideMoves
from cornelpin.daemon.spread import ConfigSpread
from cornelpin.daemon.supervisor import every

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.config import Config
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

HEARTBEAT_S = 0.5
ASK_TIMEOUT_S = 2.0
SWEEP_S = 0.5
DRAIN_POLL_S = 0.05
FLUSH_TIMEOUT_S = 5.0
VERSIONS_S = 2.0
EXTRA_RUN_THREADS = 64
TOKEN_TIME_WEIGHT = 0.1


@attrs.define(eq=False)
class _Asked:
    """A slot held for a reservation whose entry was asked for it."""

    res: Reservation
    release: Callable[[], None]
    since: float


class Side:
    """Runs granted requests on one backend server and knows what runs there."""

    def __init__(self, process: Process) -> None:
        backend_cfg = process.settings.backend
        assert backend_cfg is not None
        self._process = process
        self._ring = process.ring
        self._server = backend_cfg.name
        self._backend = make_backend(backend_cfg.kind, url=backend_cfg.url)
        self._queue = ReservationQueue()
        self._slots = SlotTable(backend_cfg.slots)
        self._runs = RunTable()
        self._executor = ThreadPoolExecutor(
            backend_cfg.slots + EXTRA_RUN_THREADS, thread_name_prefix="run"
        )
        self._cond = threading.Condition()
        self._asked: dict[str, _Asked] = {}
        self._sessions: dict[str, Peer] = {}
        self._versions: list[str] = []
        self._token_s = 0.0
        self.spread = ConfigSpread(process, self._peers)
        self._moves = SideMoves(
            process,
            self._backend,
            self._executor,
            self._runs,
            self._peers,
            on_loaded=self._on_loaded,
        )
        process.view.on_change(self._on_config)

    def start(self) -> None:
        """Starts the listener and the periodic duties."""
        sup = self._process.supervisor
        settings = self._process.settings
        listener = PeerListener(
            self._process, settings.address, settings.peer_port, self._serve
        )
        sup.start("peer-listener", listener.run)
        sup.start("dispatch", self._dispatch_loop)
        sup.start("heartbeat", every(HEARTBEAT_S, self._heartbeat))
        sup.start("sweep", every(SWEEP_S, self._sweep))
        sup.start("versions", every(VERSIONS_S, self._poll_versions))
        sup.start("move-evidence", every(REPORT_S, self._moves.report))
        self._poll_versions()

    def leave(self) -> None:
        """Stops taking work; waiting reservations go back to their entries."""
        with self._cond:
            if self._process.leaving.is_set():
                return
            self._process.leaving.set()
            dropped = self._queue.drop(lambda res: True)
            self._cond.notify_all()
        self._ring.record("side.leaving", detail=f"{len(dropped)} handed back")
        logger.info("leaving; {} reservations handed back", len(dropped))
        self._refuse(dropped, Reason.LEAVING)
        self._heartbeat()

    def _come_back(self) -> None:
        if self._process.leaving.is_set():
            self._process.leaving.clear()
            self._ring.record("side.returned")
            logger.info("taking work again")
            self._heartbeat()

    def wait_idle(self) -> None:
        """Waits until every run has ended and its answer was sent."""
        while self._runs.running() or self._asked:
            time.sleep(DRAIN_POLL_S)
        for peer in self._peers():
            peer.flush(FLUSH_TIMEOUT_S)

    def _peers(self) -> list[Peer]:
        with self._cond:
            return list(self._sessions.values())

    def _on_config(self, config: Config) -> None:
        with self._cond:
            self._queue.tiers = {
                name: TierPolicy(
                    shed_order=tier.shed_order,
                    urgency=tier.urgency,
                    slot_share=tier.slot_share,
                )
                for name, tier in config.tiers.items()
            }
            self._queue.shares = {
                name: workspace.share for name, workspace in config.workspaces.items()
            }
            self._cond.notify_all()
        if self._process.host_leaving(config):
            self.leave()
        elif not self._process.stopping.is_set():
            self._come_back()

    # Sessions

    def _serve(self, peer: Peer) -> None:
        """Handles one entry's session until it ends."""
        self._open(peer)
        try:
            while True:
                self._handle(peer, peer.receive())
        finally:
            self._close(peer)

    def _open(self, peer: Peer) -> None:
        """Registers a session; an older one of the same entry is fenced first."""
        with self._cond:
            older = self._sessions.get(peer.name)
            self._sessions[peer.name] = peer
        if older is not None:
            older.close()
            self._detach(older)
        self._ring.record("session.opened", detail=peer.name)
        peer.send(self._state())
        self.spread.greet(peer)
        self._moves.view.greet(peer)

    def _close(self, peer: Peer) -> None:
        peer.close()
        with self._cond:
            if self._sessions.get(peer.name) is peer:
                del self._sessions[peer.name]
        self._detach(peer)
        self._ring.record("session.closed", detail=peer.name)

    def _detach(self, peer: Peer) -> None:
        with self._cond:
            self._queue.drop(lambda res: res.owner is peer)
            lost = [i for i, a in self._asked.items() if a.res.owner is peer]
            for request_id in lost:
                self._asked.pop(request_id).release()
            self._cond.notify_all()
        self._runs.detach(peer)

    def _handle(self, peer: Peer, msg: Any) -> None:
        match msg:
            case Reserve():
                self._on_reserve(peer, msg)
            case Grant():
                self._on_grant(peer, msg)
            case Gone():
                self._on_gone(msg.request_id)
            case Withdraw():
                self._on_withdraw(msg.request_id)
            case Cancel():
                self._on_cancel(msg.request_id)
            case Resume():
                self._on_resume(peer, msg)
            case EventsAsk():
                answer_events(self._ring, peer, msg)
            case Heartbeat():
                pass
            case _ if not self._moves.handle(peer, msg):
                self.spread.handle(peer, msg)

    # Reservations and grants

    def _on_reserve(self, peer: Peer, msg: Reserve) -> None:
        res = Reservation(
            request_id=msg.request_id,
            owner=peer,
            tier=msg.tier,
            workspace=msg.workspace,
            version=msg.version,
            cost=msg.cost,
            placed=time.monotonic(),
            wait_s=msg.wait_s,
            fingerprint=msg.fingerprint,
        )
        if self._process.leaving.is_set():
            self._refuse([res], Reason.LEAVING)
            return
        with self._cond:
            shed = self._queue.place(res)
            self._cond.notify_all()
        self._refuse(shed, Reason.SHED)

    def _on_grant(self, peer: Peer, grant: Grant) -> None:
        """Starts a run if this session may start it; otherwise says "not run"."""
        release = self._slot_for(peer, grant)
        if release is not None and self._moves.refuses(grant, self._versions):
            self._release(release)
            detail = f"version {grant.version} is not served here"
            peer.send(NotRun(grant.request_id, Reason.NO_SERVER.value, detail))
            return
        if release is None:
            reason = Reason.LEAVING if self._process.leaving.is_set() else Reason.SHED
            peer.send(NotRun(grant.request_id, reason.value, "no free slot"))
            return
        run = Run(grant, peer)
        if not self._runs.add(run):
            release()
            return
        self._executor.submit(self._run, run, release)

    def _slot_for(self, peer: Peer, grant: Grant) -> Callable[[], None] | None:
        with self._cond:
            asked = self._asked.pop(grant.request_id, None)
            current = self._sessions.get(peer.name) is peer
            if asked is not None and current:
                return asked.release
            if asked is not None:
                asked.release()
            if not grant.direct or not current or self._process.leaving.is_set():
                return None
            policy = self._queue.policy(grant.tier)
            if len(self._queue) or not self._slots.allows(
                grant.tier, policy.slot_share
            ):
                return None
            return self._slots.acquire(grant.tier)

    def _release(self, release: Callable[[], None]) -> None:
        with self._cond:
            release()
            self._cond.notify_all()

    def _on_gone(self, request_id: str) -> None:
        with self._cond:
            asked = self._asked.pop(request_id, None)
            if asked is not None:
                asked.release()
                self._cond.notify_all()

    def _on_withdraw(self, request_id: str) -> None:
        with self._cond:
            self._queue.withdraw(request_id)
        self._runs.forget(request_id)

    def _on_cancel(self, request_id: str) -> None:
        run = self._runs.find(request_id)
        if run is not None and run.ended is None:
            run.cancel.cancel()

    def _on_resume(self, peer: Peer, msg: Resume) -> None:
        run = self._runs.find(msg.request_id)
        if run is not None and run.attach(peer, msg.offset):
            self._ring.record("run.resumed", request=msg.request_id)
            return
        if msg.incarnation == self._process.incarnation:
            # The session that may have carried the grant is fenced, so a request
            # unknown here was never started and never will be.
            peer.send(NotRun(msg.request_id, Reason.SERVER_LOST.value, "never granted"))
            return
        self._executor.submit(self._resume_at_engine, peer, msg)

    def _resume_at_engine(self, peer: Peer, msg: Resume) -> None:
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
        )
        run = Run(grant, peer)
        run.begin_at(msg.offset)
        if not self._runs.add(run):
            peer.send(End(msg.request_id, msg.offset, FAILED, "resumed twice"))
            return
        self._ring.record("run.resumed-at-engine", request=msg.request_id)
        end = self._backend.resume(_call(grant), msg.offset, run, run.cancel)
        outcome = FAILED if end.outcome == UNKNOWN else end.outcome
        run.end(outcome, end.detail)

    def _refuse(self, reservations: list[Reservation], reason: Reason) -> None:
        for res in reservations:
            res.owner.send(NotRun(res.request_id, reason.value, ""))  # type: ignore[attr-defined]

    # Running

    def _dispatch_loop(self, stop: threading.Event) -> None:
        """Asks entries for the reservations that go first while slots are free."""
        while not stop.is_set():
            with self._cond:
                res = self._queue.take(self._startable)
                if res is None:
                    self._cond.wait(SWEEP_S)
                    continue
                release = self._slots.acquire(res.tier)
                self._asked[res.request_id] = _Asked(res, release, time.monotonic())
            res.owner.send(Ask(res.request_id))  # type: ignore[attr-defined]

    def _startable(self, res: Reservation) -> bool:
        policy = self._queue.policy(res.tier)
        return self._slots.allows(res.tier, policy.slot_share)

    def _run(self, run: Run, release: Callable[[], None]) -> None:
        """Runs one granted request to its end."""
        self._ring.record("run.started", request=run.request_id)
        try:
            end = self._backend.run(_call(run.grant), run, run.cancel)
        except Exception as exc:
            logger.exception("run {} failed", run.request_id)
            end = RunEnd(FAILED, f"{type(exc).__name__}: {exc}")
        finally:
            self._release(release)
        self._finish(run, end)

    def _finish(self, run: Run, end: RunEnd) -> None:
        self._ring.record(f"run.{end.outcome}", request=run.request_id)
        if end.outcome == NOT_RUN:
            run.refuse(Reason.NO_SERVER.value, end.detail)
            self._runs.forget(run.request_id)
            return
        run.end(end.outcome, end.detail)
        self._moves.observe(run, end)
        if end.outcome != CANCELLED:
            self._heartbeat_if_idle()

    # Duties

    def _state(self) -> Heartbeat:
        with self._cond:
            return Heartbeat(
                number=self._process.view.number,
                leaving=self._process.leaving.is_set(),
                slots=self._slots.total,
                free=self._slots.free,
                waiting=len(self._queue),
                versions=list(self._versions),
                token_s=self._token_s,
            )

    def _heartbeat(self) -> None:
        state = self._state()
        for peer in self._peers():
            peer.send(state)

    def _heartbeat_if_idle(self) -> None:
        if not len(self._queue):
            self._heartbeat()

    def _sweep(self) -> None:
        now = time.monotonic()
        with self._cond:
            expired = self._queue.expired()
            late = [i for i, a in self._asked.items() if now - a.since > ASK_TIMEOUT_S]
            for request_id in late:
                self._asked.pop(request_id).release()
            self._cond.notify_all()
        self._refuse(expired, Reason.SHED)
        self._runs.sweep(lambda run: run.cancel.cancel())

    def _poll_versions(self) -> None:
        with contextlib.suppress(OSError):
            self._versions = self._backend.versions()

    def _on_loaded(self) -> None:
        self._poll_versions()
        self._heartbeat()


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
