"""Records of claimed and durable requests, and the changes that they allow.

A record is stored before its request is dispatched. Each change is a function of the
stored record, so that it can be retried on a fresh copy after a write conflict; it
recognises its own earlier effect by the claim's random id (``owner``).
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import attrs

RECORD_KEY_CHARS = 24


class ClaimState(enum.Enum):
    """States of a record.

    Segments store the position of a state in this order: add new states at the end.
    """

    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the record no longer changes."""
        return self not in (ClaimState.ACCEPTED, ClaimState.DISPATCHED)


@attrs.frozen
class Packed:
    """A compressed call or answer, in its record or in an object of its own.

    A call is a request as it is stored, with its body and headers.

    Attributes:
        value: The compressed bytes, empty if they are in an object of their own.
        object_key: Key of that object, or an empty string.
    """

    value: bytes = b""
    object_key: str = ""

    @property
    def present(self) -> bool:
        """Whether there is a call or answer."""
        return bool(self.value or self.object_key)


EMPTY = Packed()


@attrs.frozen
class Record:
    """One claimed or durable request.

    Attributes:
        key: Key of the record.
        request_id: Id of the request.
        workspace: Name of the caller's workspace.
        fingerprint: Digest of the request's content.
        owner: Random id of the claim, not the name of an entry. Works as a fencing
            token: only changes that name it are accepted.
        entry: Name of the entry that holds the claim.
        incarnation: Incarnation of that entry.
        state: State of the request.
        at: Unix time of the last change in seconds, for retention only.
        durable: Whether another entry adopts the request if its entry fails.
        side: Name of the backend server that the request was granted to. Sides are
            addressed by the name of their server.
        side_incarnation: Incarnation of that backend server's side.
        version: Version that the request was granted for, empty for a service.
        attempt: Number of the latest grant.
        reason: Reason of the refusal of a failed request.
        detail: One sentence that describes the failure.
        call: The request itself, until its end.
        answer: The answer while it is kept.
    """

    key: str
    request_id: str
    workspace: str
    fingerprint: str
    owner: str
    entry: str
    incarnation: str
    state: ClaimState
    at: float
    durable: bool = False
    side: str = ""
    side_incarnation: str = ""
    version: str = ""
    attempt: int = 0
    reason: str = ""
    detail: str = ""
    call: Packed = EMPTY
    answer: Packed = EMPTY


@dataclass(frozen=True)
class Held:
    """The record is stored and belongs to the owner that made the change."""

    record: Record


@dataclass(frozen=True)
class Existing:
    """The record belongs to another owner or is final."""

    record: Record


@dataclass(frozen=True)
class Absent:
    """There is no record that the change may affect, or it was removed."""


@dataclass(frozen=True)
class NotStored:
    """The change was abandoned.

    Attributes:
        reason: Last error of the object store.
        unresolved: Whether a write of the change may still take effect.
    """

    reason: str
    unresolved: bool = False


Outcome = Held | Existing | Absent


@attrs.frozen
class Decision:
    """Result of applying a change to a record.

    Attributes:
        record: Record to store, None to have no record.
        outcome: Outcome once the record is stored.
        force_write: Whether to write even if nothing changes. The write advances the
            shard's version, so that an earlier conditional write with an unknown
            outcome can no longer take effect.
    """

    record: Record | None
    outcome: Outcome
    force_write: bool = False


# Maps the stored record, None if there is none, to what to store.
Change = Callable[[Record | None], Decision]


def record_key(workspace: str, key: str) -> str:
    """Returns the record key of a caller's idempotency key."""
    digest = hashlib.sha256()
    for part in (workspace.encode(), key.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return f"r-{digest.hexdigest()[:RECORD_KEY_CHARS]}"


def claim(new: Record) -> Change:
    """Returns a change that adds a record unless there is one with its key."""

    def change(found: Record | None) -> Decision:
        if found is None or found.owner == new.owner:
            return _keep(found or new)
        return Decision(found, Existing(found))

    return change


def take_over(seen: Record, *, owner: str, entry: str, incarnation: str) -> Change:
    """Returns a change that transfers a record, unless its owner has changed."""
    transfer = _update_owned(
        seen.owner, owner=owner, entry=entry, incarnation=incarnation
    )

    def change(found: Record | None) -> Decision:
        if found is not None and found.owner == owner:
            return _keep(found)
        return transfer(found)

    return change


def dispatch(
    owner: str,
    *,
    side: str,
    incarnation: str,
    at: float,
    version: str = "",
    attempt: int = 1,
) -> Change:
    """Returns a change that records a grant, stored before the grant is sent."""
    return _update_owned(
        owner,
        state=ClaimState.DISPATCHED,
        side=side,
        side_incarnation=incarnation,
        version=version,
        attempt=attempt,
        at=at,
    )


def conclude(
    owner: str,
    state: ClaimState,
    *,
    at: float,
    answer: Packed = EMPTY,
    reason: str = "",
    detail: str = "",
) -> Change:
    """Returns a change that records a request's end and removes the call itself."""
    return _update_owned(
        owner,
        state=state,
        at=at,
        answer=answer,
        reason=reason,
        detail=detail,
        call=EMPTY,
    )


def release(owner: str) -> Change:
    """Returns a change that removes the record of a request that did not run.

    It always writes: the write that added the record may still be in flight.
    """

    def change(found: Record | None) -> Decision:
        if found is None or found.owner != owner or found.state.final:
            return Decision(found, Absent(), force_write=True)
        return Decision(None, Absent())

    return change


def cancel(workspace: str, *, at: float) -> Change:
    """Returns a change that cancels a durable request of a workspace.

    A request that was dispatched may have run, so it counts as failed.
    """

    def change(found: Record | None) -> Decision:
        if found is None or not found.durable or found.workspace != workspace:
            return Decision(found, Absent())
        may_have_run = found.state is ClaimState.DISPATCHED
        ended = conclude(
            found.owner,
            ClaimState.FAILED if may_have_run else ClaimState.CANCELLED,
            at=at,
            reason="cancelled",
            detail="cancelled by its caller",
        )
        return ended(found)

    return change


def rewrite(found: Record | None) -> Decision:
    """A change that leaves a record as it is but writes its shard.

    The write drops expired records.
    """
    return Decision(found, Absent(), force_write=True)


def _update_owned(expected_owner: str, /, **fields: Any) -> Change:
    """Returns a change that updates an owner's record unless it is final."""

    def change(found: Record | None) -> Decision:
        if found is None:
            return Decision(None, Absent())
        if found.owner != expected_owner or found.state.final:
            return Decision(found, Existing(found))
        return _keep(attrs.evolve(found, **fields))

    return change


def _keep(record: Record) -> Decision:
    return Decision(record, Held(record))
