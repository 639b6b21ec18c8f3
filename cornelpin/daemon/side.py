"""The side role: the only way to one backend server."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from cornelpin.backends import make_backend
from cornelpin.core.reservations import Reservation, TierPolicy
from cornelpin.core.verdict import Reason
from cornelpin.daemon.admission import Admission
from cornelpin.daemon.listener import PeerListener
from cornelpin.daemon.messages import (
    Ask,
    Cancel,
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
from cornelpin.daemon.runner import Runner
from cornelpin.daemon.runs import Run
from cornelpin.daemon.side_moves import REPORT_S, SideMoves
from cornelpin.daemon.spread import ConfigSpread
from cornelpin.daemon.supervisor import every

if TYPE_CHECKING:
    from cornelpin.backends import RunEnd
    from cornelpin.core.config import Config
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

HEARTBEAT_S = 0.5
SWEEP_S = 0.5
DRAIN_POLL_S = 0.05
FLUSH_TIMEOUT_S = 5.0
VERSIONS_S = 2.0


class Side:
    """Runs granted requests on one backend server and knows what runs there."""

    def __init__(self, process: Process) -> None:
        backend_cfg = process.settings.backend
        assert backend_cfg is not None
        self._process = process
        self._ring = process.ring
        self._server = backend_cfg.name
        self._backend = make_backend(backend_cfg.kind, url=backend_cfg.url)
        self._admission = Admission(backend_cfg.slots)
        self._runner = Runner(
            self._backend,
            self._ring,
            slots=backend_cfg.slots,
            on_end=self._on_end,
        )
        self._runs = self._runner.runs
        self._versions: list[str] = []
        self._token_s = 0.0
        self.spread = ConfigSpread(process, self._admission.peers)
        self._moves = SideMoves(
            process,
            self._backend,
            self._runs,
            self._admission.peers,
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
        if self._process.leaving.is_set():
            return
        self._process.leaving.set()
        dropped = self._admission.stop()
        self._ring.record("side.leaving", detail=f"{len(dropped)} handed back")
        logger.info("leaving; {} reservations handed back", len(dropped))
        self._refuse(dropped, Reason.LEAVING)
        self._heartbeat()

    def _come_back(self) -> None:
        if self._process.leaving.is_set():
            self._process.leaving.clear()
            self._admission.restart()
            self._ring.record("side.returned")
            logger.info("taking work again")
            self._heartbeat()

    def wait_idle(self) -> None:
        """Waits until every run has ended and its answer was sent."""
        while self._runs.running() or self._admission.asked:
            time.sleep(DRAIN_POLL_S)
        for peer in self._admission.peers():
            peer.flush(FLUSH_TIMEOUT_S)

    def _on_config(self, config: Config) -> None:
        tiers = {
            name: TierPolicy(
                shed_order=tier.shed_order,
                urgency=tier.urgency,
                slot_share=tier.slot_share,
            )
            for name, tier in config.tiers.items()
        }
        shares = {name: cfg.share for name, cfg in config.workspaces.items()}
        self._admission.set_policies(tiers, shares)
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
        older = self._admission.open(peer)
        if older is not None:
            older.close()
            self._detach(older)
        self._ring.record("session.opened", detail=peer.name)
        peer.send(self._state())
        self.spread.greet(peer)
        self._moves.view.greet(peer)

    def _close(self, peer: Peer) -> None:
        peer.close()
        self._admission.close(peer)
        self._detach(peer)
        self._ring.record("session.closed", detail=peer.name)

    def _detach(self, peer: Peer) -> None:
        self._admission.detach(peer)
        self._runs.detach(peer)

    def _handle(self, peer: Peer, msg: Any) -> None:
        match msg:
            case Reserve():
                self._on_reserve(peer, msg)
            case Grant():
                self._on_grant(peer, msg)
            case Gone():
                self._admission.gone(msg.request_id)
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
        shed = self._admission.reserve(res)
        self._refuse(shed, Reason.SHED)

    def _on_grant(self, peer: Peer, grant: Grant) -> None:
        """Starts a run if this session may start it; otherwise says "not run"."""
        release = self._admission.slot_for(peer, grant)
        if release is None:
            reason = Reason.LEAVING if self._process.leaving.is_set() else Reason.SHED
            peer.send(NotRun(grant.request_id, reason.value, "no free slot"))
            return
        if self._moves.refuses(grant, self._versions):
            release()
            detail = f"version {grant.version} is not served here"
            peer.send(NotRun(grant.request_id, Reason.NO_SERVER.value, detail))
            return
        self._runner.start(Run(grant, peer), release)

    def _on_withdraw(self, request_id: str) -> None:
        self._admission.withdraw(request_id)
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
        self._runner.resume(peer, msg)

    def _refuse(self, reservations: list[Reservation], reason: Reason) -> None:
        for res in reservations:
            res.owner.send(NotRun(res.request_id, reason.value, ""))  # type: ignore[attr-defined]

    def _dispatch_loop(self, stop: threading.Event) -> None:
        """Asks entries for the reservations that go first while slots are free."""
        while not stop.is_set():
            res = self._admission.next_asked(SWEEP_S)
            if res is not None:
                res.owner.send(Ask(res.request_id))  # type: ignore[attr-defined]

    # Duties

    def _state(self) -> Heartbeat:
        slots = self._admission.slots
        return Heartbeat(
            number=self._process.view.number,
            leaving=self._process.leaving.is_set(),
            slots=slots.total,
            free=slots.free,
            waiting=len(self._admission),
            versions=list(self._versions),
            token_s=self._token_s,
        )

    def _heartbeat(self) -> None:
        state = self._state()
        for peer in self._admission.peers():
            peer.send(state)

    def _on_end(self, run: Run, end: RunEnd) -> None:
        self._moves.observe(run, end)
        self._heartbeat_if_idle()

    def _heartbeat_if_idle(self) -> None:
        if not len(self._admission):
            self._heartbeat()

    def _sweep(self) -> None:
        expired = self._admission.sweep()
        self._refuse(expired, Reason.SHED)
        self._runs.sweep(lambda run: run.cancel.cancel())

    def _poll_versions(self) -> None:
        with contextlib.suppress(OSError):
            self._versions = self._backend.versions()

    def _on_loaded(self) -> None:
        self._poll_versions()
        self._heartbeat()
