"""Follows the host list, a lagging second source of who is leaving.

The entries that watch the configuration poll it and tell the other entries of each
change; every entry tells the sides that it is linked to. The list can only add a
reason to leave: a process that leaves for another reason stays leaving, whatever
the list says.
"""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

from cornelpin.daemon.host_messages import HostNotice, HostsLeaving
from cornelpin.daemon.watcher import is_watcher
from cornelpin.stores.hosts import Hosts

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.links import Link
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process
    from cornelpin.stores.hosts import HostList

POLL_S = 2.0
JITTER = 0.3


class HostWatch:
    """Keeps the set of hosts that are listed as leaving.

    Args:
        process: The process.
        hosts: The host list, None without one.
        peers: Gives all peers.
        links: Gives the links to sides.
        changed: Called after the listed state of this process's own host changed.
    """

    def __init__(
        self,
        process: Process,
        hosts: HostList | None,
        *,
        peers: Callable[[], list[Peer]],
        links: Callable[[], list[Link]],
        changed: Callable[[], None],
    ) -> None:
        self._process = process
        self._hosts = hosts
        self._peers = peers
        self._links = links
        self._changed = changed
        self._lock = threading.Lock()
        self._stamp = 0
        self._leaving: frozenset[str] = frozenset()

    def run(self, stop: threading.Event) -> None:
        """Polls until stopped, in the entries that watch."""
        name = self._process.settings.name
        while not stop.wait(POLL_S * random.uniform(1 - JITTER, 1 + JITTER)):
            if self._hosts is not None and is_watcher(self._process.view.config, name):
                self._poll(self._hosts)

    def _poll(self, hosts: HostList) -> None:
        listed = hosts.hosts()
        if isinstance(listed, Hosts):
            leaving = frozenset(host.host for host in listed.hosts if host.draining)
            self._take(self._process.clock.now(), leaving)

    def handle(self, msg: HostsLeaving) -> None:
        """Takes what another entry has read."""
        self._take(msg.stamp, frozenset(msg.hosts))

    def greet(self, peer: Peer, link: Link | None) -> None:
        """Tells a new peer what is listed."""
        if not self._stamp:
            return
        if peer.role == "entry":
            peer.send(HostsLeaving(self._stamp, sorted(self._leaving)))
        elif link is not None:
            peer.send(self._notice(link))

    def _take(self, stamp: int, leaving: frozenset[str]) -> None:
        with self._lock:
            if stamp <= self._stamp:
                return
            before, known = self._leaving, self._stamp > 0
            self._stamp, self._leaving = stamp, leaving
        if known and leaving == before:
            return
        own = self._process.settings.host in leaving
        if own != self._process.listed_leaving:
            self._process.listed_leaving = own
            self._changed()
        self._process.ring.record("hosts.leaving", detail=", ".join(sorted(leaving)))
        self._tell()

    def _tell(self) -> None:
        for peer in self._peers():
            if peer.role == "entry":
                peer.send(HostsLeaving(self._stamp, sorted(self._leaving)))
        for link in self._links():
            link.send(self._notice(link))

    def _notice(self, link: Link) -> HostNotice:
        server = self._process.view.config.backend_servers.get(link.name)
        leaving = server is not None and server.host in self._leaving
        return HostNotice(self._stamp, leaving)
