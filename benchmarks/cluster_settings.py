"""Builds the settings files and the configuration document of a deployment."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import frozen

from benchmarks.deployment import Deployment, Tier, as_tier_document
from benchmarks.records import Kind

OPERATOR_TOKEN = "operator-token"
SHARED_KEY = "testbed-shared-key"
MAX_BODY_BYTES = 1_048_576
FIRST_VERSION = "v1"


@frozen
class ProcessAddress:
    """Address and ports that the testbed assigns to one cornelpin process.

    Attributes:
        name: Name of the process.
        host: Name of its host.
        peer_port: Port on which it listens for peers.
        http_port: Port on which it listens for HTTP.
        address: Address of its host.
        advertised_port: Port that its peers connect to; differs from ``peer_port``
            when the network stand-in forwards the connections.
    """

    name: str
    host: str
    peer_port: int
    http_port: int
    address: str
    advertised_port: int


@frozen
class PlatformUrls:
    """URLs of the platform's services."""

    objects: str
    host_list: str


def sha256_hex(text: str) -> str:
    """Returns the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def workspace_token(workspace: str) -> str:
    """Returns the bearer token that tests use for a workspace."""
    return f"token-{workspace}"


def process_settings(
    process: ProcessAddress,
    role: str,
    deployment: Deployment,
    platform: PlatformUrls,
    seeds: list[str],
) -> dict[str, Any]:
    """Returns the settings that entries and sides share."""
    return {
        "role": role,
        "name": process.name,
        "host": process.host,
        "data_centre": deployment.hosts[process.host],
        "address": process.address,
        "peer_port": process.peer_port,
        "http_port": process.http_port,
        "shared_key": SHARED_KEY,
        "objects": {"kind": "http", "url": platform.objects},
        "host_list": {"kind": "http", "url": platform.host_list},
        # Not needed by daemons: the stand-in engines fetch weights themselves.
        "weight_store": None,
        "seeds": seeds,
        "log": {"format": "text", "level": "INFO"},
    }


def configuration(
    deployment: Deployment,
    entries: list[ProcessAddress],
    sides: dict[str, ProcessAddress],
) -> dict[str, Any]:
    """Returns the initial configuration document of a deployment."""
    addresses = {p.host: p.address for p in (*entries, *sides.values())}
    return {
        "tiers": {tier.name: as_tier_document(tier) for tier in deployment.tiers},
        "workspaces": _workspaces(deployment),
        "routes": _routes(deployment),
        "backend_servers": {
            name: {"host": side.host, "peer_port": side.advertised_port}
            for name, side in sides.items()
        },
        "entries": {
            entry.name: {
                "host": entry.host,
                "peer_port": entry.advertised_port,
                "http_port": entry.http_port,
            }
            for entry in entries
        },
        "hosts": {
            name: {"address": addresses[name], "data_centre": centre, "leaving": False}
            for name, centre in deployment.hosts.items()
        },
        "moves": {},
        "operators": {"bench": {"token_sha256": [sha256_hex(OPERATOR_TOKEN)]}},
    }


def _workspaces(deployment: Deployment) -> dict[str, Any]:
    return {
        name: {
            "token_sha256": [sha256_hex(workspace_token(name))],
            "routes": sorted({tier.route for tier in deployment.tiers}),
            "tiers": [tier.name for tier in deployment.tiers],
            "share": share,
            "limits": {},
        }
        for name, share in deployment.workspaces.items()
    }


def _routes(deployment: Deployment) -> dict[str, Any]:
    """Returns the routes; the first tier of a route is its default."""
    routes: dict[str, Any] = {}
    for tier in deployment.tiers:
        routes.setdefault(tier.route, _route(deployment, tier))
    return routes


def _route(deployment: Deployment, tier: Tier) -> dict[str, Any]:
    timeouts = [t.timeout_s for t in deployment.tiers if t.route == tier.route]
    route: dict[str, Any] = {
        "kind": tier.kind.value,
        "tier": tier.name,
        "backend_servers": list(deployment.servers_of(tier.kind)),
        "idempotent": tier.idempotent,
        "timeout_s": max(timeouts),
        "max_body_bytes": MAX_BODY_BYTES,
    }
    if tier.kind is Kind.MODEL:
        route["version"] = FIRST_VERSION
    return route
