"""Announces the state of a side to its entries without flooding them."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.messages import Heartbeat
    from cornelpin.daemon.peer import Peer

TICK_S = 0.5
LOAD_INTERVAL_S = 2.0


class Announcer:
    """Sends the state of this process when it has changed.

    Changes that entries must not miss go out at once; those of the load at most
    once in an interval.
    """

    def __init__(
        self,
        state: Callable[[], Heartbeat],
        peers: Callable[[], list[Peer]],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._sent: tuple[object, ...] = ()
        self._sent_at = clock()

    def announce(self) -> None:
        """Announces the state to all peers at once."""
        state = self._state()
        with self._lock:
            self._sent, self._sent_at = _load_of(state), self._clock()
        for peer in self._peers():
            peer.send(state)

    def send_state(self, state: Heartbeat, send: Callable[[Heartbeat], None]) -> None:
        """Sends a state to one peer; all hear of the load again after it."""
        with self._lock:
            if _load_of(state) != self._sent:
                self._sent = ()
        send(state)

    def tick(self) -> None:
        """Announces the load if it has changed and the interval is over."""
        if self._clock() - self._sent_at < LOAD_INTERVAL_S:
            return
        if _load_of(self._state()) != self._sent:
            self.announce()


def _load_of(state: Heartbeat) -> tuple[object, ...]:
    """Returns what entries decide by; the number travels by other messages."""
    return state.leaving, state.slots, state.free, state.waiting, state.versions
