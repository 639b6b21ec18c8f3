"""Servers that have started a moment ago and take few requests until they are warm.

Answers loads in which a server, or all servers of a data centre, come back at once: a
cold server looks idle to every entry, and their requests together crash it again. A
service that limits its cold servers has a rate in its configuration. The servers of
others may be slow after a start, but take any number of requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from cornelpin.scheduling.server_limits import Incarnation
    from cornelpin.scheduling.servers import BackendServer

MAX_COLD_S = 60.0
"""Bound on the warm-up time that a server may name; no value over it is plausible."""
SUSPICION_S = 3.0
"""Time for which servers count as cold that may have turned cold without notice: two
heartbeats of their registrations, and the delay until an entry has them."""
MAX_COLD = 10_000
"""Most servers remembered as cold: twice those of the largest deployment."""


@attrs.define
class _Cold:
    """What is known of a cold server.

    Attributes:
        since: Monotonic time at which this entry learned that it is cold.
        until: Monotonic time at which it is warm.
        service: Its service; empty if it is not listed here.
        registered_s: Remaining time in its last registration, to recognise one that is
            received again.
    """

    since: float
    until: float
    service: str = ""
    registered_s: float = 0.0


class ColdServers:
    """Cold servers as known at one entry.

    Attributes:
        invalid: Number of invalid warm-up times received.
    """

    def __init__(self) -> None:
        self._cold: dict[Incarnation, _Cold] = {}
        # None before the first configuration.
        self._rates: dict[str, float] | None = None
        self.invalid = 0

    def configure(self, rates_per_s: Mapping[str, float]) -> None:
        """Sets the requests per second that a cold server of each service takes.

        Services without a limit, or with one of zero, don't restrict cold servers.
        """
        self._rates = {name: rate for name, rate in rates_per_s.items() if rate > 0}

    def register(self, server: BackendServer, now: float) -> bool:
        """Records a server's registration; returns whether it has turned cold.

        A time that was named before stands: a registration without one may be older
        than it, as after a restore of the store.
        """
        if server.cold_s <= 0.0:
            return False
        known = self._cold.get(server.incarnation)
        if (
            known is not None
            and now < known.until
            and known.registered_s == server.cold_s
        ):
            return False
        new = self._set(server.incarnation, server.cold_s, now, server.service)
        self._cold[server.incarnation].registered_s = server.cold_s
        return new

    def learn(self, incarnation: Incarnation, left_s: float, now: float) -> bool:
        """Records what a response or another entry says; returns whether it is new.

        Args:
            incarnation: The server.
            left_s: Remaining warm-up time, seconds.
            now: Monotonic time in seconds.
        """
        return left_s > 0.0 and self._set(incarnation, left_s, now)

    def suspect(
        self, servers: Iterable[BackendServer], now: float, *, from_s: float = 0.0
    ) -> list[BackendServer]:
        """Treats servers as cold until their registrations would have said so.

        Args:
            servers: The servers; those that nothing restricts while cold are left out.
            now: Monotonic time in seconds.
            from_s: Seconds until they may be used again at the earliest.

        Returns:
            Those that did not count as cold before.
        """
        return [
            server
            for server in servers
            if (self._rates is None or server.service in self._rates)
            and self._set(server.incarnation, from_s + SUSPICION_S, now, server.service)
        ]

    def _set(
        self,
        incarnation: Incarnation,
        left_s: float,
        now: float,
        service: str = "",
    ) -> bool:
        if left_s > MAX_COLD_S:
            self.invalid += 1
        until = now + min(left_s, MAX_COLD_S)
        known = self._cold.get(incarnation)
        if known is not None and now < known.until:
            known.until = max(known.until, until)
            known.service = known.service or service
            return False
        self._cold.pop(incarnation, None)
        self._cold[incarnation] = _Cold(now, until, service)
        if len(self._cold) > MAX_COLD:
            del self._cold[next(iter(self._cold))]
        return True

    def left_s(self, incarnation: Incarnation, now: float) -> float:
        """Returns the remaining warm-up time in seconds; zero if the server is warm."""
        known = self._cold.get(incarnation)
        return max(0.0, known.until - now) if known is not None else 0.0

    def since(self, incarnation: Incarnation) -> float:
        """Returns the monotonic time since which a server is known to be cold."""
        known = self._cold.get(incarnation)
        return known.since if known is not None else float("-inf")

    def rate_per_s(self, server: BackendServer, now: float) -> float | None:
        """Returns the requests per second that a server takes from all entries.

        None if it is warm, or its service does not restrict cold servers.
        """
        known = self._cold.get(server.incarnation)
        if known is None or now >= known.until or self._rates is None:
            return None
        return self._rates.get(server.service)

    def incarnations(self) -> set[Incarnation]:
        """Returns the cold servers, and those that became warm since ``expire``."""
        return set(self._cold)

    def __len__(self) -> int:
        return len(self._cold)

    def expire(self, now: float) -> list[Incarnation]:
        """Drops servers that have become warm; returns those that were restricted."""
        warm = {i: known for i, known in self._cold.items() if known.until <= now}
        for incarnation in warm:
            del self._cold[incarnation]
        return [i for i, known in warm.items() if known.service in (self._rates or {})]
