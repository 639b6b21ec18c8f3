"""Parts of prompts that crash the servers which begin to answer requests with them.

Load pattern: requests that share one part and nothing else arrive at any entry, and
each crashes its server; sound requests share their other parts. Unlike the contents of
``poison_requests``, no two of them are alike.

A crash ends all requests that a server has in hand. The cause is among those whose
answers had not begun, and a part with which some answer has begun is not the cause. A
part is quarantined if it explains several crashes and no other part explains them
better. Of the suspects that explain equally many, the narrowest is chosen: together
with the parts that all of its crashed requests had in common. Requests that lack any of
these still run, and show whether the part alone is the cause.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.scheduling.refuted_crashes import RefutedCrashes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MAX_CRASHES = 3
"""Number of crashes at which a part is quarantined, as for contents."""
SUSPICION_TTL_S = 60.0
"""Time after its last crash at which a part is no longer suspected."""
QUARANTINE_S = 600.0
"""Time after its last crash for which a part is quarantined: many restarts of a server.
It is limited, since nothing shows that a quarantined part has become harmless."""
SOUND_TTL_S = 120.0
"""Time for which an answer shows that a part is sound. A new version of the servers may
crash on a part that the former one could answer."""
MAX_SUSPECTS = 500
MAX_SOUND_PARTS = 20_000
MAX_EXPORTED = 50
"""Quarantined parts in a message."""
_NOTHING = frozenset({""})
"""Parts that no request has."""


@attrs.define
class _Suspect:
    """A part of requests that were in hand at crashes, with no answer begun.

    Attributes:
        crashes: Incarnations of the servers that crashed.
        companions: Parts that all of these requests had in common, itself included.
        last_crash_at: Monotonic time of the last crash.
    """

    crashes: set[str]
    companions: frozenset[str]
    last_crash_at: float


class PoisonParts:
    """Finds, for all entries together, the parts that crash servers.

    Args:
        refuted: Crashes that did not take place.

    Attributes:
        quarantined: Quarantined parts, each with the parts that a request must have to
            be rejected.
    """

    def __init__(self, refuted: RefutedCrashes | None = None) -> None:
        self.quarantined: dict[str, frozenset[str]] = {}
        self._refuted = RefutedCrashes() if refuted is None else refuted
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._sound: OrderedDict[str, float] = OrderedDict()
        self._unsent_crashes: list[tuple[str, Sequence[str]]] = []
        self._unsent_sound: set[str] = set()

    def record_crash(self, incarnation: str, parts: Sequence[str], now: float) -> None:
        """Records a request whose answer had not begun when its server disconnected.

        Args:
            incarnation: Identity of the server's incarnation, which crashes once.
            parts: Ids of the shared parts of the request's prompt.
            now: Monotonic time in seconds.
        """
        if parts:
            self._unsent_crashes.append((incarnation, parts))
            self._add_crash(incarnation, parts, now)

    def record_sound(self, parts: Iterable[str], now: float) -> None:
        """Records that an answer to a request with these parts has begun."""
        for part in parts:
            self._sound[part] = now
            self._sound.move_to_end(part)
            if part in self._suspects:
                self._unsent_sound.add(part)
                self._clear(part)
        while len(self._sound) > MAX_SOUND_PARTS:
            self._sound.popitem(last=False)

    def retract_crash(self, incarnation: str) -> None:
        """Takes back a crash: the incarnation has responded since."""
        self._refuted.add(incarnation)
        self._unsent_crashes = [c for c in self._unsent_crashes if c[0] != incarnation]
        for part, suspect in list(self._suspects.items()):
            suspect.crashes.discard(incarnation)
            if not suspect.crashes:
                del self._suspects[part]
        self._assess()

    def merge_crashes(
        self, received: Iterable[tuple[str, Sequence[str]]], now: float
    ) -> None:
        """Merges the crashes that another entry recorded.

        Parts that are sound as this entry knows are sent with its next message.
        """
        for incarnation, parts in received:
            self._unsent_sound |= {p for p in parts if self._is_sound(p, now)}
            self._add_crash(incarnation, [str(part) for part in parts], now)

    def merge_sound(self, received: Iterable[str], now: float) -> None:
        """Merges the parts that another entry found to be sound."""
        for part in received:
            self._sound[part] = now
            self._clear(part)

    def take_unsent_crashes(self) -> list[tuple[str, Sequence[str]]]:
        """Returns and clears the crashes not yet sent to peers."""
        unsent, self._unsent_crashes = self._unsent_crashes, []
        return unsent

    def take_unsent_sound(self) -> list[str]:
        """Returns and clears the sound parts not yet sent to peers."""
        unsent, self._unsent_sound = self._unsent_sound, set()
        return sorted(unsent)

    def find(self, parts: Sequence[str]) -> str | None:
        """Returns the quarantined part for which a request is rejected, if any."""
        if not self.quarantined:
            return None
        present = set(parts)
        for part in parts:
            if self.quarantined.get(part, _NOTHING) <= present:
                return part
        return None

    def crashes(self, part: str) -> list[str]:
        """Returns the incarnations whose crashes a part may have caused."""
        suspect = self._suspects.get(part)
        return [] if suspect is None else sorted(suspect.crashes)

    def expire(self, now: float) -> None:
        """Drops suspects whose last crash is long ago."""
        expired = [
            part
            for part, suspect in self._suspects.items()
            if now >= suspect.last_crash_at + self._ttl_s(part)
        ]
        for part in expired:
            del self._suspects[part]
        if expired:
            self._assess()

    def export(self, now: float) -> dict[str, list[Any]]:
        """Returns the quarantined parts for entries that missed their crashes.

        Each has its crashes, the parts that its requests have in common, and the age of
        the last crash in whole seconds.
        """
        exported = {}
        for part in list(self.quarantined)[:MAX_EXPORTED]:
            suspect = self._suspects[part]
            exported[part] = [
                sorted(suspect.crashes),
                sorted(suspect.companions),
                int(now - suspect.last_crash_at),
            ]
        return exported

    def merge_from(self, received: Mapping[str, Sequence[Any]], now: float) -> None:
        """Merges the quarantined parts of another entry."""
        for part, (crashes, companions, age_s) in received.items():
            crashes = [c for c in crashes if c not in self._refuted]
            if not crashes or self._is_sound(part, now) or age_s >= QUARANTINE_S:
                continue
            suspect = self._suspects.setdefault(
                part, _Suspect(set(), frozenset(companions), now - age_s)
            )
            if not suspect.crashes.issuperset(crashes):
                suspect.crashes.update(crashes)
                suspect.companions &= frozenset(companions)
                suspect.last_crash_at = max(suspect.last_crash_at, now - age_s)
        self._drop_excess()

    def _ttl_s(self, part: str) -> float:
        return QUARANTINE_S if part in self.quarantined else SUSPICION_TTL_S

    def _is_sound(self, part: str, now: float) -> bool:
        return now - self._sound.get(part, float("-inf")) < SOUND_TTL_S

    def _add_crash(self, incarnation: str, parts: Sequence[str], now: float) -> None:
        self.expire(now)
        if incarnation in self._refuted:
            return
        candidates = frozenset(p for p in parts if not self._is_sound(p, now))
        for part in candidates:
            suspect = self._suspects.get(part)
            if suspect is None:
                suspect = self._suspects[part] = _Suspect(set(), candidates, now)
            suspect.crashes.add(incarnation)
            suspect.companions &= candidates
            suspect.last_crash_at = now
        self._drop_excess()

    def _drop_excess(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        self._assess()

    def _clear(self, part: str) -> None:
        if self._suspects.pop(part, None) is None:
            return
        for suspect in self._suspects.values():
            suspect.companions -= {part}
        self._assess()

    def _assess(self) -> None:
        """Chooses the parts that explain the crashes, those of most crashes first."""
        self.quarantined = {}
        unexplained = {
            part: set(suspect.crashes)
            for part, suspect in self._suspects.items()
            if len(suspect.crashes) >= MAX_CRASHES
        }
        while unexplained:
            part = max(
                unexplained,
                key=lambda p: (
                    len(unexplained[p]),
                    len(self._suspects[p].companions),
                    p,
                ),
            )
            explained = unexplained.pop(part)
            if len(explained) < MAX_CRASHES:
                return
            self.quarantined[part] = self._suspects[part].companions
            for crashes in unexplained.values():
                crashes -= explained
