"""Deterministic completions of the model engine.

The engine stand-in generates them; load generators and checkers recompute them from
the prompt to verify what callers received.
"""

from __future__ import annotations

import hashlib
import re
from typing import Any

MIN_DRAWN_TOKENS = 8
MAX_DRAWN_TOKENS = 64
_REQUESTED_LENGTH = re.compile(r"#out=(\d+)")


def prompt_sha(prompt: str) -> str:
    """Returns the hexadecimal SHA-256 of the prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Returns the first ``count`` tokens of the completion of ``prompt``."""
    prompt_digest = prompt_sha(prompt)
    return [
        " " + hashlib.sha256(f"{prompt_digest}:{index}".encode()).hexdigest()[:6]
        for index in range(count)
    ]


def expected_answer(prompt: str, count: int) -> str:
    """Returns the text of the first ``count`` tokens of the completion."""
    return "".join(expected_tokens(prompt, count))


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return "\n".join(str(part.get("text", "")) for part in content)
    return "" if content is None else str(content)


def prompt_text(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion or chat completion request body.

    A chat prompt becomes one ``role: content`` line per message.
    """
    if "messages" in body:
        return "\n".join(
            f"{message['role']}: {_content_text(message.get('content'))}"
            for message in body["messages"]
        )
    prompt = body["prompt"]
    return "\n".join(prompt) if isinstance(prompt, list) else str(prompt)


def natural_length(prompt: str, seed: int = 0) -> int:
    """Returns the completion's length in tokens without ``max_tokens``.

    ``#out=N`` in the prompt sets it; otherwise it is drawn by hashing the prompt.
    """
    requested = _REQUESTED_LENGTH.search(prompt)
    if requested:
        return int(requested.group(1))
    digest = hashlib.sha256(f"{seed}:{prompt}".encode()).digest()
    spread = MAX_DRAWN_TOKENS - MIN_DRAWN_TOKENS + 1
    return MIN_DRAWN_TOKENS + int.from_bytes(digest[:4], "big") % spread


def answer_length(body: dict[str, Any], seed: int = 0) -> int:
    """Returns the completion's length in tokens for a request body."""
    natural = natural_length(prompt_text(body), seed)
    limit = body.get("max_tokens", body.get("max_completion_tokens"))
    return natural if limit is None else min(int(limit), natural)
