"""Jobs and servers for tests of the scheduling decisions."""

from __future__ import annotations

import itertools
from typing import Any

import attrs

from cornelpin.scheduling.dispatcher import Dispatcher
from cornelpin.scheduling.jobs import Job
from cornelpin.scheduling.routing import Repeat, Route
from cornelpin.scheduling.servers import BackendServer

STREAM = Route(
    name="review",
    host="h",
    prefix="/r/",
    backends=(("app", 1.0),),
    repeat=Repeat.STREAM,
    timeout_s=15.0,
    objective_s=0.8,
    pause_s=0.4,
)
PLAIN = attrs.evolve(
    STREAM, name="lookup", repeat=Repeat.SAFE, pause_s=None, timeout_s=2.0
)
_numbers = itertools.count(1)


def make_job(*, route: Route = STREAM, arrived: float = 100.0, **fields: Any) -> Job:
    """Returns a job with usual figures."""
    usual: dict[str, Any] = {
        "request_id": f"r{next(_numbers)}",
        "route": route,
        "service": "app",
        "rank": (0, route.priority),
        "arrived": arrived,
        "deadline": arrived + route.timeout_s,
        "prompt_tokens": 600 if route.repeat is Repeat.STREAM else 0,
        "hinted_tokens": 300,
        "event_tokens": 6,
    }
    return Job(**(usual | fields))


def make_server(name: str, *, slots: int = 2, **fields: Any) -> BackendServer:
    """Returns a backend server."""
    return BackendServer(name, "app", ("h", 1), "here", slots=slots, **fields)


@attrs.define
class Others:
    """What the other entries have told."""

    flights: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    keys: list[float] = attrs.field(factory=list)
    age_s: float = 0.0
    count: int = 1

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns what they have at a server."""
        return self.flights.get(server_id, (0, 0))

    def queue_scores(self, service: str) -> list[float]:
        """Returns the keys of what waits there."""
        return sorted(self.keys)

    def remote_age_s(self) -> float:
        """Returns how old the word of other data centres is."""
        return self.age_s


def make_dispatcher(
    servers: list[BackendServer], others: Others | None = None
) -> Dispatcher:
    """Returns a dispatcher over fixed servers."""
    return Dispatcher(
        servers=lambda service, now: servers,
        peers=others or Others(),
        connected=lambda server: True,
        data_centre="here",
        rng=lambda: 0.5,
    )
