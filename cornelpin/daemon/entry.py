"""The entry role: accepts callers' requests and sees each through to its response.

It queues a request, has one side run it and forwards the response to the caller.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from cornelpin.core.configstore import Accepted, ConfigStore
from cornelpin.core.limits import EntryShare, entry_share
from cornelpin.daemon import readiness
from cornelpin.daemon.census_messages import CensusAsk, CensusReply
from cornelpin.daemon.config_status import (
    ConfigStatusCollector,
    ConfigStatusRow,
    status_row,
    unreachable_row,
    unreported_rows,
)
from cornelpin.daemon.config_sync import REPAIR_INTERVAL_S, ConfigSync
from cornelpin.daemon.config_watcher import ConfigWatcher
from cornelpin.daemon.dispatch import Dispatcher
from cornelpin.daemon.endpoints import (
    neighbour_endpoints,
    seed_endpoints,
    side_endpoints,
)
from cornelpin.daemon.entry_moves import EntryMoves
from cornelpin.daemon.entry_records import EntryRecords
from cornelpin.daemon.host_messages import HostsLeaving
from cornelpin.daemon.host_watch import HostWatch
from cornelpin.daemon.http.admin import AdminApi
from cornelpin.daemon.http.app import EntryApp
from cornelpin.daemon.http.callers import CallerApi
from cornelpin.daemon.http.server import HttpServer, client_connections
from cornelpin.daemon.links import Link, LinkTable
from cornelpin.daemon.listener import PeerListener
from cornelpin.daemon.liveness import CHECK_INTERVAL_S, Pinger
from cornelpin.daemon.messages import EventsAsk, EventsReply, Heartbeat
from cornelpin.daemon.replies import reply_with_events
from cornelpin.daemon.status_rows import process_row, route_rows, tier_rows
from cornelpin.daemon.supervisor import every
from cornelpin.daemon.suspicion_sync import SuspicionSync
from cornelpin.daemon.ticket_table import TicketLimits
from cornelpin.daemon.timeline import TimelineCollector
from cornelpin.stores import host_list, object_store

if TYPE_CHECKING:
    from cornelpin.core.config import Config
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.daemon.settings import Settings
    from cornelpin.stores.hosts import HostList

# Neighbours that get configuration patches without following this entry.
UNASKED_PATCH_PEERS = 3
STATUS_TIMEOUT_S = 0.5
DRAIN_POLL_S = 0.05


class Entry:
    """An entry process: serves HTTP to callers and operators, and links to sides.

    Attributes:
        process: The process.
        timeline: Collects timeline events of this process and its peers.
    """

    def __init__(self, process: Process) -> None:
        settings = process.settings
        self.process = process
        self._objects = object_store.create(
            settings.objects.kind, url=settings.objects.url
        )
        self._store = ConfigStore(self._objects, known=process.view.snapshot)
        self._links = LinkTable(
            process,
            wanted=lambda config: side_endpoints(
                config, settings.name, settings.data_centre
            ),
            on_open=self._on_open,
            on_message=self._on_message,
            on_lost=self._on_lost,
            on_retired=self._on_retired,
        )
        self._neighbours = LinkTable(
            process,
            wanted=lambda config: neighbour_endpoints(config, settings.name),
            on_open=self._on_open,
            on_message=self._on_message,
            on_lost=lambda link: None,
        )
        held = TicketLimits(
            settings.limits.held_requests,
            connections=client_connections(settings.limits).limit,
        )
        self._dispatcher = Dispatcher(process, self._links, held)
        self._records = EntryRecords(
            process, self._dispatcher, self._objects, self._peers
        )
        self._config_sync = ConfigSync(process, self._peers, self._unasked_patch_peers)
        self._pinger = Pinger(
            process,
            links=lambda: [
                *self._links.all_with_retired(),
                *self._neighbours.all_with_retired(),
            ],
            state=self._state,
            pinged_often=self._dispatcher.watched_links,
        )
        self._moves = EntryMoves(
            process,
            self._objects,
            self._peers,
            links_of=self._links.of_servers,
            submit=self.submit_patch,
        )
        self._dispatcher.moves = self._moves.view
        self._watcher = ConfigWatcher(
            settings.name, self._store, self._config_sync, process.view
        )
        self._host_watch = HostWatch(
            process,
            _host_list(settings),
            peers=self._peers,
            links=self._links.all,
            on_change=lambda: self._on_config(process.view.config),
        )
        self._readiness = readiness.Readiness(
            process, self._config_sync, last_contact_at=self._last_contact_at
        )
        self._status_collector = ConfigStatusCollector(
            process, own_rows=self._own_rows, neighbour=self._neighbours.peer_of
        )
        self._suspicions = SuspicionSync(process, self._peers)
        self._dispatcher.suspicions = self._suspicions
        self._dispatcher.entry_share = self._entry_share
        self.timeline = TimelineCollector(process.ring, self._peers)
        self._inbound: set[Peer] = set()
        # Role and last heartbeat by process name.
        self._states: dict[str, tuple[str, Heartbeat]] = {}
        self._lock = threading.Lock()
        process.view.on_change(self._links.on_config)
        process.view.on_change(self._neighbours.on_config)
        process.view.on_change(self._on_config)
        app = EntryApp(process, self._caller_api(), AdminApi(self))
        self._http = HttpServer(
            app.handle,
            address=settings.address,
            port=settings.http_port or 0,
            threads=settings.limits.http_threads,
            limits=settings.limits,
        )
        process.meters.add_http_gauges(self._http.resources)

    def start(self) -> None:
        """Starts all tasks."""
        settings = self.process.settings
        sup = self.process.supervisor
        listener = PeerListener(
            self.process, settings.address, settings.peer_port, self._serve
        )
        # No configuration can be in force yet, so no configured links are replaced.
        self._neighbours.reconcile(seed_endpoints(settings))
        self._records.start()
        for name, child in {
            "peer-listener": listener.run,
            "config-watcher": self._watcher.run,
            "readiness": every(readiness.CHECK_INTERVAL_S, self._readiness.tick),
            "config-repair": every(REPAIR_INTERVAL_S, self._config_sync.repair),
            "host-watch": self._host_watch.run,
            "pinger": every(CHECK_INTERVAL_S, self._pinger.tick),
            "retired-links": every(CHECK_INTERVAL_S, self._close_retired),
            "moves": self._moves.controller.run,
        }.items():
            sup.start(name, self.process.control_cost.metered(child))
        self._http.start()

    def _caller_api(self) -> CallerApi:
        """Returns the API for callers; it uses the claims and the durable requests."""
        records = self._records
        return CallerApi(
            self.process, self._dispatcher, records.keyed, records.durable_api
        )

    def drain(self) -> None:
        """Stops accepting new requests and announces it to all peers."""
        if not self.process.draining.is_set():
            self.process.draining.set()
            self.process.ring.record("entry.leaving")
            self._announce()

    def _on_config(self, config: Config) -> None:
        if self.process.is_host_draining(config):
            self.drain()
        elif not self.process.stopping.is_set():
            self.process.draining.clear()

    def wait_idle(self) -> None:
        """Waits until every request in flight has ended."""
        while len(self._dispatcher.tickets):
            time.sleep(DRAIN_POLL_S)
        self._records.release_and_wait()

    # Peers

    def _entry_share(self) -> EntryShare:
        """Returns this entry's share of the workspaces' limits."""
        unreachable = [
            link.name for link in self._neighbours.all() if link.peer is None
        ]
        entries = self.process.view.config.entries
        return entry_share(self.process.settings.name, entries, unreachable)

    def _peers(self) -> list[Peer]:
        with self._lock:
            inbound = list(self._inbound)
        links = [*self._links.all_with_retired(), *self._neighbours.all_with_retired()]
        outbound = [link.peer for link in links]
        return [peer for peer in (*outbound, *inbound) if peer is not None]

    def _on_retired(self, link: Link) -> None:
        self._dispatcher.tickets.notify_retired(link)

    def _close_retired(self) -> None:
        self._links.close_retired(self._dispatcher.tickets.links())
        self._neighbours.close_retired(set())

    def _on_open(self, link: Link, peer: Peer) -> None:
        self._send_initial_state(peer)
        self._host_watch.send_initial_state(peer, link)

    def _send_initial_state(self, peer: Peer) -> None:
        """Sends a new peer what it may have missed."""
        self._config_sync.announce(peer)
        self._suspicions.send_initial_state(peer)
        self._moves.view.send_initial_state(peer)

    def _on_message(self, link: Link, peer: Peer, msg: Any) -> None:
        if self._dispatcher.on_message(link, peer, msg):
            return
        self._handle(peer, msg, link)

    def _last_contact_at(self) -> float:
        received_at = [peer.last_received_at for peer in self._peers()]
        return max([self._watcher.store_reached_at, *received_at])

    def _unasked_patch_peers(self) -> list[Peer]:
        peers = [link.peer for link in self._neighbours.all()]
        return [peer for peer in peers if peer is not None][:UNASKED_PATCH_PEERS]

    def _announce(self) -> None:
        state = self._state()
        for peer in self._peers():
            peer.send(state)

    def _state(self) -> Heartbeat:
        return Heartbeat(
            number=self.process.view.number,
            leaving=self.process.draining.is_set(),
            slots=0,
            free=0,
            waiting=len(self._dispatcher.tickets),
            versions=[],
            token_s=0.0,
        )

    def _on_lost(self, link: Link) -> None:
        """Drops what depends on the ended session of a link."""
        self._states.pop(link.process_name, None)
        self._moves.controller.loader.on_lost(link)
        self._dispatcher.tickets.notify_session_ended(link)

    def _serve(self, peer: Peer) -> None:
        """Serves a session that another process opened."""
        with self._lock:
            self._inbound.add(peer)
        self._send_initial_state(peer)
        self._host_watch.send_initial_state(peer, None)
        try:
            while True:
                self._handle(peer, peer.receive())
        finally:
            peer.close()
            with self._lock:
                self._inbound.discard(peer)

    def _handle(self, peer: Peer, msg: Any, link: Link | None = None) -> None:
        match msg:
            case Heartbeat():
                self._states[peer.name] = (peer.role, msg)
                self._config_sync.on_announced(peer, msg.number)
                if link is None:
                    # The end that accepted the session replies to a ping.
                    peer.send(self._state())
            case EventsAsk():
                reply_with_events(self.process.ring, peer, msg)
            case EventsReply():
                self.timeline.on_reply(msg)
            case HostsLeaving():
                self._host_watch.handle(msg)
            # A census collects the configuration status of all entries.
            case CensusAsk():
                self._status_collector.on_ask(peer, msg)
            case CensusReply():
                self._status_collector.on_reply(msg)
            # Each of these handlers returns whether the message was one of its own. The
            # configuration sync gets the rest.
            case _ if self._records.claim_peers.handle(
                peer, msg
            ) or self._suspicions.handle(msg):
                pass
            case _ if not self._moves.handle(peer, msg, link):
                self._config_sync.handle(peer, msg)

    # Operators

    def submit_patch(self, base: int, patch: dict[str, Any], *, author: str) -> Any:
        """Submits a patch; if it is accepted, it takes effect here at once."""
        outcome = self._store.submit(base, patch, author=author)
        if isinstance(outcome, Accepted):
            self._watcher.refresh()
        return outcome

    def history(self, first: int, last: int) -> list[dict[str, Any]]:
        """Returns the history of a range of configuration numbers."""
        return self._watcher.history(first, last)

    def processes(self) -> list[dict[str, Any]]:
        """Returns the status of this process and of those it has heartbeats of."""
        self._pinger.refresh(STATUS_TIMEOUT_S)
        view = self.process.view
        rows: list[dict[str, Any]] = [
            {
                "name": self.process.settings.name,
                "role": "entry",
                "number": view.number,
                "lag_s": 0.0,
                "leaving": self.process.draining.is_set(),
                "held": len(self._dispatcher.tickets),
            }
        ]
        states = dict(self._states)
        rows += [process_row(name, *states[name], view) for name in sorted(states)]
        return rows

    def config_status(self) -> list[dict[str, Any]]:
        """Returns the configuration number in force at each configured process."""
        view = self.process.view
        rows = self._status_collector.collect()
        highest = max([view.number, *(row.number for row in rows)])
        lag_s = round(time.monotonic() - view.applied_at, 3)
        missing = unreported_rows(view.config, rows)
        return [
            *(status_row(row, highest, lag_s) for row in rows),
            *(unreachable_row(row) for row in missing),
        ]

    def _own_rows(self) -> list[ConfigStatusRow]:
        name, number = self.process.settings.name, self.process.view.number
        self._pinger.refresh(STATUS_TIMEOUT_S)
        responsive = [link for link in self._links.all() if link.is_responsive]
        return [
            ConfigStatusRow("entry", name, name, number),
            *(
                ConfigStatusRow("side", link.name, link.process_name, link.state.number)
                for link in responsive
                if link.state is not None
            ),
        ]

    def routes(self) -> list[dict[str, Any]]:
        """Returns the routes with the number of their usable backend servers."""
        return route_rows(self.process.view.config, self._dispatcher.candidates)

    def tiers(self) -> list[dict[str, Any]]:
        """Returns the tiers in the order in which they are shed."""
        return tier_rows(self.process.view.config)

    def moves(self) -> list[dict[str, Any]]:
        """Returns the configured moves with their state."""
        return self._moves.rows()


def _host_list(settings: Settings) -> HostList | None:
    cfg = settings.host_list
    return host_list.create(cfg.kind, url=cfg.url) if cfg else None
