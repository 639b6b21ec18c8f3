"""Rows of the status report for operators."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.core.config import Config
    from cornelpin.daemon.config_view import ConfigView
    from cornelpin.daemon.links import Link
    from cornelpin.daemon.messages import Heartbeat


def route_rows(
    config: Config, candidates: Callable[[str], list[Link]]
) -> list[dict[str, Any]]:
    """Returns a row for each route, with the number of its usable servers."""
    return [
        {
            "name": name,
            "kind": route.kind,
            "version": route.version,
            "backend_servers": len(route.backend_servers),
            "usable": sum(link.usable for link in candidates(name)),
        }
        for name, route in config.routes.items()
    ]


def tier_rows(config: Config) -> list[dict[str, Any]]:
    """Returns a row for each tier, in shed order."""
    return [
        {"name": t.name, "shed_order": t.shed_order, "urgency": t.urgency}
        for t in sorted(config.tiers.values(), key=lambda tier: tier.shed_order)
    ]


def process_row(
    name: str, role: str, state: Heartbeat, view: ConfigView
) -> dict[str, Any]:
    """Returns the row of a process, based on its last announced state.

    ``lag_s`` is the time since this process applied a newer configuration than the one
    in force there, zero if there is none.
    """
    behind = state.number < view.number
    return {
        "name": name,
        "role": role,
        "number": state.number,
        "lag_s": round(time.monotonic() - view.applied_at, 3) if behind else 0.0,
        "leaving": state.leaving,
        "slots": state.slots,
        "free": state.free,
        "waiting": state.waiting,
        "versions": list(state.versions),
    }
