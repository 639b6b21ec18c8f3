"""Messages between entries about permits, as lists for msgpack.

A message has one of these fields: ``asks`` (requests for permits, with what the sender
knows of the limit), ``replies``, and ``unused`` (permits that come back).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cornelpin.scheduling.permits import PermitReply, PermitRequest

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from cornelpin.scheduling.server_limits import Incarnation, PackedObservation

Message = dict[str, Any]


def ask_message(request: PermitRequest, known: PackedObservation) -> Message:
    """Returns a request for permits as a message.

    Args:
        request: The request.
        known: Observation of the server's limit as of ``ServerLimits.packed``.
    """
    score = round(request.score, 5)
    return {"asks": [[*known, request.number, request.count, score]]}


def read_asks(
    message: Mapping[str, Any],
) -> Iterator[tuple[PermitRequest, PackedObservation]]:
    """Yields the requests of a message, with the observations of the limits."""
    for *known, number, count, score in message.get("asks", ()):
        incarnation = (str(known[0]), int(known[1]))
        yield PermitRequest(incarnation, int(number), int(count), float(score)), known


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
