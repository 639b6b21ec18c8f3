"""Messages between cornelpin's processes: handshake, requests, configuration, events.

Times are durations in seconds, never absolute, as hosts do not share a clock.
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

# Lowest and highest supported version.
PROTOCOL_VERSIONS = (1, 1)


@message(1)
@attrs.frozen
class Hello:
    """Opens a session; both ends send one.

    Attributes:
        lowest: Lowest supported protocol version.
        highest: Highest supported protocol version.
        name: Process name.
        role: ``entry`` or ``side``.
        incarnation: Random id of this run of the process.
        nonce: Random bytes that the proofs of both ends cover.
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
    """State of a process, sent as a ping, as the reply to one, and on changes.

    Attributes:
        number: Number of the configuration in force.
        leaving: Whether the process is draining and accepts no new requests.
        slots: Requests that may run on the backend server at once (sides).
        free: Free slots (sides).
        waiting: Queued reservations (sides); requests not yet answered (entries).
        versions: Loaded versions of the backend server (sides).
        token_s: Measured seconds between output tokens (sides).
        drain_per_s: Rate at which the queue empties: reservations that got a slot per
            second, measured (sides).
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
    """Places a reservation for a queued request at a side.

    Attributes:
        request_id: Id of the request.
        route: Name of the route.
        version: Backend server version wanted, or an empty string.
        tier: Name of the tier.
        workspace: Name of the workspace, for fair shares.
        cost: Estimated work in tokens.
        wait_s: Longest time in seconds that the reservation may wait.
        fingerprint: Digest of the request's content.
        waited_s: Seconds that the request has waited so far.
        rank: Position of this side in the entry's order of preference, from zero.
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
    """Sent by a side with a free slot to request the grant of a reservation."""

    request_id: str


@message(12)
@attrs.frozen
class Grant:
    """Assigns a request to exactly one side, which may run it from then on.

    Attributes:
        request_id: Id of the request.
        direct: Whether there was no reservation: the side runs the request now or
            replies ``NotRun``.
        route: Name of the route.
        version: Backend server version to use, or an empty string.
        tier: Name of the tier.
        workspace: Name of the workspace.
        cost: Estimated work in tokens.
        method: HTTP method.
        path: Path and query at the backend server.
        headers: Headers forwarded to the backend server.
        body: Request body.
        fingerprint: Digest of the request's content.
        keep: Whether the run continues without its entry (durable requests).
        attempt: Number of this grant of the request, from one.
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
    """Reply to ``Ask``: the entry no longer grants this request to the side."""

    request_id: str


@message(14)
@attrs.frozen
class Withdraw:
    """Drops a request's reservation, or the stored response of its run, at a side."""

    request_id: str


@message(15)
@attrs.frozen
class NotRun:
    """The side did not and will not run the request.

    Attributes:
        request_id: Id of the request.
        reason: Value of a ``core.execution.Reason``.
        detail: Explanation for operators.
        attempt: Number of the refused grant; zero for a reservation.
    """

    request_id: str
    reason: str
    detail: str
    attempt: int = 0


@message(16)
@attrs.frozen
class Head:
    """Head of a response: status and headers from the backend server."""

    request_id: str
    status: int
    headers: dict[str, str]
    attempt: int = 1


@message(17)
@attrs.frozen
class Chunk:
    """Consecutive parts of a response.

    Attributes:
        request_id: Id of the request.
        offset: Position of the first part, from zero.
        parts: Body parts: stream events of a model, bytes of a service.
        attempt: Number of the grant that ran.
    """

    request_id: str
    offset: int
    parts: list[bytes]
    attempt: int = 1


@message(18)
@attrs.frozen
class End:
    """Ends a response.

    Attributes:
        request_id: Id of the request.
        count: Number of parts of the whole response.
        outcome: ``done``, ``failed`` or ``cancelled``.
        detail: Cause of a failure, for operators.
        attempt: Number of the grant that ran.
    """

    request_id: str
    count: int
    outcome: str
    detail: str
    attempt: int = 1


@message(19)
@attrs.frozen
class Cancel:
    """Stops a run whose caller has disconnected or whose response is not awaited."""

    request_id: str
    attempt: int = 1


@message(20)
@attrs.frozen
class Resume:
    """Requests the rest of a granted request's response on a new session.

    Attributes:
        request_id: Id of the request.
        offset: Number of parts that the entry already has.
        incarnation: Incarnation of the side to which the request was granted.
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
    """Sends the head of a configuration: its list of section digests.

    Attributes:
        number: Number of the configuration.
        head: The encoded ``core.sections.Head``.
    """

    number: int
    head: bytes


@message(31)
@attrs.frozen
class ConfigWant:
    """Requests sections of a configuration by digest."""

    digests: list[str]


@message(32)
@attrs.frozen
class ConfigSections:
    """Sends encoded sections of a configuration, by digest."""

    sections: dict[str, bytes]


@message(40)
@attrs.frozen
class EventsAsk:
    """Requests the timeline events of a request or a move."""

    ask_id: str
    request: str
    move: str


@message(41)
@attrs.frozen
class EventsReply:
    """Timeline events of one process, each as a list of the fields of ``Event``."""

    ask_id: str
    events: list[list]
