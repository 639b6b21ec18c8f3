"""Shares of a process's memory and sockets for the connections of its callers."""

from __future__ import annotations

from cornelpin.http1.connections import OpenConnections
from cornelpin.http1.memory import MemoryBudget
from cornelpin.http1.server import RECEIVE_BUFFER_BYTES

MB = 1_048_576
"""Bytes per MB."""
TRAFFIC_SHARE = 0.4
"""Share of the process's memory for requests, responses and their connections. The rest
is for the program and its state, with a fifth to spare."""
UNREAD_SHARE = 0.15
"""Share of the memory for what callers have sent and the process has not read yet."""
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
"""Most bytes of a connection that the kernel holds unread."""
CALLER_SHARE = 0.4
"""Share of the sockets for callers."""
MIN_CONNECTIONS = 8


def traffic_memory(memory_mb: float) -> MemoryBudget:
    """Returns the budget for requests, responses and their connections.

    Args:
        memory_mb: Memory of the process in MB.
    """
    return MemoryBudget(int(TRAFFIC_SHARE * memory_mb * MB))


def connections(limit: float) -> OpenConnections:
    """Returns the connections of a listener that may have so many."""
    return OpenConnections(max(MIN_CONNECTIONS, int(limit)))


def caller_connections(memory_mb: float, sockets: int) -> OpenConnections:
    """Returns the connections of callers: no more than their unread bytes have room.

    Args:
        memory_mb: Memory of the process in MB.
        sockets: Number of sockets that the process may open.
    """
    by_memory = UNREAD_SHARE * memory_mb * MB / UNREAD_BYTES
    return connections(min(CALLER_SHARE * sockets, by_memory))
