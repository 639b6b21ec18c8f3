"""Ways in which entries may share a limit: each decides at one entry when to send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from cornelpin.gateway.limit_coordinator import LimitCoordinator
from cornelpin.platform import read_response
from cornelpin.scheduling.servers import BackendServer

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from benchmarks.limits.network import Network, Node
    from cornelpin.scheduling.quota import FleetView

SERVER = BackendServer("limited", "app", ("h", 1), "dc0", slots=8, started_ms=1)
REPORT_INTERVAL_S = 0.05
"""Shortest time between two reports of an entry's use."""
USE_WINDOW_S = 2.0
"""Window of the recent use by which shares are divided."""
MIN_SHARE = 0.25
"""Part of an equal share that an entry without recent use keeps."""

WAYS: dict[str, Callable[[Network, Node, float], Way]] = {}


class Way(Protocol):
    """One entry's decisions on when to send to the limited server."""

    def take(self, waiting: int) -> bool:
        """Returns whether one of the waiting requests is sent now."""

    def stop(self) -> None:
        """Ends what runs in the background; the entry has stopped."""


def way(name: str) -> Callable[[Any], Any]:
    """Registers a way of sharing a limit under a name."""

    def register(cls: Any) -> Any:
        WAYS[name] = cls
        return cls

    return register


class _Shares:
    """A bucket of this entry's own, refilled at its share of the limit."""

    def __init__(self, net: Network, node: Node, limit_per_s: float) -> None:
        self.net, self.node, self.limit_per_s = net, node, limit_per_s
        self._level, self._at = 0.0, net.sim.now

    def stop(self) -> None:
        """Does nothing."""

    def take(self, waiting: int) -> bool:
        now = self.net.sim.now
        self._level = min(1.0, self._level + (now - self._at) * self.rate_per_s())
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        self.sent()
        return True

    def rate_per_s(self) -> float:
        raise NotImplementedError

    def sent(self) -> None:
        """Takes note of a send."""


@way("equal shares")
class EqualShares(_Shares):
    """Each live entry has the same share."""

    def rate_per_s(self) -> float:
        """Returns the limit divided by the number of entries."""
        return self.limit_per_s / self.net.fleet_view(self.node).known


@way("shares by use")
class SharesByUse(_Shares):
    """Shares follow the recent requests of each entry, served or not."""

    def __init__(self, net: Network, node: Node, limit_per_s: float) -> None:
        super().__init__(net, node, limit_per_s)
        self._wanted: list[float] = []
        self._reports: dict[str, int] = {}
        self._reported_at = float("-inf")
        node.receive = self._receive

    def _receive(self, host: str, content: int) -> None:
        self._reports[host] = content

    def take(self, waiting: int) -> bool:
        """Counts the demand, reports it, and takes from the own bucket."""
        now = self.net.sim.now
        self._wanted.append(now)
        self._wanted = [at for at in self._wanted if now - at < USE_WINDOW_S]
        if now - self._reported_at > 4 * REPORT_INTERVAL_S:
            self._reported_at = now
            self.net.broadcast(self.node, len(self._wanted))
        return super().take(waiting)

    def rate_per_s(self) -> float:
        """Returns the limit times this entry's part of the known demand."""
        known = self.net.fleet_view(self.node).known
        own = len(self._wanted)
        total = own + sum(self._reports.values())
        part = own / total if total else 1 / known
        return self.limit_per_s * ((1 - MIN_SHARE) * part + MIN_SHARE / known)


@way("counted buckets")
class CountedBuckets:
    """Each entry has a replica of one bucket and subtracts the others' reported use."""

    def __init__(self, net: Network, node: Node, limit_per_s: float) -> None:
        self.net, self.node, self.limit_per_s = net, node, limit_per_s
        self._level, self._at = 0.0, net.sim.now
        self._used = 0
        self._totals: dict[str, int] = {}
        self._report_due = False
        node.receive = self._receive

    def stop(self) -> None:
        """Does nothing; a report that is due is still sent."""

    def _receive(self, host: str, content: int) -> None:
        self._level -= max(0, content - self._totals.get(host, 0))
        self._totals[host] = max(content, self._totals.get(host, 0))

    def take(self, waiting: int) -> bool:
        """Takes from the replica and reports the use soon after."""
        now = self.net.sim.now
        self._level = min(1.0, self._level + (now - self._at) * self.limit_per_s)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        self._used += 1
        if not self._report_due:
            self._report_due = True
            self.net.sim.call_later(REPORT_INTERVAL_S, self._report)
        return True

    def _report(self) -> None:
        self._report_due = False
        self.net.broadcast(self.node, self._used)


class _Transport:
    """Connects a coordinator to the simulated network."""

    def __init__(self, net: Network, node: Node) -> None:
        self._net, self._node = net, node
        self.host = node.host

    def live_hosts(self) -> Mapping[str, str]:
        """Returns the data centre of each live entry."""
        return self._net.live(self._node)

    def fleet_view(self) -> FleetView:
        """Returns the numbers of entries."""
        return self._net.fleet_view(self._node)

    def send_permits(self, host: str, message: dict[str, Any]) -> None:
        """Sends a message about permits."""
        self._net.send(self._node, host, message)


@way("one issuer")
class OneIssuer:
    """The way that is used: the coordinator of the gateway."""

    TICK_S = 0.05

    def __init__(self, net: Network, node: Node, limit_per_s: float) -> None:
        self.net = net
        self.coordinator = LimitCoordinator(
            _Transport(net, node),
            lambda server_id: SERVER,
            flush=lambda: None,
            on_change=lambda: None,
            clock=lambda: net.sim.now,
        )
        header = (b"Server-Limit", f"{limit_per_s}".encode())
        info = read_response(200, [header])
        self.coordinator.observe(SERVER, info, net.sim.now)
        node.receive = self.coordinator.receive
        self._stopped = False
        self._tick()

    def stop(self) -> None:
        """Ends the ticks."""
        self._stopped = True

    def _tick(self) -> None:
        if self._stopped:
            return
        self.coordinator.tick()
        self.net.sim.call_later(self.TICK_S, self._tick)

    def take(self, waiting: int) -> bool:
        """Uses a permit, or asks for some."""
        now = self.net.sim.now
        if self.coordinator.permits(SERVER, now):
            self.coordinator.take(SERVER, now)
            return True
        if self.coordinator.may_ask(SERVER, now):
            self.coordinator.ask(SERVER, waiting, 1.0, now)
        return False
