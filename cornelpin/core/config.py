"""Parses the configuration and validates references between its items."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from cornelpin.core._checking import Fault, Faults, build, format_names, member_path
from cornelpin.core._config_classes import (
    BackendServer,
    Config,
    Entry,
    Host,
    Limits,
    Move,
    Operator,
    Retention,
    Route,
    Tier,
    Workspace,
)

__all__ = [
    "BackendServer",
    "Config",
    "ConfigFaults",
    "Entry",
    "Fault",
    "Host",
    "Limits",
    "Move",
    "Operator",
    "Retention",
    "Route",
    "Tier",
    "Workspace",
    "parse_config",
]

# Top-level key, field of its items, and the top-level key whose items the field names.
_REFERENCES = (
    ("routes", "tier", "tiers"),
    ("routes", "backend_servers", "backend_servers"),
    ("workspaces", "routes", "routes"),
    ("workspaces", "tiers", "tiers"),
    ("moves", "route", "routes"),
)


@dataclass(frozen=True)
class ConfigFaults:
    """All faults of a document that is not valid."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def parse_config(document: dict[str, Any], *, number: int = 0) -> Config | ConfigFaults:
    """Parses and validates a configuration document.

    Args:
        document: The decoded JSON document.
        number: Revision of the configuration.

    Returns:
        The configuration, or all faults of the document.
    """
    faults: Faults = []
    config = build(Config, document, faults, number=number)
    if isinstance(document, dict):
        # References are checked on the raw document, so that they are reported with
        # other faults even if no instance could be built.
        faults.extend(_reference_faults(document))
    if config is not None:
        faults.extend(_conflict_faults(config))
    if config is None or faults:
        return ConfigFaults(tuple(sorted(faults, key=lambda fault: fault.path)))
    return config


def item_reference_faults(
    config: Config, key: str, changed: dict[str, Any]
) -> Iterator[Fault]:
    """Yields the unresolved references in the changed items of a top-level key."""
    # Of the keys that a partial patch may change, only workspaces have references that
    # are checked: to tiers and routes. Names of hosts are not checked: a server or
    # entry on an unknown host is valid, but no process connects to it.
    document = {"tiers": dict(config.tiers), "routes": dict(config.routes)}
    yield from _reference_faults({**document, key: changed})


def token_faults(config: Config) -> Iterator[Fault]:
    """Yields a fault for each token that belongs to two workspaces."""
    if config.has_shared_tokens:
        yield from _shared_token_faults("$.workspaces", config.workspaces)


def _reference_faults(document: dict[str, Any]) -> Iterator[Fault]:
    for key, field, target in _REFERENCES:
        known = _items_of(document, target)
        for name, item in _items_of(document, key).items():
            value = item.get(field) if isinstance(item, dict) else None
            path = member_path(member_path(f"$.{key}", name), field)
            for reference_path, reference in _iter_names(path, value):
                if reference not in known:
                    valid = f"a defined name: {format_names(known)}"
                    yield Fault(reference_path, reference, valid)


def _items_of(document: dict[str, Any], key: str) -> dict[str, Any]:
    items = document.get(key)
    return items if isinstance(items, dict) else {}


def _iter_names(path: str, value: Any) -> Iterator[tuple[str, str]]:
    """Yields the names in a string or an array of strings, with their paths."""
    if isinstance(value, str):
        yield path, value
    for index, item in enumerate(value if isinstance(value, list) else ()):
        if isinstance(item, str):
            yield member_path(path, index), item


def _conflict_faults(config: Config) -> Iterator[Fault]:
    for move in config.moves.values():
        yield from _move_faults(config, move)
    yield from _overlapping_move_faults(config)
    yield from _shared_token_faults("$.workspaces", config.workspaces)
    yield from _shared_token_faults("$.operators", config.operators)


def _move_faults(config: Config, move: Move) -> Iterator[Fault]:
    path = member_path("$.moves", move.name)
    if move.from_version == move.to_version:
        valid = "a version other than from_version"
        yield Fault(f"{path}.to_version", move.to_version, valid)
    route = config.routes.get(move.route)
    if route is None:
        return
    if route.version not in (None, move.from_version, move.to_version):
        valid = f"the version of route {route.name} ({route.version}) as one end"
        yield Fault(f"{path}.from_version", move.from_version, valid)


def _overlapping_move_faults(config: Config) -> Iterator[Fault]:
    """Yields a fault for each route with two unfinished moves.

    Two moves would set conflicting traffic shares.
    """
    first: dict[str, str] = {}
    for move in config.moves.values():
        route = config.routes.get(move.route)
        if route is None or move.state == "take_back":
            continue
        if route.version not in (None, move.from_version):
            continue  # the route has switched its version: the move is complete
        other = first.setdefault(move.route, move.name)
        if other != move.name:
            path = member_path("$.moves", move.name)
            valid = f"a route without an unfinished move (it has {other})"
            yield Fault(f"{path}.route", move.route, valid)


def _shared_token_faults(path: str, owners: Mapping[str, Any]) -> Iterator[Fault]:
    first: dict[str, str] = {}
    for owner in owners.values():
        for index, digest in enumerate(owner.token_sha256):
            other = first.setdefault(digest, owner.name)
            if other != owner.name:
                reference_path = member_path(
                    f"{member_path(path, owner.name)}.token_sha256", index
                )
                yield Fault(
                    reference_path, digest, f"a digest that {other} does not use"
                )
