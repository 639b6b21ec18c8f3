"""A naive model of claims: a list of what was dispatched under each key."""

from __future__ import annotations

from collections import Counter

import attrs

KEEP_S = 7200.0
UNFINISHED_S = 3600.0


@attrs.define
class NaiveClaims:
    """What callers were promised; every dispatch and refusal is noted here.

    Attributes:
        dispatched: Number of dispatches of each key within its retention.
        refused_not_run: Owners whose callers were told "not run".
        answers: First answer of each key.
        owners: Owner that was dispatched last under each key.
        until: Time in seconds to which each key is kept at least.
    """

    dispatched: Counter[str] = attrs.field(factory=Counter)
    refused_not_run: list[str] = attrs.field(factory=list)
    answers: dict[str, bytes] = attrs.field(factory=dict)
    owners: dict[str, str] = attrs.field(factory=dict)
    until: dict[str, float] = attrs.field(factory=dict)

    def dispatch(self, key: str, owner: str, now: float) -> None:
        """Notes a dispatch by an owner; a second one of a key is a fault."""
        if now > self.until.get(key, now):
            self.dispatched[key] = 0
            self.answers.pop(key, None)
        self.dispatched[key] += 1
        self.owners[key] = owner
        self.until[key] = now + KEEP_S + UNFINISHED_S
        assert self.dispatched[key] == 1, f"{key} dispatched twice, by {owner}"

    def end(self, key: str, owner: str, now: float) -> None:
        """Notes the end of a run, from which its retention counts.

        A run that outlasts the time that unfinished records are kept is forgotten.
        """
        if self.owners.get(key) == owner and now <= self.until[key]:
            self.until[key] = now + KEEP_S

    def answer(self, key: str, owner: str, body: bytes) -> None:
        """Notes the answer of a key's only run."""
        if self.owners.get(key) == owner:
            self.answers.setdefault(key, body)

    def read(self, key: str, body: bytes) -> None:
        """Checks an answer that a repeat was given."""
        assert self.answers.get(key) == body, f"{key} has another answer"
