"""Spreads the configuration along peer streams, sections by digest.

A process that learns of a higher number asks the peer that announced it for the
sections it lacks, applies the whole, and announces it to its own peers.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from loguru import logger

from cornelpin.core.config import ConfigFaults, parse_config
from cornelpin.core.sections import Head, join
from cornelpin.daemon.messages import (
    ConfigHead,
    ConfigSections,
    ConfigWant,
    ProtocolError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process


class ConfigSpread:
    """Keeps this process and its peers at the highest configuration known."""

    def __init__(self, process: Process, peers: Callable[[], list[Peer]]) -> None:
        self._process = process
        self._view = process.view
        self._peers = peers
        self._lock = threading.Lock()
        self._wanted: Head | None = None

    def greet(self, peer: Peer) -> None:
        """Announces the number in force to a new peer."""
        head = self._view.head
        if head is not None:
            peer.send(ConfigHead(head.number, head.encode()))

    def handle(self, peer: Peer, msg: Any) -> None:
        """Handles a configuration message of a peer."""
        match msg:
            case ConfigHead():
                self._on_head(peer, msg)
            case ConfigWant():
                self._on_want(peer, msg)
            case ConfigSections():
                self._on_sections(msg.sections)
            case _:
                raise ProtocolError(f"unexpected {type(msg).__name__}")

    def publish(self, head: Head, sections: Mapping[str, bytes]) -> bool:
        """Puts a configuration in force here and announces it to all peers."""
        document = join(
            {name: sections[digest] for name, digest in head.sections.items()}
        )
        config = parse_config(document, number=head.number)
        if isinstance(config, ConfigFaults):
            logger.error("configuration {} not applied: {}", head.number, config)
            return False
        held = {digest: sections[digest] for digest in head.sections.values()}
        if not self._view.apply(config, document=document, head=head, sections=held):
            return False
        self._process.ring.record("config.in-force", detail=str(head.number))
        for peer in self._peers():
            self.greet(peer)
        return True

    def _on_head(self, peer: Peer, msg: ConfigHead) -> None:
        if msg.number <= self._view.number:
            return
        head = Head.decode(msg.head)
        with self._lock:
            if self._wanted is None or head.number > self._wanted.number:
                self._wanted = head
        held = self._view.sections
        missing = [d for d in head.sections.values() if d not in held]
        if missing:
            peer.send(ConfigWant(missing))
        else:
            self._on_sections({})

    def _on_want(self, peer: Peer, msg: ConfigWant) -> None:
        held = self._view.sections
        peer.send(ConfigSections({d: held[d] for d in msg.digests if d in held}))

    def _on_sections(self, received: Mapping[str, bytes]) -> None:
        with self._lock:
            head = self._wanted
        if head is None or head.number <= self._view.number:
            return
        known = {**self._view.sections, **received}
        if all(digest in known for digest in head.sections.values()):
            self.publish(head, known)
