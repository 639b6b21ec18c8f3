"""Finds out in bounded time that the process behind a link no longer answers.

The end that opened a session pings it with its state and the other end answers with
its own. A link that carries work is pinged after a short silence, a quiet one after
a long silence; a ping without an answer ends the session.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.daemon.links import Link
    from cornelpin.daemon.messages import Heartbeat
    from cornelpin.daemon.peer import Peer
    from cornelpin.daemon.process import Process

CHECK_INTERVAL_S = 0.5
BUSY_SILENCE_S = 1.0
QUIET_SILENCE_S = 8.0
ANSWER_TIMEOUT_S = 3.0
OWN_PAUSE_S = 2.0
ANSWER_POLL_S = 0.005


class Pinger:
    """Pings the links of this process and ends those that do not answer.

    Args:
        process: The process.
        links: Gives the links.
        state: Gives the state to send.
        busy: Gives the links that carry work.
        clock: Gives monotonic time in seconds.
    """

    def __init__(
        self,
        process: Process,
        *,
        links: Callable[[], Iterable[Link]],
        state: Callable[[], Heartbeat],
        busy: Callable[[], set[Link]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ring = process.ring
        self._links = links
        self._state = state
        self._busy = busy
        self._clock = clock
        self._last_tick = clock()
        self.ended = 0

    def tick(self) -> None:
        """Looks at all links once."""
        now = self._clock()
        paused = now - self._last_tick > OWN_PAUSE_S
        self._last_tick = now
        busy = self._busy()
        for link in self._links():
            peer = link.peer
            if peer is None:
                continue
            if paused:
                # This process was stopped: what the peer sent is still unread.
                peer.last_ping_at = None
            silence_s = BUSY_SILENCE_S if link in busy else QUIET_SILENCE_S
            self._check(link, peer, now, silence_s)

    def _check(self, link: Link, peer: Peer, now: float, silence_s: float) -> None:
        last_ping_at = peer.last_ping_at
        waits = last_ping_at is not None and peer.last_received_at < last_ping_at
        if last_ping_at is not None and waits:
            if now - last_ping_at > ANSWER_TIMEOUT_S:
                self._end(link, peer)
        elif now - peer.last_received_at >= silence_s:
            self.ping(peer)

    def refresh(self, timeout_s: float) -> None:
        """Pings all links and waits for the answers, at most for a time."""
        started = self._clock()
        peers = [link.peer for link in self._links()]
        waiting = [peer for peer in peers if peer is not None]
        for peer in waiting:
            self.ping(peer)
        while waiting and self._clock() - started < timeout_s:
            time.sleep(ANSWER_POLL_S)
            waiting = [
                p for p in waiting if not p.closed and p.last_received_at < started
            ]

    def ping(self, peer: Peer) -> None:
        """Asks a peer for its state."""
        peer.last_ping_at = self._clock()
        peer.send(self._state())

    def _end(self, link: Link, peer: Peer) -> None:
        self.ended += 1
        self._ring.record("link.silent", detail=link.name)
        logger.warning("link {}: no answer in {} s", link.name, ANSWER_TIMEOUT_S)
        peer.close()
