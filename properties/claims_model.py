"""A reference model of claims: what was dispatched and answered under each key."""

from __future__ import annotations

from collections import Counter

import attrs

# Retention of a claim after the end of its run.
KEEP_S = 7200.0
# Further retention of an unfinished record, as claim_shards.UNFINISHED_S.
UNFINISHED_S = 3600.0


@attrs.define
class ClaimsModel:
    """Guarantees given to callers; every dispatch, answer and refusal is recorded here.

    Attributes:
        dispatched: Number of dispatches of each key within its retention.
        refused_not_run: Owners whose callers received "not run".
        answers: First answer of each key.
        owners: Owner of the latest dispatch of each key.
        until: Unix time in seconds until which each key is kept at least.
    """

    dispatched: Counter[str] = attrs.field(factory=Counter)
    refused_not_run: list[str] = attrs.field(factory=list)
    answers: dict[str, bytes] = attrs.field(factory=dict)
    owners: dict[str, str] = attrs.field(factory=dict)
    until: dict[str, float] = attrs.field(factory=dict)

    def dispatch(self, key: str, owner: str, now: float) -> None:
        """Records a dispatch by an owner; fails on a second one of the same key."""
        if now > self.until.get(key, now):
            self.dispatched[key] = 0
            self.answers.pop(key, None)
        self.dispatched[key] += 1
        self.owners[key] = owner
        self.until[key] = now + KEEP_S + UNFINISHED_S
        assert self.dispatched[key] == 1, f"{key} dispatched twice, by {owner}"

    def end(self, key: str, owner: str, now: float) -> None:
        """Records the end of a run, at which its retention starts.

        If the run lasted longer than unfinished records are retained, its key has
        expired already, and no retention starts.
        """
        if self.owners.get(key) == owner and now <= self.until[key]:
            self.until[key] = now + KEEP_S

    def answer(self, key: str, owner: str, body: bytes) -> None:
        """Records the answer of a key's only run."""
        if self.owners.get(key) == owner:
            self.answers.setdefault(key, body)

    def read(self, key: str, body: bytes) -> None:
        """Checks an answer that a client retry received."""
        assert self.answers.get(key) == body, f"{key}: not the answer of its first run"
