"""Roll-out orders of the operator in the store, and the status written back to them."""

from __future__ import annotations

import reprlib
from collections.abc import Mapping
from typing import Any

from cornelpin.platform._decoding import BadValue, value
from cornelpin.platform._store_objects import StoreObject
from cornelpin.scheduling.rollouts import Order, OrderState

ROLLOUT_KIND = "rollouts"
# States by their names in the store.
_STATE_BY_NAME = {
    "running": OrderState.RUNNING,
    "done": OrderState.DONE,
    "rolled_back": OrderState.ROLLED_BACK,
}
_NAME_BY_STATE = {state: name for name, state in _STATE_BY_NAME.items()}


def decode_rollout(stored: StoreObject) -> Order:
    """Decodes a roll-out order; its object is named after the service.

    Raises:
        BadValue: If a value is missing or has the wrong type. The message does not name
            the order; callers log its name with it.
    """
    spec, status = stored.spec, stored.status
    if not isinstance(spec, Mapping):
        raise BadValue(f"expected an object, found {reprlib.repr(spec)}")
    version = value(spec, "target", str)
    state, has_status = OrderState.RUNNING, False
    # A status that names another version belongs to an earlier order.
    if isinstance(status, Mapping) and status.get("target") == version:
        # A state with another name counts as running: the order is carried out, and its
        # outcome replaces that state.
        state = _STATE_BY_NAME.get(str(status.get("state")), OrderState.RUNNING)
        has_status = True
    return Order(
        service=value(spec, "service", str, stored.name),
        version=version,
        duration_s=value(spec, "duration_s", float),
        state=state,
        has_status=has_status,
        revision=stored.revision,
    )


def rollout_status(order: Order, state: OrderState) -> dict[str, Any]:
    """Returns the status object to write for an order."""
    return {"state": _NAME_BY_STATE[state], "target": order.version}
