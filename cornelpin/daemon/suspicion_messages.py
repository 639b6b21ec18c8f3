"""Messages about contents that were in flight when a backend server crashed.

A content is the workspace, path and body of a request, identified by its digest, the
fingerprint. Requests with the same content count as one.
"""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import message


@message(50)
@attrs.frozen
class Crash:
    """A backend server crashed with these contents in flight.

    Attributes:
        crash_id: Random id of the crash.
        fingerprints: Digests of the contents.
    """

    crash_id: str
    fingerprints: list[str]


@message(51)
@attrs.frozen
class Cleared:
    """A suspected content has completed."""

    fingerprint: str


@message(53)
@attrs.frozen
class Suspected:
    """The suspected contents, sent to a new peer.

    Attributes:
        fingerprints: Digests of the contents that must run alone.
    """

    fingerprints: list[str]


@message(52)
@attrs.frozen
class Quarantined:
    """A content is refused from now on."""

    fingerprint: str
