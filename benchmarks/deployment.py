"""Description of a deployment that the testbed can start."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from attrs import field, frozen

from benchmarks.records import Kind


@frozen
class Engine:
    """A model engine.

    Attributes:
        name: Name of the backend server.
        host: Host that it runs on.
        step_ms: Time of one decoding step in milliseconds.
        max_batch: Sequences decoded in one step.
        prefill_tokens_per_s: Prompt tokens processed per second.
        cache_tokens: Capacity of the prefix cache in tokens.
        checks_fence: Whether it refuses orders with an old fencing token.
    """

    name: str
    host: str
    step_ms: int = 20
    max_batch: int = 8
    prefill_tokens_per_s: int = 8000
    cache_tokens: int = 20000
    checks_fence: bool = True


@frozen
class Service:
    """A plain service; latency is in milliseconds."""

    name: str
    host: str
    latency_ms: int = 20
    slots: int = 4


@frozen
class Tier:
    """A priority tier, its route and the shape of its requests.

    Attributes:
        name: Name of the tier.
        route: Default route of the tier.
        kind: Kind of backend server behind the route.
        shed_order: Order of shedding; a higher one is shed later.
        urgency: Order of dispatch; a lower one is dispatched first.
        share: Share of the arrivals.
        max_wait_s: Maximum queue time in seconds.
        durable: Whether accepted requests survive the loss of hosts.
        idempotent: Whether a call may run more than once.
        prompt_tokens: Minimum and maximum length of a prompt after its shared prefix.
        output_tokens: Minimum and maximum length of a response.
        streamed: Share of requests that ask for a stream.
        queue_share: Share of the queue that the tier may fill.
        slot_share: Share of the slots that the tier may fill.
        timeout_s: Deadline that the caller sets, in seconds.
    """

    name: str
    route: str
    kind: Kind
    shed_order: int
    urgency: int
    share: float
    max_wait_s: float = 10.0
    durable: bool = False
    idempotent: bool = False
    prompt_tokens: tuple[int, int] = (8, 64)
    output_tokens: tuple[int, int] = (4, 32)
    streamed: float = 0.5
    queue_share: float = 1.0
    slot_share: float = 1.0
    timeout_s: float = 20.0


@frozen
class Deployment:
    """Processes, tiers and workspaces of one deployment.

    Attributes:
        workspaces: Weight by workspace, of its arrivals and of its configured share.
    """

    name: str
    model_route: str
    service_route: str
    data_centres: tuple[str, ...]
    entries: tuple[str, ...]
    engines: tuple[Engine, ...]
    services: tuple[Service, ...]
    tiers: tuple[Tier, ...]
    workspaces: dict[str, float] = field(factory=dict)

    @property
    def hosts(self) -> dict[str, str]:
        """Data centre by host; hosts are assigned to the data centres round robin."""
        names = [f"host-{entry}" for entry in self.entries]
        names += [engine.host for engine in self.engines]
        names += [service.host for service in self.services]
        count = len(self.data_centres)
        return {name: self.data_centres[i % count] for i, name in enumerate(names)}

    def servers_of(self, kind: Kind) -> tuple[str, ...]:
        """Returns the names of the backend servers of one kind."""
        if kind is Kind.MODEL:
            return tuple(engine.name for engine in self.engines)
        return tuple(service.name for service in self.services)

    @property
    def servers(self) -> tuple[str, ...]:
        """Names of all backend servers."""
        return (*self.servers_of(Kind.MODEL), *self.servers_of(Kind.SERVICE))

    def tier(self, name: str) -> Tier:
        """Returns a tier by name."""
        return next(tier for tier in self.tiers if tier.name == name)


DEPLOYMENTS: dict[str, Callable[[], Deployment]] = {}


def deployment(
    name: str,
) -> Callable[[Callable[[], Deployment]], Callable[[], Deployment]]:
    """Registers the function that describes a deployment."""

    def register(function: Callable[[], Deployment]) -> Callable[[], Deployment]:
        DEPLOYMENTS[name] = function
        return function

    return register


def mean_output_tokens(deployment: Deployment) -> float:
    """Returns the mean output length of model requests in tokens."""
    tiers = [tier for tier in deployment.tiers if tier.kind is Kind.MODEL]
    share = sum(tier.share for tier in tiers)
    tokens = sum(_log_mean(tier.output_tokens) * tier.share for tier in tiers)
    return tokens / share


def capacity_per_s(deployment: Deployment) -> float:
    """Estimates the arrival rate that just saturates the engines.

    Step times are taken as independent of the batch size.
    """
    share = sum(tier.share for tier in deployment.tiers if tier.kind is Kind.MODEL)
    tokens_per_s = sum(
        engine.max_batch * 1000 / engine.step_ms for engine in deployment.engines
    )
    return tokens_per_s / mean_output_tokens(deployment) / share


def _log_mean(bounds: tuple[int, int]) -> float:
    """Returns the mean of a log-uniform distribution between two bounds."""
    low, high = bounds
    return (high - low) / math.log(high / low)


def as_tier_document(tier: Tier) -> dict[str, Any]:
    """Returns the configuration document of a tier."""
    return {
        "shed_order": tier.shed_order,
        "urgency": tier.urgency,
        "max_wait_s": tier.max_wait_s,
        "queue_share": tier.queue_share,
        "slot_share": tier.slot_share,
        "durable": tier.durable,
        "weight": 1.0,
    }
