"""Messages between entries about permits, as lists for msgpack.

A message has one of these fields: ``asks`` (requests for permits, with what the sender
knows of the server), ``replies``, and ``unused`` (permits that come back).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.scheduling.permits import PermitReply, PermitRequest

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from cornelpin.scheduling.server_limits import Incarnation, PackedObservation

Message = dict[str, Any]


NO_LIMIT: tuple[None, float, int] = (None, 0.0, 0)
"""Limit, age and missing responses in a request for permits of a server that has named
no limit, but is cold."""


@attrs.frozen
class Ask:
    """A request for permits, with what its entry knows of the server.

    Attributes:
        request: The request.
        known: Observation of the server's limit as of ``ServerLimits.packed``; None if
            the entry knows of no limit.
        cold_s: Remaining warm-up time of the server in seconds; zero if it is warm.
    """

    request: PermitRequest
    known: PackedObservation | None
    cold_s: float = 0.0


def ask_message(ask: Ask) -> Message:
    """Returns a request for permits as a message."""
    request = ask.request
    known = ask.known or [*request.incarnation, *NO_LIMIT]
    score, cold_s = round(request.score, 5), round(ask.cold_s, 3)
    return {"asks": [[*known, request.number, request.count, score, cold_s]]}


def read_asks(message: Mapping[str, Any]) -> Iterator[Ask]:
    """Yields the requests for permits of a message."""
    for packed in message.get("asks", ()):
        known, (number, count, score, *rest) = packed[:5], packed[5:]
        incarnation = (str(known[0]), int(known[1]))
        yield Ask(
            PermitRequest(incarnation, int(number), int(count), float(score)),
            None if known[2] is None else known,
            # Earlier builds know nothing of cold servers.
            float(rest[0]) if rest else 0.0,
        )


def reply_message(reply: PermitReply) -> Message:
    """Returns a reply as a message."""
    wait_s, rate_per_s = round(reply.wait_s, 3), round(reply.rate_per_s, 2)
    packed = [*reply.incarnation, reply.number, reply.granted, wait_s, rate_per_s]
    return {"replies": [packed]}


def read_replies(message: Mapping[str, Any]) -> Iterator[PermitReply]:
    """Yields the replies of a message."""
    for server_id, started_ms, number, granted, *rest in message.get("replies", ()):
        wait_s, rate_per_s = rest
        yield PermitReply(
            (str(server_id), int(started_ms)),
            int(number),
            int(granted),
            float(wait_s),
            float(rate_per_s),
        )


def unused_message(incarnation: Incarnation, count: int) -> Message:
    """Returns a message that gives permits back."""
    return {"unused": [[*incarnation, count]]}


def read_unused(message: Mapping[str, Any]) -> Iterator[tuple[Incarnation, int]]:
    """Yields the servers and numbers of permits that a message gives back."""
    for server_id, started_ms, count in message.get("unused", ()):
        yield (str(server_id), int(started_ms)), int(count)
