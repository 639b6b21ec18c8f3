"""Spreads suspicions along peer streams: side to entry, entry to side and entry."""

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
    """The suspicions of this process, kept equal to those of its peers.

    What is new here goes to all peers, so a finding reaches every process that is
    linked through others and each message stops where it is known.
    """

    def __init__(self, process: Process, peers: Callable[[], list[Peer]]) -> None:
        self._ring = process.ring
        self._peers = peers
        self._table = SuspicionTable()

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a content has to run alone."""
        return self._table.state(fingerprint) is ContentState.SUSPECT

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a content is refused."""
        return self._table.state(fingerprint) is ContentState.QUARANTINED

    def send_initial_state(self, peer: Peer) -> None:
        """Tells a new peer what is held against contents."""
        suspects = self._table.contents_in(ContentState.SUSPECT)
        if suspects:
            peer.send(Suspected(suspects))
        for fingerprint in self._table.contents_in(ContentState.QUARANTINED):
            peer.send(Quarantined(fingerprint))

    def handle(self, msg: Any) -> bool:
        """Handles a message about suspicions; returns whether it was one."""
        match msg:
            case Crash():
                self._crash(msg)
            case Cleared():
                self.clear(msg.fingerprint)
            case Suspected():
                self._table.add_suspects(msg.fingerprints)
            case Quarantined():
                self._quarantine(msg)
            case _:
                return False
        return True

    def report_crash(self, fingerprints: Sequence[str]) -> None:
        """Reports the contents in flight at a crash seen here."""
        self._ring.record("server.crashed", detail=f"{len(fingerprints)} in flight")
        logger.warning("the backend server died; {} in flight", len(fingerprints))
        crash_id = secrets.token_hex(CRASH_ID_BYTES)
        self._crash(Crash(crash_id, list(fingerprints)))

    def clear(self, fingerprint: str) -> None:
        """Clears a suspect that has completed."""
        if self._table.clear(fingerprint):
            self._ring.record("content.cleared", detail=fingerprint)
            self._send(Cleared(fingerprint))

    def _crash(self, msg: Crash) -> None:
        before = set(self._table.contents_in(ContentState.QUARANTINED))
        if not self._table.record_crash(msg.crash_id, msg.fingerprints):
            return
        self._send(msg)
        for fingerprint in self._table.contents_in(ContentState.QUARANTINED):
            if fingerprint not in before:
                self._announce(fingerprint)

    def _quarantine(self, msg: Quarantined) -> None:
        if self._table.quarantine(msg.fingerprint):
            self._announce(msg.fingerprint)

    def _announce(self, fingerprint: str) -> None:
        self._ring.record("content.quarantined", detail=fingerprint)
        self._send(Quarantined(fingerprint))

    def _send(self, msg: Any) -> None:
        for peer in self._peers():
            peer.send(msg)
