"""Classes of the configuration document, with a check for each field."""

from __future__ import annotations

import hashlib
import hmac
import ipaddress
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeVar

from attrs import field, frozen

from cornelpin.core._checking import (
    Check,
    Fault,
    Faults,
    boolean,
    checked,
    choice,
    integer,
    list_of,
    map_of,
    matching,
    name,
    nullable,
    number,
    record,
    text,
)

T = TypeVar("T")

MAX_PORT = 65535
DEFAULT_MAX_WAIT_S = 30.0
DEFAULT_TIMEOUT_S = 600.0
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
DEFAULT_STAGES = (0.01, 0.05, 0.2, 0.5, 1.0)
DEFAULT_STAGE_S = 30.0
DEFAULT_MAX_BAD_SHARE = 0.02
DEFAULT_ANSWER_RETENTION_S = 24 * 3600.0
DEFAULT_CLAIM_RETENTION_S = 7 * 24 * 3600.0

ip_address = matching(ipaddress.ip_address, valid="an IP address")
_name = name()
port = integer(low=1, high=MAX_PORT)
sha256_digest = matching(
    re.compile("[0-9a-f]{64}").fullmatch,
    valid="a SHA-256 digest in 64 lower-case hexadecimal digits",
)


def _stages() -> Check:
    inner = list_of(number(low=0, high=1, exclusive_low=True))

    def check(value: Any, path: str, faults: Faults) -> Any:
        fault_count = len(faults)
        shares = inner(value, path, faults)
        if len(faults) > fault_count:
            return shares
        increasing = all(a < b for a, b in zip(shares, shares[1:], strict=False))
        if not shares or not increasing or shares[-1] != 1:
            faults.append(Fault(path, value, "shares that rise and end with 1"))
        return shares

    return check


@frozen(kw_only=True)
class Tier:
    """A class of requests: its dispatch priority, shedding order and limits.

    Attributes:
        name: Name of the tier.
        shed_order: Tiers with a lower value are shed first.
        urgency: Tiers with a lower value are dispatched first.
        max_wait_s: Maximum queue time of a request in seconds.
        queue_share: Fraction of the queue's capacity that the tier may occupy.
        slot_share: Fraction of a backend server's slots that the tier may occupy.
        durable: Whether accepted requests survive a failure of their entry.
        weight: Relative value of the tier's requests in goodput; the scheduler does
            not use it.
    """

    name: str = ""
    shed_order: int = field(default=0, metadata=checked(integer(low=0)))
    urgency: int = field(default=0, metadata=checked(integer(low=0)))
    max_wait_s: float = field(
        default=DEFAULT_MAX_WAIT_S, metadata=checked(number(low=0, exclusive_low=True))
    )
    queue_share: float = field(
        default=1.0, metadata=checked(number(low=0, high=1, exclusive_low=True))
    )
    slot_share: float = field(
        default=1.0, metadata=checked(number(low=0, high=1, exclusive_low=True))
    )
    durable: bool = field(default=False, metadata=checked(boolean()))
    weight: float = field(default=1.0, metadata=checked(number(low=0)))


@frozen(kw_only=True)
class Limits:
    """Limits of a workspace across all entries; None means no limit.

    Attributes:
        requests_per_s: Requests per second.
        tokens_per_s: Prompt tokens and estimated output tokens per second.
        concurrent: Requests queued or running at a time.
    """

    requests_per_s: float | None = field(
        default=None, metadata=checked(nullable(number(low=0, exclusive_low=True)))
    )
    tokens_per_s: float | None = field(
        default=None, metadata=checked(nullable(number(low=0, exclusive_low=True)))
    )
    concurrent: int | None = field(
        default=None, metadata=checked(nullable(integer(low=1)))
    )


@frozen(kw_only=True)
class Workspace:
    """A group of callers with its tokens, routes, tiers, fair share and limits.

    Attributes:
        name: Name of the workspace.
        token_sha256: SHA-256 digests of its bearer tokens.
        routes: Names of the routes that its callers may use.
        tiers: Names of the tiers that its callers may ask for.
        share: Weight of the workspace in fair queueing.
        limits: Rate and concurrency limits.
    """

    name: str = ""
    token_sha256: tuple[str, ...] = field(
        default=(), metadata=checked(list_of(sha256_digest))
    )
    routes: tuple[str, ...] = field(default=(), metadata=checked(list_of(_name)))
    tiers: tuple[str, ...] = field(default=(), metadata=checked(list_of(_name)))
    share: float = field(
        default=1.0, metadata=checked(number(low=0, exclusive_low=True))
    )
    limits: Limits = field(factory=Limits, metadata=checked(record(Limits)))


@frozen(kw_only=True)
class Route:
    """A model or a plain service that callers address by name.

    Attributes:
        name: Name of the route.
        kind: ``model`` or ``service``.
        tier: Name of the default tier of its requests.
        backend_servers: Names of the backend servers that serve it.
        version: Version that serves the route outside a move, None if not set.
        idempotent: Whether its requests may run more than once.
        timeout_s: Default deadline of a request in seconds after its arrival.
        max_body_bytes: Largest accepted request body.
    """

    name: str = ""
    kind: str = field(default="model", metadata=checked(choice("model", "service")))
    tier: str = field(metadata=checked(_name))
    backend_servers: tuple[str, ...] = field(
        default=(), metadata=checked(list_of(_name))
    )
    version: str | None = field(default=None, metadata=checked(nullable(text())))
    idempotent: bool = field(default=False, metadata=checked(boolean()))
    timeout_s: float = field(
        default=DEFAULT_TIMEOUT_S, metadata=checked(number(low=0, exclusive_low=True))
    )
    max_body_bytes: int = field(
        default=DEFAULT_MAX_BODY_BYTES, metadata=checked(integer(low=1))
    )


@frozen(kw_only=True)
class BackendServer:
    """A backend server with the host and the port of its side process."""

    name: str = ""
    host: str = field(metadata=checked(_name))
    peer_port: int = field(metadata=checked(port))


@frozen(kw_only=True)
class Entry:
    """An entry process with its host and ports."""

    name: str = ""
    host: str = field(metadata=checked(_name))
    peer_port: int = field(metadata=checked(port))
    http_port: int = field(metadata=checked(port))


@frozen(kw_only=True)
class Host:
    """A host with its address and data centre, and whether it is draining."""

    name: str = ""
    address: str = field(metadata=checked(ip_address))
    data_centre: str = field(default="", metadata=checked(text()))
    leaving: bool = field(default=False, metadata=checked(boolean()))


@frozen(kw_only=True)
class Move:
    """A planned change of a route's version, rolled out in stages.

    Attributes:
        name: Name of the move.
        route: Route whose traffic moves.
        from_version: Version that serves the route before the move.
        to_version: Version that serves the route after the move.
        finish_by: Unix time in seconds by which the roll-out must be complete.
        state: What the operators order: run, pause or take_back (roll back).
        stages: Increasing traffic shares of the new version; the last one is 1.
        stage_s: Minimum duration of a stage in seconds.
        max_bad_share: Largest tolerated increase of the failure rate over that of the
            old version, as a fraction of all runs.
    """

    name: str = ""
    route: str = field(metadata=checked(_name))
    from_version: str = field(metadata=checked(text()))
    to_version: str = field(metadata=checked(text()))
    finish_by: float = field(metadata=checked(number(low=0, exclusive_low=True)))
    state: str = field(
        default="run", metadata=checked(choice("run", "pause", "take_back"))
    )
    stages: tuple[float, ...] = field(
        default=DEFAULT_STAGES, metadata=checked(_stages())
    )
    stage_s: float = field(
        default=DEFAULT_STAGE_S, metadata=checked(number(low=0, exclusive_low=True))
    )
    max_bad_share: float = field(
        default=DEFAULT_MAX_BAD_SHARE, metadata=checked(number(low=0, high=1))
    )


@frozen(kw_only=True)
class Operator:
    """An operator, who may read and patch the configuration."""

    name: str = ""
    token_sha256: tuple[str, ...] = field(
        default=(), metadata=checked(list_of(sha256_digest))
    )


@frozen(kw_only=True)
class Retention:
    """Retention times of stored answers and claims, in seconds.

    The configured values; the code that stores records gets them as
    ``core.claim_shards.Retention``.
    """

    answers_s: float = field(
        default=DEFAULT_ANSWER_RETENTION_S,
        metadata=checked(number(low=0, exclusive_low=True)),
    )
    claims_s: float = field(
        default=DEFAULT_CLAIM_RETENTION_S,
        metadata=checked(number(low=0, exclusive_low=True)),
    )


def _empty_mapping() -> Mapping[str, Any]:
    return MappingProxyType({})


@frozen(kw_only=True)
class Config:
    """The whole configuration.

    Attributes:
        number: Revision of the configuration; each accepted patch raises it by one.
        tiers: Tiers by name.
        workspaces: Workspaces by name.
        routes: Routes by name.
        backend_servers: Backend servers by name.
        entries: Entry processes by name.
        hosts: Hosts by name.
        moves: Moves by name.
        operators: Operators by name.
        retention: Retention times of stored records.
    """

    number: int = 0
    tiers: Mapping[str, Tier] = field(
        factory=_empty_mapping, metadata=checked(map_of(Tier))
    )
    workspaces: Mapping[str, Workspace] = field(
        factory=_empty_mapping, metadata=checked(map_of(Workspace))
    )
    routes: Mapping[str, Route] = field(
        factory=_empty_mapping, metadata=checked(map_of(Route))
    )
    backend_servers: Mapping[str, BackendServer] = field(
        factory=_empty_mapping, metadata=checked(map_of(BackendServer))
    )
    entries: Mapping[str, Entry] = field(
        factory=_empty_mapping, metadata=checked(map_of(Entry))
    )
    hosts: Mapping[str, Host] = field(
        factory=_empty_mapping, metadata=checked(map_of(Host))
    )
    moves: Mapping[str, Move] = field(
        factory=_empty_mapping, metadata=checked(map_of(Move))
    )
    operators: Mapping[str, Operator] = field(
        factory=_empty_mapping, metadata=checked(map_of(Operator))
    )
    retention: Retention = field(factory=Retention, metadata=checked(record(Retention)))
    # The digest is repeated in the value for the comparison in `_by_token`.
    _workspace_by_digest: dict[str, tuple[str, Workspace]] = field(
        init=False, eq=False, repr=False
    )
    _operator_by_digest: dict[str, tuple[str, Operator]] = field(
        init=False, eq=False, repr=False
    )

    @_workspace_by_digest.default
    def _index_workspaces(self) -> dict[str, tuple[str, Workspace]]:
        return {
            digest: (digest, workspace)
            for workspace in self.workspaces.values()
            for digest in workspace.token_sha256
        }

    @_operator_by_digest.default
    def _index_operators(self) -> dict[str, tuple[str, Operator]]:
        return {
            digest: (digest, operator)
            for operator in self.operators.values()
            for digest in operator.token_sha256
        }

    @property
    def has_shared_tokens(self) -> bool:
        """Whether a token belongs to more than one workspace."""
        tokens = sum(len(w.token_sha256) for w in self.workspaces.values())
        return tokens != len(self._workspace_by_digest)

    def workspace_by_token(self, token: str) -> Workspace | None:
        """Returns the workspace that a bearer token belongs to, if any."""
        return _by_token(self._workspace_by_digest, token)

    def operator_by_token(self, token: str) -> Operator | None:
        """Returns the operator that a bearer token belongs to, if any."""
        return _by_token(self._operator_by_digest, token)


def _by_token(index: Mapping[str, tuple[str, T]], token: str) -> T | None:
    digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    # The index is keyed by digest, so the time of the lookup reveals nothing about
    # known tokens; the comparison is constant-time as well.
    stored_digest, owner = index.get(digest, ("", None))
    return owner if hmac.compare_digest(stored_digest, digest) else None
