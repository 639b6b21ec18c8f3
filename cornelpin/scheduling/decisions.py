"""Decisions on a request: it gets a slot of a server, or it is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.servers import BackendServer

EVACUATED = "all servers of its service are in evacuated data centres"
OUTSIDE_REGIONS = "no server of its service in the regions of its route or workspace"
NO_SLOT = "no slot in time worth having"
TOO_LONG = "its answer would not end in time"
WAITED = "waited in vain"
"""Reasons of refusals, for the client and the log."""


@attrs.frozen
class HeldBackServer:
    """A server with free slots that its limit kept from a request.

    Attributes:
        server: Its id.
        limit_per_s: Its limit in requests per second.
        rate_per_s: Requests per second from all entries, as last reported here.
        age_s: Age of that report in seconds; None without a report.
        cold: Whether the limit is that of a cold server.
    """

    server: str
    limit_per_s: float
    rate_per_s: float
    age_s: float | None
    cold: bool = False


@attrs.frozen
class Refused:
    """Refusal of a request, with the load that it was based on.

    Attributes:
        reason: Reason in the response to the client.
        retry_after_s: Seconds after which the client should retry.
        slots: Slots of all usable servers.
        free: Free slots among them.
        ahead: Requests ahead of it at all entries.
        forecast_wait_s: Forecast wait for a slot, seconds.
        held_back: Servers with free slots that their limits kept from it.
    """

    reason: str
    retry_after_s: float
    slots: int = 0
    free: int = 0
    ahead: int = 0
    forecast_wait_s: float = 0.0
    held_back: tuple[HeldBackServer, ...] = ()


@attrs.frozen
class Reconsidered:
    """The request has left the queue: its route or its rights have changed."""


@attrs.define(eq=False)
class Placement:
    """A slot of a server, held for one send.

    Attributes:
        server: The server.
        pending_tokens: Prompt tokens of the request that await prefill; zero after the
            first event of the response.
        tokens_ahead: Prompt tokens that the server prefills before the request's first
            event, those of the request included.
        running: Requests already in flight there, from all entries.
        held_since: Monotonic time at which it was granted.
        expected_s: Expected response time, seconds: from the send to the first event of
            a stream, or to the whole response if it is not streamed.
        free_local: Free slots in the own data centre when it was granted.
        permitted: Whether a permit was taken, since the server has a limit.
        cold: Whether the server is slow and restricted because it is cold. Its times
            say nothing about it once it is warm.
        slowdown: Factor on the server's times that ``expected_s`` contains.
        slowdown_age_s: Age of the server's statement of it; None if it stated none.
        stated_slowdown: Factor that the response states.
        held_back: Servers with free slots that their limits kept from the request.
    """

    server: BackendServer
    pending_tokens: int
    tokens_ahead: int
    running: int
    held_since: float
    expected_s: float
    free_local: int = 0
    permitted: bool = False
    cold: bool = False
    slowdown: float = 1.0
    slowdown_age_s: float | None = None
    stated_slowdown: float = 1.0
    held_back: tuple[HeldBackServer, ...] = ()


Decision = tuple["Job", Placement | Refused]
"""A request and what was decided on it."""
