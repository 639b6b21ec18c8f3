"""Messages about moves between cornelpin's processes."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(60)
@attrs.frozen
class MoveNews:
    """Announces the state of all moves.

    Attributes:
        number: Number of the state.
        book: The encoded state.
    """

    number: int
    book: bytes


@message(61)
@attrs.frozen
class Brake:
    """Cuts the share of a move's attempt to zero, for good.

    Attributes:
        move: Name of the move.
        attempt: Id of the attempt.
        reason: What was seen, for operators.
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
        rows: The fields of one ``Tally`` each.
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
        fence: Fencing number of the controller.
    """

    op: str
    version: str
    fence: int


@message(64)
@attrs.frozen
class VersionReply:
    """Says what became of an order.

    Attributes:
        op: ``load`` or ``unload``.
        version: Version of the backend server.
        outcome: ``done``, ``busy``, ``limited``, ``failed`` or ``old_fence``.
        retry_after_s: Seconds to wait before the next try.
        detail: What went wrong, for operators.
    """

    op: str
    version: str
    outcome: str
    retry_after_s: float
    detail: str
