"""Fault injection for the model engine."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class VersionFault:
    """A fault of one model version.

    Attributes:
        fail_rate: Fraction of requests that fail, 0 to 1.
        slow: Factor on the time between tokens.
        after_requests: Requests of the version before the fault starts.
        min_running: The fault applies only with at least this many requests in the
            engine.
        route_text: The fault applies only to prompts that contain this text.
    """

    fail_rate: float = 0.0
    slow: float = 1.0
    after_requests: int = 0
    min_running: int = 0
    route_text: str = ""

    def applies(
        self, prompt: str, earlier_requests: int, requests_in_engine: int
    ) -> bool:
        """Returns whether the fault applies to a request that arrives now.

        Args:
            prompt: Prompt of the request.
            earlier_requests: Requests of the version that arrived before it.
            requests_in_engine: Running and queued requests, with this one.
        """
        return (
            earlier_requests >= self.after_requests
            and requests_in_engine >= self.min_running
            and self.route_text in prompt
        )


@attrs.frozen
class Faults:
    """All faults of an engine; none by default.

    Attributes:
        slow: Factor on the engine's step time.
        hang: Whether the step loop and the load samples stop.
        bad_versions: Faults by model version.
        crash_text: A prompt with this text makes the process exit; empty for none.
    """

    slow: float = 1.0
    hang: bool = False
    bad_versions: dict[str, VersionFault] = attrs.field(factory=dict)
    crash_text: str = ""


def parse_faults(value: dict[str, Any]) -> Faults:
    """Returns the faults of a JSON object; omitted fields have their defaults.

    Raises:
        TypeError: If the object has an unknown field.
    """
    bad_versions = {
        version: VersionFault(**fault)
        for version, fault in value.get("bad_versions", {}).items()
    }
    return Faults(**{**value, "bad_versions": bad_versions})
