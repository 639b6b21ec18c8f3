"""Messages between cornelpin's processes.

Times are relative (seconds left), never absolute: hosts do not share a clock.
"""

from __future__ import annotations

import attrs

from cornelpin.daemon._codec import (
    MAX_FRAME_BYTES,
    ProtocolError,
    decode,
    encode,
    message,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSIONS",
    "Ask",
    "Cancel",
    "Chunk",
    "ConfigHead",
    "ConfigSections",
    "ConfigWant",
    "End",
    "EventsAsk",
    "EventsReply",
    "Gone",
    "Grant",
    "Head",
    "Heartbeat",
    "Hello",
    "NotRun",
    "Proof",
    "ProtocolError",
    "Reserve",
    "Resume",
    "Withdraw",
    "decode",
    "encode",
]

PROTOCOL_VERSIONS = (1, 1)


@message(1)
@attrs.frozen
class Hello:
    """Opens a session; both ends send one.

    Attributes:
        lowest: Lowest protocol version spoken.
        highest: Highest protocol version spoken.
        name: Process name.
        role: ``entry`` or ``side``.
        incarnation: Random id of this run of the process.
        nonce: Challenge for the other end's proof.
    """

    lowest: int
    highest: int
    name: str
    role: str
    incarnation: str
    nonce: bytes


@message(2)
@attrs.frozen
class Proof:
    """Proves knowledge of the shared key.

    Attributes:
        mac: HMAC-SHA256 over both hellos under the shared key.
    """

    mac: bytes


@message(3)
@attrs.frozen
class Heartbeat:
    """Periodic state of a process, also sent at once when it changes.

    Attributes:
        number: Configuration number in force.
        leaving: Whether the process accepts no new work.
        slots: Concurrent requests the backend server takes (sides).
        free: Slots free now (sides).
        waiting: Reservations queued (sides).
        versions: Backend server versions loaded (sides).
        token_s: Measured time between tokens in seconds (sides).
        drain_per_s: Measured reservations that get a slot in a second (sides).
    """

    number: int
    leaving: bool
    slots: int
    free: int
    waiting: int
    versions: list[str]
    token_s: float
    drain_per_s: float = 0.0


@message(10)
@attrs.frozen
class Reserve:
    """Places a reservation for a waiting request at a side.

    Attributes:
        request_id: Id of the request.
        route: Name of the route.
        version: Backend server version wanted, or an empty string.
        tier: Name of the tier.
        workspace: Name of the workspace, for fair shares.
        cost: Estimated work in tokens.
        wait_s: Seconds this reservation may wait.
        fingerprint: Digest of the request's content.
        waited_s: Seconds that the request has waited already.
        rank: Place of this side in the entry's order of preference, from zero.
    """

    request_id: str
    route: str
    version: str
    tier: str
    workspace: str
    cost: int
    wait_s: float
    fingerprint: str
    waited_s: float = 0.0
    rank: int = 0


@message(11)
@attrs.frozen
class Ask:
    """A side with a free slot asks the entry for a reserved request."""

    request_id: str


@message(12)
@attrs.frozen
class Grant:
    """Gives a request to exactly one side; it may run from here on.

    Attributes:
        request_id: Id of the request.
        direct: Sent without a reservation: run now or answer ``NotRun``.
        route: Name of the route.
        version: Backend server version to use, or an empty string.
        tier: Name of the tier.
        workspace: Name of the workspace.
        cost: Estimated work in tokens.
        method: HTTP method.
        path: Path and query at the backend server.
        headers: Headers to pass on.
        body: Request body.
        fingerprint: Digest of the request's content.
        keep: Whether the run goes on when the entry is lost (durable requests).
        attempt: Number of this grant of the request, counted from one.
    """

    request_id: str
    direct: bool
    route: str
    version: str
    tier: str
    workspace: str
    cost: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    fingerprint: str
    keep: bool
    attempt: int = 1


@message(13)
@attrs.frozen
class Gone:
    """The entry has nothing to grant under this id any more."""

    request_id: str


@message(14)
@attrs.frozen
class Withdraw:
    """The entry takes a reservation back."""

    request_id: str


@message(15)
@attrs.frozen
class NotRun:
    """The side did not and will not run the request.

    Attributes:
        request_id: Id of the request.
        reason: Name of a ``Reason``.
        detail: One sentence for operators.
        attempt: Number of the grant refused; zero for a reservation.
    """

    request_id: str
    reason: str
    detail: str
    attempt: int = 0


@message(16)
@attrs.frozen
class Head:
    """Status and headers of the backend server's answer."""

    request_id: str
    status: int
    headers: dict[str, str]
    attempt: int = 1


@message(17)
@attrs.frozen
class Chunk:
    """Consecutive parts of an answer.

    Attributes:
        request_id: Id of the request.
        offset: Position of the first part, counted from zero.
        parts: Body parts: stream events of a model, bytes of a service.
        attempt: Number of the grant that was run.
    """

    request_id: str
    offset: int
    parts: list[bytes]
    attempt: int = 1


@message(18)
@attrs.frozen
class End:
    """Ends an answer.

    Attributes:
        request_id: Id of the request.
        count: Number of parts of the whole answer.
        outcome: ``done``, ``failed`` or ``cancelled``.
        detail: What went wrong, for operators.
        attempt: Number of the grant that was run.
    """

    request_id: str
    count: int
    outcome: str
    detail: str
    attempt: int = 1


@message(19)
@attrs.frozen
class Cancel:
    """The caller has gone away; stop the run."""

    request_id: str
    attempt: int = 1


@message(20)
@attrs.frozen
class Resume:
    """Asks for the rest of a granted request's answer on a new session.

    Attributes:
        request_id: Id of the request.
        offset: Number of parts the entry already has.
        incarnation: The side's incarnation that the request was granted to.
        route: Name of the route.
        version: Backend server version of the grant.
        path: Path at the backend server.
        attempt: Number of the grant to resume.
        age_s: Seconds since the grant.
    """

    request_id: str
    offset: int
    incarnation: str
    route: str
    version: str
    path: str
    attempt: int = 1
    age_s: float = 0.0


@message(30)
@attrs.frozen
class ConfigHead:
    """Announces a configuration number; ``head`` is its encoded head object."""

    number: int
    head: bytes


@message(31)
@attrs.frozen
class ConfigWant:
    """Asks for sections by digest."""

    digests: list[str]


@message(32)
@attrs.frozen
class ConfigSections:
    """Carries sections by digest."""

    sections: dict[str, bytes]


@message(40)
@attrs.frozen
class EventsAsk:
    """Asks for events of the time line."""

    ask_id: str
    request: str
    move: str


@message(41)
@attrs.frozen
class EventsReply:
    """Events of one process, each as a list of the fields of ``Event``."""

    ask_id: str
    events: list[list]
