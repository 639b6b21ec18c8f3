"""Client retries of refused requests, recognised at every entry.

Under overload about half of the arriving requests are retries of requests refused a
moment ago. Their latency objective counts from the first attempt, and the queue serves
a late retry before a late first attempt (``RequestQueue.score``).
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

REFUSAL_TTL_S = 20.0
"""Time from its first attempt for which a refused request is remembered. It should be
longer than all route timeouts, after which clients do not retry."""
MAX_REFUSALS = 20_000
"""Refused requests kept: 1,000 per second for the TTL."""
DIGEST_BYTES = 8
"""Size of a fingerprint; peers exchange many of them."""


def fingerprint(workspace: str, target: bytes, *body: bytes) -> bytes:
    """Returns a digest that a request and its client retries have in common.

    Its key is the workspace's name, cut to the longest key that BLAKE2b accepts. The
    body may be given in parts.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=workspace.encode()[:64])
    for part in body:
        digest.update(part)
    digest.update(b"\0" + target)
    return digest.digest()


class ClientRetries:
    """Refused requests of all entries and the times of their first attempts."""

    def __init__(self) -> None:
        self._first_attempts: OrderedDict[bytes, float] = OrderedDict()
        self._unsent: list[bytes] = []

    def first_attempt_at(self, digest: bytes, now: float) -> float | None:
        """Returns the monotonic time of a refused request's first attempt, if known."""
        first_at = self._first_attempts.get(digest)
        if first_at is None or now - first_at > REFUSAL_TTL_S:
            return None
        return first_at

    def record_refusal(self, digest: bytes, first_at: float) -> None:
        """Records a refused request with the time of its first attempt."""
        if digest not in self._first_attempts:
            self._unsent.append(digest)
        self._store(digest, first_at)

    def merge_from(self, received: Iterable[tuple[bytes, float]], now: float) -> None:
        """Merges the refusals of another entry.

        Args:
            received: Digest and age of the first attempt in seconds, for each refusal.
            now: Monotonic time in seconds.
        """
        for digest, age_s in received:
            self._store(digest, now - age_s)

    def take_unsent(self, now: float) -> list[tuple[bytes, float]]:
        """Returns and clears the refusals not yet sent to peers.

        Each is a digest with the age of its first attempt in seconds.
        """
        unsent = [
            (d, round(now - self._first_attempts[d], 3))
            for d in self._unsent
            if d in self._first_attempts
        ]
        self._unsent.clear()
        return unsent

    def _store(self, digest: bytes, first_at: float) -> None:
        stored = self._first_attempts.get(digest)
        self._first_attempts[digest] = (
            first_at if stored is None else min(stored, first_at)
        )
        while len(self._first_attempts) > MAX_REFUSALS:
            self._first_attempts.popitem(last=False)
