"""Limits of a configuration that contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelpin.scheduling.configuration._findings import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornelpin.scheduling.routing import (
        ClientLimits,
        Route,
        RoutingConfig,
        Service,
        Workspace,
    )


def contradictions(
    config: RoutingConfig,
    *,
    retry_ratio: float | None = None,
    hedge_share: float = 0.0,
) -> list[Finding]:
    """Returns the limits of a configuration that contradict each other.

    Args:
        config: The configuration.
        retry_ratio: Second tries per request that the platform allows; None if that is
            not known.
        hedge_share: Part of the requests that entries may send to a second server.
    """
    found = [f for route in config.routes for f in _route(route, retry_ratio)]
    found += [f for service in config.services.values() for f in _service(service)]
    found += [f for workspace in config.workspaces for f in _workspace(workspace)]
    found += _client_limits(config.limits)
    if retry_ratio is not None and hedge_share > retry_ratio:
        reason = (
            f"hedged requests may be {hedge_share:g} of all, retries {retry_ratio:g}"
        )
        found.append(Finding("settings", reason, f"use at most {retry_ratio:g}"))
    return found


def _route(route: Route, retry_ratio: float | None) -> Iterator[Finding]:
    path = f"route {route.name!r}"
    if route.timeout_s <= 0:
        yield Finding(path, f"a time-out of {route.timeout_s:g} s", "use more than 0")
    elif route.objective_s > route.timeout_s:
        reason = f"the objective of {route.objective_s:g} s is above the time-out"
        yield Finding(path, reason, f"use at most {route.timeout_s:g} s")
    if route.objective_s <= 0:
        reason = f"an objective of {route.objective_s:g} s can't be met"
        yield Finding(path, reason, "use more than 0")
    gap_s = route.max_event_gap_s
    if gap_s is not None and not 0 < gap_s <= route.timeout_s:
        reason = f"the longest gap between events is {gap_s:g} s"
        yield Finding(path, reason, f"use more than 0, at most {route.timeout_s:g} s")
    if route.max_attempts < 1:
        reason = f"{route.max_attempts} attempts let no request run"
        yield Finding(path, reason, "use 1 or more")
    elif route.max_attempts > 1:
        if not route.idempotent:
            reason = f"{route.max_attempts} attempts, but its requests run once only"
            yield Finding(path, reason, "use 1")
        elif retry_ratio == 0:
            reason = f"{route.max_attempts} attempts, but the budget allows no retry"
            yield Finding(path, reason, "use 1")


def _service(service: Service) -> Iterator[Finding]:
    path = f"service {service.name!r}"
    if service.max_conns < 1:
        reason = f"{service.max_conns} connections serve no request"
        yield Finding(path, reason, "use 1 or more")
    if service.cold_rate_per_s < 0:
        reason = f"a cold server takes {service.cold_rate_per_s:g} requests a second"
        yield Finding(path, reason, "use 0 for no limit, or more")


def _workspace(workspace: Workspace) -> Iterator[Finding]:
    path = f"workspace {workspace.name!r}"
    if workspace.rate_per_s < 0 or workspace.burst < 0:
        yield Finding(path, "a quota below 0", "use a rate of 0 for no limit")
        return
    if not workspace.rate_per_s:
        if workspace.burst:
            reason = f"a burst of {workspace.burst:g} without a rate sets no limit"
            yield Finding(path, reason)
        return
    unit = "tokens" if workspace.by_tokens else "requests"
    one = float(workspace.plain_tokens) if workspace.by_tokens else 1.0
    if workspace.burst < one:
        reason = f"a burst of {workspace.burst:g} {unit} is below one request ({one:g})"
        yield Finding(path, reason, f"use {one:g} or more")


def _client_limits(limits: ClientLimits) -> Iterator[Finding]:
    for name, limit in {
        "header_bytes": limits.header_bytes,
        "body_bytes": limits.body_bytes,
        "header_timeout_s": limits.header_timeout_s,
        "idle_timeout_s": limits.idle_timeout_s,
    }.items():
        if limit <= 0:
            reason = f"{name} of {limit:g} lets no client in"
            yield Finding("limits", reason, "use more than 0")
