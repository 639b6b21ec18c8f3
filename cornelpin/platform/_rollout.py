"""The operator's roll-out orders and the system's word on them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from cornelpin.platform._decoding import BadValue, value
from cornelpin.platform._store import StoreObject
from cornelpin.scheduling.rollouts import Order, Outcome

ROLLOUT_KIND = "rollouts"
_STATES = {
    "running": Outcome.RUNNING,
    "done": Outcome.DONE,
    "rolled_back": Outcome.TAKEN_BACK,
}
_WORDS = {outcome: word for word, outcome in _STATES.items()}


def decode_rollout(change: StoreObject) -> Order:
    """Returns an order as it lies in the store, named after its service.

    Raises:
        BadValue: If a part is missing or of another type.
    """
    spec, status = change.spec, change.status
    if not isinstance(spec, Mapping):
        raise BadValue(f"rollouts/{change.name}: expected a table, found {spec!r}")
    version = value(spec, "target", str)
    outcome, has_status = Outcome.RUNNING, False
    # A status that names another version belongs to an earlier order.
    if isinstance(status, Mapping) and status.get("target") == version:
        outcome = _STATES.get(str(status.get("state")), Outcome.RUNNING)
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
    """Returns the status that tells how an order stands."""
    return {"state": _WORDS[outcome], "target": order.version}
