"""The faults that can be switched on in the model engine."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class VersionFault:
    """The fault of one model version.

    Attributes:
        fail_rate: Share of requests that fail, 0 to 1.
        slow: Factor on the time between tokens.
        after_requests: Requests of the version before the fault sets in.
        min_running: The fault shows only with this many requests in the engine.
        route_text: The fault shows only for prompts with this text.
    """

    fail_rate: float = 0.0
    slow: float = 1.0
    after_requests: int = 0
    min_running: int = 0
    route_text: str = ""

    def applies(self, prompt: str, earlier_requests: int, running: int) -> bool:
        """Tells whether the fault shows for a request that comes now."""
        return (
            earlier_requests >= self.after_requests
            and running >= self.min_running
            and self.route_text in prompt
        )


@attrs.frozen
class Faults:
    """All faults of an engine; the default has none.

    Attributes:
        slow: Factor on the engine's step time.
        hang: Whether the step loop and the load figures stand still.
        bad_versions: Faults by model version.
        crash_text: A prompt with this text ends the process; empty for none.
    """

    slow: float = 1.0
    hang: bool = False
    bad_versions: dict[str, VersionFault] = attrs.field(factory=dict)
    crash_text: str = ""


def parse_faults(value: dict[str, Any]) -> Faults:
    """Returns the faults that a JSON object names; what it omits is off.

    Raises:
        TypeError: If the object has an unknown field.
    """
    bad_versions = {
        version: VersionFault(**fault)
        for version, fault in value.get("bad_versions", {}).items()
    }
    return Faults(**{**value, "bad_versions": bad_versions})
