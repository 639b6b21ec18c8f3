"""Requests that were refused and come again, at whichever entry.

Load pattern: under overload half of what comes was refused a moment ago. A caller's
objective counts from its first try, and one that came back as told goes before one that
merely waited too long.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

REMEMBER_S = 20.0
"""Time for which a refused request is remembered: longer than any deadline here."""
MAX_REMEMBERED = 20_000
"""Refused requests remembered: 1,000 a second for that time."""
DIGEST_BYTES = 8


def fingerprint(workspace: str, target: bytes, body: bytes) -> bytes:
    """Returns what tells a request that comes again from others."""
    digest = hashlib.blake2b(
        body, digest_size=DIGEST_BYTES, key=workspace.encode()[:64]
    )
    digest.update(b"\0" + target)
    return digest.digest()


class ClientRetries:
    """Refused requests of all entries with the time of their first try."""

    def __init__(self) -> None:
        self._first: OrderedDict[bytes, float] = OrderedDict()
        self._untold: list[bytes] = []

    def first_attempt_at(self, mark: bytes, now: float) -> float | None:
        """Returns the monotonic time of a request's first try, if it was refused."""
        first = self._first.get(mark)
        if first is None or now - first > REMEMBER_S:
            return None
        return first

    def record_refusal(self, mark: bytes, first: float) -> None:
        """Remembers a refused request by the time of its first try."""
        if mark not in self._first:
            self._untold.append(mark)
        self._remember(mark, first)

    def merge_from(self, told: Iterable[tuple[bytes, float]], now: float) -> None:
        """Takes what another entry refused, with the ages of the first tries."""
        for mark, age_s in told:
            self._remember(mark, now - age_s)

    def take_unsent(self, now: float) -> list[tuple[bytes, float]]:
        """Returns what the other entries have not been told, with ages in seconds."""
        told = [
            (p, round(now - self._first[p], 3))
            for p in self._untold
            if p in self._first
        ]
        self._untold.clear()
        return told

    def _remember(self, mark: bytes, first: float) -> None:
        known = self._first.get(mark)
        self._first[mark] = first if known is None else min(known, first)
        while len(self._first) > MAX_REMEMBERED:
            self._first.popitem(last=False)
