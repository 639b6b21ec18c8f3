"""Synchronises suspicions between processes.

A suspicion says that a request content was in flight when a backend server crashed.
Sides send suspicions to entries, and entries to sides and to other entries.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from loguru import logger

from cornelpin.core.suspicion import ContentState, SuspicionTable
from cornelpin.daemon.suspicion_messages import Cleared, Crash, Quarantined, Suspected

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

CRASH_ID_BYTES = 8


class SuspicionSync:
    """The suspicions of this process, kept in sync with those of its peers.

    A message that changes the state here is forwarded to all peers, so that it also
    reaches processes without a direct link; one that changes nothing is not forwarded.
    ``Suspected``, which a process sends when a session opens, is never forwarded.

    Args:
        process: The process.
        peers: Returns the current peers.
    """

    def __init__(self, process: Process, peers: Callable[[], list[Peer]]) -> None:
        self._ring = process.ring
        self._peers = peers
        self._table = SuspicionTable()

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a content must run alone."""
        return self._table.state(fingerprint) is ContentState.SUSPECT

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a content is refused."""
        return self._table.state(fingerprint) is ContentState.QUARANTINED

    def send_initial_state(self, peer: Peer) -> None:
        """Sends all suspected and quarantined contents to a new peer."""
        suspects = self._table.contents_in(ContentState.SUSPECT)
        if suspects:
            peer.send(Suspected(suspects))
        for fingerprint in self._table.contents_in(ContentState.QUARANTINED):
            peer.send(Quarantined(fingerprint))

    def handle(self, msg: Any) -> bool:
        """Handles a message about suspicions; returns whether it was one."""
        match msg:
            case Crash():
                self._on_crash(msg)
            case Cleared():
                self.clear(msg.fingerprint)
            case Suspected():
                self._table.add_suspects(msg.fingerprints)
            case Quarantined():
                self._on_quarantined(msg)
            case _:
                return False
        return True

    def report_crash(self, fingerprints: Sequence[str]) -> None:
        """Reports a crash of the backend server with these contents in flight."""
        self._ring.record("server.crashed", detail=f"{len(fingerprints)} in flight")
        logger.warning(
            "backend server crashed with {} contents in flight", len(fingerprints)
        )
        crash_id = secrets.token_hex(CRASH_ID_BYTES)
        self._on_crash(Crash(crash_id, list(fingerprints)))

    def clear(self, fingerprint: str) -> None:
        """Clears a suspected content that has completed."""
        if self._table.clear(fingerprint):
            self._ring.record("content.cleared", detail=fingerprint)
            self._send_to_all(Cleared(fingerprint))

    def _on_crash(self, msg: Crash) -> None:
        known = set(self._table.contents_in(ContentState.QUARANTINED))
        if not self._table.record_crash(msg.crash_id, msg.fingerprints):
            return
        self._send_to_all(msg)
        for fingerprint in self._table.contents_in(ContentState.QUARANTINED):
            if fingerprint not in known:
                self._send_quarantined(fingerprint)

    def _on_quarantined(self, msg: Quarantined) -> None:
        if self._table.quarantine(msg.fingerprint):
            self._send_quarantined(msg.fingerprint)

    def _send_quarantined(self, fingerprint: str) -> None:
        self._ring.record("content.quarantined", detail=fingerprint)
        self._send_to_all(Quarantined(fingerprint))

    def _send_to_all(self, msg: Any) -> None:
        for peer in self._peers():
            peer.send(msg)
