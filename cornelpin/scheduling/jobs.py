"""A request as the scheduler sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.routing import Repeat

if TYPE_CHECKING:
    from cornelpin.scheduling.routing import Route

OUTPUT_TOKEN_COST = 40
"""Engine time of an output token in prompt tokens, at a full batch of eight or nine."""
OUTPUT_TOKEN_SIZE = 10
"""Size of an output token in prompt tokens by the platform's reckoning of worth."""
PRIORITY_STEP = 4.0
"""Factor of worth between neighbouring priorities of routes; the sheets show four to
seven."""
WORKSPACE_STEP = 64.0
"""Factor between neighbouring priorities of workspaces, which go before those of
routes: three steps of these."""
MIN_SILENCE_S = 2.0
"""Shortest time after which a client leaves a silent stream, from the platform's page,
as are the multiples of objective and pause."""
LATE_WORTH = 0.29
"""Worth of a late answer as a part of a timely one, on all sheets."""
RETURNED_WORTH = 0.3
"""The same for one that was refused and came again: a second refusal loses its caller
for good, which the platform counts as another 0.3."""
MIN_COST = 200.0
"""Cost floor in prompt tokens, for plain requests and tiny prompts."""


@attrs.define(eq=False)
class Job:
    """One request between its arrival and its end.

    Attributes:
        request_id: The client's id.
        route: Its route.
        service: The service that it was dealt to.
        rank: Priority of its workspace, then that of its route; zero goes first.
        arrived: Monotonic time of arrival, seconds.
        deadline: Monotonic time at which nobody waits any longer.
        prompt_tokens: Tokens to read; zero for plain requests.
        hinted_tokens: The client's estimate of the tokens to write.
        most_tokens: Most tokens to write; zero if not told.
        usual_tokens: What requests like it write, as learned.
        event_tokens: Tokens in one event.
        fingerprint: What tells it from other requests when it comes again.
        avoid: Servers that have already had it.
        workspace: The caller's workspace, empty without one.
        first_try: Monotonic time of its first try, earlier if it was refused before.
        waiting_since: Monotonic time of its last entry into the waiting room.
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
        """Monotonic time until which a first event counts in full."""
        return self.first_attempt_at + self.route.objective_s

    @property
    def is_client_retry(self) -> bool:
        """Whether it was refused before and came again."""
        return self.first_attempt_at < self.arrived

    @property
    def output_tokens(self) -> float:
        """Tokens that it is expected to write."""
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
        """Whether its answer is a stream of events."""
        return self.route.repeat is Repeat.STREAM

    @property
    def abandoned_at(self) -> float:
        """Monotonic time at which its client leaves without a first event."""
        if not self.stream:
            return self.deadline
        pause_s = self.route.pause_s or 0.0
        silence_s = max(MIN_SILENCE_S, 4 * self.route.objective_s, 8 * pause_s)
        return min(self.deadline, self.arrived + silence_s)

    @property
    def cost(self) -> float:
        """Expected engine time in prompt tokens."""
        return max(
            MIN_COST, self.prompt_tokens + OUTPUT_TOKEN_COST * self.output_tokens
        )

    def work(self, events: int) -> float:
        """Returns the engine time of a run that wrote so many events, in tokens."""
        written = events * self.event_tokens
        return MIN_COST + self.prompt_tokens + OUTPUT_TOKEN_COST * written

    @property
    def size(self) -> float:
        """Size by which a generation is worth more than another of its kind."""
        return self.prompt_tokens + OUTPUT_TOKEN_SIZE * self.output_tokens

    @property
    def urgency(self) -> float:
        """Worth of a mean request of its rank, relative to the first rank."""
        workspace, route = self.rank
        return WORKSPACE_STEP**-workspace * PRIORITY_STEP**-route
