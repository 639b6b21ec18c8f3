"""The answer that an engine stand-in must give, computed apart from it."""

from __future__ import annotations

import hashlib


def expected_answer(prompt: str, tokens: int) -> str:
    """Returns the whole answer text to a prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return "".join(
        " " + hashlib.sha256(f"{digest}:{i}".encode()).hexdigest()[:6]
        for i in range(tokens)
    )
