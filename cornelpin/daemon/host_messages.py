"""Messages that spread which hosts the host list has as leaving."""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(44)
@attrs.frozen
class HostsLeaving:
    """Tells an entry the leaving hosts.

    Attributes:
        stamp: Hybrid time at which the list was read; a higher one is newer.
        hosts: Names of the leaving hosts.
    """

    stamp: int
    hosts: list[str]


@message(45)
@attrs.frozen
class HostNotice:
    """Tells a side whether its own host is listed as leaving."""

    stamp: int
    leaving: bool
