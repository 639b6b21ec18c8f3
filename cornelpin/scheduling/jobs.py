"""One request as the scheduler represents it: deadlines, expected cost, and value."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.routing import RouteKind

if TYPE_CHECKING:
    from cornelpin.scheduling.routing import Route

OUTPUT_TOKEN_COST = 40
"""Engine time of an output token in prompt tokens, at a full batch of 8 or 9."""
OUTPUT_TOKEN_SIZE = 10
"""Size of an output token in prompt tokens, as the platform values requests."""
PRIORITY_STEP = 4.0
"""Ratio of value between adjacent route priorities; the platform's score sheets show 4
to 7."""
WORKSPACE_STEP = 64.0
"""Ratio of value between adjacent workspace priorities: three steps of route
priorities, because workspace priorities take precedence."""
MIN_SILENCE_LIMIT_S = 2.0
"""Shortest time without events after which a client disconnects from a stream. It and
the multiples of objective and pause are specified by the platform."""
LATE_VALUE = 0.29
"""Value of a late response relative to a timely one, on all score sheets."""
LATE_RETRY_VALUE = 0.3
"""The same for a client retry, which has more value: a second refusal loses the caller
for good, which the platform counts as another 0.3."""
MIN_COST = 200.0
"""Least cost in prompt tokens, for plain requests and tiny prompts."""


@attrs.define(eq=False)
class Job:
    """One request from its arrival to its end.

    Attributes:
        request_id: Id given by the client.
        route: Its route.
        service: Service that it was assigned to.
        rank: Priority of its workspace, then that of its route; zero is the highest.
        arrived: Monotonic time of its arrival, seconds.
        deadline: Monotonic time after which no client waits for it.
        prompt_tokens: Prompt tokens; zero for plain requests.
        hinted_tokens: The client's estimate of its output tokens.
        max_output_tokens: Most output tokens; zero if not given.
        typical_tokens: Mean output tokens of requests of its route.
        event_tokens: Tokens in one event of its stream.
        fingerprint: Digest by which a client retry of it is recognised.
        avoid: Ids of servers that it was already sent to.
        workspace: Name of the caller's workspace; empty if there is none.
        first_attempt_at: Monotonic time of its first attempt; before its arrival if
            this is a client retry.
        queued_since: Monotonic time at which it was last put in the queue.
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
    fingerprint: bytes = b""
    avoid: set[str] = attrs.field(factory=set)
    first_attempt_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived, takes_self=True)
    )
    queued_since: float = attrs.field(
        default=attrs.Factory(lambda self: self.arrived, takes_self=True)
    )

    @property
    def objective(self) -> float:
        """Monotonic time until which a first event has full value."""
        return self.first_attempt_at + self.route.objective_s

    @property
    def is_client_retry(self) -> bool:
        """Whether this is a client retry of a refused request."""
        return self.first_attempt_at < self.arrived

    @property
    def output_tokens(self) -> float:
        """Expected output tokens."""
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
        """Monotonic time at which its client disconnects without a first event."""
        if not self.stream:
            return self.deadline
        pause_s = self.route.max_event_gap_s or 0.0
        silence_s = max(MIN_SILENCE_LIMIT_S, 4 * self.route.objective_s, 8 * pause_s)
        return min(self.deadline, self.arrived + silence_s)

    @property
    def cost(self) -> float:
        """Expected engine time in prompt tokens."""
        return max(
            MIN_COST, self.prompt_tokens + OUTPUT_TOKEN_COST * self.output_tokens
        )

    def actual_cost(self, events: int) -> float:
        """Returns the engine time of a run with this many events, in prompt tokens."""
        written = events * self.event_tokens
        return MIN_COST + self.prompt_tokens + OUTPUT_TOKEN_COST * written

    @property
    def size(self) -> float:
        """Size by which the value of requests of one rank differs, in prompt tokens."""
        return self.prompt_tokens + OUTPUT_TOKEN_SIZE * self.output_tokens

    @property
    def urgency(self) -> float:
        """Value of a mean request of its rank, relative to the highest rank."""
        workspace, route = self.rank
        return WORKSPACE_STEP**-workspace * PRIORITY_STEP**-route
