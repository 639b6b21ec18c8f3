"""An entry's links to sides and to other entries, kept open as configured."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from cornelpin.daemon.messages import Heartbeat, ProtocolError
from cornelpin.daemon.peer import PeerClosed, connect

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.core.config import Config
    from cornelpin.daemon.endpoints import Endpoint
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# After this time without a message, the last heartbeat of a link may be outdated.
FRESH_WITHIN_S = 1.5
# Long enough for a grant decided just before its link was retired to be recorded in
# its ticket, which then keeps the link open.
MIN_RETIRED_S = 2.0


class Link:
    """The link to one process: its current session and last announced state.

    Attributes:
        name: Name of the link: that of the backend server or entry, or of a seed.
        endpoint: Address and data centre of the process.
        process_name: Name of the process at the other end of the last session.
        incarnation: Incarnation of that process.
        state: Last heartbeat of the current session.
        direct_grants: Grants without a reservation sent since that heartbeat.
        shed_until: Always 0; nothing reads it.
        retired: Whether the link is no longer wanted.
    """

    def __init__(self, name: str, endpoint: Endpoint) -> None:
        self.name = name
        self.endpoint = endpoint
        self.process_name = ""
        self.incarnation = ""
        self.state: Heartbeat | None = None
        self.direct_grants = 0
        self.shed_until = 0.0
        self.retired = False
        self._peer: Peer | None = None
        self._opened = threading.Condition()

    @property
    def usable(self) -> bool:
        """Whether the process is connected, has a configuration and is not draining."""
        state = self.state
        if self._peer is None or state is None or self.retired:
            return False
        return state.number > 0 and not state.leaving

    @property
    def fresh(self) -> bool:
        """Whether a message was received within the last ``FRESH_WITHIN_S``."""
        peer = self._peer
        return (
            peer is not None
            and time.monotonic() - peer.last_received_at < FRESH_WITHIN_S
        )

    @property
    def is_responsive(self) -> bool:
        """Whether the session is open and its last ping was answered."""
        peer = self._peer
        if peer is None:
            return False
        return peer.last_ping_at is None or peer.last_received_at >= peer.last_ping_at

    @property
    def idle_slots(self) -> int:
        """Free slots as last announced, less the direct grants sent since.

        Zero if reservations are queued at the side or its state is not fresh.
        """
        state = self.state
        if state is None or state.waiting or not self.fresh:
            return 0
        return state.free - self.direct_grants

    def has_version(self, version: str) -> bool:
        """Whether the side has announced the version as loaded."""
        return self.state is not None and version in self.state.versions

    def lacks_version(self, version: str) -> bool:
        """Whether the side has announced versions, but not this one."""
        loaded = self.state.versions if self.state is not None else []
        return bool(version and loaded) and version not in loaded

    @property
    def peer(self) -> Peer | None:
        """The current session, if any."""
        return self._peer

    def send(self, msg: Any) -> bool:
        """Sends a message on the current session.

        Returns:
            Whether there is a session.
        """
        peer = self._peer
        if peer is None:
            return False
        peer.send(msg)
        return True

    def on_state(self, state: Heartbeat) -> None:
        """Stores a heartbeat and resets the count of direct grants."""
        self.state = state
        self.direct_grants = 0

    def set_session(self, peer: Peer) -> None:
        """Stores a new session and wakes those that wait for one."""
        with self._opened:
            self.state = None
            self.process_name = peer.name
            self.incarnation = peer.incarnation
            self._peer = peer
            self._opened.notify_all()

    def clear_session(self) -> None:
        """Clears the session and its state once it has ended."""
        with self._opened:
            self._peer = None
            self.state = None

    def close(self) -> None:
        """Closes the current session, if any."""
        peer = self._peer
        if peer is not None:
            peer.close()

    def wait_for_session(self, timeout_s: float) -> bool:
        """Waits for a session; returns whether there is one in time."""
        with self._opened:
            return self._opened.wait_for(lambda: self._peer is not None, timeout_s)


class LinkTable:
    """Keeps a link, with a task of its own, to each wanted process.

    A link that is no longer wanted is retired: it gets no new requests and is closed
    once it is idle, so that a change of the configuration interrupts no response.

    Args:
        process: The process.
        wanted: Returns the endpoints to link to, by link name.
        on_open: Called with a link and its new session.
        on_message: Called with each message.
        on_lost: Called when a session has ended.
        on_retired: Called when a link has been retired.

    Attributes:
        generation: Incremented whenever the links are reconciled.
    """

    def __init__(
        self,
        process: Process,
        *,
        wanted: Callable[[Config], dict[str, Endpoint]],
        on_open: Callable[[Link, Peer], None],
        on_message: Callable[[Link, Peer, Any], None],
        on_lost: Callable[[Link], None],
        on_retired: Callable[[Link], None] = lambda link: None,
    ) -> None:
        self._process = process
        self._wanted = wanted
        self._on_open = on_open
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_retired = on_retired
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._stops: dict[Link, threading.Event] = {}
        self._retired: dict[Link, float] = {}
        self.generation = 0

    def all(self) -> list[Link]:
        """Returns all wanted links."""
        with self._lock:
            return list(self._links.values())

    def all_with_retired(self) -> list[Link]:
        """Returns all links, including the retired ones."""
        with self._lock:
            return [*self._links.values(), *self._retired]

    def peer_of(self, name: str) -> Peer | None:
        """Returns the session of the named link, if it is open."""
        with self._lock:
            link = self._links.get(name)
        return link.peer if link is not None else None

    def of_servers(self, names: list[str] | tuple[str, ...]) -> list[Link]:
        """Returns the links to the given backend servers."""
        with self._lock:
            return [self._links[name] for name in names if name in self._links]

    def on_config(self, config: Config) -> None:
        """Reconciles the links with a new configuration."""
        self.reconcile(self._wanted(config))

    def reconcile(self, wanted: Mapping[str, Endpoint]) -> None:
        """Adds missing links and retires those that are no longer wanted.

        A retired link that is wanted again at the same endpoint is restored.
        """
        with self._lock:
            self.generation += 1
            unwanted = [
                link
                for name, link in self._links.items()
                if wanted.get(name) != link.endpoint
            ]
            for link in unwanted:
                self._retire(link)
            for name, endpoint in wanted.items():
                if name not in self._links and not self._restore(name, endpoint):
                    self._add(Link(name, endpoint))
        for link in unwanted:
            self._on_retired(link)

    def close_retired(self, busy: set[Link]) -> None:
        """Closes links that were retired ``MIN_RETIRED_S`` ago and are idle.

        Args:
            busy: Links with requests or reservations.
        """
        latest = time.monotonic() - MIN_RETIRED_S
        with self._lock:
            retired = self._retired.items()
            done = [link for link, at in retired if at < latest and link not in busy]
            for link in done:
                del self._retired[link]
                self._stops.pop(link).set()
                link.close()

    def _add(self, link: Link) -> None:
        def child(stop: threading.Event) -> None:
            self._keep_open(link, stop)

        self._links[link.name] = link
        self._stops[link] = self._process.supervisor.start(
            f"link-{link.name}", child, interrupt=link.close
        )

    def _restore(self, name: str, endpoint: Endpoint) -> bool:
        """Restores a retired link, if there is one with this name and endpoint.

        With a second link, the side would close the session of the first: it serves
        only the latest session of each entry.
        """
        for link in self._retired:
            if (link.name, link.endpoint) == (name, endpoint):
                del self._retired[link]
                link.retired = False
                self._links[name] = link
                return True
        return False

    def _retire(self, link: Link) -> None:
        del self._links[link.name]
        link.retired = True
        self._retired[link] = time.monotonic()

    def _keep_open(self, link: Link, stop: threading.Event) -> None:
        """Connects and serves the session, reconnecting with backoff until stopped."""
        backoff_s = FIRST_BACKOFF_S
        while not stop.is_set():
            try:
                peer = connect(
                    link.endpoint.address,
                    self._process.identity,
                    clock=self._process.clock,
                    cost=self._process.control_cost,
                )
            except (PeerClosed, ProtocolError) as exc:
                logger.debug("cannot connect link {}, will retry: {}", link.name, exc)
                stop.wait(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            backoff_s = FIRST_BACKOFF_S
            self._serve(link, peer, stop)

    def _serve(self, link: Link, peer: Peer, stop: threading.Event) -> None:
        link.set_session(peer)
        if stop.is_set():
            # The stop may have come before there was a session to interrupt.
            peer.close()
        self._process.ring.record("link.opened", detail=link.name)
        try:
            self._on_open(link, peer)
            while True:
                msg = peer.receive()
                if isinstance(msg, Heartbeat):
                    link.on_state(msg)
                self._on_message(link, peer, msg)
        except PeerClosed:
            pass
        except ProtocolError as exc:
            logger.warning("session of link {} closed: {}", link.name, exc)
        finally:
            peer.close()
            link.clear_session()
            self._process.ring.record("link.lost", detail=link.name)
            self._on_lost(link)
