"""Load patterns: kinds of requests, their rates over time, and server crashes."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

from benchmarks.replay.engine import EngineModel
from cornelpin.scheduling.routing import Route, RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable

PATTERNS: dict[str, Callable[[], Pattern]] = {}
SERVICE = "engines"


@attrs.frozen
class RequestKind:
    """A kind of request.

    Attributes:
        route: Its route.
        rate_per_s: Requests per second under normal load.
        value: Value of a request of mean size answered in time.
        late_value: Value of a request of mean size answered late.
        prompt_tokens: Mean and spread (sigma of the logarithm) of the prompt length.
        output_tokens: Mean and spread of the output length, likewise.
        max_output_tokens: Upper limit of the output length.
    """

    route: Route
    rate_per_s: float
    value: float
    late_value: float
    prompt_tokens: tuple[float, float]
    output_tokens: tuple[float, float]
    max_output_tokens: int


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


# The numbers are in the order of the fields: rate, value, late value, mean and spread
# of the prompt length, the same of the output length, and its limit. Those of a route:
# priority, latency objective and time-out in seconds.
REVIEW = RequestKind(
    _route("review", 0, 0.8, 15.0, resumable=False),
    8.0,
    7.0,
    2.0,
    (6_670.0, 1.0),
    (384.0, 1.0),
    3_840,
)
QUESTION = RequestKind(
    _route("question", 1, 0.4, 12.0, resumable=True),
    6.8,
    1.9,
    0.57,
    (690.0, 0.8),
    (294.0, 1.0),
    2_940,
)
TAG = RequestKind(
    _route("tag", 2, 0.5, 3.0, resumable=False),
    13.8,
    0.28,
    0.08,
    (1_860.0, 0.9),
    (24.0, 1.0),
    228,
)


# Drafts of middle size, summaries, and queries with short prompts and long answers,
# which hold a slot for seconds.
DRAFT = RequestKind(
    _route("draft", 0, 0.8, 6.0, resumable=False),
    12.7,
    7.1,
    2.0,
    (2_950.0, 1.0),
    (52.0, 1.5),
    520,
)
SUMMARY = RequestKind(
    _route("summary", 1, 0.6, 4.0, resumable=True),
    17.5,
    2.1,
    0.62,
    (1_860.0, 1.3),
    (22.6, 1.5),
    224,
)
QUERY = RequestKind(
    _route("query", 2, 0.5, 15.0, resumable=False),
    19.4,
    0.35,
    0.1,
    (600.0, 0.9),
    (280.0, 1.5),
    2_800,
)
SLOW_PREFILL = EngineModel(
    step_s=4.73e-3,
    step_per_request_s=0.0138e-3,
    prefill_tokens_per_s=38_400.0,
    pairs_s_per_m=1.18e-3,
    event_tokens=4,
)


@attrs.frozen
class Surge:
    """A factor on the arrival rate for a while: of one kind, or of all if None."""

    start_s: float
    duration_s: float
    factor: float
    kind: str | None = None


@attrs.frozen
class Crash:
    """A server, by its index, that is down for a while."""

    start_s: float
    duration_s: float
    server: int


@attrs.frozen
class Limit:
    """A limit that a server, by its index, names for a while, requests per second."""

    start_s: float
    duration_s: float
    server: int
    per_s: float


@attrs.frozen
class ColdStart:
    """Servers, by their indices, that come back together and are cold for a while.

    Attributes:
        start_s: Time at which they come back.
        duration_s: Time for which they are cold.
        servers: The servers.
        per_s: Requests per second that each of them takes meanwhile.
        slowness: Factor on the time of their steps meanwhile.
    """

    start_s: float
    duration_s: float
    servers: tuple[int, ...]
    per_s: float
    slowness: float = 3.0


@attrs.frozen
class Pattern:
    """One load pattern.

    Attributes:
        slowness: Factor on the step time of each server, one value per server.
        surges: Changes of the arrival rate.
        crashes: Servers that go down.
        limits: Limits that servers name.
        cold_start: Servers that come back cold.
        entries: Entries that share the servers.
        slots: Maximum number of running requests of a server.
        duration_s: Time during which requests arrive.
        engine: Speed of a server of slowness 1.
        clump: Mean number of requests of a kind that arrive together.
        kinds: The kinds of requests that clients send.
    """

    slowness: tuple[float, ...] = (0.55, 1.0, 1.0, 2.8, 0.55)
    surges: tuple[Surge, ...] = ()
    crashes: tuple[Crash, ...] = ()
    limits: tuple[Limit, ...] = ()
    cold_start: ColdStart | None = None
    entries: int = 6
    slots: int = 8
    duration_s: float = 20.0
    engine: EngineModel = EngineModel()
    clump: float = 1.0
    kinds: tuple[RequestKind, ...] = (REVIEW, QUESTION, TAG)

    def factor(self, kind: str, now: float) -> float:
        """Returns the factor on a kind's arrival rate at a time."""
        product = 1.0
        for surge in self.surges:
            if (
                surge.start_s <= now < surge.start_s + surge.duration_s
                and surge.kind in {None, kind}
            ):
                product *= surge.factor
        return product


def register(build: Callable[[], Pattern]) -> Callable[[], Pattern]:
    """Adds a pattern under its function's name."""
    PATTERNS[build.__name__] = build
    return build


@register
def calm() -> Pattern:
    """Normal load."""
    return Pattern()


@register
def burst() -> Pattern:
    """2.2 times the load for five seconds."""
    return Pattern(surges=(Surge(5.0, 5.0, 2.2),))


@register
def long_prompts() -> Pattern:
    """Three times the rate of reviews for five seconds."""
    return Pattern(surges=(Surge(5.0, 5.0, 3.0, "review"),))


@register
def servers_lost() -> Pattern:
    """Two of the faster servers go down and do not come back."""
    return Pattern(crashes=(Crash(4.0, 100.0, 0), Crash(4.5, 100.0, 1)))


@register
def long_overload() -> Pattern:
    """1.4 times the normal load from 2 s to the end.

    That is about 1.5 times the capacity of the three servers.
    """
    return Pattern(slowness=(0.55, 1.0, 2.8), surges=(Surge(2.0, 100.0, 1.4),))


@register
def crash_in_burst() -> Pattern:
    """One of the fastest servers crashes during 1.8 times the load."""
    return Pattern(surges=(Surge(5.0, 6.0, 1.8),), crashes=(Crash(6.0, 4.0, 0),))


@register
def long_answers() -> Pattern:
    """1.3 times the capacity, and bursts, beside answers that hold slots for long."""
    return Pattern(
        slowness=(0.6, 0.6, 1.7, 1.7, 1.7),
        surges=(Surge(4.0, 5.0, 1.7), Surge(14.0, 2.5, 2.2), Surge(24.0, 9.0, 0.7)),
        entries=4,
        slots=7,
        duration_s=30.0,
        kinds=(DRAFT, SUMMARY, QUERY),
        engine=SLOW_PREFILL,
        clump=3.0,
    )


@register
def two_limited() -> Pattern:
    """Two of five servers, one of the fastest among them, take two requests a second.

    The other three can just run what the two do not take.
    """
    return Pattern(limits=(Limit(3.0, 12.0, 0, 2.1), Limit(3.0, 12.0, 2, 1.8)))


@register
def all_limited() -> Pattern:
    """All servers together take half of the load."""
    return Pattern(limits=tuple(Limit(3.0, 12.0, n, 2.8) for n in range(5)))


@register
def one_cold() -> Pattern:
    """One of the fastest servers comes back cold under normal load."""
    return Pattern(cold_start=ColdStart(4.0, 6.0, (0,), 3.0))


@register
def half_cold() -> Pattern:
    """Half of the servers come back cold during 1.3 times the load."""
    return Pattern(
        slowness=(0.55, 1.0, 1.0, 0.55),
        surges=(Surge(2.0, 12.0, 1.3),),
        crashes=(Crash(2.0, 2.0, 0), Crash(2.0, 2.0, 1)),
        cold_start=ColdStart(4.0, 6.0, (0, 1), 3.0),
    )


@register
def all_cold() -> Pattern:
    """All servers are cold at once, and together take a third of the load."""
    return Pattern(cold_start=ColdStart(4.0, 6.0, (0, 1, 2, 3, 4), 2.0))


def sample(rng: random.Random, mean: float, sigma: float, limit: float) -> int:
    """Draws a length from a log-normal distribution with a mean and an upper limit."""
    mu = math.log(mean) - sigma * sigma / 2
    return max(1, round(min(limit, rng.lognormvariate(mu, sigma))))
