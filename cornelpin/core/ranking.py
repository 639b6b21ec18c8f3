"""Ranks backend servers for one request by its estimated duration on each."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time between tokens if it was measured on no server.
DEFAULT_TOKEN_S = 0.02
BYTES_PER_TOKEN = 6
# Time to prefill one token as a fraction of the time to decode one.
PREFILL_WEIGHT = 1 / 16


@attrs.frozen
class ServerEstimate:
    """An entry's estimate of a backend server.

    Attributes:
        name: Name of the backend server.
        token_s: Measured time between tokens in seconds, zero if not measured.
        load: Running and queued requests per slot.
    """

    name: str
    token_s: float
    load: float


@attrs.frozen
class Work:
    """Size of a request.

    Attributes:
        prompt_bytes: Length of its prompt in bytes.
        output_tokens: Estimated length of its answer in tokens.
    """

    prompt_bytes: int
    output_tokens: int


def rank(
    servers: Iterable[ServerEstimate], work: Work, cached_bytes: dict[str, int]
) -> list[str]:
    """Returns the names of the servers, the one expected to finish soonest first.

    Args:
        servers: The servers to choose from.
        work: Size of the request.
        cached_bytes: Bytes of the request's prefix that each server has cached.
    """
    candidates = list(servers)
    measured = [s.token_s for s in candidates if s.token_s > 0]
    average_s = sum(measured) / len(measured) if measured else DEFAULT_TOKEN_S

    def estimate_s(server: ServerEstimate) -> float:
        missing = max(0, work.prompt_bytes - cached_bytes.get(server.name, 0))
        prefill = missing / BYTES_PER_TOKEN * PREFILL_WEIGHT
        token_s = server.token_s or average_s
        return (work.output_tokens + prefill) * token_s * (1 + server.load)

    return [s.name for s in sorted(candidates, key=estimate_s)]
