"""Speed estimates of backend servers, merged over all entries.

An entry sends few requests to each of dozens of servers, so it learns from the others
which ones are slow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelpin.scheduling.speed import SAMPLE_HALF_LIFE_S, SpeedEstimate

if TYPE_CHECKING:
    from cornelpin.scheduling.servers import BackendServer

MERGED_SPEED_TTL_S = 0.05
"""TTL of a merged speed estimate, so that it is not computed for each request."""
PEER_SPEEDS_EXPIRY_S = 30.0
"""Time after which the speeds received from an entry are dropped: their weight has
decayed to less than a hundredth."""
MIN_EXPORT_WEIGHT = 0.01
"""Weight below which an estimate is not exported."""


class FleetSpeeds:
    """Speed estimates of this entry and those received from others."""

    def __init__(self) -> None:
        self._own: dict[tuple[str, int], SpeedEstimate] = {}
        # By source: the time of receipt and the weighted estimates by server id.
        self._received: dict[str, tuple[float, dict[str, list[float]]]] = {}
        self._merged: dict[tuple[str, int], tuple[float, SpeedEstimate]] = {}

    def own(self, server: BackendServer) -> SpeedEstimate:
        """Returns the speed of a server as estimated at this entry."""
        return self._own.setdefault(server.incarnation, SpeedEstimate())

    def export(self, now: float) -> dict[str, list[float]]:
        """Returns weighted speed estimates of servers used recently, by server id."""
        return {
            server_id: speed.export(now)
            for (server_id, _), speed in self._own.items()
            if speed.weight(now) > MIN_EXPORT_WEIGHT
        }

    def merge_from(
        self, source: str, speeds: dict[str, list[float]], now: float
    ) -> None:
        """Stores the speed estimates of another entry or of a whole data centre.

        They are by server id, so those of a restarted server's previous incarnation
        count until they are replaced by the next report or have decayed.
        """
        self._received[source] = (now, speeds)

    def merged(self, server: BackendServer, now: float) -> SpeedEstimate:
        """Returns the speed of a server, merged over all entries."""
        at, speed = self._merged.get(server.incarnation, (float("-inf"), None))
        if speed is not None and now - at < MERGED_SPEED_TTL_S:
            return speed
        received = []
        for received_at, speeds in self._received.values():
            sums = speeds.get(server.id)
            if sums is not None:
                decay = 0.5 ** ((now - received_at) / SAMPLE_HALF_LIFE_S)
                received.append([decay * figure for figure in sums])
        speed = self.own(server).merged_with(received, now)
        self._merged[server.incarnation] = (now, speed)
        return speed

    def forget(self, alive: set[tuple[str, int]], now: float) -> None:
        """Drops estimates of stopped servers, and old ones received from others.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        self._received = {
            source: received
            for source, received in self._received.items()
            if now - received[0] < PEER_SPEEDS_EXPIRY_S
        }
        for table in (self._own, self._merged):
            for incarnation in table.keys() - alive:
                del table[incarnation]
