"""What a response is worth to its caller, relative to other responses.

The configuration ranks routes and workspaces but doesn't say by how much, nor what a
late response is worth. The defaults suit services whose responses are read by people; a
deployment sets its own values (``cornelpin.gateway.settings``).
"""

from __future__ import annotations

import math

import attrs
from attrs import validators


def _check_finite(
    instance: Valuation, attribute: attrs.Attribute[float], value: float
) -> None:
    if not math.isfinite(value):
        raise ValueError(f"{attribute.name} must be finite: {value}")


@attrs.frozen(kw_only=True)
class Valuation:
    """Relative values of responses.

    Attributes:
        late: Value of a late response relative to a timely one. Most callers still use
            it, but some have gone on without.
        late_retry: The same for a client retry of a refused request: its caller has
            waited as it was told, and gets nothing at all if it is refused again.
        priority_step: Ratio of value between adjacent route priorities.
        workspace_step: Ratio of value between adjacent workspace priorities. The
            default is three steps of route priorities, because workspace priorities
            take precedence.
    """

    late: float = attrs.field(
        default=0.29, validator=[validators.ge(0.0), validators.le(1.0)]
    )
    late_retry: float = attrs.field(
        default=0.3, validator=[validators.ge(0.0), validators.le(1.0)]
    )
    priority_step: float = attrs.field(
        default=4.0, validator=[validators.ge(1.0), _check_finite]
    )
    workspace_step: float = attrs.field(
        default=64.0, validator=[validators.ge(1.0), _check_finite]
    )

    def rank_weight(self, rank: tuple[int, int]) -> float:
        """Returns the value of a mean request of a rank.

        Args:
            rank: Priority of its workspace and of its route (``Job.rank``).

        Returns:
            The value relative to that of a request of the highest rank.
        """
        workspace, route = rank
        return self.workspace_step**-workspace * self.priority_step**-route
