"""For how long other entries have been ahead of this one's copies of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway import logs

if TYPE_CHECKING:
    from collections.abc import Collection

LOGGED_S = 0.5
"""Time for which an entry is behind from which it is logged: a copy takes less."""


@attrs.define
class _Lag:
    """A kind of objects of which others have later changes.

    Attributes:
        since: Monotonic time at which that was first known.
        logged: Whether a line was written about it.
    """

    since: float
    logged: bool = False


class Lags:
    """Kinds of objects of which this entry is behind what it knows to exist."""

    def __init__(self) -> None:
        self._lags: dict[str, _Lag] = {}

    def record(
        self, kind: str, ahead: Collection[str], now: float, *, way: str
    ) -> None:
        """Records which entries are ahead, and logs a lag that lasts, and its end.

        Args:
            kind: Kind of the objects.
            ahead: Hosts of the entries that have later changes; empty for none.
            now: Monotonic time in seconds.
            way: How the objects were last updated, for the log.
        """
        lag = self._lags.get(kind)
        if not ahead:
            if lag is not None:
                del self._lags[kind]
                if lag.logged:
                    behind_s = round(now - lag.since, 2)
                    logs.event("store.caught_up", kind=kind, behind_s=behind_s, way=way)
            return
        if lag is None:
            lag = self._lags[kind] = _Lag(now)
        if not lag.logged and now - lag.since >= LOGGED_S:
            lag.logged = True
            hosts = sorted(ahead)
            logs.warning("store.behind", kind=kind, peers=hosts[:3], ahead=len(hosts))

    def age_s(self, kind: str, now: float) -> float:
        """Returns the seconds since others were first known to be ahead; else -1."""
        lag = self._lags.get(kind)
        return -1.0 if lag is None else now - lag.since

    def behind(self) -> list[str]:
        """Returns the kinds of which this entry is behind."""
        return list(self._lags)
