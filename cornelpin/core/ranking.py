"""Ranks backend servers for one request by the time it would take there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_TOKEN_S = 0.02
BYTES_PER_TOKEN = 6
# Work of prefilling one token as a share of decoding one.
PREFILL_WEIGHT = 1 / 16


@attrs.frozen
class ServerEstimate:
    """What an entry knows of a backend server.

    Attributes:
        name: Name of the backend server.
        token_s: Measured time between tokens in seconds, zero if not measured.
        load: Running and waiting requests for each slot.
    """

    name: str
    token_s: float
    load: float


@attrs.frozen
class Work:
    """Size of a request.

    Attributes:
        prompt_bytes: Length of its prompt.
        output_tokens: Estimated length of its answer.
    """

    prompt_bytes: int
    output_tokens: int


def rank(
    standings: Iterable[ServerEstimate], work: Work, cached_bytes: dict[str, int]
) -> list[str]:
    """Returns the names of the servers, the one estimated to end first in front.

    Args:
        standings: The servers to choose from.
        work: Size of the request.
        cached_bytes: Bytes of the request's prefix that each server holds.
    """
    known = list(standings)
    measured = [s.token_s for s in known if s.token_s > 0]
    usual_s = sum(measured) / len(measured) if measured else DEFAULT_TOKEN_S

    def estimate_s(standing: ServerEstimate) -> float:
        missing = max(0, work.prompt_bytes - cached_bytes.get(standing.name, 0))
        prefill = missing / BYTES_PER_TOKEN * PREFILL_WEIGHT
        token_s = standing.token_s or usual_s
        return (work.output_tokens + prefill) * token_s * (1 + standing.load)

    return [s.name for s in sorted(known, key=estimate_s)]
