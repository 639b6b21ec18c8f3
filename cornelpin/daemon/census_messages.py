"""Messages that collect the state of all processes along the ring of entries."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(42)
@attrs.frozen
class CensusAsk:
    """Asks an entry for its own rows and those of the entries that follow it.

    Attributes:
        ask_id: Identifies the answer.
        span: Number of entries of the ring, the asked one included.
        wait_s: Seconds within which the answer is of use.
    """

    ask_id: str
    span: int
    wait_s: float


@message(43)
@attrs.frozen
class CensusReply:
    """Answers with rows, each as the list of the fields of ``CensusRow``."""

    ask_id: str
    rows: list[list]
