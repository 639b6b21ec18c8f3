"""Decoding of the settings file that the platform writes for each process."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from cornelpin.platform._decoding import BadValue, address, value

SETTINGS_VARIABLE = "CORNELPIN_SETTINGS"
MS = 1e-3
"""Seconds per millisecond."""
MIN_WINDOW_S = 0.1
"""Lower bound of a sliding window, against division by zero."""


@attrs.frozen
class Bounds:
    """Limits that the platform sets for the system.

    Attributes:
        config_s: Time within which a configuration change must take effect, seconds.
        drain_s: Time for which a draining server may still be used, seconds.
        grace_s: Time from a stop signal in which the process must end, seconds.
        contact_s: Time without contact after which the platform counts a host as lost,
            seconds.
        retry_ratio: Retries allowed per request in a window.
        retry_extra: Further retries allowed in a window, for all entries together.
        retry_window_s: Length of the sliding window for retries, seconds.
        quota_overage: Part of a workspace's rate and burst by which all entries
            together may exceed them.
        quota_slack: Tokens by which they may exceed them in addition, per window.
        quota_window_s: Length of the sliding window for limits, seconds.
        new_version_share: Largest share of the requests that a bad new version may
            receive.
        new_version_extra: Requests that it may receive beyond that share.
        evacuation_s: Time within which an evacuated data centre must get no more
            requests, seconds; None if operators can't evacuate data centres.
    """

    config_s: float = 2.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    contact_s: float = 3.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window_s: float = 10.0
    quota_overage: float = 0.1
    quota_slack: float = 0.0
    quota_window_s: float = 8.0
    new_version_share: float = 0.1
    new_version_extra: float = 50.0
    evacuation_s: float | None = None


@attrs.frozen
class HostSettings:
    """Settings of the entry process on one host.

    Attributes:
        host: Name of the host.
        data_centre: Data centre of the host.
        ip: IP address of the host.
        callers: Address on which to listen for callers, host and port.
        ready: Address on which to listen for the load balancer's readiness probes, host
            and port.
        peer_port: UDP port for messages between entries, the same on all hosts.
        metrics_port: Port of the metrics endpoint.
        seeds: IP addresses of a few hosts that run entries, from which the others are
            discovered.
        store: Address of the platform's object store, host and port.
        link_mbps: Bandwidth of the host's link, Mbit/s.
        memory_mb: Memory limit of the process, MB.
        max_fds: Limit of open file descriptors.
        bounds: Limits that the platform sets for the system.
        regions: Region of each data centre.
    """

    host: str
    data_centre: str
    ip: str
    callers: tuple[str, int]
    ready: tuple[str, int]
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    store: tuple[str, int]
    link_mbps: float
    memory_mb: float
    max_fds: int
    bounds: Bounds
    regions: Mapping[str, str] = attrs.field(factory=dict)


def load_host_settings(path: str | Path) -> HostSettings:
    """Reads and checks a settings file.

    Raises:
        BadValue: If the file can't be read or a value is not valid.
    """
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError) as exc:
        raise BadValue(f"{path}: not readable as JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise BadValue(f"{path}: expected an object, found {type(document).__name__}")
    return decode_settings(document)


def decode_settings(document: Mapping[str, Any]) -> HostSettings:
    """Decodes the JSON object of a settings file.

    Raises:
        BadValue: If a value is missing, has the wrong type or is out of range.
    """
    # The platform assigns a range of ports, of which the first and the last are used.
    ports = value(document, "internal_ports", list)
    if (
        len(ports) != 2
        or not all(type(p) is int for p in ports)
        or ports[0] >= ports[1]
    ):
        raise BadValue(
            f"internal_ports: expected a range [first, last], found {ports!r}"
        )
    # The ports of the seeds are dropped: entries reach each other on ``peer_port``.
    seeds = [address(str(s), "seeds")[0] for s in value(document, "seeds", list, [])]
    return HostSettings(
        # The platform calls a host a node and a data centre a zone.
        host=value(document, "node", str),
        data_centre=value(document, "zone", str),
        ip=value(document, "ip", str),
        callers=_listen(document, "front"),
        ready=_listen(document, "ready"),
        peer_port=ports[0],
        metrics_port=ports[1],
        seeds=tuple(seeds),
        store=address(value(document, "provider.address", str), "provider.address"),
        link_mbps=value(document, "limits.link_mbps", float, 100.0),
        memory_mb=value(document, "limits.memory_mb", float, 128.0),
        max_fds=value(document, "limits.max_fds", int, 1024),
        bounds=_bounds(value(document, "bounds", dict, {})),
        regions={
            str(data_centre): str(region)
            for data_centre, region in value(document, "zones", dict, {}).items()
        },
    )


def _listen(document: Mapping[str, Any], name: str) -> tuple[str, int]:
    path = f"listen.{name}"
    return address(value(document, path, str), path)


def _bounds(table: Mapping[str, Any]) -> Bounds:
    defaults = Bounds()
    evacuation_ms = value(table, "evacuate_ms", float, None)
    return Bounds(
        config_s=value(table, "config_ms", float, defaults.config_s / MS) * MS,
        drain_s=value(table, "drain_ms", float, defaults.drain_s / MS) * MS,
        grace_s=value(table, "grace_s", float, defaults.grace_s),
        contact_s=value(table, "contact_ms", float, defaults.contact_s / MS) * MS,
        retry_ratio=value(table, "budget_ratio", float, defaults.retry_ratio),
        retry_extra=value(table, "budget_extra", float, defaults.retry_extra),
        retry_window_s=value(table, "budget_window_s", float, defaults.retry_window_s),
        quota_overage=value(table, "quota_overage", float, defaults.quota_overage),
        quota_slack=value(table, "quota_slack", float, defaults.quota_slack),
        quota_window_s=max(
            MIN_WINDOW_S,
            value(table, "quota_window_s", float, defaults.quota_window_s),
        ),
        # The platform calls the new version of a roll-out its canary.
        new_version_share=value(
            table, "canary_share", float, defaults.new_version_share
        ),
        new_version_extra=value(
            table, "canary_slack", float, defaults.new_version_extra
        ),
        evacuation_s=None if evacuation_ms is None else evacuation_ms * MS,
    )
