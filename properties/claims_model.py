"""A naive model of claims: a list of what was dispatched under each key."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class NaiveClaims:
    """What callers were promised; every dispatch and refusal is noted here."""

    dispatched: Counter[str] = attrs.field(factory=Counter)
    refused_not_run: list[str] = attrs.field(factory=list)
    answers: dict[str, bytes] = attrs.field(factory=dict)

    def dispatch(self, key: str, owner: str) -> None:
        """Notes a dispatch by an owner; a second one of a key is a fault."""
        self.dispatched[key] += 1
        assert self.dispatched[key] == 1, f"{key} dispatched twice, by {owner}"

    def answer(self, key: str, body: bytes) -> None:
        """Notes the answer of a key's only run."""
        self.answers.setdefault(key, body)

    def read(self, key: str, body: bytes) -> None:
        """Checks an answer that a repeat was given."""
        assert self.answers.get(key) == body, f"{key} has another answer"
