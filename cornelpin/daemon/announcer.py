"""Announces the state of a side to its entries at a limited rate."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.daemon.messages import Heartbeat
    from cornelpin.daemon.peer import Peer

# Interval at which ``tick`` is called.
TICK_S = 0.5
LOAD_INTERVAL_S = 2.0


class Announcer:
    """Sends the state of this process to its peers when it has changed.

    ``announce`` sends important changes at once; ``tick`` sends changes of the load at
    most once per ``LOAD_INTERVAL_S``.

    Args:
        state: Returns the current state.
        peers: Returns the current peers.
        clock: Returns monotonic time in seconds.
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
        """Sends the state to all peers now."""
        state = self._state()
        with self._lock:
            self._sent, self._sent_at = _load_fields(state), self._clock()
        for peer in self._peers():
            peer.send(state)

    def send_state(self, state: Heartbeat, send: Callable[[Heartbeat], None]) -> None:
        """Sends a state to one peer.

        If its load differs from the last announcement, the next due tick announces the
        current load to all peers.
        """
        with self._lock:
            if _load_fields(state) != self._sent:
                self._sent = ()
        send(state)

    def tick(self) -> None:
        """Announces the state if its load has changed and the interval has passed."""
        if self._clock() - self._sent_at < LOAD_INTERVAL_S:
            return
        if _load_fields(self._state()) != self._sent:
            self.announce()


def _load_fields(state: Heartbeat) -> tuple[object, ...]:
    """Returns the fields whose change is announced.

    Other messages announce the configuration number. The measured ``token_s`` and
    ``drain_per_s`` change with each run and are sent along with the next announcement.
    """
    return state.leaving, state.slots, state.free, state.waiting, state.versions
