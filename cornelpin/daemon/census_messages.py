"""Messages that collect the configuration status along the ring of entries.

"Census" in their names stands for this collection (see ``config_status``).
"""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(42)
@attrs.frozen
class CensusAsk:
    """Requests the configuration status of an entry and of those after it on the ring.

    Attributes:
        ask_id: Matches the reply to the request.
        span: Number of entries to cover, including the receiver.
        wait_s: Seconds after which the sender no longer needs the reply.
    """

    ask_id: str
    span: int
    wait_s: float


@message(43)
@attrs.frozen
class CensusReply:
    """Returns rows, each as the list of the fields of ``ConfigStatusRow``.

    Attributes:
        ask_id: As in ``CensusAsk``.
        rows: The rows.
    """

    ask_id: str
    rows: list[list]
