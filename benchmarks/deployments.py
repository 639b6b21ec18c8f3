"""Descriptions of the deployments that the testbed can start."""

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
        host: Host that carries it.
        step_ms: Time of one decoding step in milliseconds.
        max_batch: Sequences decoded in one step.
        prefill_tokens_per_s: Rate at which prompts are processed.
        cache_tokens: Capacity of the prefix cache in tokens.
        checks_fence: Whether it refuses orders with an old fencing number.
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
        urgency: Order of dispatch; a lower one goes first.
        share: Share of the arrivals.
        max_wait_s: Longest wait in the queue in seconds.
        durable: Whether accepted requests survive the hosts.
        idempotent: Whether a call may run more than once.
        prompt_tokens: Shortest and longest own part of a prompt.
        output_tokens: Shortest and longest answer.
        streamed: Share of requests that ask for a stream.
        queue_share: Share of the queue that the tier may fill.
        slot_share: Share of the slots that the tier may fill.
        timeout_s: Deadline that the caller gives.
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
    """Processes, tiers and workspaces of one deployment."""

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
        """Data centre by host; hosts are spread over the data centres in turn."""
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


def _engines(prefix: str, steps_ms: tuple[int, ...]) -> tuple[Engine, ...]:
    """Describes engines of unlike speed; every third one ignores fencing numbers."""
    return tuple(
        Engine(
            name=f"{prefix}{i}",
            host=f"host-{prefix}{i}",
            step_ms=step_ms,
            max_batch=8 if step_ms <= 20 else 4,
            prefill_tokens_per_s=160_000 // step_ms,
            checks_fence=i % 3 != 0,
        )
        for i, step_ms in enumerate(steps_ms, start=1)
    )


def _services(prefix: str, count: int) -> tuple[Service, ...]:
    names = [f"{prefix}{i}" for i in range(1, count + 1)]
    return tuple(Service(name=name, host=f"host-{name}") for name in names)


def _question(share: float) -> Tier:
    return Tier(
        name="question",
        route="furnace",
        kind=Kind.MODEL,
        shed_order=30,
        urgency=0,
        share=share,
    )


def _review(share: float, output_tokens: tuple[int, int]) -> Tier:
    return Tier(
        name="review",
        route="furnace",
        kind=Kind.MODEL,
        shed_order=20,
        urgency=20,
        share=share,
        max_wait_s=60.0,
        durable=True,
        prompt_tokens=(100, 2000),
        output_tokens=output_tokens,
        streamed=0.0,
        slot_share=0.5,
        timeout_s=60.0,
    )


def _tag(share: float) -> Tier:
    return Tier(
        name="tag",
        route="furnace",
        kind=Kind.MODEL,
        shed_order=10,
        urgency=10,
        share=share,
        max_wait_s=2.0,
        prompt_tokens=(8, 32),
        output_tokens=(2, 8),
        streamed=0.0,
        slot_share=0.5,
        timeout_s=5.0,
    )


def _release(share: float) -> Tier:
    return Tier(
        name="release",
        route="registry",
        kind=Kind.SERVICE,
        shed_order=40,
        urgency=0,
        share=share,
    )


def _recipe(share: float) -> Tier:
    return Tier(
        name="recipe",
        route="registry-read",
        kind=Kind.SERVICE,
        shed_order=15,
        urgency=10,
        share=share,
        idempotent=True,
    )


@deployment("furnace")
def furnace() -> Deployment:
    """Describes the furnace platform at its size of today."""
    return Deployment(
        name="furnace",
        model_route="furnace",
        service_route="registry",
        data_centres=("catania-1", "catania-2", "catania-3"),
        entries=("e1", "e2", "e3"),
        engines=_engines("f", (10, 12, 16, 20, 20, 25, 30, 40, 40)),
        services=_services("r", 3),
        tiers=(
            _question(0.25),
            _review(0.05, (40, 800)),
            _tag(0.5),
            _release(0.08),
            _recipe(0.12),
        ),
        workspaces={
            "shop-a": 4.0,
            "shop-b": 3.0,
            "shop-c": 1.0,
            "shop-d": 1.0,
            "line": 1.0,
        },
    )


@deployment("certificates")
def certificates() -> Deployment:
    """Describes the certificate division at its size of today."""
    dossier = Tier(
        name="dossier",
        route="template",
        kind=Kind.MODEL,
        shed_order=20,
        urgency=20,
        share=0.1,
        max_wait_s=60.0,
        durable=True,
        prompt_tokens=(100, 2000),
        output_tokens=(40, 800),
        streamed=0.0,
        slot_share=0.7,
        timeout_s=60.0,
    )
    wording = Tier(
        name="wording",
        route="template",
        kind=Kind.MODEL,
        shed_order=15,
        urgency=0,
        share=0.4,
    )
    name_check = Tier(
        name="name_check",
        route="portal-check",
        kind=Kind.SERVICE,
        shed_order=10,
        urgency=10,
        share=0.4,
        max_wait_s=2.0,
        idempotent=True,
    )
    stamp = Tier(
        name="stamp",
        route="portal",
        kind=Kind.SERVICE,
        shed_order=40,
        urgency=0,
        share=0.1,
    )
    return Deployment(
        name="certificates",
        model_route="template",
        service_route="portal",
        data_centres=("alegre-1", "alegre-2", "alegre-3"),
        entries=("e1", "e2", "e3"),
        engines=_engines("t", (12, 16, 20, 30, 40)),
        services=_services("p", 3),
        tiers=(dossier, wording, name_check, stamp),
        workspaces={
            "school-a": 4.0,
            "school-b": 3.0,
            "institute-a": 1.0,
            "institute-b": 1.0,
            "portal": 1.0,
        },
    )


@deployment("small")
def small() -> Deployment:
    """Describes two entries, three unlike engines and one service."""
    return Deployment(
        name="small",
        model_route="furnace",
        service_route="registry",
        data_centres=("dc-1", "dc-2"),
        entries=("e1", "e2"),
        engines=_engines("f", (10, 20, 40)),
        services=_services("r", 1),
        tiers=(
            _question(0.3),
            _review(0.05, (40, 200)),
            _tag(0.45),
            _release(0.1),
            _recipe(0.1),
        ),
        workspaces={"shop-a": 3.0, "shop-b": 1.0},
    )


def mean_output_tokens(described: Deployment) -> float:
    """Returns the mean length of the answers of a deployment's engines."""
    tiers = [tier for tier in described.tiers if tier.kind is Kind.MODEL]
    share = sum(tier.share for tier in tiers)
    tokens = sum(_log_mean(tier.output_tokens) * tier.share for tier in tiers)
    return tokens / share


def capacity_per_s(described: Deployment) -> float:
    """Estimates the arrival rate that just fills the engines of a deployment."""
    share = sum(tier.share for tier in described.tiers if tier.kind is Kind.MODEL)
    tokens_per_s = sum(
        engine.max_batch * 1000 / engine.step_ms for engine in described.engines
    )
    return tokens_per_s / mean_output_tokens(described) / share


def _log_mean(bounds: tuple[int, int]) -> float:
    """Returns the mean of a log-uniform distribution."""
    low, high = bounds
    return (high - low) / math.log(high / low)


def as_tier_document(tier: Tier) -> dict[str, Any]:
    """Returns the configuration entry of a tier."""
    return {
        "shed_order": tier.shed_order,
        "urgency": tier.urgency,
        "max_wait_s": tier.max_wait_s,
        "queue_share": tier.queue_share,
        "slot_share": tier.slot_share,
        "durable": tier.durable,
        "weight": 1.0,
    }
