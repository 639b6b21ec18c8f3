"""Parts of a configuration that no request can reach, or that leave it no server."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cornelpin.scheduling.configuration._findings import Finding

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

    from cornelpin.scheduling.routing import Route, RoutingConfig, Workspace
    from cornelpin.scheduling.servers import BackendServer

NOT_IN_A_HOST = frozenset(" \t\r\n/:@?#")
NOT_IN_A_PATH = frozenset(" \t\r\n?#")


def unmatched(
    config: RoutingConfig,
    *,
    regions: Mapping[str, str] | None = None,
    servers: Collection[BackendServer] | None = None,
) -> list[Finding]:
    """Returns the parts of a configuration that can never match.

    Args:
        config: The configuration.
        regions: Region of each data centre; None if they are not known.
        servers: The backend servers registered; None if they are not known.
    """
    found = [*_unreachable_routes(config.routes), *_services(config, servers)]
    found += [*_repeated_names(config), *_keys(config)]
    if regions is not None:
        found += _without_regions(config, regions, servers)
    return found


def _unreachable_routes(routes: Iterable[Route]) -> Iterator[Finding]:
    """Finds routes that no request reaches: of equal ones the first is used."""
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        path = f"route {route.name!r}"
        key = (route.host, route.prefix)
        if key in first:
            reason = f"never matches: {first[key]!r} has the same host and prefix"
            yield Finding(path, reason, "give it another prefix")
        first.setdefault(key, route.name)
        if not route.host or NOT_IN_A_HOST.intersection(route.host):
            reason = f"never matches: no request has the host {route.host!r}"
            yield Finding(path, reason, "use a name such as shop.example")
        ends = route.prefix.startswith("/") and route.prefix.endswith("/")
        if not ends or NOT_IN_A_PATH.intersection(route.prefix):
            reason = f"the prefix {route.prefix!r} matches no whole part of a path"
            yield Finding(path, reason, "begin and end it with a slash")


def _services(
    config: RoutingConfig, servers: Collection[BackendServer] | None
) -> Iterator[Finding]:
    """Finds services that are named but missing, unused, or without servers."""
    used: set[str] = set()
    for route in config.routes:
        names = [name for name, _ in route.backends]
        used.update(names)
        for name in names:
            if name not in config.services:
                valid = ", ".join(sorted(config.services)) or "none"
                reason = f"there is no service {name!r}"
                yield Finding(f"route {route.name!r}", reason, f"valid names: {valid}")
        if len(route.backends) > 1:
            yield from _weights(route)
    for name in config.services:
        if name not in used:
            yield Finding(f"service {name!r}", "no route leads to it")
    if servers is not None:
        running = {server.service for server in servers if not server.leaving}
        for name in sorted(used & config.services.keys() - running):
            yield Finding(f"service {name!r}", "no server of it is registered")


def _weights(route: Route) -> Iterator[Finding]:
    idle = [name for name, weight in route.backends if weight <= 0]
    if len(idle) == len(route.backends):
        reason = f"no weight is above 0: {idle[0]!r} gets all requests"
        yield Finding(f"route {route.name!r}", reason)
        return
    for name in idle:
        reason = f"{name!r} gets no requests: its weight is not above 0"
        yield Finding(f"route {route.name!r}", reason)


def _repeated_names(config: RoutingConfig) -> Iterator[Finding]:
    for kind, named in _by_kind(config):
        for name, count in Counter(item.name for item in named).items():
            if count > 1:
                yield Finding(f"{kind} {name!r}", f"the name is used {count} times")


def _by_kind(
    config: RoutingConfig,
) -> tuple[tuple[str, tuple[Route | Workspace, ...]], ...]:
    return ("route", config.routes), ("workspace", config.workspaces)


def _keys(config: RoutingConfig) -> Iterator[Finding]:
    """Finds API keys that stand for another workspace, and callers without any."""
    for workspace in config.workspaces:
        if not workspace.keys:
            yield Finding(f"workspace {workspace.name!r}", "it has no API key")
        for number, key in enumerate(workspace.keys):
            holder = config.workspace(key)
            if holder is not None and holder is not workspace:
                # The key itself is a secret.
                reason = f"its API key {number} stands for {holder.name!r}"
                yield Finding(f"workspace {workspace.name!r}", reason)
    if not any(workspace.keys for workspace in config.workspaces):
        # Entries ask for a key only if there are workspaces.
        reason = (
            "it requires an API key, and no workspace has one"
            if config.workspaces
            else "it requires an API key, but without workspaces none is asked for"
        )
        for route in config.routes:
            if not route.anonymous:
                yield Finding(f"route {route.name!r}", reason)


def _without_regions(
    config: RoutingConfig,
    regions: Mapping[str, str],
    servers: Collection[BackendServer] | None,
) -> Iterator[Finding]:
    """Finds regions that leave requests no data centre, or no server."""
    known = set(regions.values())
    for kind, holders in _by_kind(config):
        for holder in holders:
            for name in sorted(holder.regions - known):
                reason = f"there is no region {name!r}"
                valid = f"valid names: {', '.join(sorted(known))}"
                yield Finding(f"{kind} {holder.name!r}", reason, valid)
    has_server = _server_lookup(regions, servers)
    bound = [w for w in config.workspaces if w.keys and w.regions]
    for route in config.routes:
        if route.regions and not has_server(route, route.regions):
            reason = f"no server in its regions {_names(route.regions)}"
            yield Finding(f"route {route.name!r}", reason)
            continue
        for workspace in bound:
            allowed = workspace.regions & (route.regions or known)
            if not has_server(route, allowed):
                reason = (
                    f"no server for workspace {workspace.name!r}: its regions are"
                    f" {_names(workspace.regions)}, the route's"
                    f" {_names(route.regions) or 'any'}"
                )
                yield Finding(f"route {route.name!r}", reason)


def _names(regions: frozenset[str]) -> str:
    return ", ".join(sorted(regions))


def _server_lookup(
    regions: Mapping[str, str], servers: Collection[BackendServer] | None
) -> Callable[[Route, frozenset[str]], bool]:
    """Returns whether a route has a server in one of some regions.

    Without a list of servers each data centre counts as having one.
    """
    places: dict[str, set[str]] = {}
    for server in servers or ():
        region = regions.get(server.data_centre, "")
        places.setdefault(server.service, set()).add(region)

    def has_server(route: Route, allowed: frozenset[str]) -> bool:
        if servers is None:
            return bool(allowed.intersection(regions.values()))
        return any(allowed & places.get(name, set()) for name, _ in route.backends)

    return has_server
