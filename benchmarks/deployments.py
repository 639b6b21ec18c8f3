"""The deployments that the testbed can start."""

from __future__ import annotations

from benchmarks.deployment import (
    DEPLOYMENTS,
    Deployment,
    Engine,
    Service,
    Tier,
    deployment,
)
from benchmarks.records import Kind

__all__ = ["DEPLOYMENTS", "certificates", "furnace", "small"]


def _engines(prefix: str, steps_ms: tuple[int, ...]) -> tuple[Engine, ...]:
    """Describes engines of different speeds; each third one ignores fencing tokens."""
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


def _durable_tier(
    name: str,
    route: str,
    share: float,
    output_tokens: tuple[int, int],
    *,
    slot_share: float,
) -> Tier:
    """Describes a tier of long requests that may be queued but must not be lost."""
    return Tier(
        name=name,
        route=route,
        kind=Kind.MODEL,
        shed_order=20,
        urgency=20,
        share=share,
        max_wait_s=60.0,
        durable=True,
        prompt_tokens=(100, 2000),
        output_tokens=output_tokens,
        streamed=0.0,
        slot_share=slot_share,
        timeout_s=60.0,
    )


def _review(share: float, output_tokens: tuple[int, int]) -> Tier:
    return _durable_tier("review", "furnace", share, output_tokens, slot_share=0.5)


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
    """Describes 9 engines and 3 services; the engines get 80% of the requests."""
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
    """Describes 5 engines and 3 services; each kind gets half of the requests."""
    dossier = _durable_tier("dossier", "template", 0.1, (40, 800), slot_share=0.7)
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
    """Describes two entries, three engines of different speeds and one service."""
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
