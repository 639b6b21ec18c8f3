"""Configuration by which requests are routed: routes, services, and workspaces."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


class RouteKind(enum.Enum):
    """Whether a route's requests may run more than once, and whether it streams.

    The values are those of the configuration and of metric labels. Requests of a SAFE
    route may run more than once, those of an UNSAFE one may not. Responses of a STREAM
    route are streams of events; ``Route.resumable`` says whether its requests may run
    more than once.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class Route:
    """A route from a host and path prefix to services.

    Attributes:
        name: Name of the route.
        host: Host of its requests.
        prefix: Path prefix, with a slash at both ends.
        backends: Services that serve the route, each with its relative weight; named
            after the configuration key.
        kind: Whether its requests may run more than once, and whether it streams.
        timeout_s: Longest time that a caller waits for a response, seconds.
        objective_s: Time within which a response has full value, seconds.
        priority: Priority rank; zero is the highest.
        max_attempts: Maximum number of backend servers that may run one request.
        anonymous: Whether requests need no API key.
        resumable: Whether a stream may continue at another backend server.
        max_event_gap_s: Objective for the gap between two events of a stream, seconds;
            an event after a longer gap is late. None if there is no objective.
        regions: Regions in which its requests may run; empty for all.
    """

    name: str
    host: str
    prefix: str
    backends: tuple[tuple[str, float], ...]
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_event_gap_s: float | None = None
    regions: frozenset[str] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@attrs.frozen
class Service:
    """A group of backend servers.

    Attributes:
        name: Name of the service.
        max_conns: Connections that one backend server accepts from all entries
            together; the scheduler does not use it.
        event_tokens: Tokens in one event of a stream.
        cold_rate_per_s: Requests per second that a cold backend server takes from all
            entries together; zero for no limit.
    """

    name: str
    max_conns: int = 100
    event_tokens: int = 1
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Workspace:
    """A group of callers.

    Attributes:
        name: Name of the workspace.
        keys: API keys of its callers.
        priority: Priority rank, compared before that of the route; zero is the highest,
            and None counts as zero.
        by_tokens: Whether its rate limit counts tokens instead of requests.
        plain_tokens: Tokens charged for a request that announces no token counts; named
            after the configuration key.
        rate_per_s: Refill rate of its bucket, tokens or requests per second; zero if it
            has no limit.
        burst: Capacity of its bucket, tokens or requests.
        regions: Regions in which its requests may run; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    by_tokens: bool = False
    plain_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


@attrs.frozen
class ClientLimits:
    """Limits on the size and the duration of what a client sends.

    The fields have the same names as those of ``http1.server.Limits``.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def _by_host(routes: tuple[Route, ...]) -> dict[str, list[Route]]:
    hosts: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda r: -len(r.prefix)):
        hosts.setdefault(route.host, []).append(route)
    return hosts


@attrs.frozen
class RoutingConfig:
    """One version of the whole routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    workspaces: tuple[Workspace, ...]
    _hosts: dict[str, list[Route]] = attrs.field(init=False, repr=False, eq=False)
    _keys: dict[str, Workspace] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "_hosts", _by_host(self.routes))
        keys = {key: w for w in self.workspaces for key in w.keys}
        object.__setattr__(self, "_keys", keys)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches a path."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def event_tokens(self, service: str) -> int:
        """Returns the tokens in one event of a service's streams; 1 if unknown."""
        found = self.services.get(service)
        return found.event_tokens if found is not None else 1

    def workspace(self, key: str | None) -> Workspace | None:
        """Returns the workspace of an API key."""
        return self._keys.get(key) if key is not None else None
