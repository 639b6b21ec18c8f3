"""Limits that the process sets for itself: descriptors, heaps of its threads."""

from __future__ import annotations

import ctypes
import resource

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
"""Parameters of the C library's ``mallopt``."""
MAX_ARENAS = 2
"""Heaps of the C library. With one for each few threads, memory that requests have
freed stays in all of them."""
MAPPED_BYTES = 131_072
"""Size of blocks that are given back when they are freed. The C library's own threshold
rises to the largest block that was freed, and blocks on the heap keep others there."""


def limit_heaps() -> None:
    """Lets freed memory go back to the system, where the C library is glibc."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_ARENA_MAX, MAX_ARENAS)
        mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)


def raise_descriptor_limit(wanted: int) -> None:
    """Raises the process's soft limit to a number, as far as the hard one allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < allowed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))


def descriptor_limit(wanted: int) -> int:
    """Returns how many descriptors of a number the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)
