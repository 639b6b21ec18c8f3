"""Classes of the daemon's settings, with the checks of each field."""

from __future__ import annotations

import ipaddress
from urllib.parse import urlsplit

from attrs import field, frozen

from cornelpin.core._checking import (
    Check,
    boolean,
    checked,
    choice,
    format_names,
    hidden,
    integer,
    list_of,
    matching,
    name,
    nullable,
    record,
    text,
)
from cornelpin.core._config_classes import MAX_PORT, ip_address, port, sha256_digest
from cornelpin.stores import host_list, object_store, weight_store
from cornelpin.stores.registry import Registry

ROLES = ("entry", "side")
MIN_KEY_CHARS = 16
MAX_SLOTS = 1024
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
DEFAULT_HELD_REQUESTS = 400
DEFAULT_HTTP_THREADS = 512
DEFAULT_HEADER_BYTES = 64 * 1024
MIN_MEMORY_MB = 64
MIN_FDS = 256
DEFAULT_MEMORY_MB = 8192
DEFAULT_MAX_FDS = 4096
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")


def _is_url(value: str) -> bool:
    parts = urlsplit(value)
    # The port property raises ValueError for a port out of range; ``matching`` counts
    # that as an invalid value.
    valid_port = parts.port != 0
    return parts.scheme in ("http", "https") and bool(parts.hostname) and valid_port


def _is_endpoint(value: str) -> bool:
    """Checks ``ip:port``; a ValueError raised here counts as an invalid value."""
    address, _, port_text = value.rpartition(":")
    ip = ipaddress.ip_address(address.removeprefix("[").removesuffix("]"))
    bracketed = address.startswith("[") and address.endswith("]")
    return bracketed == (ip.version == 6) and 1 <= int(port_text) <= MAX_PORT


_url = matching(_is_url, valid="an http or https URL with a host")
_endpoint = matching(_is_endpoint, valid="an IP address and a port such as 10.0.0.1:7")
_name = name()
_path = text(valid="a path of a file")


def _kind(registry: Registry) -> Check:
    return matching(
        lambda kind: kind in registry.kinds(),
        valid=f"a registered kind: {format_names(registry.kinds())}",
    )


@frozen(kw_only=True)
class ObjectsSettings:
    """Kind and URL of the object store."""

    kind: str = field(default="http", metadata=checked(_kind(object_store)))
    url: str = field(metadata=checked(_url))


@frozen(kw_only=True)
class HostListSettings:
    """Kind and URL of the host list."""

    kind: str = field(default="http", metadata=checked(_kind(host_list)))
    url: str = field(metadata=checked(_url))


@frozen(kw_only=True)
class WeightStoreSettings:
    """Kind and URL of the store of model weights.

    No driver of a weight store is registered in this package, and the daemon uses none:
    backend servers read the weights themselves.
    """

    kind: str = field(metadata=checked(_kind(weight_store)))
    url: str = field(metadata=checked(_url))


@frozen(kw_only=True)
class BackendSettings:
    """The backend server beside which a side runs.

    Attributes:
        name: Name of the backend server in the configuration.
        kind: ``engine`` for a model engine, ``service`` for a plain service.
        url: Base URL of the backend server.
        checks_fence: Whether it rejects version orders with a stale fencing token. The
            daemon does not use this.
        slots: Most requests that may run on it at once.
    """

    name: str = field(metadata=checked(_name))
    kind: str = field(default="engine", metadata=checked(choice("engine", "service")))
    url: str = field(metadata=checked(_url))
    checks_fence: bool = field(default=False, metadata=checked(boolean()))
    slots: int = field(default=8, metadata=checked(integer(low=1, high=MAX_SLOTS)))


@frozen(kw_only=True)
class LogSettings:
    """Format and lowest level of the log."""

    format: str = field(default="text", metadata=checked(choice("text", "json")))
    level: str = field(default="INFO", metadata=checked(choice(*LOG_LEVELS)))


@frozen(kw_only=True)
class TlsSettings:
    """Files of the TLS certificate, its key and the certificate authority."""

    certificate: str = field(metadata=checked(_path))
    key: str = field(metadata=checked(_path))
    authority: str = field(metadata=checked(_path))


@frozen(kw_only=True)
class LimitSettings:
    """Limits of one process.

    Attributes:
        max_body_bytes: Largest body of a caller's request.
        held_requests: Most requests of an entry that are accepted and not yet answered.
        http_threads: Threads that serve HTTP requests.
        header_bytes: Largest head of a caller's request.
        memory_mb: Memory of the process, of which requests may use a part.
        max_fds: File descriptors of the process.
    """

    max_body_bytes: int = field(
        default=DEFAULT_MAX_BODY_BYTES, metadata=checked(integer(low=1))
    )
    held_requests: int = field(
        default=DEFAULT_HELD_REQUESTS, metadata=checked(integer(low=1))
    )
    http_threads: int = field(
        default=DEFAULT_HTTP_THREADS, metadata=checked(integer(low=1))
    )
    header_bytes: int = field(
        default=DEFAULT_HEADER_BYTES, metadata=checked(integer(low=1024))
    )
    memory_mb: int = field(
        default=DEFAULT_MEMORY_MB, metadata=checked(integer(low=MIN_MEMORY_MB))
    )
    max_fds: int = field(
        default=DEFAULT_MAX_FDS, metadata=checked(integer(low=MIN_FDS))
    )


@frozen(kw_only=True)
class Settings:
    """The settings of one daemon process.

    Attributes:
        role: Whether the process is an entry or a side.
        name: Name of the process.
        host: Name of its host.
        data_centre: Data centre of its host.
        address: IP address on which it listens.
        peer_port: Port for the streams between the system's processes.
        http_port: Port for callers and operators of an entry; for health and metrics
            of a side.
        shared_key: Key that all processes of the system share.
        shared_key_file: File that holds the shared key instead.
        objects: The object store.
        host_list: The host list, if there is one.
        weight_store: The weight store, if there is one.
        backend: The backend server of a side.
        bootstrap_operator_sha256: Token digest of an operator who may act while the
            configuration names none.
        seeds: Peer addresses used until a configuration is known.
        log: Settings of the log.
        tls: Files for TLS on peer streams, if it is used.
        otlp_url: URL of the OpenTelemetry collector, if there is one.
        limits: Limits of the process.
    """

    role: str = field(metadata=checked(choice(*ROLES)))
    name: str = field(metadata=checked(_name))
    host: str = field(metadata=checked(_name))
    data_centre: str = field(metadata=checked(text()))
    address: str = field(metadata=checked(ip_address))
    peer_port: int = field(metadata=checked(port))
    http_port: int | None = field(default=None, metadata=checked(nullable(port)))
    shared_key: str | None = field(
        default=None,
        repr=False,
        metadata=checked(
            hidden(
                nullable(
                    text(
                        min_length=MIN_KEY_CHARS,
                        valid=f"a text of at least {MIN_KEY_CHARS} characters",
                    )
                )
            )
        ),
    )
    shared_key_file: str | None = field(default=None, metadata=checked(nullable(_path)))
    objects: ObjectsSettings = field(metadata=checked(record(ObjectsSettings)))
    host_list: HostListSettings | None = field(
        default=None, metadata=checked(nullable(record(HostListSettings)))
    )
    weight_store: WeightStoreSettings | None = field(
        default=None, metadata=checked(nullable(record(WeightStoreSettings)))
    )
    backend: BackendSettings | None = field(
        default=None, metadata=checked(nullable(record(BackendSettings)))
    )
    bootstrap_operator_sha256: str | None = field(
        default=None, metadata=checked(nullable(sha256_digest))
    )
    seeds: tuple[str, ...] = field(default=(), metadata=checked(list_of(_endpoint)))
    log: LogSettings = field(factory=LogSettings, metadata=checked(record(LogSettings)))
    tls: TlsSettings | None = field(
        default=None, metadata=checked(nullable(record(TlsSettings)))
    )
    otlp_url: str | None = field(default=None, metadata=checked(nullable(_url)))
    limits: LimitSettings = field(
        factory=LimitSettings, metadata=checked(record(LimitSettings))
    )
