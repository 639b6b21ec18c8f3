"""Messages about moves (planned changes of a route's version) between processes.

An attempt is one start of a move; its id stays the same through all stages.
"""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(60)
@attrs.frozen
class MoveNews:
    """Announces the state of all moves.

    Attributes:
        number: Number of the state; a higher one is newer.
        book: The encoded ``core.move_state.MoveBook``, the state of all moves.
    """

    number: int
    book: bytes


@message(61)
@attrs.frozen
class Brake:
    """Emergency stop of one attempt of a move.

    The new version gets no more requests in this attempt.

    Attributes:
        move: Name of the move.
        attempt: Id of the attempt of the move.
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
        attempt: Id of the attempt of the move.
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
        retry_after_s: Seconds to wait before the order is sent again.
        detail: Reason of a failure, for operators.
    """

    op: str
    version: str
    outcome: str
    retry_after_s: float
    detail: str
