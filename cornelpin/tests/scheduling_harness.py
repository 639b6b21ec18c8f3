"""Jobs, servers and dispatchers for tests of the scheduling decisions."""

from __future__ import annotations

import itertools
from typing import Any

import attrs

from cornelpin.scheduling.dispatcher import Dispatcher
from cornelpin.scheduling.jobs import Job
from cornelpin.scheduling.routing import Route, RouteKind
from cornelpin.scheduling.servers import BackendServer

STREAM = Route(
    name="review",
    host="h",
    prefix="/r/",
    backends=(("app", 1.0),),
    kind=RouteKind.STREAM,
    timeout_s=15.0,
    objective_s=0.8,
    max_event_gap_s=0.4,
)
PLAIN = attrs.evolve(
    STREAM, name="lookup", kind=RouteKind.SAFE, max_event_gap_s=None, timeout_s=2.0
)
_numbers = itertools.count(1)


def make_job(*, route: Route = STREAM, arrived: float = 100.0, **fields: Any) -> Job:
    """Returns a job with typical values."""
    defaults: dict[str, Any] = {
        "request_id": f"r{next(_numbers)}",
        "route": route,
        "service": "app",
        "rank": (0, route.priority),
        "arrived": arrived,
        "deadline": arrived + route.timeout_s,
        "prompt_tokens": 600 if route.kind is RouteKind.STREAM else 0,
        "hinted_tokens": 300,
        "event_tokens": 6,
    }
    return Job(**(defaults | fields))


def make_server(name: str, *, slots: int = 2, **fields: Any) -> BackendServer:
    """Returns a backend server."""
    return BackendServer(name, "app", ("h", 1), "here", slots=slots, **fields)


@attrs.define
class FixedPeers:
    """Fixed state of the other entries.

    Attributes:
        flights: Requests in flight and prompt tokens still to be prefilled, by server.
        scores: Scores of the requests queued at other entries.
        age_s: Age of the reports of other data centres, seconds.
        count: Number of live entries, including the own one.
        silent_data_centres: Data centres of which no entry is heard any more.
    """

    flights: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    scores: list[float] = attrs.field(factory=list)
    age_s: float = 0.0
    count: int = 1
    silent_data_centres: frozenset[str] = frozenset()

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns their requests in flight and prompt tokens to be prefilled there."""
        return self.flights.get(server_id, (0, 0))

    def queue_scores(self, service: str) -> list[float]:
        """Returns the scores of the requests queued there, ascending."""
        return sorted(self.scores)

    def remote_age_s(self) -> float:
        """Returns the age of the reports of other data centres, seconds."""
        return self.age_s


def make_dispatcher(
    servers: list[BackendServer], peers: FixedPeers | None = None
) -> Dispatcher:
    """Returns a dispatcher with fixed servers and peers."""
    return Dispatcher(
        servers=lambda service, now: servers,
        peers=peers or FixedPeers(),
        connected=lambda server: True,
        data_centre="here",
        rng=lambda: 0.5,
    )
