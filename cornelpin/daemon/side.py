"""The side role: the only process through which one backend server is used."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from cornelpin.backends import DONE, FAILED, make_backend
from cornelpin.core.execution import Reason
from cornelpin.core.reservations import Reservation, TierPolicy
from cornelpin.daemon.admission import Admission, Duplicate, Refused, Started
from cornelpin.daemon.announcer import TICK_S, Announcer
from cornelpin.daemon.config_sync import REPAIR_INTERVAL_S, ConfigSync
from cornelpin.daemon.crash_detector import CrashDetector
from cornelpin.daemon.host_messages import HostNotice
from cornelpin.daemon.inter_token_time import InterTokenTime
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
from cornelpin.daemon.replies import reply_with_events
from cornelpin.daemon.runner import Runner, resumed_run
from cornelpin.daemon.side_moves import REPORT_INTERVAL_S, SideMoves
from cornelpin.daemon.supervisor import every
from cornelpin.daemon.suspicion_sync import SuspicionSync

if TYPE_CHECKING:
    from cornelpin.backends import RunResult
    from cornelpin.core.config import Config
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.runs import Run

SWEEP_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05
FLUSH_TIMEOUT_S = 5.0
# Interval at which the versions loaded by the backend server are polled.
VERSIONS_INTERVAL_S = 2.0


class Side:
    """Runs granted requests on one backend server and tracks what runs there."""

    def __init__(self, process: Process) -> None:
        backend_cfg = process.settings.backend
        assert backend_cfg is not None
        self._process = process
        self._ring = process.ring
        self._server = backend_cfg.name
        self._backend = make_backend(backend_cfg.kind, url=backend_cfg.url)
        self._runner = Runner(
            self._backend,
            self._ring,
            slots=backend_cfg.slots,
            on_end=self._on_end,
        )
        self._runs = self._runner.runs
        self._suspicions = SuspicionSync(process, self._peers)
        self._admission = Admission(backend_cfg.slots, self._runs, self._suspicions)
        self._crashes = CrashDetector(backend_cfg.url, self._runs, self._suspicions)
        self._runner.before_end = self._before_end
        self._versions: list[str] = []
        self._inter_token_time = InterTokenTime()
        self._host_notice_stamp = 0
        self._announcer = Announcer(self._state, self._admission.peers)
        self.config_sync = ConfigSync(process, self._admission.peers)
        self._moves = SideMoves(
            process,
            self._backend,
            self._runs,
            self._admission.peers,
            on_loaded=self._on_loaded,
        )
        process.view.on_change(self._on_config)

    def start(self) -> None:
        """Starts the listener and the periodic tasks."""
        sup = self._process.supervisor
        settings = self._process.settings
        listener = PeerListener(
            self._process, settings.address, settings.peer_port, self._serve
        )
        sup.start("dispatch", self._dispatch_loop)
        for name, child in {
            "peer-listener": listener.run,
            "config-repair": every(REPAIR_INTERVAL_S, self.config_sync.repair),
            "announcer": every(TICK_S, self._announcer.tick),
            "sweep": every(SWEEP_INTERVAL_S, self._sweep),
            "versions": every(VERSIONS_INTERVAL_S, self._poll_versions),
            "move-evidence": every(REPORT_INTERVAL_S, self._moves.report),
        }.items():
            sup.start(name, self._process.control_cost.metered(child))
        self._poll_versions()

    def drain(self) -> None:
        """Stops accepting requests and refuses the queued reservations."""
        if self._process.draining.is_set():
            return
        self._process.draining.set()
        dropped = self._admission.stop()
        self._ring.record(
            "side.leaving", detail=f"{len(dropped)} queued reservations refused"
        )
        logger.info("draining; {} queued reservations refused", len(dropped))
        self._refuse(dropped, Reason.LEAVING)
        self._announcer.announce()

    def _stop_draining(self) -> None:
        if self._process.draining.is_set():
            self._process.draining.clear()
            self._admission.reopen()
            self._ring.record("side.returned")
            logger.info("no longer draining; accepting requests")
            self._announcer.announce()

    def wait_idle(self) -> None:
        """Waits until every run has ended and its response has been sent."""
        while self._runs.running() or self._admission.pending_asks:
            time.sleep(DRAIN_POLL_S)
        for peer in self._admission.peers():
            peer.flush(FLUSH_TIMEOUT_S)

    def _on_config(self, config: Config) -> None:
        tiers = {
            name: TierPolicy(
                shed_order=tier.shed_order,
                urgency=tier.urgency,
                slot_share=tier.slot_share,
                queue_share=tier.queue_share,
            )
            for name, tier in config.tiers.items()
        }
        shares = {name: cfg.share for name, cfg in config.workspaces.items()}
        self._admission.set_policies(tiers, shares)
        if self._process.is_host_draining(config) or self._is_removed(config):
            self.drain()
        elif not self._process.stopping.is_set():
            self._stop_draining()
        if not self._process.config_current.is_set():
            # Entries place nothing here before this side announces a number.
            self._process.config_current.set()
            self._announcer.announce()

    def _is_removed(self, config: Config) -> bool:
        """Whether the configuration does not contain the backend server."""
        return self._server not in config.backend_servers

    def _on_host_notice(self, msg: HostNotice) -> None:
        """Applies this host's state in the host list; older notices are ignored."""
        if msg.stamp <= self._host_notice_stamp:
            return
        self._host_notice_stamp = msg.stamp
        if msg.leaving != self._process.listed_draining:
            self._process.listed_draining = msg.leaving
            self._on_config(self._process.view.config)

    # Sessions

    def _serve(self, peer: Peer) -> None:
        """Serves one entry's session until it ends."""
        self._open(peer)
        try:
            while True:
                self._handle(peer, peer.receive())
        finally:
            self._close(peer)

    def _open(self, peer: Peer) -> None:
        """Registers a session after closing an older one of the same entry."""
        older = self._admission.open(peer)
        if older is not None:
            older.close()
            self._detach(older)
        self._ring.record("session.opened", detail=peer.name)
        peer.send(self._state())
        self.config_sync.on_peer_opened(peer)
        self._moves.view.send_initial_state(peer)
        self._suspicions.send_initial_state(peer)

    def _close(self, peer: Peer) -> None:
        peer.close()
        self._admission.close(peer)
        self._detach(peer)
        self.config_sync.on_peer_closed(peer)
        self._ring.record("session.closed", detail=peer.name)

    def _detach(self, peer: Peer) -> None:
        """Drops what an ended session holds here.

        These are its queued reservations and the slots held for it; its runs continue
        and can be resumed on a new session.
        """
        self._admission.drop_reservations(peer)
        self._runs.detach(peer)

    def _handle(self, peer: Peer, msg: Any) -> None:
        match msg:
            case Reserve():
                self._on_reserve(peer, msg)
            case Grant():
                self._on_grant(peer, msg)
            case Gone():
                self._admission.release_pending(peer, msg.request_id)
            case Withdraw():
                self._on_withdraw(peer, msg.request_id)
            case Cancel():
                self._on_cancel(msg)
            case Resume():
                self._on_resume(peer, msg)
            case _:
                self._handle_control(peer, msg)

    def _handle_control(self, peer: Peer, msg: Any) -> None:
        match msg:
            case HostNotice():
                self._on_host_notice(msg)
            case EventsAsk():
                reply_with_events(self._ring, peer, msg)
            case Heartbeat():
                peer.send(self._state())
                self.config_sync.on_announced(peer, msg.number)
            # Each of these handlers returns whether the message was one of its own.
            case _ if not self._suspicions.handle(msg) and not self._moves.handle(
                peer, msg
            ):
                self.config_sync.handle(peer, msg)

    # Reservations and grants

    def _on_reserve(self, peer: Peer, msg: Reserve) -> None:
        res = Reservation(
            request_id=msg.request_id,
            owner=peer,
            tier=msg.tier,
            workspace=msg.workspace,
            version=msg.version,
            cost=msg.cost,
            placed_at=time.monotonic() - msg.waited_s,
            wait_s=msg.waited_s + msg.wait_s,
            fingerprint=msg.fingerprint,
            rank=msg.rank,
        )
        shed = self._admission.reserve(res)
        draining = self._process.draining.is_set()
        self._refuse(shed, Reason.LEAVING if draining else Reason.SHED)

    def _on_grant(self, peer: Peer, grant: Grant) -> None:
        """Starts a run, or replies ``NotRun``; a known grant is ignored."""
        if self._moves.refuses(grant, self._versions):
            self._admission.release_pending(peer, grant.request_id)
            detail = f"version {grant.version} is not served here"
            self._refuse_grant(peer, grant, Reason.NO_SERVER, detail)
            return
        if self._suspicions.is_quarantined(grant.fingerprint):
            self._admission.release_pending(peer, grant.request_id)
            self._refuse_grant(peer, grant, Reason.QUARANTINED, "crashes servers")
            return
        match self._admission.start(peer, grant):
            case Started(run, release):
                self._runner.start(run, release)
            case Refused():
                draining = self._process.draining.is_set()
                reason = Reason.LEAVING if draining else Reason.SHED
                self._refuse_grant(peer, grant, reason, "no free slot")

    def _refuse_grant(
        self, peer: Peer, grant: Grant, reason: Reason, detail: str
    ) -> None:
        peer.send(NotRun(grant.request_id, reason.value, detail, grant.attempt))
        # The entry decided on an outdated state.
        self._announcer.send_state(self._state(), peer.send)

    def _on_withdraw(self, peer: Peer, request_id: str) -> None:
        self._admission.withdraw(peer, request_id)
        self._runs.forget(request_id)

    def _on_cancel(self, msg: Cancel) -> None:
        run = self._runs.find(msg.request_id)
        if run is not None and run.ended_at is None and run.attempt == msg.attempt:
            run.cancel.cancel()

    def _on_resume(self, peer: Peer, msg: Resume) -> None:
        run = self._runs.find(msg.request_id)
        if run is not None and run.attempt == msg.attempt:
            self._attach(run, peer, msg)
        elif msg.incarnation != self._process.incarnation:
            self._resume_at_server(peer, msg)
        elif self._runs.never_started(msg.request_id, msg.attempt, msg.age_s):
            # A grant still in transit cannot arrive: its session was closed.
            reason = Reason.SERVER_LOST.value
            peer.send(NotRun(msg.request_id, reason, "never granted", msg.attempt))
        else:
            peer.send(_failed_end(msg, "the answer is no longer kept"))

    def _attach(self, run: Run, peer: Peer, msg: Resume) -> None:
        if run.attach(peer, msg.offset):
            self._ring.record("run.resumed", request=msg.request_id)
        else:
            peer.send(_failed_end(msg, "a part of the answer is not kept"))

    def _resume_at_server(self, peer: Peer, msg: Resume) -> None:
        """Resumes a run that an earlier process of this side started at the server."""
        match self._admission.resume(resumed_run(msg, peer), peer):
            case Started(run, release):
                self._ring.record("run.resumed-at-engine", request=msg.request_id)
                self._runner.resume(run, msg.offset, release)
            case Duplicate():
                peer.send(_failed_end(msg, "the answer is no longer kept"))

    def _refuse(self, reservations: list[Reservation], reason: Reason) -> None:
        for res in reservations:
            res.owner.send(NotRun(res.request_id, reason.value, ""))  # type: ignore[attr-defined]

    def _dispatch_loop(self, stop: threading.Event) -> None:
        """Requests grants for the reservations that are next while slots are free."""
        while not stop.is_set():
            # Wakes on new reservations and freed slots; the timeout only bounds how
            # long a stop or the end of a pause goes unnoticed.
            res = self._admission.take_next_to_ask(SWEEP_INTERVAL_S)
            if res is not None:
                res.owner.send(Ask(res.request_id))  # type: ignore[attr-defined]

    # Periodic tasks and the ends of runs

    def _state(self) -> Heartbeat:
        slots = self._admission.slots
        return Heartbeat(
            number=self._process.view.number,
            leaving=self._process.draining.is_set(),
            slots=slots.total,
            free=slots.free,
            waiting=len(self._admission),
            versions=list(self._versions),
            token_s=self._inter_token_time.seconds,
            drain_per_s=self._admission.drain_per_s,
        )

    def _peers(self) -> list[Peer]:
        return self._admission.peers()

    def _before_end(self, run: Run, end: RunResult) -> None:
        if end.connection_failed:
            # Admits no new runs for a moment (``admission.UNREACHABLE_PAUSE_S``).
            self._admission.pause()
        self._crashes.observe(run, end)

    def _on_end(self, run: Run, end: RunResult) -> None:
        self._moves.observe(run, end)
        if end.outcome == DONE:
            self._inter_token_time.observe(run)
        # With queued reservations, the freed slot goes to the next of them.
        if not len(self._admission):
            self._announcer.send_state(self._state(), run.send_to_entry)

    def _sweep(self) -> None:
        """Refuses expired reservations; cancels runs that no session has resumed."""
        expired = self._admission.sweep()
        self._refuse(expired, Reason.SHED)
        self._runs.sweep(lambda run: run.cancel.cancel())

    def _poll_versions(self) -> None:
        with contextlib.suppress(OSError):
            self._versions = self._backend.versions()

    def _on_loaded(self) -> None:
        self._poll_versions()
        self._announcer.announce()


def _failed_end(msg: Resume, detail: str) -> End:
    """Returns the end of a response whose remaining parts are not available."""
    return End(msg.request_id, msg.offset, FAILED, detail, msg.attempt)
