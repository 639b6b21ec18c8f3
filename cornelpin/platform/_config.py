"""Decodes the gateway's configuration, an object in the platform's store.

The gateway is the program in ``cornelpin.gateway``. The one in ``cornelpin.daemon`` has
a configuration and classes of its own, in ``cornelpin.core.config``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgpack

from cornelpin.platform._decoding import BadValue, value
from cornelpin.scheduling.configuration import Finding
from cornelpin.scheduling.routing import (
    ClientLimits,
    Route,
    RouteKind,
    RoutingConfig,
    Service,
    Workspace,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
TOKEN_UNIT = "token_stream"
"""Unit of a workspace whose rate limit counts tokens."""
MS = 1e-3
"""Seconds per millisecond."""
_ROUTE_KINDS = {kind.value: kind for kind in RouteKind}


def config_version(spec: Any) -> int | None:
    """Returns the version of a configuration object; None if it has none."""
    version = spec.get("version") if isinstance(spec, Mapping) else None
    return version if type(version) is int else None


def config_faults(spec: Any) -> list[Finding]:
    """Returns all reasons for which ``ConfigDecoder`` rejects a configuration."""
    if not isinstance(spec, Mapping):
        return [Finding("$", f"expected an object, found {type(spec).__name__}")]
    found: list[Finding] = []
    _attempt(found, "$", value, spec, "version", int)
    for key, decode in _TABLES.items():
        tables = _attempt(found, "$", value, spec, key, list, [])
        for number, table in enumerate(tables or ()):
            _attempt(found, f"$.{key}[{number}]", decode, table)
    limits = _attempt(found, "$", value, spec, "limits", dict, {})
    if limits is not None:
        _attempt(found, "$.limits", _limits, limits)
    return found


def _attempt(
    found: list[Finding], path: str, decode: Callable[..., Any], *args: Any
) -> Any:
    """Returns what a part decodes to, or adds the reason why it does not."""
    try:
        return decode(*args)
    except BadValue as exc:
        found.append(Finding(path, str(exc)))
        return None


class ConfigDecoder:
    """Decodes one configuration after another.

    Most routes are those of the one before, and are not decoded again: at a thousand
    routes that would delay all requests of the entry at each change.
    """

    def __init__(self) -> None:
        # Routes of the last configuration by their encoded tables. Equal tables are no
        # key: in Python, 1 equals True.
        self._routes: dict[bytes, Route] = {}

    def decode(self, spec: Mapping[str, Any]) -> RoutingConfig:
        """Decodes a configuration object of the store.

        Raises:
            BadValue: If a value is missing or has the wrong type.
        """
        if not isinstance(spec, Mapping):
            raise BadValue(f"config: expected an object, found {type(spec).__name__}")
        services = [_service(s) for s in value(spec, "services", list, [])]
        routes: dict[bytes, Route] = {}
        config = RoutingConfig(
            version=value(spec, "version", int),
            routes=tuple(
                self._route(r, routes) for r in value(spec, "routes", list, [])
            ),
            services={service.name: service for service in services},
            limits=_limits(value(spec, "limits", dict, {})),
            # The platform calls a workspace a tenant.
            workspaces=tuple(_workspace(t) for t in value(spec, "tenants", list, [])),
        )
        self._routes = routes
        return config

    def _route(self, table: Any, routes: dict[bytes, Route]) -> Route:
        """Returns a decoded route, and adds it to those of this configuration."""
        try:
            key = msgpack.packb(table)
        except (ValueError, TypeError, OverflowError, RecursionError):
            return _route(table)
        route = self._routes.get(key)
        routes[key] = route = _route(table) if route is None else route
        return route


def _route(table: Mapping[str, Any]) -> Route:
    gap_ms = value(table, "target_gap_ms", float, None)
    kind = value(table, "kind", str)
    if kind not in _ROUTE_KINDS:
        valid = ", ".join(_ROUTE_KINDS)
        raise BadValue(
            f"kind: expected one of {valid}, found {kind!r} "
            f"(route {table.get('name')!r})"
        )
    timeout_ms = value(table, "timeout_ms", float)
    return Route(
        name=value(table, "name", str),
        host=value(table, "host", str).lower(),
        prefix=value(table, "path_prefix", str),
        backends=_backends(table),
        kind=_ROUTE_KINDS[kind],
        timeout_s=timeout_ms * MS,
        objective_s=value(table, "target_latency_ms", float, timeout_ms) * MS,
        priority=value(table, "priority", int, 0),
        max_attempts=value(table, "max_attempts", int, 1),
        anonymous=value(table, "allow_anonymous", bool, False),
        resumable=value(table, "resumable", bool, False),
        max_event_gap_s=None if gap_ms is None else gap_ms * MS,
        regions=_regions(table),
    )


def _regions(table: Mapping[str, Any]) -> frozenset[str]:
    return frozenset(map(str, value(table, "allowed_regions", list, [])))


def _backends(table: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    # A route names one service, or several with weights under "backends".
    weighted = value(table, "backends", list, [])
    if not weighted:
        return ((value(table, "service", str), 1.0),)
    return tuple(
        (value(part, "service", str), value(part, "weight", float)) for part in weighted
    )


def _service(table: Mapping[str, Any]) -> Service:
    defaults = Service(name="")
    return Service(
        name=value(table, "name", str),
        max_conns=value(table, "max_conns", int, defaults.max_conns),
        # "stride" is the number of tokens in one event of a server's stream.
        event_tokens=max(1, value(table, "engine.stride", int, defaults.event_tokens)),
        cold_rate_per_s=value(table, "cold_per_s", float, defaults.cold_rate_per_s),
    )


def _limits(table: Mapping[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    return ClientLimits(
        header_bytes=value(table, "max_header_bytes", int, defaults.header_bytes),
        body_bytes=value(table, "max_body_bytes", int, defaults.body_bytes),
        header_timeout_s=MS
        * value(table, "header_timeout_ms", float, defaults.header_timeout_s / MS),
        idle_timeout_s=MS
        * value(table, "idle_timeout_ms", float, defaults.idle_timeout_s / MS),
    )


def _workspace(table: Mapping[str, Any]) -> Workspace:
    return Workspace(
        name=value(table, "name", str),
        keys=tuple(str(key) for key in value(table, "api_keys", list, [])),
        priority=value(table, "priority", int, None),
        # "unit" says what the rate limit counts: tokens for TOKEN_UNIT, else requests.
        by_tokens=value(table, "unit", str, "") == TOKEN_UNIT,
        plain_tokens=value(table, "plain_tokens", int, 0),
        rate_per_s=value(table, "rate_per_s", float, 0.0),
        burst=value(table, "burst", float, 0.0),
        regions=_regions(table),
    )


_TABLES: dict[str, Callable[[Any], Any]] = {
    "routes": _route,
    "services": _service,
    "tenants": _workspace,
}
"""Decoders of the tables in the lists of a configuration."""
