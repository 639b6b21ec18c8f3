"""Messages about moves between processes."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(60)
@attrs.frozen
class MoveNews:
    """Announces the state of all moves.

    Attributes:
        number: Number of the state; a higher one is newer.
        book: The encoded ``MoveBook``.
    """

    number: int
    book: bytes


@message(61)
@attrs.frozen
class Brake:
    """Stops one attempt of a move: an emergency stop of the version.

    The share of the attempt stays at zero from then on.


    Attributes:
        move: Name of the move.
        attempt: Id of the attempt.
        reason: Description of the fault, for operators.
    """

    move: str
    attempt: str
    reason: str


@message(62)
@attrs.frozen
class MoveEvidence:
    """Cumulative tallies of one side for an attempt of a move.

    Attributes:
        attempt: Id of the attempt.
        rows: Tallies, each as the list of the fields of ``Tally``.
    """

    attempt: str
    rows: list[list]


@message(63)
@attrs.frozen
class VersionOrder:
    """Orders a side to load or unload a version.

    Attributes:
        op: ``load`` or ``unload``.
        version: Version of the backend server.
        fence: Fencing token of the controller.
    """

    op: str
    version: str
    fence: int


@message(64)
@attrs.frozen
class VersionReply:
    """Reports the outcome of an order.

    Attributes:
        op: ``load`` or ``unload``.
        version: Version of the backend server.
        outcome: ``done``, ``busy``, ``limited``, ``failed`` or ``old_fence``.
        retry_after_s: Seconds to wait before the next attempt.
        detail: Reason of a failure, for operators.
    """

    op: str
    version: str
    outcome: str
    retry_after_s: float
    detail: str
