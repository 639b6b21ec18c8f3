"""Shares of the callers' connections that requests in hand may hold.

A request that is queued or runs holds its connection, which cannot be closed for a new
one. Where requests run for long, those of one service and workspace would hold all
connections and lock other callers out.
"""

from __future__ import annotations

from collections import Counter

HELD_SHARE = 0.9
"""Share of the connections from which on requests in hand are limited. With the rest,
others connect and are served or refused."""


class RequestShares:
    """Counts the requests in hand by service and workspace.

    Args:
        connections: Number of connections that callers may have.

    Attributes:
        refused: Number of requests refused.
    """

    def __init__(self, connections: int) -> None:
        self._limit = HELD_SHARE * connections
        self._held: Counter[tuple[str, str]] = Counter()
        self._total = 0
        self.refused = 0

    def admit(self, service: str, workspace: str) -> bool:
        """Counts a request, unless the limit is reached and its share is used.

        All services and workspaces with requests in hand have equal shares.

        Args:
            service: Name of its service.
            workspace: Name of its workspace; empty if it has none.
        """
        group = service, workspace
        held = self._held[group]
        groups = len(self._held) + (not held)
        if self._total >= self._limit and held >= self._limit / groups:
            self.refused += 1
            return False
        self._held[group] = held + 1
        self._total += 1
        return True

    def release(self, service: str, workspace: str) -> None:
        """Called when a request that was counted has ended."""
        group = service, workspace
        self._total -= 1
        self._held[group] -= 1
        if not self._held[group]:
            del self._held[group]
