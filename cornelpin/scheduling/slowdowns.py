"""How long work takes on servers at this moment, as they state it in their responses.

Answers servers that share their hosts with others: a neighbour slows one down for half
a second at a time, which a speed estimate over many responses averages away. Speed
estimates are kept without the stated factors, and a placement multiplies them with the
factor that is expected now. So a server that always states the same, true or not, is
taken by what is measured.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from cornelpin.scheduling.server_limits import Incarnation
    from cornelpin.scheduling.servers import BackendServer

HALF_LIFE_S = 0.6
"""Time after which half of a stated factor's deviation from the mean has faded: about
the length of a neighbour's spell."""
MEAN_DECAY = 0.98
"""Weight of the old value in the mean factor of a server, over some tens of spells."""
FACTOR_RANGE = (0.1, 10.0)
"""Range to which stated factors are cut; no value beyond it is plausible."""
MIN_CHANGE = 0.1
"""Change of the factor from which peers are told at once."""
REPEAT_S = 0.3
"""Time after which they are told although it has not changed, so that their knowledge
does not fade."""
MAX_PER_MESSAGE = 60
"""Most factors in one message, of about 25 bytes each."""


@attrs.define
class _Stated:
    """What one server has stated.

    Attributes:
        factor: Factor on its usual times, as last stated.
        at: Monotonic time of the statement.
        mean: Mean of the factors.
        sent: Factor last sent to peers; None if none was sent.
        sent_at: Monotonic time at which it was sent.
    """

    factor: float
    at: float
    mean: float
    sent: float | None = None
    sent_at: float = float("-inf")

    def is_news(self, now: float) -> bool:
        """Returns whether peers do not know the statement, or theirs has faded."""
        if self.sent is None or abs(self.factor - self.sent) >= MIN_CHANGE:
            return True
        # A factor near the mean is what fading leads to at the peers, too.
        fades = abs(self.factor - self.mean) >= MIN_CHANGE
        return fades and now - self.sent_at >= REPEAT_S


class Slowdowns:
    """Stated factors of all servers as known at one entry.

    Attributes:
        invalid: Number of statements that were not valid or out of range.
    """

    def __init__(self) -> None:
        self._stated: dict[Incarnation, _Stated] = {}
        # Servers with own statements that peers may not know.
        self._unsent: dict[Incarnation, None] = {}
        self.invalid = 0

    def record(self, server: BackendServer, factor: float, now: float) -> float:
        """Records the factor that a response states; returns it, cut to the range."""
        least, most = FACTOR_RANGE
        cut = min(most, max(least, factor))
        self.invalid += cut != factor
        self._put(server.incarnation, cut, now)
        self._unsent[server.incarnation] = None
        return cut

    def _put(self, incarnation: Incarnation, factor: float, at: float) -> None:
        known = self._stated.get(incarnation)
        if known is None:
            self._stated[incarnation] = _Stated(factor, at, factor)
        elif at > known.at:
            known.factor, known.at = factor, at
            known.mean = MEAN_DECAY * known.mean + (1 - MEAN_DECAY) * factor

    def expected(self, server: BackendServer, now: float) -> float:
        """Returns the factor on a server's times that is expected now.

        One for a server that has stated none.
        """
        known = self._stated.get(server.incarnation)
        if known is None:
            return 1.0
        faded = 0.5 ** (max(0.0, now - known.at) / HALF_LIFE_S)
        return known.mean + (known.factor - known.mean) * faded

    def age_s(self, server: BackendServer, now: float) -> float | None:
        """Returns the age of a server's last statement in seconds; None without one."""
        known = self._stated.get(server.incarnation)
        return now - known.at if known is not None else None

    def slow(self, factor: float, now: float) -> int:
        """Returns the number of servers whose last statement is recent and so high."""
        return sum(
            known.factor >= factor and now - known.at < HALF_LIFE_S
            for known in self._stated.values()
        )

    def take_unsent(self, now: float) -> list[list[str | float]]:
        """Returns the statements to send to peers, which then count as sent.

        Each has id and start of its server's incarnation, the factor and its age in
        seconds.
        """
        taken: list[list[str | float]] = []
        for incarnation in list(self._unsent):
            known = self._stated[incarnation]
            if not known.is_news(now):
                continue
            if len(taken) == MAX_PER_MESSAGE:
                break
            del self._unsent[incarnation]
            known.sent, known.sent_at = known.factor, now
            age_s = round(now - known.at, 3)
            taken.append([*incarnation, round(known.factor, 2), age_s])
        return taken

    def merge(self, received: Iterable[Sequence[object]], now: float) -> None:
        """Merges a peer's statements (``take_unsent``); the later one holds."""
        for server_id, started_ms, factor, age_s in received:
            at = now - max(0.0, float(str(age_s)))
            incarnation = (str(server_id), int(str(started_ms)))
            self._put(incarnation, float(str(factor)), at)

    def forget(self, alive: set[Incarnation]) -> None:
        """Drops what is known of servers that are gone."""
        for incarnation in self._stated.keys() - alive:
            del self._stated[incarnation]
            self._unsent.pop(incarnation, None)
