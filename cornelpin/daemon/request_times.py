"""Times and prefill of one request, reported to the metrics when it is closed."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.core.ranking import BYTES_PER_TOKEN

if TYPE_CHECKING:
    from cornelpin.core.tickets import Request, Ticket
    from cornelpin.daemon.metrics import Meters


@attrs.frozen
class Prefill:
    """Prompt tokens prefilled by a backend server.

    Attributes:
        computed: Tokens computed, that is, not read from the cache.
        wasted: Of these, tokens that another server should have cached.
    """

    computed: int
    wasted: int


class RequestTimes:
    """Measures one request from its acceptance; reports to the metrics once.

    Args:
        meters: The metrics of the process.
        req: The request.
        cached_bytes: Length in bytes of its longest prefix that some server should
            have cached.

    Attributes:
        outcome: Outcome to count if the response is incomplete: the reason of the
            refusal, or "broken" if there was none, as when the caller disconnects
            during the response.
    """

    def __init__(self, meters: Meters, req: Request, cached_bytes: int) -> None:
        self._meters = meters
        self._req = req
        self._cached_bytes = cached_bytes
        self._accepted_at = time.monotonic()
        self._head_at: float | None = None
        self._last_part = b""
        self._closed = False
        self._parts = 0
        self.outcome = "broken"

    def on_head(self) -> None:
        """Records the time of the head of the response."""
        self._head_at = time.monotonic()

    def on_parts(self, parts: list[bytes]) -> None:
        """Records parts of the response."""
        if parts:
            self._parts += len(parts)
            self._last_part = parts[-1]

    def close(self, ticket: Ticket, *, complete: bool) -> None:
        """Reports outcome, queue time, prefill and, if complete, the response times."""
        if self._closed:
            return
        self._closed = True
        now = time.monotonic()
        tier = self._req.tier
        self._meters.count_outcome(tier, "answered" if complete else self.outcome)
        granted_at = ticket.granted_at
        if not ticket.adopted:
            dequeued_at = now if granted_at is None else granted_at
            self._meters.record_queue_time(
                tier, max(0.0, dequeued_at - self._accepted_at)
            )
        if self._req.kind == "model" and granted_at is not None:
            prefill = self._prefill(complete=complete)
            self._meters.count_prefill(
                tier, computed=prefill.computed, wasted=prefill.wasted
            )
        if complete and self._head_at is not None:
            self._meters.record_response(
                tier,
                wait_s=self._head_at - self._accepted_at,
                duration_s=now - self._accepted_at,
                parts=self._parts,
            )

    def _prefill(self, *, complete: bool) -> Prefill:
        if complete:
            return prefill_from_usage(
                self._last_part, self._cached_bytes, self._req.prompt_bytes
            )
        # Without a usage report the cached share is unknown: all counts as wasted.
        tokens = self._req.prompt_bytes // BYTES_PER_TOKEN
        return Prefill(tokens, tokens)


def prefill_from_usage(
    last_part: bytes, cached_bytes: int, prompt_bytes: int
) -> Prefill:
    """Returns the prefill according to the usage in the last part of a response.

    Args:
        last_part: Last part of the response, a stream event with its usage.
        cached_bytes: Length in bytes of the prefix that some server should have cached.
        prompt_bytes: Length of the prompt in bytes.
    """
    usage = _usage(last_part)
    prompt_tokens = _count(usage, "prompt_tokens")
    details = usage.get("prompt_tokens_details")
    cached_tokens = _count(details, "cached_tokens")
    computed = max(0, prompt_tokens - cached_tokens)
    should_be_cached = prompt_tokens * cached_bytes // max(1, prompt_bytes)
    return Prefill(computed, min(computed, max(0, should_be_cached - cached_tokens)))


def _usage(last_part: bytes) -> dict[str, Any]:
    try:
        event = json.loads(last_part)
    except ValueError:
        return {}
    usage = event.get("usage") if isinstance(event, dict) else None
    return usage if isinstance(usage, dict) else {}


def _count(document: Any, name: str) -> int:
    value = document.get(name) if isinstance(document, dict) else None
    return value if type(value) is int and value > 0 else 0
