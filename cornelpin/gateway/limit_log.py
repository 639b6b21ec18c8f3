"""Bounded log lines about servers' limits, which may change in every response."""

from __future__ import annotations

import attrs

from cornelpin.gateway import logs

LOG_INTERVAL_S = 5.0
"""Shortest time between two lines of one kind about one server."""
MAX_LOGGED_CHARS = 40
"""Length to which invalid values are cut in the log."""
MAX_SERVERS = 10_000
"""Most servers whose last lines are remembered."""


@attrs.define
class _LastLine:
    """The last line of one kind about one server.

    Attributes:
        at: Monotonic time at which it was written.
        skipped: Lines left out since then.
    """

    at: float = float("-inf")
    skipped: int = 0


class LimitLog:
    """Logs when a limit is first known, changes and ends, and invalid values."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, str], _LastLine] = {}

    def changed(
        self,
        server_id: str,
        before: float | None,
        limit_per_s: float | None,
        *,
        source: str,
        now: float,
    ) -> None:
        """Logs a changed limit.

        Args:
            server_id: Id of the server.
            before: The limit before in requests per second; None if there was none.
            limit_per_s: The limit now; None if it has ended.
            source: Where this entry learned it from.
            now: Monotonic time in seconds.
        """
        name = "server.limit_changed"
        if before is None:
            name = "server.limit_named"
        elif limit_per_s is None:
            name = "server.limit_ended"
        skipped = self._skipped(name, server_id, now)
        if skipped is not None:
            logs.event(
                name,
                server=server_id,
                before=before,
                limit_per_s=limit_per_s,
                source=source,
                skipped=skipped,
            )

    def invalid(self, server_id: str, value: str, now: float) -> None:
        """Logs a limit that is not a single valid number."""
        skipped = self._skipped("server.bad_limit", server_id, now)
        if skipped is not None:
            logs.warning(
                "server.bad_limit",
                server=server_id,
                value=value[:MAX_LOGGED_CHARS],
                skipped=skipped,
            )

    def _skipped(self, name: str, server_id: str, now: float) -> int | None:
        """Returns the lines left out before a line that is due; None if none is due."""
        key = (name, server_id)
        last = self._last.setdefault(key, _LastLine())
        if now - last.at < LOG_INTERVAL_S:
            last.skipped += 1
            return None
        skipped = last.skipped
        self._last[key] = _LastLine(now)
        if len(self._last) > MAX_SERVERS:
            del self._last[next(iter(self._last))]
        return skipped
