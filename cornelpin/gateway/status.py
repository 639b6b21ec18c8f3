"""What an entry tells operators of itself and of the other entries."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from cornelpin.gateway.snapshot_source import IN_FORCE
from cornelpin.platform import CONFIG_KIND

if TYPE_CHECKING:
    from cornelpin.gateway.peers import Peers
    from cornelpin.gateway.state import GatewayState
    from cornelpin.gateway.store_view import StoreView


def build_status(state: GatewayState, peers: Peers, view: StoreView) -> dict[str, Any]:
    """Returns the status as tables of rows, for JSON.

    Entries are behind if this entry knows a later version than theirs. The age is that
    of their last contact with the store for the configuration, or of the last
    confirmation by another entry if this one is the own.
    """
    now = time.monotonic()
    own_version = state.config.version if state.config is not None else -1
    versions = {state.settings.host: own_version}
    rows = [_row(state.settings.host, state.settings.data_centre, view.config_age_s)]
    for host, peer in sorted(peers.live_peers().items()):
        versions[host] = peer.revision(IN_FORCE).number
        seen_at = peer.store_seen_at.get(CONFIG_KIND)
        age_s = None if seen_at is None else now - seen_at
        rows.append(_row(host, peer.data_centre, age_s))
    latest = max(versions.values())
    for row in rows:
        row["config"] = versions[row["host"]]
        row["behind"] = row["config"] < latest
    return {
        "entries": rows,
        "kinds": view.status_rows(),
        "evacuated": [{"data_centre": name} for name in state.evacuations],
        "servers": [
            {"limited": state.limits.limits.limited, "cold": len(state.limits.cold)}
        ],
    }


def _row(host: str, data_centre: str, age_s: float | None) -> dict[str, Any]:
    return {
        "host": host,
        "data_centre": data_centre,
        "config": -1,
        "age_s": None if age_s is None or age_s > 1e9 else round(age_s, 2),
        "behind": False,
    }
