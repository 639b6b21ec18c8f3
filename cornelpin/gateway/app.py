"""One entry process: wires its components, runs them and drains on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import random
import signal
import time
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.gateway import logs
from cornelpin.gateway.background import BackgroundTasks
from cornelpin.gateway.endpoints import MetricsEndpoint, ReadyEndpoint
from cornelpin.gateway.limit_coordinator import LimitCoordinator
from cornelpin.gateway.peers import Peers
from cornelpin.gateway.request_handler import RequestHandler
from cornelpin.gateway.resources import allot
from cornelpin.gateway.rollouts import RolloutController
from cornelpin.gateway.scheduler import TICK_S, Scheduler
from cornelpin.gateway.snapshots import SnapshotServer
from cornelpin.gateway.state import GatewayState
from cornelpin.gateway.status import build_status
from cornelpin.gateway.store_view import StoreView
from cornelpin.gateway.suspension import SuspensionDetector
from cornelpin.http1.listener import Listener, listening_socket
from cornelpin.http1.requests import Limits
from cornelpin.http1.server import RECEIVE_BUFFER_BYTES, Application, ClientConnection
from cornelpin.platform import (
    BadValue,
    Store,
    StoreUnavailable,
    load_host_settings,
    refusal_headers,
)
from cornelpin.scheduling.routing import ClientLimits
from cornelpin.scheduling.valuation import Valuation

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from cornelpin.http1.connections import Resources
    from cornelpin.http1.requests import BadRequest, ClientRequest
    from cornelpin.http1.responder import Responder
    from cornelpin.platform import HostSettings
    from cornelpin.scheduling.hedging import HedgingPolicy

ENTRY_KIND = "cornelpin-entries"
"""Kind of the store objects with which entries register their IP addresses."""
POISON_FIELDS = ("contents", "crashed", "refuted", "sound", "poison")
"""Fields of a message about contents and parts of prompts that crash servers."""
HOUSEKEEPING_S = 0.5
"""Interval at which idle connections are closed, the state of removed servers is
dropped and the settings file is checked for changes, and at which a failed
registration is retried."""
DRAIN_ACCEPT_S = 2.5
"""Time after a stop signal during which new requests are still accepted: the balancer
probes readiness once a second and reroutes clients after two failed probes."""
DRAIN_REFUSE_S = 1.0
"""Time after DRAIN_ACCEPT_S during which new requests are refused while clients
disconnect."""
STOP_MARGIN_S = 0.4
"""Time before the end of the platform's grace period at which requests still in
flight are aborted."""
ANSWER_MARGIN_S = 0.1
"""Time before that at which requests in flight get an answer of this entry."""
REGISTRATION_SPREAD_S = 1.0
"""Time over which the entries check their registrations after a restore of the store,
so that a hundred of them stay within its rate of calls."""


class Entry:
    """One entry process.

    Args:
        settings: Settings of this host.
        settings_path: Path of the settings file, for reloads.
        lines: Writer of the log lines.
        valuation: Relative values of responses.
        hedging: Which part of the requests may be hedged.
    """

    def __init__(
        self,
        settings: HostSettings,
        settings_path: str,
        lines: logs.LineWriter,
        valuation: Valuation | None = None,
        hedging: HedgingPolicy | None = None,
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._lines = lines
        self.resources = allot(settings)
        self.peers = Peers(
            settings.host,
            settings.ip,
            settings.data_centre,
            settings.peer_port,
            link_mbps=settings.link_mbps,
            state=self._full_state,
            one_time_updates=self._one_time_updates,
            store_report=lambda: self._view.report(),
            class_counts=lambda: self.scheduler.dispatcher.export_class_counts(
                time.monotonic()
            ),
            speeds=lambda: self.scheduler.dispatcher.speeds.export(time.monotonic()),
            slowdowns=lambda: self.scheduler.dispatcher.slowdowns.take_unsent(
                time.monotonic()
            ),
            notices=self._notices,
            on_message=self._on_peer_message,
            on_permits=lambda host, message: self.server_limits.receive(host, message),
            senders=self.resources.senders,
        )
        self.server_limits = LimitCoordinator(
            self.peers,
            lambda server_id: self.state.servers.get(server_id),
            flush=self.peers.flush,
            on_change=self.peers.schedule_update,
        )
        self.state = GatewayState(
            settings,
            memory=self.resources.memory,
            server_connections=self.resources.server_connections,
            limits=self.server_limits,
            fleet_view=self.peers.fleet_view,
            live_hosts=self.peers.live_hosts,
            on_change=self.peers.schedule_update,
            flush=self.peers.flush,
        )
        self.scheduler = Scheduler(
            self.state.servers,
            self.state.pool,
            self.peers,
            self.state.rollouts,
            settings.data_centre,
            valuation or Valuation(),
            self.server_limits,
            self.state.evacuations,
            hedging,
        )
        self.store = Store(settings.store)
        self.rollout_controller = RolloutController(
            self.store, self.peers, self.state.rollouts, flush=self.peers.flush
        )
        self.request_handler = RequestHandler(
            self.state,
            self.scheduler,
            self.rollout_controller,
            self.resources.requests,
        )
        self.state.on_config = self.request_handler.reconsider
        self._view = StoreView(
            self.store,
            self.state,
            self.peers,
            self.rollout_controller,
            dispatch=self._on_servers,
        )
        self._snapshots = SnapshotServer(
            self._view.snapshot_source.changes,
            self._view.snapshot_source.whole,
            self.resources.memory,
            self.resources.transfers,
        )
        self._listeners: list[Listener] = []
        self._logged_resources = (0, 0, 0, 0)
        self._stop = asyncio.Event()
        self.tasks = BackgroundTasks(self._stop.set)
        self._settings_mtime_ns = os.stat(settings_path).st_mtime_ns

    async def run(self) -> None:
        """Serves until a stop signal, or until a background task is given up."""
        loop = asyncio.get_running_loop()
        self._lines.attach(loop)
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen()
        logs.event("entry.started", incarnation=self.peers.incarnation)
        for name, keep_current in self._view.tasks():
            self.tasks.start(name, keep_current)
        self.tasks.start("tick", self._tick)
        self.tasks.start("statuses", self._write_statuses)
        self.tasks.start("housekeeping", self._housekeeping)
        self.tasks.start("registration", self._keep_registered)
        await self._stop.wait()
        await self._drain()

    async def _listen(self) -> None:
        settings = self._settings
        resources = self.resources
        metrics_address = (settings.ip, settings.metrics_port)
        listeners: list[tuple[tuple[str, int], Application, Resources]] = [
            (settings.callers, self, resources.callers),
            (settings.ready, ReadyEndpoint(self.state), resources.ready),
            (metrics_address, MetricsEndpoint(self), resources.metrics),
        ]
        for address, app, shared in listeners:
            sock = listening_socket(address, receive_bytes=RECEIVE_BUFFER_BYTES)
            factory = functools.partial(ClientConnection, app, shared)
            self._listeners.append(Listener(sock, factory))
        await self._snapshots.start(settings.ip, settings.peer_port)
        await self.peers.start(settings.seeds)

    # Methods that ClientConnection calls.

    def limits(self) -> Limits:
        """Returns the limits on client connections from the current configuration."""
        cfg = self.state.config
        # ClientLimits, a part of the configuration, has the same fields as Limits.
        return Limits(**attrs.asdict(cfg.limits if cfg is not None else ClientLimits()))

    def closing(self) -> bool:
        """Returns whether connections close after their next response."""
        return self.state.draining

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Serves a caller's request."""
        await self.request_handler.serve(req, responder)

    def bad_request_headers(
        self, exc: BadRequest, conn: ClientConnection
    ) -> list[tuple[bytes, bytes]]:
        """Logs a request that could not be parsed; returns headers of the response."""
        logs.event("request.unreadable", status=exc.status, reason=str(exc))
        return refusal_headers("", exc.retry_after_s)

    def status(self) -> dict[str, Any]:
        """Returns what operators see of this entry and the others."""
        return build_status(self.state, self.peers, self._view)

    # State exchange with the other entries.

    def _full_state(self) -> dict[str, Any]:
        """Returns the tables of this entry's state by message field (see peers.py)."""
        return {
            "in_flight": self.scheduler.dispatcher.in_flight(),
            "keys": self.scheduler.dispatcher.queue_scores(),
            "used": {k: round(v) for k, v in self.state.quotas.used.items()},
            "rollouts": self.state.rollouts.export(time.monotonic()),
            "poison": self.state.poison_parts.export(time.monotonic()),
        }

    def _notices(self, max_age_s: float) -> dict[str, Any]:
        """Returns what entries that have missed updates are told (see peers.py)."""
        now = time.monotonic()
        return {
            "contents": self.state.poison_detector.export(now, max_age_s),
            "limits": self.server_limits.limits.export(now),
            "leaving": self.state.servers.known_leaving(),
        }

    def _one_time_updates(self) -> dict[str, Any]:
        """Returns and clears the one-time updates (``peers.ONE_TIME_UPDATES``)."""
        updates = {
            "refused": self.state.client_retries.take_unsent(time.monotonic()),
            "contents": self.state.poison_detector.take_unsent(time.monotonic()),
            "refuted": self.state.take_unsent_refuted(),
            "crashed": self.state.poison_parts.take_unsent_crashes(),
            "sound": self.state.poison_parts.take_unsent_sound(),
            "leaving": self.state.take_unsent_leaving(),
            "limits": self.server_limits.limits.take_unsent(time.monotonic()),
        }
        return {name: items for name, items in updates.items() if items}

    def _on_peer_message(
        self, sender: str, incarnation: str, message: dict[str, Any]
    ) -> None:
        """Merges a message of another entry or the summary of a data centre.

        Args:
            sender: Host of the entry, or name of the data centre.
            incarnation: Incarnation of the entry; empty for a data centre.
            message: The message.
        """
        message = message | message.get("notices", {})
        used = message.get("used")
        if used:
            now = time.monotonic()
            self.state.quotas.merge_peer_usage((sender, incarnation), used, now)
        if "refused" in message:
            self.state.client_retries.merge_from(message["refused"], time.monotonic())
        if not message.keys().isdisjoint(POISON_FIELDS):
            self.state.merge_poison(message)
        if "leaving" in message:
            self.state.merge_leaving(message["leaving"])
        if "limits" in message:
            self.server_limits.merge(message)
        if "rollouts" in message:
            self.rollout_controller.merge_from(
                (sender, incarnation), message["rollouts"]
            )
        self._merge_statistics(sender, message)
        if "in_flight" in message or "keys" in message:
            self.scheduler.dispatch_soon()

    def _on_servers(self) -> None:
        """Handles a change of the list of servers."""
        self.state.crashes.review()
        self.scheduler.dispatch_all()

    def _merge_statistics(self, sender: str, message: dict[str, Any]) -> None:
        dispatcher = self.scheduler.dispatcher
        if "shares" in message:
            dispatcher.merge_class_counts(sender, message["shares"], time.monotonic())
        if "slowdowns" in message:
            dispatcher.slowdowns.merge(message["slowdowns"], time.monotonic())
        if "paces" in message:
            dispatcher.speeds.merge_from(sender, message["paces"], time.monotonic())

    async def _keep_registered(self) -> None:
        """Registers this entry, and again if a restored store has lost it."""
        await self._call_store(self._register)
        while True:
            era = self._view.era
            while self._view.era == era:
                await asyncio.sleep(HOUSEKEEPING_S)
                if self.resources.senders.listing_due:
                    await self._list_unlisted_senders()
            await asyncio.sleep(REGISTRATION_SPREAD_S * random.random())
            await self._call_store(self._register_if_lost)

    async def _list_unlisted_senders(self) -> None:
        """Lists the entries, of which some may have begun to send after a listing."""
        await asyncio.sleep(REGISTRATION_SPREAD_S * random.random())
        with contextlib.suppress(StoreUnavailable):
            await self._list_entries()

    async def _call_store(self, call: Callable[[], Awaitable[None]]) -> None:
        """Repeats some calls to the store until they succeed."""
        while True:
            try:
                return await call()
            except StoreUnavailable:
                await asyncio.sleep(HOUSEKEEPING_S)
                await self._view.until_reachable()

    async def _register(self) -> None:
        """Registers this entry in the store and discovers the others."""
        spec = {"ip": self._settings.ip}
        if not await self.store.create(ENTRY_KIND, self._settings.host, spec):
            await self.store.replace(ENTRY_KIND, self._settings.host, spec)
        await self._list_entries()
        self.peers.send_full_state()

    async def _list_entries(self) -> None:
        """Discovers the other entries."""
        self.resources.senders.begin_listing()
        listing = await self.store.list(ENTRY_KIND)
        specs = [c.spec for c in listing.objects if isinstance(c.spec, dict)]
        self.peers.add_listed(spec.get("ip") for spec in specs)

    async def _register_if_lost(self) -> None:
        listing = await self.store.list(ENTRY_KIND)
        if all(c.name != self._settings.host for c in listing.objects):
            logs.event("entry.registered_again", era=self._view.era)
            await self._register()

    # Background tasks.

    async def _tick(self) -> None:
        suspensions = SuspensionDetector()
        while True:
            await asyncio.sleep(TICK_S)
            suspended_s = suspensions.check()
            if suspended_s:
                logs.warning("entry.suspended", for_s=round(suspended_s, 2))
                self.peers.age_reports(suspended_s)
                self._view.age_copies(suspended_s)
            await self.scheduler.recover()
            self.scheduler.tick()
            self.server_limits.tick()
            self.peers.tick()

    async def _write_statuses(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            await self.rollout_controller.write_statuses()

    async def _housekeeping(self) -> None:
        if self.state.metrics is None:
            # Imported after the listeners are open, to shorten the start. Until then
            # nothing is counted.
            from cornelpin.gateway.gauges import make_metrics

            self.state.metrics = make_metrics(self, view=self._view, lines=self._lines)
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self._log_resources()
            self._reload_if_changed()
            now = time.monotonic()
            servers = self.state.servers.all(now).values()
            alive = {server.incarnation for server in servers}
            self.state.pool.sweep(alive)
            self.scheduler.dispatcher.forget(alive, now)
            self.server_limits.forget(alive, now)
            self.state.crashes.review()
            self.state.expire_poison_parts()
            self.state.expire_evacuations()

    def _log_resources(self) -> None:
        """Logs refusals and closed connections since the last line, if any."""
        memory, callers = self.resources.memory, self.resources.callers.connections
        senders = self.resources.senders
        counts = (
            memory.refused + self.resources.requests.refused,
            callers.closed,
            callers.evicted,
            senders.dropped,
        )
        logged, self._logged_resources = self._logged_resources, counts
        if counts != logged:
            logs.warning(
                "resources.short",
                memory=memory.used,
                memory_limit=memory.limit,
                connections=len(callers),
                connections_limit=callers.limit,
                refused=counts[0] - logged[0],
                closed=counts[1] - logged[1],
                evicted=counts[2] - logged[2],
                datagrams=counts[3] - logged[3],
            )

    def _reload_if_changed(self) -> None:
        """Reloads the settings file if its modification time has changed."""
        try:
            mtime_ns = os.stat(self._settings_path).st_mtime_ns
        except OSError:
            return
        if mtime_ns != self._settings_mtime_ns:
            self._settings_mtime_ns = mtime_ns
            self._reload()

    def _reload(self) -> None:
        """Reads the settings file and adds its seeds; other settings need a restart."""
        try:
            settings = load_host_settings(self._settings_path)
        except BadValue as exc:
            logs.warning("settings.invalid", reason=str(exc))
            return
        self.peers.add_listed(settings.seeds)
        logs.event("settings.reloaded", seeds=settings.seeds)

    # Shutdown.

    async def _drain(self) -> None:
        """Waits for the requests in flight, within the platform's grace period."""
        began = time.monotonic()
        abort_at = began + self._settings.bounds.grace_s - STOP_MARGIN_S
        logs.event("entry.stopping", in_hand=self._in_flight())
        self.state.draining = True
        self.request_handler.begin_stop(abort_at - ANSWER_MARGIN_S)
        await asyncio.sleep(DRAIN_ACCEPT_S)
        self.state.refusing = True
        self._close_idle_connections()
        await asyncio.sleep(DRAIN_REFUSE_S)
        while self._in_flight() and time.monotonic() < abort_at:
            await asyncio.sleep(TICK_S)
        logs.event("entry.stopped", broken_off=self._in_flight())
        self._lines.flush()
        self.close()
        await asyncio.sleep(0)

    def close(self) -> None:
        """Closes listeners, idle connections and background tasks without draining."""
        for listener in self._listeners:
            listener.close()
        self._close_idle_connections()
        self.tasks.cancel()
        self._snapshots.close()
        self.peers.close()
        self.state.crashes.close()
        self.state.pool.close()
        self.store.close()

    def _close_idle_connections(self) -> None:
        """Closes connections without a request; their clients reconnect elsewhere."""
        for conn in self._connections:
            conn.close_if_idle()

    @property
    def _connections(self) -> list[ClientConnection]:
        """Returns the connections of callers."""
        conns = self.resources.callers.connections
        return [conn for conn in conns if isinstance(conn, ClientConnection)]

    def _in_flight(self) -> int:
        """Returns the number of requests whose responses are not sent to the end."""
        return sum(1 for conn in self._connections if conn.serving or conn.unsent)
