"""Clients of a replay: they ask, wait, come back once, and judge what they got."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from benchmarks.replay.patterns import SERVICE, Asked, sample
from cornelpin.scheduling.jobs import Job

if TYPE_CHECKING:
    import random

HINT_SPREAD = 0.5
"""Spread of the clients' estimates of their output: right at the median only."""
MAX_WAIT_SHARE = 1 / 3
"""Part of the time left for which a client follows Retry-After."""
MAX_PROMPT = 54_600


@attrs.define(eq=False)
class Call:
    """One request of a client over all its tries.

    Attributes:
        asked: Its kind.
        began: Time of its first try.
        prompt: Prompt tokens.
        output: Tokens that it really takes.
        tries: Tries so far.
        first_event: Time of the first event, if one came.
        worst_pause: Longest pause between events, seconds.
        whole: Whether the whole answer came in time.
        held_s: Time for which refused tries were kept.
        refused: Whether it ended refused.
    """

    number: int
    asked: Asked
    began: float
    prompt: int
    output: int
    hint: int
    tries: int = 0
    first_event: float | None = None
    last_event: float = 0.0
    worst_pause: float = 0.0
    whole: bool = False
    held_s: float = 0.0
    refused: bool = False

    @property
    def deadline(self) -> float:
        """Time at which the client stops waiting."""
        return self.began + self.asked.route.timeout_s

    @property
    def refused_again(self) -> bool:
        """Whether it came back after a refusal and ended refused."""
        return self.refused and self.tries > 1

    @property
    def size(self) -> int:
        """Its size as the platform reckons it."""
        return self.prompt + 10 * self.output

    @property
    def weight(self) -> float:
        """Its worth for that of a mean one of its kind."""
        mean = self.asked.prompt[0] + 10 * self.asked.output[0]
        return min(4.0, 0.3 + 0.7 * self.size / mean)

    @property
    def in_time(self) -> bool:
        """Whether it counts in full."""
        if not self.whole or self.first_event is None:
            return False
        route = self.asked.route
        pause_s = (
            route.max_event_gap_s if route.max_event_gap_s is not None else float("inf")
        )
        on_time = self.first_event - self.began <= route.objective_s
        return on_time and self.worst_pause <= pause_s

    @property
    def credit(self) -> float:
        """What it is worth as it was served."""
        if not self.whole:
            return 0.0
        return self.weight * (self.asked.worth if self.in_time else self.asked.late)

    def event(self, now: float) -> None:
        """Takes one event."""
        if self.first_event is None:
            self.first_event = now
        else:
            self.worst_pause = max(self.worst_pause, now - self.last_event)
        self.last_event = now

    def job(self, now: float) -> Job:
        """Returns the request as an entry sees it."""
        return Job(
            request_id=f"{self.number}.{self.tries}",
            route=self.asked.route,
            service=SERVICE,
            rank=(0, self.asked.route.priority),
            arrived=now,
            deadline=self.deadline,
            prompt_tokens=self.prompt,
            hinted_tokens=self.hint,
            max_output_tokens=self.asked.most,
            event_tokens=6,
            first_attempt_at=self.began,
        )


def draw(number: int, asked: Asked, now: float, rng: random.Random) -> Call:
    """Returns a new call."""
    output = sample(rng, *asked.output, asked.most)
    return Call(
        number=number,
        asked=asked,
        began=now,
        prompt=sample(rng, *asked.prompt, MAX_PROMPT),
        output=output,
        hint=max(1, round(output * rng.lognormvariate(0.0, HINT_SPREAD))),
    )
