"""Follows the host list, which reports draining hosts besides the configuration.

The list may lag. The entries that watch the configuration poll it and send each change
to the other entries; every entry forwards it to the sides that it is linked to. It can
only add a reason to drain: a process that drains for another reason continues to do so.
"""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

from cornelpin.daemon.config_watcher import is_watcher
from cornelpin.daemon.host_messages import HostNotice, HostsLeaving
from cornelpin.stores.hosts import Hosts

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.links import Link
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.stores.hosts import HostList

POLL_INTERVAL_S = 2.0
# Largest random change of the poll interval, as a fraction of it.
JITTER = 0.3


class HostWatch:
    """Keeps the set of hosts that are listed as draining.

    Args:
        process: The process.
        host_list: The host list, or None if none is configured.
        peers: Returns all peers.
        links: Returns the links to sides.
        on_change: Called after the listed state of this process's own host has changed.
    """

    def __init__(
        self,
        process: Process,
        host_list: HostList | None,
        *,
        peers: Callable[[], list[Peer]],
        links: Callable[[], list[Link]],
        on_change: Callable[[], None],
    ) -> None:
        self._process = process
        self._host_list = host_list
        self._peers = peers
        self._links = links
        self._on_change = on_change
        self._lock = threading.Lock()
        self._stamp = 0
        self._draining: frozenset[str] = frozenset()

    def run(self, stop: threading.Event) -> None:
        """Polls until stopped, if this entry is a watcher."""
        name = self._process.settings.name
        while not stop.wait(POLL_INTERVAL_S * random.uniform(1 - JITTER, 1 + JITTER)):
            if self._host_list is not None and is_watcher(
                self._process.view.config, name
            ):
                self._poll(self._host_list)

    def _poll(self, host_list: HostList) -> None:
        listed = host_list.read()
        if isinstance(listed, Hosts):
            draining = frozenset(host.name for host in listed.hosts if host.draining)
            self._update(self._process.clock.now(), draining)

    def handle(self, msg: HostsLeaving) -> None:
        """Applies a reading of the list by another entry, if it is newer."""
        self._update(msg.stamp, frozenset(msg.hosts))

    def send_initial_state(self, peer: Peer, link: Link | None) -> None:
        """Sends the listed state to a new peer; an entry gets all draining hosts."""
        if not self._stamp:
            return
        if peer.role == "entry":
            peer.send(HostsLeaving(self._stamp, sorted(self._draining)))
        elif link is not None:
            peer.send(self._notice(link))

    def _update(self, stamp: int, draining: frozenset[str]) -> None:
        with self._lock:
            if stamp <= self._stamp:
                return
            previous, initialized = self._draining, self._stamp > 0
            self._stamp, self._draining = stamp, draining
        if initialized and draining == previous:
            return
        own = self._process.settings.host in draining
        if own != self._process.listed_draining:
            self._process.listed_draining = own
            self._on_change()
        self._process.ring.record("hosts.leaving", detail=", ".join(sorted(draining)))
        self._notify_peers()

    def _notify_peers(self) -> None:
        for peer in self._peers():
            if peer.role == "entry":
                peer.send(HostsLeaving(self._stamp, sorted(self._draining)))
        for link in self._links():
            link.send(self._notice(link))

    def _notice(self, link: Link) -> HostNotice:
        server = self._process.view.config.backend_servers.get(link.name)
        draining = server is not None and server.host in self._draining
        return HostNotice(self._stamp, draining)
