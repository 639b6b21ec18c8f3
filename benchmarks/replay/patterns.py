"""Load patterns: who asks for what, when, and what goes wrong meanwhile."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.routing import Route, RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable

PATTERNS: dict[str, Callable[[], Pattern]] = {}
SERVICE = "engines"


@attrs.frozen
class Asked:
    """A kind of request.

    Attributes:
        route: Its route.
        per_s: Requests a second on a usual day.
        worth: Worth of a mean one in time.
        late: Worth of a mean late one.
        prompt: Mean and spread (sigma of the logarithm) of the prompt tokens.
        output: Mean and spread of the tokens written.
        most: Most tokens written.
    """

    route: Route
    per_s: float
    worth: float
    late: float
    prompt: tuple[float, float]
    output: tuple[float, float]
    most: int


def _route(
    name: str, priority: int, objective_s: float, timeout_s: float, *, resumable: bool
) -> Route:
    return Route(
        name=name,
        host="replay",
        prefix=f"/{name}/",
        backends=((SERVICE, 1.0),),
        kind=RouteKind.STREAM,
        timeout_s=timeout_s,
        objective_s=objective_s,
        priority=priority,
        max_attempts=2 if resumable else 1,
        resumable=resumable,
        max_event_gap_s=0.4,
    )


REVIEW = Asked(
    _route("review", 0, 0.8, 15.0, resumable=False),
    8.0,
    7.0,
    2.0,
    (6_670.0, 1.0),
    (384.0, 1.0),
    3_840,
)
QUESTION = Asked(
    _route("question", 1, 0.4, 12.0, resumable=True),
    6.8,
    1.9,
    0.57,
    (690.0, 0.8),
    (294.0, 1.0),
    2_940,
)
TAG = Asked(
    _route("tag", 2, 0.5, 3.0, resumable=False),
    13.8,
    0.28,
    0.08,
    (1_860.0, 0.9),
    (24.0, 1.0),
    228,
)


@attrs.frozen
class Surge:
    """A factor on the arrivals of one kind, or of all, for a while."""

    at: float
    for_s: float
    factor: float
    kind: str | None = None


@attrs.frozen
class Crash:
    """A server that is down for a while."""

    at: float
    for_s: float
    server: int


@attrs.frozen
class Pattern:
    """One load pattern.

    Attributes:
        slowness: Factor on the times of each server; its length is their number.
        surges: Changes of the load.
        crashes: Servers that go down.
        entries: Entries that share the servers.
        slots: Requests that a server runs at once.
        length_s: Time during which requests come.
    """

    slowness: tuple[float, ...] = (0.55, 1.0, 1.0, 2.8, 0.55)
    surges: tuple[Surge, ...] = ()
    crashes: tuple[Crash, ...] = ()
    entries: int = 6
    slots: int = 8
    length_s: float = 20.0
    asked: tuple[Asked, ...] = (REVIEW, QUESTION, TAG)

    def factor(self, kind: str, at: float) -> float:
        """Returns the factor on a kind's arrivals at a time."""
        product = 1.0
        for surge in self.surges:
            if surge.at <= at < surge.at + surge.for_s and surge.kind in {None, kind}:
                product *= surge.factor
        return product


def register(make: Callable[[], Pattern]) -> Callable[[], Pattern]:
    """Adds a pattern under its function's name."""
    PATTERNS[make.__name__] = make
    return make


@register
def calm() -> Pattern:
    """A usual day."""
    return Pattern()


@register
def burst() -> Pattern:
    """Twice as many users for five seconds."""
    return Pattern(surges=(Surge(5.0, 5.0, 2.2),))


@register
def long_prompts() -> Pattern:
    """Three times as many reviews for five seconds."""
    return Pattern(surges=(Surge(5.0, 5.0, 3.0, "review"),))


@register
def servers_lost() -> Pattern:
    """Two of the faster servers are lost for the rest of the day."""
    return Pattern(crashes=(Crash(4.0, 100.0, 0), Crash(4.5, 100.0, 1)))


@register
def long_overload() -> Pattern:
    """Half as much again as the servers can run, all day."""
    return Pattern(slowness=(0.55, 1.0, 2.8), surges=(Surge(2.0, 100.0, 1.4),))


@register
def crash_in_burst() -> Pattern:
    """The fastest server crashes while twice as many users come."""
    return Pattern(surges=(Surge(5.0, 6.0, 1.8),), crashes=(Crash(6.0, 4.0, 0),))


def sample(rng: random.Random, mean: float, sigma: float, most: float) -> int:
    """Returns a length from a log-normal distribution with a given mean."""
    mu = math.log(mean) - sigma * sigma / 2
    return max(1, round(min(most, rng.lognormvariate(mu, sigma))))
