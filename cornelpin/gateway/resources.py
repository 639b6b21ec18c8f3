"""Shares of a process's memory and descriptors, from the limits of its machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway.senders import Senders
from cornelpin.http1.connections import Resources
from cornelpin.http1.pacing import TurnGate
from cornelpin.http1.request_shares import RequestShares
from cornelpin.http1.shares import (
    MIN_CONNECTIONS,
    caller_connections,
    connections,
    traffic_memory,
)

if TYPE_CHECKING:
    from cornelpin.http1.connections import OpenConnections
    from cornelpin.http1.memory import MemoryBudget
    from cornelpin.platform import HostSettings

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""
SERVER_SHARE = 0.4
"""Share of the sockets for servers: each caller's request may need one. The rest is for
the store, other entries and probes."""
TRANSFER_SHARE = 0.08
"""Share of the sockets for transfers to other entries."""
MAX_TRANSFERS = 128
MAX_PROBES = 16
"""Connections to each of the addresses for the platform's own calls, which come one
after another."""


@attrs.frozen
class ProcessResources:
    """The memory and the connections of a process.

    Attributes:
        memory: Memory for requests, responses and their connections.
        callers: Connections of callers.
        requests: Shares of these that requests in hand may hold.
        ready: Connections of readiness probes.
        metrics: Connections to the metrics.
        transfers: Transfers to other entries.
        server_connections: Number of connections to servers from which idle ones are
            closed for new ones.
        senders: Senders of datagrams.
    """

    memory: MemoryBudget
    callers: Resources
    requests: RequestShares
    ready: Resources
    metrics: Resources
    transfers: OpenConnections
    server_connections: int
    senders: Senders


def allot(settings: HostSettings) -> ProcessResources:
    """Returns the resources of a process by the limits in its settings."""
    memory = traffic_memory(settings.memory_mb)
    gate = TurnGate()
    sockets = max(0, settings.max_fds - FILE_DESCRIPTORS)
    callers = caller_connections(settings.memory_mb, sockets)
    ready, metrics = connections(MAX_PROBES), connections(MAX_PROBES)
    transfers = connections(min(TRANSFER_SHARE * sockets, MAX_TRANSFERS))
    listeners = (callers, ready, metrics, transfers)
    memory.make_room = lambda size: sum(
        listener.evict_stalled(size) for listener in listeners
    )
    return ProcessResources(
        memory=memory,
        callers=Resources(memory, gate, callers),
        requests=RequestShares(callers.limit),
        ready=Resources(memory, gate, ready),
        metrics=Resources(memory, gate, metrics),
        transfers=transfers,
        server_connections=max(MIN_CONNECTIONS, int(SERVER_SHARE * sockets)),
        senders=Senders(memory),
    )
