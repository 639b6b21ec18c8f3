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
    """Prompt tokens that a backend server computed and, of these, wasted."""

    computed: int
    wasted: int


class RequestTimes:
    """Times one request from its acceptance and reports it once.

    Args:
        meters: The metrics of the process.
        req: The request.
        held_bytes: Length of its longest prefix that some server should hold.
    """

    def __init__(self, meters: Meters, req: Request, held_bytes: int) -> None:
        self._meters = meters
        self._req = req
        self._held_bytes = held_bytes
        self._accepted = time.monotonic()
        self._head: float | None = None
        self._last_part = b""
        self._closed = False
        self._parts = 0
        self.outcome = "broken"

    def head(self) -> None:
        """Notes that the head of the answer has come."""
        self._head = time.monotonic()

    def received(self, parts: list[bytes]) -> None:
        """Notes parts of the answer."""
        if parts:
            self._parts += len(parts)
            self._last_part = parts[-1]

    def close(self, ticket: Ticket, *, complete: bool) -> None:
        """Reports outcome, queue time and prefill, and the times of an answer."""
        if self._closed:
            return
        self._closed = True
        now = time.monotonic()
        tier = self._req.tier
        self._meters.count_outcome(tier, "answered" if complete else self.outcome)
        granted = ticket.granted_at
        if not ticket.adopted:
            left_queue = now if granted is None else granted
            self._meters.record_queue_time(tier, max(0.0, left_queue - self._accepted))
        if self._req.kind == "model" and granted is not None:
            prefill = self._prefill(complete=complete)
            self._meters.count_prefill(
                tier, computed=prefill.computed, wasted=prefill.wasted
            )
        if complete and self._head is not None:
            self._meters.record_response(
                tier,
                wait_s=self._head - self._accepted,
                duration_s=now - self._accepted,
                parts=self._parts,
            )

    def _prefill(self, *, complete: bool) -> Prefill:
        if complete:
            return prefill_from_usage(
                self._last_part, self._held_bytes, self._req.prompt_bytes
            )
        # No usage came; nothing says how much of the prompt was cached.
        tokens = self._req.prompt_bytes // BYTES_PER_TOKEN
        return Prefill(tokens, tokens)


def prefill_from_usage(last_part: bytes, held_bytes: int, prompt_bytes: int) -> Prefill:
    """Returns the prefill that the usage in the last part of an answer tells.

    Wasted is what the server computed though another one should hold it.
    """
    usage = _usage(last_part)
    prompt_tokens = _count(usage, "prompt_tokens")
    details = usage.get("prompt_tokens_details")
    cached_tokens = _count(details, "cached_tokens")
    computed = max(0, prompt_tokens - cached_tokens)
    held_tokens = prompt_tokens * held_bytes // max(1, prompt_bytes)
    return Prefill(computed, min(computed, max(0, held_tokens - cached_tokens)))


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
