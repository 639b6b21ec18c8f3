"""Requests of simulated clients, with one retry and the credit for the outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from benchmarks.replay.patterns import SERVICE, RequestKind, sample
from cornelpin.scheduling.jobs import Job

if TYPE_CHECKING:
    import random

HINT_SPREAD = 0.5
"""Sigma of the log-normal ratio of the hinted to the real output; its median is 1."""
MAX_WAIT_SHARE = 1 / 3
"""Longest wait before a retry, as a share of the time left until the deadline."""
MAX_PROMPT_TOKENS = 54_600


@attrs.define(eq=False)
class Call:
    """One request of a client over all its attempts.

    Attributes:
        number: Serial number of the call.
        kind: Kind of the request.
        started_at: Time of the first attempt.
        prompt_tokens: Length of the prompt.
        output_tokens: Real length of the output.
        hinted_tokens: Output length that the client states.
        attempts: Attempts so far.
        first_event_at: Time of the first event, None before it.
        last_event_at: Time of the last event so far.
        longest_pause_s: Longest pause between events, in seconds.
        completed: Whether the response completed by the deadline.
        refused_wait_s: Time that refused attempts spent in a queue.
        refusal_waits_s: The same for each refused attempt.
        refused: Whether the last attempt was refused.
    """

    number: int
    kind: RequestKind
    started_at: float
    prompt_tokens: int
    output_tokens: int
    hinted_tokens: int
    attempts: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    completed: bool = False
    refused_wait_s: float = 0.0
    refusal_waits_s: list[float] = attrs.field(factory=list)
    refused: bool = False

    @property
    def deadline(self) -> float:
        """Time at which the client cancels the request."""
        return self.started_at + self.kind.route.timeout_s

    @property
    def refused_again(self) -> bool:
        """Whether it was retried after a refusal and refused again."""
        return self.refused and self.attempts > 1

    @property
    def size(self) -> int:
        """Size by the platform's formula: one output token counts as ten of prompt."""
        return self.prompt_tokens + 10 * self.output_tokens

    @property
    def weight(self) -> float:
        """Value relative to a request of mean size of the same kind.

        As on the platform, a fixed part of 0.3 and a part of 0.7 in proportion to the
        size; here at most 4.
        """
        mean = self.kind.prompt_tokens[0] + 10 * self.kind.output_tokens[0]
        return min(4.0, 0.3 + 0.7 * self.size / mean)

    @property
    def in_time(self) -> bool:
        """Whether it met the latency objective and the limit on pauses."""
        if not self.completed or self.first_event_at is None:
            return False
        route = self.kind.route
        pause_s = (
            route.max_event_gap_s if route.max_event_gap_s is not None else float("inf")
        )
        on_time = self.first_event_at - self.started_at <= route.objective_s
        return on_time and self.longest_pause_s <= pause_s

    @property
    def credit(self) -> float:
        """Value earned: full if in time, lower if late, none if not completed."""
        if not self.completed:
            return 0.0
        return self.weight * (self.kind.value if self.in_time else self.kind.late_value)

    def record_event(self, now: float) -> None:
        """Records an event of the stream."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now

    def make_job(self, now: float, event_tokens: int) -> Job:
        """Builds the scheduler's job for the current attempt."""
        return Job(
            request_id=f"{self.number}.{self.attempts}",
            route=self.kind.route,
            service=SERVICE,
            rank=(0, self.kind.route.priority),
            arrived=now,
            deadline=self.deadline,
            prompt_tokens=self.prompt_tokens,
            hinted_tokens=self.hinted_tokens,
            max_output_tokens=self.kind.max_output_tokens,
            event_tokens=event_tokens,
            first_attempt_at=self.started_at,
        )


def draw(number: int, kind: RequestKind, now: float, rng: random.Random) -> Call:
    """Draws a call of a kind with random lengths."""
    output_tokens = sample(rng, *kind.output_tokens, kind.max_output_tokens)
    return Call(
        number=number,
        kind=kind,
        started_at=now,
        prompt_tokens=sample(rng, *kind.prompt_tokens, MAX_PROMPT_TOKENS),
        output_tokens=output_tokens,
        hinted_tokens=max(
            1, round(output_tokens * rng.lognormvariate(0.0, HINT_SPREAD))
        ),
    )
