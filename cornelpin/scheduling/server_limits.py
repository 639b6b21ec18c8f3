"""Rates that backend servers ask all entries together not to exceed.

A server in need names its limit in its responses, for as long as it needs it. Entries
exchange what they have seen; of two observations the later one holds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cornelpin.scheduling.servers import BackendServer

Incarnation = tuple[str, int]
"""Id of a server and start of its incarnation, as ``BackendServer.incarnation``."""

PackedObservation = list[str | float | None]
"""An observation in a message: id and start of the server's incarnation, the limit, the
age of the observation in seconds, and the number of responses without a limit since."""

END_RESPONSES = 2
"""Responses without a limit that end it: a single one may have been made by something
else on the way."""
FORGET_S = 15.0
"""Time after its last observation for which the limit of a server that is not listed is
kept: an entry's list may be older than its peers' observations."""
MAX_PER_MESSAGE = 200
"""Most observations in one message, of about 30 bytes each."""
MAX_OBSERVATIONS = 10_000
"""Most servers whose observations are kept: twice those of the largest deployment."""


@attrs.frozen
class Observation:
    """What a server's responses last said about its limit.

    Attributes:
        limit_per_s: Requests per second from all entries together; None once the limit
            has ended.
        observed_at: Monotonic time of the last response that named a limit, or failed
            to name it.
        missing: Consecutive responses since then that named none.
        learned_at: Monotonic time at which this entry learned that there is a limit.
    """

    limit_per_s: float | None
    observed_at: float
    missing: int = 0
    learned_at: float = 0.0


class ServerLimits:
    """Limits of the servers as known at one entry."""

    def __init__(self) -> None:
        self._observations: dict[Incarnation, Observation] = {}
        self._unsent: dict[Incarnation, None] = {}

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Returns a server's limit in requests per second; None if it has none."""
        observation = self._observations.get(server.incarnation)
        return observation.limit_per_s if observation is not None else None

    def get(self, incarnation: Incarnation) -> Observation | None:
        """Returns the last observation of an incarnation."""
        return self._observations.get(incarnation)

    def incarnations(self) -> set[Incarnation]:
        """Returns the servers with a limit."""
        return {i for i, o in self._observations.items() if o.limit_per_s is not None}

    @property
    def limited(self) -> int:
        """Number of servers with a limit."""
        return len(self.incarnations())

    def observe(
        self,
        incarnation: Incarnation,
        limit_per_s: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records what a response says; returns whether the limit has changed.

        Args:
            incarnation: The server.
            limit_per_s: The limit that it names; None if it names none.
            sent_at: Monotonic time at which its request was sent. A response to an
                earlier request says nothing about a limit that was named since.
            now: Monotonic time in seconds.
        """
        known = self._observations.get(incarnation)
        if limit_per_s is None:
            return known is not None and self._observe_missing(
                incarnation, known, sent_at, now
            )
        self._put(incarnation, Observation(limit_per_s, now))
        return known is None or known.limit_per_s != limit_per_s

    def _observe_missing(
        self, incarnation: Incarnation, known: Observation, sent_at: float, now: float
    ) -> bool:
        if known.limit_per_s is None or sent_at <= known.observed_at:
            return False
        missing = known.missing + 1
        ended = missing >= END_RESPONSES
        limit_per_s = None if ended else known.limit_per_s
        self._put(incarnation, Observation(limit_per_s, now, missing))
        return ended

    def _put(self, incarnation: Incarnation, observation: Observation) -> None:
        """Stores an observation and marks it to be sent if it says something new."""
        known = self._observations.pop(incarnation, None)
        learned_at = observation.observed_at
        if known is not None and known.limit_per_s is not None:
            learned_at = known.learned_at
        if known is None or (known.limit_per_s, known.missing) != (
            observation.limit_per_s,
            observation.missing,
        ):
            self._unsent[incarnation] = None
        self._observations[incarnation] = attrs.evolve(
            observation, learned_at=learned_at
        )
        if len(self._observations) > MAX_OBSERVATIONS:
            dropped = next(iter(self._observations))
            del self._observations[dropped]
            self._unsent.pop(dropped, None)

    def export(self, now: float) -> list[PackedObservation]:
        """Returns all observations for messages."""
        return [self.packed(incarnation, now) for incarnation in self._observations]

    def take_unsent(self, now: float) -> list[PackedObservation]:
        """Returns observations that peers don't know yet, which then count as sent.

        At most ``MAX_PER_MESSAGE`` are returned; the others remain for the next call.
        """
        taken = list(self._unsent)[:MAX_PER_MESSAGE]
        for incarnation in taken:
            del self._unsent[incarnation]
        return [self.packed(incarnation, now) for incarnation in taken]

    def packed(self, incarnation: Incarnation, now: float) -> PackedObservation:
        """Returns one observation for a message."""
        known = self._observations[incarnation]
        age_s = round(now - known.observed_at, 3)
        return [*incarnation, known.limit_per_s, age_s, known.missing]

    def merge(
        self, received: Iterable[Sequence[object]], now: float
    ) -> list[Incarnation]:
        """Merges a peer's observations; returns the servers whose limits have changed.

        Args:
            received: Observations as of ``export``.
            now: Monotonic time in seconds.
        """
        changed = []
        for server_id, started_ms, limit_per_s, age_s, missing in received:
            incarnation = (str(server_id), int(str(started_ms)))
            limit = None if limit_per_s is None else float(str(limit_per_s))
            observed_at = now - max(0.0, float(str(age_s)))
            known = self._observations.get(incarnation)
            if known is not None and observed_at <= known.observed_at:
                # The peer has missed what is known here.
                if known.limit_per_s != limit:
                    self._unsent[incarnation] = None
                continue
            if known is None and limit is None:
                continue
            before = known.limit_per_s if known is not None else None
            self._put(incarnation, Observation(limit, observed_at, int(str(missing))))
            self._unsent.pop(incarnation, None)
            if before != limit:
                changed.append(incarnation)
        return changed

    def forget(self, alive: set[Incarnation], now: float) -> None:
        """Drops observations of servers that are gone.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        for incarnation, known in list(self._observations.items()):
            if incarnation not in alive and now - known.observed_at > FORGET_S:
                del self._observations[incarnation]
                self._unsent.pop(incarnation, None)
