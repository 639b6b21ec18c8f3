"""Messages between entries about claims, used while the object store is down."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(80)
@attrs.frozen
class ClaimAsk:
    """Asks another entry whether it may have dispatched a request under a key.

    Attributes:
        ask_id: Id of the query.
        key: The record key.
        owner: Owner id of the request asked for; its own claim does not count.
    """

    ask_id: str
    key: str
    owner: str


@message(81)
@attrs.frozen
class ClaimReply:
    """Answers a ClaimAsk.

    Attributes:
        ask_id: Id of the query.
        known: Whether another request under the key may have been dispatched.
    """

    ask_id: str
    known: bool
