"""Roll-out orders of the operator, and the status written back to them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from cornelpin.platform._decoding import BadValue, value
from cornelpin.platform._store import StoreObject
from cornelpin.scheduling.rollouts import Order, Outcome

ROLLOUT_KIND = "rollouts"
_OUTCOME_BY_STATE = {
    "running": Outcome.RUNNING,
    "done": Outcome.DONE,
    "rolled_back": Outcome.TAKEN_BACK,
}
_STATE_BY_OUTCOME = {outcome: state for state, outcome in _OUTCOME_BY_STATE.items()}


def decode_rollout(change: StoreObject) -> Order:
    """Decodes a roll-out order; its object is named after the service.

    Raises:
        BadValue: If a value is missing or has the wrong type.
    """
    spec, status = change.spec, change.status
    if not isinstance(spec, Mapping):
        raise BadValue(f"rollouts/{change.name}: expected a table, found {spec!r}")
    version = value(spec, "target", str)
    outcome, has_status = Outcome.RUNNING, False
    # A status that names another version belongs to an earlier order.
    if isinstance(status, Mapping) and status.get("target") == version:
        outcome = _OUTCOME_BY_STATE.get(str(status.get("state")), Outcome.RUNNING)
        has_status = True
    return Order(
        service=value(spec, "service", str, change.name),
        version=version,
        duration_s=value(spec, "duration_s", float),
        outcome=outcome,
        has_status=has_status,
        revision=change.revision,
    )


def rollout_status(order: Order, outcome: Outcome) -> dict[str, Any]:
    """Returns the status object to write for an order."""
    return {"state": _STATE_BY_OUTCOME[outcome], "target": order.version}
