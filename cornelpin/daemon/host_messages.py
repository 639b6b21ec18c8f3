"""Messages that propagate which hosts the host list reports as draining.

"Leaving" is the host list's word for draining.
"""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(44)
@attrs.frozen
class HostsLeaving:
    """Sends the draining hosts to an entry.

    Attributes:
        stamp: Hybrid logical timestamp of the reading of the list; a higher one is
            newer.
        hosts: Names of the draining hosts.
    """

    stamp: int
    hosts: list[str]


@message(45)
@attrs.frozen
class HostNotice:
    """Informs a side whether its own host is listed as draining.

    Attributes:
        stamp: As in ``HostsLeaving``.
        leaving: Whether the side's host is draining.
    """

    stamp: int
    leaving: bool
