"""Servers that may be used only in part, or not at all, at the moment."""

from __future__ import annotations

from cornelpin.scheduling.restrictions._cold_servers import (
    MAX_COLD_S,
    SUSPICION_S,
    ColdServers,
)
from cornelpin.scheduling.restrictions._evacuations import (
    RESTORED_KEEP_S,
    Evacuations,
)

__all__ = [
    "MAX_COLD_S",
    "RESTORED_KEEP_S",
    "SUSPICION_S",
    "ColdServers",
    "Evacuations",
]
