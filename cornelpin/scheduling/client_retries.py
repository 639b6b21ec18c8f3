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
"""TTL of a refused request: longer than the deadline of any route."""
MAX_REFUSALS = 20_000
"""Refused requests kept: 1,000 per second for the TTL."""
DIGEST_BYTES = 8


def fingerprint(workspace: str, target: bytes, body: bytes) -> bytes:
    """Returns a digest that a request and its client retries have in common."""
    digest = hashlib.blake2b(
        body, digest_size=DIGEST_BYTES, key=workspace.encode()[:64]
    )
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
        """Merges the refusals of another entry, given by the ages of first attempts."""
        for digest, age_s in received:
            self._store(digest, now - age_s)

    def take_unsent(self, now: float) -> list[tuple[bytes, float]]:
        """Returns and clears the refusals not yet sent to peers, with ages in s."""
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
