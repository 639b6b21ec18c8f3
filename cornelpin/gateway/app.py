"""One entry: its parts, their wiring, its start and its stop."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.gateway import logs
from cornelpin.gateway.endpoints import MetricsEndpoint, ReadyEndpoint
from cornelpin.gateway.peers import Peers
from cornelpin.gateway.request_handler import RequestHandler
from cornelpin.gateway.rollouts import RolloutController
from cornelpin.gateway.scheduler import Scheduler
from cornelpin.gateway.snapshots import SnapshotServer
from cornelpin.gateway.state import GatewayState
from cornelpin.gateway.store_view import StoreView
from cornelpin.http1.server import (
    BadRequest,
    ClientConnection,
    ClientRequest,
    Limits,
    Responder,
)
from cornelpin.platform import (
    BadValue,
    Store,
    StoreUnavailable,
    load_host_settings,
    refusal_headers,
)
from cornelpin.scheduling.routing import ClientLimits

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from cornelpin.platform import HostSettings

ENTRY_KIND = "cornelpin-entries"
TICK_S = 0.05
"""Time between looks at waiting requests: a tenth of the shortest objective is missed
at most."""
HOUSEKEEPING_S = 0.5
"""Time between looks at idle connections and peers."""
TAKE_S = 2.5
"""Time after a stop signal in which new requests are still taken: the balancer needs
two missed questions, one a second, to send clients elsewhere."""
LINGER_S = 1.0
"""Time after that in which requests are refused while clients leave."""
STOP_MARGIN_S = 0.4
"""Part of the platform's grace that is left unused when requests are broken off."""
BACKLOG = 512


class Entry:
    """One entry process.

    Args:
        settings: What the platform told this process.
        settings_path: Where that stands, for reloading.
        lines: Writer of the log lines.
    """

    def __init__(
        self, settings: HostSettings, settings_path: str, lines: logs.LineWriter
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._lines = lines
        self.peers = Peers(
            settings.host,
            settings.ip,
            settings.data_centre,
            settings.peer_port,
            link_mbps=settings.link_mbps,
            state=self._told,
            one_time_updates=self._news,
            ages=lambda: self._view.ages(),
            shares=lambda: self.scheduler.dispatcher.shares(time.monotonic()),
            speeds=lambda: self.scheduler.dispatcher.told_paces(time.monotonic()),
            on_message=self._on_peer,
        )
        self.state = GatewayState(
            settings,
            share=self.peers.share,
            changed=self.peers.schedule_update,
            urgent=self.peers.flush,
        )
        self.scheduler = Scheduler(
            self.state.servers,
            self.state.pool,
            self.peers,
            self.state.rollouts,
            settings.data_centre,
        )
        self.store = Store(settings.store)
        self.rollouts = RolloutController(
            self.store, self.peers, self.state.rollouts, urgent=self.peers.flush
        )
        self.request_handler = RequestHandler(self.state, self.scheduler, self.rollouts)
        self._view = StoreView(
            self.store,
            self.state,
            self.peers,
            self.rollouts,
            dispatch=self.scheduler.dispatch_all,
        )
        self._snapshots = SnapshotServer(self._view.copy)
        self._connections: set[ClientConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()
        self._settings_changed = os.stat(settings_path).st_mtime_ns

    async def run(self) -> None:
        """Serves until the process is told to stop."""
        loop = asyncio.get_running_loop()
        self._lines.attach(loop)
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen()
        logs.event("entry.started", incarnation=self.peers.incarnation)
        for keep in self._view.duties():
            self._start(keep)
        self._start(self._tick())
        self._start(self._housekeeping())
        self._start(self._announce())
        await self._stop.wait()
        await self._leave()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_task_end)
        self._tasks.append(task)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            logs.warning("task.failed", error=repr(task.exception()))
            self._stop.set()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        settings = self._settings
        ready, metrics = ReadyEndpoint(self.state), MetricsEndpoint(self)
        listeners = [
            (settings.callers, self._accept),
            (settings.ready, lambda: ClientConnection(ready)),
            ((settings.ip, settings.metrics_port), lambda: ClientConnection(metrics)),
        ]
        for address, factory in listeners:
            server = await loop.create_server(factory, *address, backlog=BACKLOG)
            self._servers.append(server)
        await self._snapshots.start(settings.ip, settings.peer_port)
        await self.peers.start(settings.seeds)

    def _accept(self) -> ClientConnection:
        conn = _CallerConnection(self, self._connections)
        self._connections.add(conn)
        return conn

    # What a caller's connection asks.

    def limits(self) -> Limits:
        """Returns the bounds on clients now in force."""
        cfg = self.state.config
        return Limits(**attrs.asdict(cfg.limits if cfg is not None else ClientLimits()))

    def closing(self) -> bool:
        """Returns whether connections end with their next answer."""
        return self.state.leaving

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Answers a caller's request."""
        await self.request_handler.serve(req, responder)

    def bad_request(
        self, exc: BadRequest, conn: ClientConnection
    ) -> list[tuple[bytes, bytes]]:
        """Logs a request that could not be read."""
        logs.event("request.unreadable", status=exc.status, reason=str(exc))
        return refusal_headers("", None)

    # The other entries.

    def _told(self) -> dict[str, Any]:
        return {
            "in_flight": self.scheduler.dispatcher.in_flight(),
            "keys": self.scheduler.dispatcher.waiting_keys(),
            "used": {k: round(v) for k, v in self.state.quotas.used.items()},
            "versions": self._view.revisions(),
            "rollouts": self.state.rollouts.told(time.monotonic()),
        }

    def _news(self) -> dict[str, Any]:
        news = {
            "refused": self.state.client_retries.untold(time.monotonic()),
            "broken": self.state.poison_detector.untold(),
        }
        return {part: told for part, told in news.items() if told}

    def _on_peer(self, host: str, incarnation: str, message: dict[str, Any]) -> None:
        """Takes what another entry has told, or a whole data centre."""
        used = message.get("used")
        if used:
            now = time.monotonic()
            self.state.quotas.peer_used((host, incarnation), used, now)
        if "refused" in message:
            self.state.client_retries.heard(message["refused"], time.monotonic())
        if "broken" in message:
            self.state.poison_detector.heard(message["broken"], time.monotonic())
        if "rollouts" in message:
            self.rollouts.heard((host, incarnation), message["rollouts"])
        if "shares" in message:
            dispatcher = self.scheduler.dispatcher
            dispatcher.heard_shares(host, message["shares"], time.monotonic())
        if "paces" in message:
            dispatcher = self.scheduler.dispatcher
            dispatcher.heard_paces(host, message["paces"], time.monotonic())
        if "in_flight" in message or "keys" in message:
            self.scheduler.dispatch_soon()

    async def _announce(self) -> None:
        """Registers this entry in the store and learns of the others."""
        spec = {"ip": self._settings.ip}
        while True:
            try:
                if not await self.store.create(ENTRY_KIND, self._settings.host, spec):
                    await self.store.replace(ENTRY_KIND, self._settings.host, spec)
                listing = await self.store.list(ENTRY_KIND)
            except StoreUnavailable:
                await asyncio.sleep(HOUSEKEEPING_S)
                continue
            ips = [c.spec["ip"] for c in listing.objects if isinstance(c.spec, dict)]
            self.peers.add_addresses(ip for ip in ips if isinstance(ip, str))
            self.peers.send_full_state()
            return

    # Duties.

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.peers.busy = self.scheduler.dispatcher.pressed
            self.scheduler.dispatch_all()
            self.peers.tick()
            await self._view.catch_up()
            await self.rollouts.write_outcomes()

    async def _housekeeping(self) -> None:
        from cornelpin.gateway.metrics import Metrics

        self.state.metrics = Metrics()
        self.state.metrics.gauge(
            "waiting", "Requests waiting", self.scheduler.dispatcher.waiting
        )
        self.state.metrics.gauge("peers", "Entries heard", lambda: self.peers.count)
        self.state.metrics.gauge(
            "log_lines_dropped", "Log lines dropped", lambda: self._lines.dropped
        )
        self.state.metrics.gauge(
            "store_calls", "Calls to the store", lambda: self.store.calls
        )
        self.state.metrics.gauge(
            "connections_opened",
            "Connections to servers",
            lambda: self.state.pool.opened,
        )
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self._reload_if_changed()
            now = time.monotonic()
            servers = self.state.servers.all(now).values()
            alive = {server.incarnation for server in servers}
            self.state.pool.sweep(alive)
            self.scheduler.dispatcher.forget(alive, now)

    def _reload_if_changed(self) -> None:
        """Reloads settings that changed without a signal."""
        try:
            changed = os.stat(self._settings_path).st_mtime_ns
        except OSError:
            return
        if changed != self._settings_changed:
            self._settings_changed = changed
            self._reload()

    def _reload(self) -> None:
        try:
            settings = load_host_settings(self._settings_path)
        except BadValue as exc:
            logs.warning("settings.invalid", reason=str(exc))
            return
        self.peers.add_addresses(settings.seeds)
        logs.event("settings.reloaded", seeds=settings.seeds)

    # Stopping.

    async def _leave(self) -> None:
        """Finishes what is in hand within the platform's grace."""
        began = time.monotonic()
        last = began + self._settings.bounds.grace_s - STOP_MARGIN_S
        logs.event("entry.stopping", in_hand=self._in_hand())
        self.state.leaving = True
        await asyncio.sleep(TAKE_S)
        self.state.refusing = True
        self._let_idle_go()
        await asyncio.sleep(LINGER_S)
        while self._in_hand() and time.monotonic() < last:
            await asyncio.sleep(TICK_S)
        logs.event("entry.stopped", broken_off=self._in_hand())
        self._lines.flush()
        self.close()
        await asyncio.sleep(0)

    def close(self) -> None:
        """Ends everything at once."""
        for server in self._servers:
            server.close()
        self._let_idle_go()
        for task in self._tasks:
            task.cancel()
        self._snapshots.close()
        self.peers.close()
        self.state.pool.close()

    def _let_idle_go(self) -> None:
        """Closes connections without a request, so that their clients go elsewhere."""
        for conn in list(self._connections):
            conn.close_if_idle()

    def _in_hand(self) -> int:
        return sum(1 for conn in self._connections if conn.serving)


class _CallerConnection(ClientConnection):
    """A caller's connection that its entry knows of while it is open."""

    def __init__(self, entry: Entry, known: set[ClientConnection]) -> None:
        super().__init__(entry)
        self._known = known

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        super().connection_lost(exc)
        self._known.discard(self)
