"""One request as the scheduler represents it: deadlines, expected cost, and value.

The value of a response to its caller grows with the request's priority and size and is
lower if the response is late. Costs are compute time of a server, in units of the time
that it takes to prefill one prompt token.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.routing import RouteKind

if TYPE_CHECKING:
    from cornelpin.scheduling.routing import Route
    from cornelpin.scheduling.servers import BackendServer

OUTPUT_TOKEN_COST = 40
"""Cost of an output token in prompt tokens, at a full batch of 8 or 9 requests."""
OUTPUT_TOKEN_SIZE = 10
"""Weight of an output token relative to a prompt token in a request's size, by which
callers value a response."""
MIN_SILENCE_LIMIT_S = 2.0
"""Lower bound of the time without events after which a stream's client disconnects. The
platform specifies it together with the multiples in ``Job.abandoned_at``."""
MIN_COST = 200.0
"""Lower bound of the expected cost, and fixed part of the actual cost, in prompt
tokens: requests without token counts and with tiny prompts take time, too."""


class Review(enum.Enum):
    """Occasions on which it is reviewed whether a job stays in the queue.

    EARLY is soon after it was queued, LATE repeatedly once its response can no longer
    be in time, and EXPIRED when a slot is of no more use to its client.
    """

    EARLY = "early"
    LATE = "late"
    EXPIRED = "expired"


@attrs.define(eq=False)
class Job:
    """One request from its arrival to its end.

    Attributes:
        request_id: Id given by the client.
        route: Its route.
        service: Service that it was assigned to.
        rank: Priority of its workspace and priority of its route; zero is the highest.
        arrived: Monotonic time of its arrival, seconds.
        deadline: Monotonic time after which no client waits for it.
        prompt_tokens: Prompt tokens; zero if the client gave no token counts.
        hinted_tokens: The client's estimate of its output tokens.
        max_output_tokens: Maximum number of output tokens; zero if not given.
        typical_tokens: Mean output tokens of requests of its route.
        event_tokens: Tokens in one event of its stream.
        fingerprint: Digest by which a client retry of it is recognised.
        shared_parts: Ids of the parts of its prompt that other requests may share.
        avoid: Ids of the servers to which it was already sent.
        run_failed: Whether a run of it has failed and it waits for another one. "Not
            run" is no longer true of it, so its caller gains nothing from an early
            refusal.
        renews_estimates: Whether it runs although it is not expected to end in time:
            no stream of its service has ended for some time.
        workspace: Name of the caller's workspace; empty if there is none.
        data_centres: Data centres in which it may run; None for all.
        first_attempt_at: Monotonic time of its first attempt; before its arrival if
            this is a client retry.
        queued_since: Monotonic time at which it was last put in the queue.
        reviewed_at: Monotonic time of the last review of its place in the queue.
        forecast_wait_s: Wait for a slot that was forecast when it was queued, seconds.
    """

    request_id: str
    route: Route
    service: str
    rank: tuple[int, int]
    arrived: float
    deadline: float
    prompt_tokens: int = 0
    hinted_tokens: int | None = None
    max_output_tokens: int = 0
    typical_tokens: float = 0.0
    event_tokens: int = 1
    workspace: str = ""
    data_centres: frozenset[str] | None = None
    fingerprint: bytes = b""
    shared_parts: tuple[str, ...] = ()
    avoid: set[str] = attrs.field(factory=set)
    run_failed: bool = False
    renews_estimates: bool = False
    first_attempt_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived, takes_self=True)
    )
    queued_since: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived, takes_self=True)
    )
    reviewed_at: float = float("-inf")
    forecast_wait_s: float = 0.0

    def may_run_at(self, server: BackendServer) -> bool:
        """Returns whether it may run in a server's data centre."""
        return self.data_centres is None or server.data_centre in self.data_centres

    @property
    def objective(self) -> float:
        """Monotonic time until which a response has full value.

        A stream must send its first event by then; any other response must be complete.
        """
        return self.first_attempt_at + self.route.objective_s

    @property
    def is_client_retry(self) -> bool:
        """Whether this is a client retry of a refused request."""
        return self.first_attempt_at < self.arrived

    @property
    def announces_output(self) -> bool:
        """Whether the client has said how long the response is."""
        return self.hinted_tokens is not None or self.max_output_tokens > 0

    @property
    def output_tokens(self) -> float:
        """Expected output tokens, at most ``max_output_tokens``."""
        expected = self.typical_tokens
        if self.hinted_tokens is not None:
            expected = float(self.hinted_tokens)
        return (
            min(expected, self.max_output_tokens)
            if self.max_output_tokens
            else expected
        )

    @property
    def stream(self) -> bool:
        """Whether its response is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def abandoned_at(self) -> float:
        """Monotonic time at which its client disconnects without a first event.

        A stream's client waits for 4 latency objectives or 8 event gap objectives,
        whichever is longer, and at least for ``MIN_SILENCE_LIMIT_S``.
        """
        if not self.stream:
            return self.deadline
        gap_s = self.route.max_event_gap_s or 0.0
        silence_s = max(MIN_SILENCE_LIMIT_S, 4 * self.route.objective_s, 8 * gap_s)
        return min(self.deadline, self.arrived + silence_s)

    @property
    def cost(self) -> float:
        """Expected cost in prompt tokens."""
        return max(
            MIN_COST, self.prompt_tokens + OUTPUT_TOKEN_COST * self.output_tokens
        )

    def actual_cost(self, events: int) -> float:
        """Returns the cost of a run with this many events, in prompt tokens.

        Run times divided by it can be compared; the fixed part ``MIN_COST`` covers what
        every run takes.
        """
        output_tokens = events * self.event_tokens
        return MIN_COST + self.prompt_tokens + OUTPUT_TOKEN_COST * output_tokens

    @property
    def size(self) -> float:
        """Weighted token count that determines a request's value within its rank."""
        return self.prompt_tokens + OUTPUT_TOKEN_SIZE * self.output_tokens
