"""Tells crashes of servers from other ends of their connections.

Load pattern: a server drops connections that have been idle, a network device resets
some, a partition ends others, and a server that stops as planned closes all. Each looks
to a request like a crash of its server. A run whose connection ended is thus only
suspected, until its server is known to have ended: its address refuses connections, or
another incarnation is registered. A server that accepts a connection goes on.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornelpin.scheduling.servers import ServerList

Incarnation = tuple[str, int]
"""Identity of a server's incarnation (``BackendServer.incarnation``)."""
SUSPICION_S = 1.5
"""Time for which the list of servers may confirm a suspected crash: one that restarts
at once registers sooner, and later changes have other causes."""
SETTLE_S = 0.2
"""Time after the end of an incarnation within which responses that it has sent before
may still be read."""
MAX_SUSPECTED = 1_000
"""Incarnations that may have crashed; those suspected first are dropped."""
MAX_CRASHED = 1_000
"""Crashed incarnations that are remembered, the last ones."""


@attrs.frozen
class BrokenRun:
    """A run whose connection ended before its response did.

    Attributes:
        run_id: Identifies the run by request and server's incarnation.
        fingerprint: Digest of the request's content.
        parts: Ids of the shared parts of its prompt; empty if its answer had begun.
    """

    run_id: str
    fingerprint: bytes
    parts: tuple[str, ...]


@attrs.define
class _Suspicion:
    """Runs that the end of an incarnation would explain.

    Attributes:
        since: Monotonic time at which the first of their connections ended.
        runs: The runs.
    """

    since: float
    runs: list[BrokenRun] = attrs.field(factory=list)


class CrashEvidence:
    """Suspected and known crashes of servers."""

    def __init__(self) -> None:
        self._suspected: OrderedDict[Incarnation, _Suspicion] = OrderedDict()
        self._crashed_at: OrderedDict[Incarnation, float] = OrderedDict()

    def suspect(self, incarnation: Incarnation, run: BrokenRun, now: float) -> bool:
        """Records a run whose connection ended.

        Returns:
            Whether a connection to the server may tell whether it has crashed. It need
            not be opened if the crash is known, or another run has caused it.
        """
        if incarnation in self._crashed_at:
            self._suspected.setdefault(incarnation, _Suspicion(now)).runs.append(run)
            return False
        suspicion = self._suspected.get(incarnation)
        if suspicion is not None and now < suspicion.since + SUSPICION_S:
            suspicion.runs.append(run)
            return False
        self._suspected[incarnation] = _Suspicion(now, [run])
        while len(self._suspected) > MAX_SUSPECTED:
            self._suspected.popitem(last=False)
        return True

    def confirm(self, incarnation: Incarnation, now: float) -> list[BrokenRun]:
        """Records that an incarnation has ended; returns the runs that ended with it.

        A known end stays known: runs that report it later are returned as well.
        """
        suspicion = self._suspected.pop(incarnation, None)
        if suspicion is None:
            return []
        self._crashed_at.setdefault(incarnation, suspicion.since)
        while len(self._crashed_at) > MAX_CRASHED:
            self._crashed_at.popitem(last=False)
        return suspicion.runs

    def refute(self, incarnation: Incarnation, connected_at: float, now: float) -> bool:
        """Records a response of an incarnation; returns whether it refutes a crash.

        Args:
            incarnation: The incarnation.
            connected_at: Monotonic time at which the connection of the response was
                opened: one that has outlived the supposed crash refutes it, while
                another process may accept later ones.
            now: Monotonic time of the response.
        """
        crashed_at = self._crashed_at.get(incarnation)
        if crashed_at is None or connected_at >= crashed_at:
            return False
        if now < crashed_at + SETTLE_S:
            return False
        del self._crashed_at[incarnation]
        self._suspected.pop(incarnation, None)
        return True

    def ended(self, servers: ServerList, now: float) -> Iterable[Incarnation]:
        """Returns the suspected incarnations that are known to have ended.

        Others are forgotten after ``SUSPICION_S``.
        """
        for incarnation, suspicion in list(self._suspected.items()):
            if incarnation in self._crashed_at:
                yield incarnation
            elif now >= suspicion.since + SUSPICION_S:
                del self._suspected[incarnation]
            elif servers.is_superseded(incarnation):
                yield incarnation
