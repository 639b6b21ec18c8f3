"""Messages between entries about claims."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(80)
@attrs.frozen
class ClaimAsk:
    """Asks another entry whether it knows a record key.

    Attributes:
        ask_id: Id of the question.
        key: The record key.
        owner: Owner id of the asking request, which does not count.
    """

    ask_id: str
    key: str
    owner: str


@message(81)
@attrs.frozen
class ClaimReply:
    """Says whether an entry claims or has claimed a record key.

    Attributes:
        ask_id: Id of the question.
        known: Whether another request under the key may have been dispatched.
    """

    ask_id: str
    known: bool
