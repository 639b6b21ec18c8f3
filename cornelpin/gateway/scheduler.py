"""Connects the dispatcher to asyncio: requests await its decisions."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from cornelpin.gateway import logs
from cornelpin.scheduling.decisions import Placement, Reconsidered, Refused
from cornelpin.scheduling.dispatcher import Dispatcher
from cornelpin.scheduling.restrictions import Evacuations
from cornelpin.scheduling.review_gate import (
    RECOVERY_STEP_S,
    RECOVERY_STEPS,
    ReviewGate,
)
from cornelpin.scheduling.subsetting import ServerSubsets

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.gateway.limit_coordinator import LimitCoordinator
    from cornelpin.gateway.peers import Peers
    from cornelpin.gateway.pool import ConnectionPool
    from cornelpin.scheduling.hedging import HedgingPolicy
    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.rollouts import Rollouts
    from cornelpin.scheduling.servers import BackendServer, ServerList
    from cornelpin.scheduling.valuation import Valuation

__all__ = ["Placement", "Reconsidered", "Refused", "Scheduler"]

Outcome = Placement | Refused | Reconsidered
"""What comes of a job that was offered."""
UPDATE_BATCH_S = 0.004
"""Updates from other entries within this time cause one dispatch. Batching saves most
of the dispatches when dozens of entries send updates; a slot is held for much
longer."""
TICK_S = 0.05
"""Interval at which queued requests are dispatched and refused even if nothing changes.
A request is refused at most this long after the time at which it can no longer be
served, unless the process pauses (``ReviewGate``). The interval is a tenth of the
shortest latency objective."""


class Scheduler:
    """Runs the dispatcher whenever something changes.

    Args:
        servers: The last known list of backend servers.
        pool: Connections to them.
        peers: The other entries.
        rollouts: Decides which software versions of the servers may be used.
        data_centre: Data centre of this entry.
        valuation: Relative values of responses.
        limits: Permits to send to servers with limits.
        evacuations: Data centres whose servers get no requests.
        hedging: Which part of the requests may be hedged.
    """

    def __init__(
        self,
        servers: ServerList,
        pool: ConnectionPool,
        peers: Peers,
        rollouts: Rollouts,
        data_centre: str,
        valuation: Valuation,
        limits: LimitCoordinator,
        evacuations: Evacuations | None = None,
        hedging: HedgingPolicy | None = None,
    ) -> None:
        self._servers = servers
        self._rollouts = rollouts
        self._limits = limits
        self._evacuations = Evacuations() if evacuations is None else evacuations
        self._subsets = ServerSubsets(peers.host, data_centre)
        self._peers = peers
        self._queued: dict[Job, asyncio.Future[Outcome]] = {}
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self._permits_dispatch: asyncio.Handle | None = None
        self._review_gate = ReviewGate(TICK_S)
        self.dispatcher = Dispatcher(
            servers=self._usable_servers,
            peers=peers,
            connected=pool.has_idle,
            data_centre=data_centre,
            valuation=valuation,
            needs_traffic=rollouts.needs_traffic,
            permits=limits,
            evacuated=self._all_evacuated,
            hedging=hedging,
        )
        limits.on_permits = self._on_permits

    async def place(self, job: Job) -> Outcome:
        """Waits until a job is assigned a slot, refused, or to be reconsidered."""
        refused = self.dispatcher.offer(job, time.monotonic())
        if refused is not None:
            return refused
        fut: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._queued[job] = fut
        self.dispatch(job.service)
        try:
            return await fut
        except asyncio.CancelledError:
            self._cancel(job, fut)
            raise

    def hedge(self, job: Job) -> Placement | str:
        """Takes a slot for a second send of a job that runs; else returns why not."""
        placement = self.dispatcher.hedge(job, time.monotonic())
        if isinstance(placement, Placement):
            self._changed()
        return placement

    def reconsider(self, outdated: Callable[[Job], bool]) -> None:
        """Takes jobs out of the queues that are to be offered again otherwise."""
        for job, fut in list(self._queued.items()):
            if outdated(job):
                del self._queued[job]
                self.dispatcher.withdraw(job)
                if not fut.done():
                    fut.set_result(Reconsidered())

    def _cancel(self, job: Job, fut: asyncio.Future[Outcome]) -> None:
        self._queued.pop(job, None)
        self.dispatcher.withdraw(job)
        if fut.done() and not fut.cancelled():
            result = fut.result()
            if isinstance(result, Placement):
                self.release(job, result)

    def release(self, job: Job, placement: Placement) -> None:
        """Releases the slot of a finished send."""
        if self.dispatcher.release(job, placement, time.monotonic()):
            self._changed()
            self.dispatch(job.service)

    def record_response_time(
        self, job: Job, placement: Placement, took_s: float
    ) -> None:
        """Records the time from a send to a stream's first event or a whole response.

        It is the response time of ``ResponseSink.on_response_time``.
        """
        self.dispatcher.first_bytes(job, placement, took_s, time.monotonic())
        self._changed()

    def dispatch_soon(self) -> None:
        """Schedules a dispatch that covers all updates received until then."""
        if self._queued and self._dispatch_timer is None:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(
                UPDATE_BATCH_S, self._on_dispatch_timer
            )

    def _on_permits(self) -> None:
        """Dispatches right after the current callback, which may be a dispatch."""
        if self._queued and self._permits_dispatch is None:
            loop = asyncio.get_running_loop()
            self._permits_dispatch = loop.call_soon(self._use_permits)

    def _use_permits(self) -> None:
        self._permits_dispatch = None
        self.dispatch_all()

    def _on_dispatch_timer(self) -> None:
        self._dispatch_timer = None
        self.dispatch_all()

    async def recover(self) -> None:
        """Waits until the responses that arrived during a pause are handled, if any."""
        if not self._review_gate.is_open(time.monotonic()):
            for _ in range(RECOVERY_STEPS):
                await asyncio.sleep(RECOVERY_STEP_S)

    def tick(self) -> None:
        """Assigns free slots and reviews queued requests; called every ``TICK_S``."""
        self._review_gate.tick(time.monotonic())
        self._peers.slots_scarce = self.dispatcher.slots_scarce
        self.dispatch_all()

    def dispatch_all(self) -> None:
        """Assigns free slots of all services."""
        for name in self.dispatcher.services():
            self.dispatch(name)

    def dispatch(self, name: str) -> None:
        """Assigns the free slots of a service to its queued requests."""
        now = time.monotonic()
        decisions = self.dispatcher.dispatch(
            name, now, review=self._review_gate.is_open(now)
        )
        for job, decision in decisions:
            fut = self._queued.pop(job)
            if not fut.done():
                fut.set_result(decision)
            elif isinstance(decision, Placement):
                self.dispatcher.release(job, decision, time.monotonic())
        if decisions:
            self._changed()

    def _changed(self) -> None:
        """Schedules an update to the other entries after a change of the load."""
        self._peers.slots_scarce = self.dispatcher.slots_scarce
        self._peers.schedule_update()

    def eject_if_silent(self, server: BackendServer) -> None:
        """Ejects a server if it is silent when a send to it is given up.

        Nothing else shows afterwards that it was, and it would look idle.
        """
        health, now = self.dispatcher.health(server), time.monotonic()
        if health.silent(now):
            was_ejected = now < health.ejected_until
            health.unreachable(now)
            self._log_ejection(server, "silent", was_ejected, now)

    def eject(self, server: BackendServer, reason: str) -> None:
        """Ejects a server after a failed connection or exchange."""
        health = self.dispatcher.health(server)
        now = time.monotonic()
        was_ejected = health.is_ejected(now)
        # Records the failure and ejects the server unless it is ejected already.
        health.unreachable(now)
        self._log_ejection(server, reason, was_ejected, now)

    def _log_ejection(
        self, server: BackendServer, reason: str, was_ejected: bool, now: float
    ) -> None:
        """Logs an ejection that has begun, and treats the server as cold after it."""
        health = self.dispatcher.health(server)
        if was_ejected:
            return
        logs.event(
            "server.aside",
            server=server.id,
            reason=reason,
            for_s=round(health.ejected_until - now, 2),
            failure_rate=round(health.failure_rate, 3),
        )
        # It may have crashed, and be back before its registration says that it is cold.
        self._limits.suspect([server], reason, from_s=health.ejected_until - now)

    def pause(
        self, server: BackendServer, pause_s: float | None, bad_value: str
    ) -> None:
        """Sends a server nothing for a time that it asked for.

        Args:
            server: The server.
            pause_s: The time in seconds; None if the value is not valid.
            bad_value: The value if it is not valid; the first one is logged.
        """
        health = self.dispatcher.health(server)
        now = time.monotonic()
        if bad_value and not health.bad_pause:
            health.bad_pause = True
            logs.warning("server.bad_pause", server=server.id, value=bad_value[:40])
        if pause_s is not None and health.pause(now, pause_s, random.random()):
            logs.event("server.paused", server=server.id, for_s=round(pause_s, 2))

    def _usable_servers(self, service: str, now: float) -> list[BackendServer]:
        servers = self._servers.all(now)
        if self._evacuations:
            servers = {
                server_id: server
                for server_id, server in servers.items()
                if server.data_centre not in self._evacuations
            }
        chosen = self._subsets.of_service(service, servers)
        return self._rollouts.usable(service, chosen, now)

    def _all_evacuated(self, service: str, now: float) -> bool:
        """Returns whether only evacuated data centres have servers of a service."""
        if not self._evacuations:
            return False
        data_centres = [
            server.data_centre
            for server in self._servers.all(now).values()
            if server.service == service and not server.leaving
        ]
        return bool(data_centres) and all(
            name in self._evacuations for name in data_centres
        )
