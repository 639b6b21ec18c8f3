"""Detects in bounded time that the process behind a link no longer responds.

The end that opened a session pings the other with its own heartbeat, and the other
replies with its own. A link with requests is pinged after a short time without
messages, an idle one after a longer time; a session is closed if a ping gets no reply
in time.
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
BUSY_PING_AFTER_S = 1.0
IDLE_PING_AFTER_S = 8.0
PING_TIMEOUT_S = 3.0
# A longer gap between checks means that this process itself was suspended.
MAX_CHECK_GAP_S = 2.0
REPLY_POLL_S = 0.005


class Pinger:
    """Pings the links of this process and closes sessions that do not respond.

    Args:
        process: The process.
        links: Returns the links.
        state: Returns the heartbeat to send as a ping.
        pinged_often: Returns the links to be pinged after ``BUSY_PING_AFTER_S``; the
            others are pinged after ``IDLE_PING_AFTER_S``.
        clock: Returns monotonic time in seconds.

    Attributes:
        timed_out: Sessions closed because a ping got no reply in time.
    """

    def __init__(
        self,
        process: Process,
        *,
        links: Callable[[], Iterable[Link]],
        state: Callable[[], Heartbeat],
        pinged_often: Callable[[], set[Link]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ring = process.ring
        self._links = links
        self._state = state
        self._pinged_often = pinged_often
        self._clock = clock
        self._last_tick = clock()
        self.timed_out = 0

    def tick(self) -> None:
        """Checks all links once."""
        now = self._clock()
        was_suspended = now - self._last_tick > MAX_CHECK_GAP_S
        self._last_tick = now
        pinged_often = self._pinged_often()
        for link in self._links():
            peer = link.peer
            if peer is None:
                continue
            if was_suspended:
                # A reply may have arrived meanwhile that is not read yet.
                peer.last_ping_at = None
            ping_after_s = (
                BUSY_PING_AFTER_S if link in pinged_often else IDLE_PING_AFTER_S
            )
            self._check(link, peer, now, ping_after_s)

    def _check(self, link: Link, peer: Peer, now: float, ping_after_s: float) -> None:
        last_ping_at = peer.last_ping_at
        unanswered = last_ping_at is not None and peer.last_received_at < last_ping_at
        if last_ping_at is not None and unanswered:
            if now - last_ping_at > PING_TIMEOUT_S:
                self._close(link, peer)
        elif now - peer.last_received_at >= ping_after_s:
            self.ping(peer)

    def refresh(self, timeout_s: float) -> None:
        """Pings all links and waits for their replies, at most ``timeout_s``."""
        started = self._clock()
        peers = [link.peer for link in self._links()]
        waiting = [peer for peer in peers if peer is not None]
        for peer in waiting:
            self.ping(peer)
        while waiting and self._clock() - started < timeout_s:
            time.sleep(REPLY_POLL_S)
            waiting = [
                p for p in waiting if not p.closed and p.last_received_at < started
            ]

    def ping(self, peer: Peer) -> None:
        """Sends this process's heartbeat, to which the peer replies with its own."""
        peer.last_ping_at = self._clock()
        peer.send(self._state())

    def _close(self, link: Link, peer: Peer) -> None:
        self.timed_out += 1
        self._ring.record("link.silent", detail=link.name)
        logger.warning(
            "link {}: no reply to a ping within {} s; closing the session",
            link.name,
            PING_TIMEOUT_S,
        )
        peer.close()
