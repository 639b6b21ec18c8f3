"""Servers as candidates for a request: what one entry knows of them at the moment."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from cornelpin.scheduling.fleet_speeds import FleetSpeeds
from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.server_selection import Candidate
from cornelpin.scheduling.slowdowns import Slowdowns

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.scheduling.decisions import Placement
    from cornelpin.scheduling.permit_demand import PermitSource
    from cornelpin.scheduling.server_limits import Incarnation
    from cornelpin.scheduling.servers import BackendServer

SLOT_TURNOVER_S = 1.0
"""Slots of a server in another data centre count as taken by other entries at a rate of
all its slots per this time since its last report, but at most half of them do."""


class PeerView(Protocol):
    """State of the other entries as last received.

    Attributes:
        silent_data_centres: Data centres of which no entry is heard any more.
    """

    silent_data_centres: frozenset[str]

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns their requests in flight and pending prompt tokens at a server."""

    def queue_scores(self, service: str) -> list[float]:
        """Returns the scores of their queued requests, ascending.

        An entry sends at most its ``MAX_SCORES`` highest ones per service.
        """

    def remote_age_s(self) -> float:
        """Returns the expected age of a report from another data centre, seconds."""


class Candidates:
    """Builds candidates from the servers, their estimates, and what is in flight.

    Args:
        servers: Returns a service's servers believed to be running at a given time.
        peers: State of the other entries.
        connected: Returns whether an idle connection to a server exists.
        data_centre: Data centre of this entry.
        needs_traffic: Returns whether a server's version is below its traffic share.
        permits: Limits of servers, and permits to send to those that have one.
        cold_slowdown: Returns the factor on the times of a service's cold servers.

    Attributes:
        permits: As above.
        speeds: Speed estimates of the servers.
        slowdowns: How long work takes on the servers at this moment, as they state it.
    """

    def __init__(
        self,
        *,
        servers: Callable[[str, float], Iterable[BackendServer]],
        peers: PeerView,
        connected: Callable[[BackendServer], bool],
        data_centre: str,
        needs_traffic: Callable[[BackendServer], bool],
        permits: PermitSource,
        cold_slowdown: Callable[[str], float],
    ) -> None:
        self.permits = permits
        self.speeds = FleetSpeeds()
        self.slowdowns = Slowdowns()
        self._servers = servers
        self._peers = peers
        self._connected = connected
        self._data_centre = data_centre
        self._needs_traffic = needs_traffic
        self._cold_slowdown = cold_slowdown
        self._health: dict[Incarnation, ServerHealth] = {}
        self._placements: dict[str, set[Placement]] = {}

    def health(self, server: BackendServer) -> ServerHealth:
        """Returns the health of a server as observed at this entry."""
        return self._health.setdefault(server.incarnation, ServerHealth())

    def unproven(self, server: BackendServer) -> bool:
        """Returns whether a server has failed, or its data centre may be lost."""
        silent = server.data_centre in self._peers.silent_data_centres
        return silent or self.health(server).unproven

    def hold(self, placement: Placement) -> None:
        """Counts a slot as taken until ``release``."""
        self._placements.setdefault(placement.server.id, set()).add(placement)

    def release(self, placement: Placement) -> bool:
        """Releases a slot; returns whether it was still held."""
        placements = self._placements.get(placement.server.id)
        if placements is None or placement not in placements:
            return False
        placements.discard(placement)
        return True

    def in_flight(self) -> dict[str, tuple[int, int]]:
        """Returns this entry's requests in flight and pending tokens by server id."""
        return {
            server_id: (len(placements), sum(p.pending_tokens for p in placements))
            for server_id, placements in self._placements.items()
            if placements
        }

    def of_service(self, service: str, now: float) -> list[Candidate]:
        """Returns the candidates of a service, without servers that leave."""
        return [
            self.candidate(server, now)
            for server in self._servers(service, now)
            if not server.leaving
        ]

    def candidate(self, server: BackendServer, now: float) -> Candidate:
        """Returns a server with its load and estimates at a monotonic time."""
        running, pending_tokens = self._peers.in_flight(server.id)
        placements = self._placements.get(server.id, ())
        remote = server.data_centre != self._data_centre
        age_s = self._peers.remote_age_s() if remote else 0.0
        limit_per_s = self.permits.limit_per_s(server)
        cold = (
            limit_per_s is not None and self.permits.cold_rate_per_s(server) is not None
        )
        return Candidate(
            server=server,
            speed=self.speeds.merged(server, now),
            health=self.health(server),
            running=running + len(placements),
            pending_tokens=pending_tokens
            + sum(placement.pending_tokens for placement in placements),
            remote=remote,
            margin=min(
                server.slots // 2, round(server.slots * age_s / SLOT_TURNOVER_S)
            ),
            connected=self._connected(server),
            needs_traffic=self._needs_traffic(server),
            paused=self.health(server).is_paused(now),
            unproven=self.unproven(server),
            limit_per_s=limit_per_s,
            permits=0 if limit_per_s is None else self.permits.permits(server, now),
            cold=cold,
            slowdown=self._slowdown(server, now, cold=cold),
        )

    def _slowdown(self, server: BackendServer, now: float, *, cold: bool) -> float:
        """Returns the factor on a server's times at the moment.

        Of a server that states it, a response that is overdue says so before the next
        statement does.
        """
        if cold:
            return self._cold_slowdown(server.service)
        if self.slowdowns.age_s(server, now) is None:
            return 1.0
        return max(self.slowdowns.expected(server, now), self._overdue(server, now))

    def _overdue(self, server: BackendServer, now: float) -> float:
        """Returns the longest time of a run as a multiple of the expected one.

        Runs of prompts are left out: what they take varies too much to tell.
        """
        return max(
            (
                (now - placement.held_since) / placement.expected_s
                for placement in self._placements.get(server.id, ())
                if not placement.tokens_ahead
            ),
            default=0.0,
        )

    def forget(self, alive: set[Incarnation], now: float) -> None:
        """Drops estimates of stopped servers, and old speeds received from peers.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        self.speeds.forget(alive, now)
        self.slowdowns.forget(alive)
        for incarnation in self._health.keys() - alive:
            del self._health[incarnation]
