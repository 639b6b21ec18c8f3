"""A fault that a check finds in a configuration."""

from __future__ import annotations

import attrs


@attrs.frozen
class Finding:
    """A part of a configuration that can't mean what it says.

    Attributes:
        path: Where it is, such as ``route 'login'``.
        reason: What is wrong, with the values that contradict each other.
        valid: What would be right; empty if that depends on what is meant.
    """

    path: str
    reason: str
    valid: str = ""

    def __str__(self) -> str:
        advice = f"; {self.valid}" if self.valid else ""
        return f"{self.path}: {self.reason}{advice}"
