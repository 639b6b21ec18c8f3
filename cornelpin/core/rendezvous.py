"""Rendezvous hashing: the same choice everywhere, and little change when names do."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable


def highest(key: str, names: Iterable[str], *, count: int) -> list[str]:
    """Returns the names with the highest weights for a key, the highest first."""
    return heapq.nlargest(count, names, key=lambda name: _weight(key, name))


def _weight(key: str, name: str) -> bytes:
    return hashlib.sha256(f"{key}\0{name}".encode()).digest()
