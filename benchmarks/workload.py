"""Seeded open-loop workloads: arrival times, tiers, lengths and prompts."""

from __future__ import annotations

import hashlib
import json
import math
import random
from collections.abc import Iterator

from attrs import frozen

from benchmarks.deployment import Deployment, Tier
from benchmarks.records import Kind

PREFIXES_PER_WORKSPACE = 4
PREFIX_WORDS = 200
CHAT_SHARE = 0.3
# The stand-in engines log the prompt of a chat as one line per message.
CHAT_PREFIX = "user: "


@frozen
class PlannedRequest:
    """A request with its send time.

    Attributes:
        call_id: Unique id of the call.
        at_s: Send time in seconds from the start of the workload.
        workspace: Workspace that sends it.
        tier: Tier that it belongs to.
        text: Prompt of a model request, body of a service call.
        output_tokens: Length of the response; 0 for a service call.
        streamed: Whether the response is streamed.
        key: Idempotency key, empty for none.
        chat: Whether it is a chat completion.
    """

    call_id: str
    at_s: float
    workspace: str
    tier: Tier
    text: str
    output_tokens: int = 0
    streamed: bool = False
    key: str = ""
    chat: bool = False

    @property
    def digest(self) -> str:
        """SHA-256 of the prompt or body, as the stand-ins log it."""
        return hashlib.sha256(self.text.encode()).hexdigest()


@frozen
class Shape:
    """Rate and duration of a workload.

    Attributes:
        seed: Seed of every random choice.
        rate_per_s: Mean arrival rate outside bursts.
        duration_s: Length of the workload in seconds.
        burst_every_s: Time from the start of a burst to that of the next, in seconds;
            0 for no bursts.
        burst_s: Length of a burst in seconds.
        burst_factor: Factor on the rate during a burst.
        tiers: Names of the tiers to send; all when empty.
    """

    seed: int
    rate_per_s: float
    duration_s: float
    burst_every_s: float = 0.0
    burst_s: float = 1.0
    burst_factor: float = 3.0
    tiers: tuple[str, ...] = ()


def plan(deployment: Deployment, shape: Shape) -> list[PlannedRequest]:
    """Plans the requests of a workload; equal arguments give equal plans."""
    rng = random.Random(shape.seed)
    prefixes = {name: _prefixes(name, rng) for name in deployment.workspaces}
    tiers = [t for t in deployment.tiers if not shape.tiers or t.name in shape.tiers]
    tier_shares = [tier.share for tier in tiers]
    names, shares = zip(*deployment.workspaces.items(), strict=True)
    planned = []
    for i, at_s in enumerate(_arrivals(shape, rng)):
        tier = rng.choices(tiers, tier_shares)[0]
        workspace = rng.choices(names, shares)[0]
        call_id = f"{shape.seed}-{i}"
        prefix = rng.choice(prefixes[workspace])
        planned.append(_request(call_id, at_s, workspace, tier, prefix, rng))
    return planned


def _arrivals(shape: Shape, rng: random.Random) -> Iterator[float]:
    """Yields Poisson arrival times by thinning arrivals at the peak rate."""
    peak = shape.rate_per_s * (shape.burst_factor if shape.burst_every_s else 1.0)
    at_s = rng.expovariate(peak)
    while at_s < shape.duration_s:
        if rng.random() < _rate_at(shape, at_s) / peak:
            yield at_s
        at_s += rng.expovariate(peak)


def _rate_at(shape: Shape, at_s: float) -> float:
    in_burst = shape.burst_every_s and at_s % shape.burst_every_s < shape.burst_s
    return shape.rate_per_s * (shape.burst_factor if in_burst else 1.0)


def _prefixes(workspace: str, rng: random.Random) -> list[str]:
    return [
        f"{workspace} {i} {_words(PREFIX_WORDS, rng)}"
        for i in range(PREFIXES_PER_WORKSPACE)
    ]


def _words(count: int, rng: random.Random) -> str:
    return " ".join(f"w{rng.randrange(10_000)}" for _ in range(count))


def _request(
    call_id: str,
    at_s: float,
    workspace: str,
    tier: Tier,
    prefix: str,
    rng: random.Random,
) -> PlannedRequest:
    if tier.kind is Kind.SERVICE:
        body = json.dumps({"call": call_id, "lot": rng.randrange(1000)})
        return PlannedRequest(call_id, at_s, workspace, tier, body, key=f"k-{call_id}")
    own_words = _words(log_uniform(tier.prompt_tokens, rng), rng)
    output_tokens = log_uniform(tier.output_tokens, rng)
    chat = rng.random() < CHAT_SHARE
    chat_prefix = CHAT_PREFIX if chat else ""
    return PlannedRequest(
        call_id=call_id,
        at_s=at_s,
        workspace=workspace,
        tier=tier,
        text=f"{chat_prefix}{prefix} {call_id} {own_words} #out={output_tokens}",
        output_tokens=output_tokens,
        streamed=rng.random() < tier.streamed,
        key=f"k-{call_id}" if tier.durable else "",
        chat=chat,
    )


def log_uniform(bounds: tuple[int, int], rng: random.Random) -> int:
    """Draws an integer from a log-uniform distribution between two bounds."""
    low, high = bounds
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))
