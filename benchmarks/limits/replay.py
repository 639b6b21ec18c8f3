"""Replays of a load on one limited server, and what the server gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from benchmarks.limits.network import Faults, Network
from benchmarks.limits.ways import WAYS

if TYPE_CHECKING:
    from benchmarks.limits.network import Node
    from benchmarks.limits.ways import Way

STEP_S = 0.01
"""Time between two looks of an entry at its queue."""
WAIT_S = 1.0
"""Time for which a request waits for the server."""
WINDOW_S = 4.0
"""Window of the platform's rule on limits."""
SETTLE_S = 1.0
"""Time from the beginning that is not counted."""


@attrs.frozen
class Load:
    """A load on the limited server.

    Attributes:
        entries: Number of entries.
        limit_per_s: Limit that the server names.
        demand: Requests for it, as a multiple of the limit.
        busy: Entries at which these arrive; the others have none.
        restart_every_s: Time between the restarts of single entries; zero for none.
        faults: Faults of the network.
        duration_s: Length in seconds.
    """

    entries: int
    limit_per_s: float
    demand: float = 3.0
    busy: int = 10_000
    restart_every_s: float = 0.0
    faults: Faults = Faults()
    duration_s: float = 60.0


LATE = Faults(delay_s=(0.001, 0.5), loss=0.2)
LOADS = {
    "even": Load(6, 1.8),
    "at one entry": Load(6, 1.8, busy=1),
    "under the limit": Load(6, 10.0, demand=0.7),
    "late, lost reports": Load(6, 1.8, faults=LATE),
    "restarts": Load(6, 10.0, restart_every_s=2.0),
    "cut in halves": Load(6, 10.0, faults=Faults(cut=(10.0, 50.0))),
    "two cut off": Load(6, 10.0, faults=Faults(cut=(10.0, 50.0), cut_share=0.33)),
    "68 entries, 0.5/s": Load(68, 0.5),
    "68, 0.5/s, at one": Load(68, 0.5, busy=1),
    "68, 0.5/s, late": Load(68, 0.5, faults=LATE),
    "68, 0.5/s, 400 asked": Load(68, 0.5, demand=800.0, duration_s=20.0),
}


@attrs.frozen
class Result:
    """What the server got.

    Attributes:
        used: Requests per second, as a part of the limit.
        most: Most requests in a window, as a multiple of what the limit allows there.
        most_requests: The same in requests.
        messages_per_s: Messages per second among the entries, without heartbeats.
    """

    used: float
    most: float
    most_requests: int
    messages_per_s: float


def replay(load: Load, way: str, seed: int = 1) -> Result:
    """Replays a load with one way of sharing the limit."""
    net = Network(load.entries, load.faults, seed)
    nodes = list(net.nodes.values())
    ways = {node.host: WAYS[way](net, node, load.limit_per_s) for node in nodes}
    arrivals: list[float] = []
    busy = nodes[: load.busy]
    for node in busy:
        rate = load.demand * load.limit_per_s / len(busy)
        _Client(net, node, ways, rate, arrivals).start()
    if load.restart_every_s:
        _restart_in_turn(net, ways, way, load)
    net.sim.run_until(load.duration_s)
    counted = [at for at in arrivals if at >= SETTLE_S]
    most = max(
        (sum(1 for t in counted if at <= t < at + WINDOW_S) for at in counted),
        default=0,
    )
    return Result(
        used=len(counted) / (load.duration_s - SETTLE_S) / load.limit_per_s,
        most=most / (WINDOW_S * load.limit_per_s),
        most_requests=most,
        messages_per_s=net.messages / load.duration_s,
    )


class _Client:
    """Requests that arrive at one entry for the limited server."""

    def __init__(
        self,
        net: Network,
        node: Node,
        ways: dict[str, Way],
        rate_per_s: float,
        arrivals: list[float],
    ) -> None:
        self._net, self._node, self._ways = net, node, ways
        self._rate_per_s = rate_per_s
        self._arrivals = arrivals
        self._waiting: list[float] = []

    def start(self) -> None:
        """Schedules the first request and the first step."""
        self._next_request()
        self._step()

    def _next_request(self) -> None:
        gap_s = self._net.rng.expovariate(self._rate_per_s)
        self._net.sim.call_later(gap_s, self._on_request)

    def _on_request(self) -> None:
        self._waiting.append(self._net.sim.now)
        self._next_request()

    def _step(self) -> None:
        now = self._net.sim.now
        self._waiting = [at for at in self._waiting if now - at < WAIT_S]
        while self._waiting and self._ways[self._node.host].take(len(self._waiting)):
            self._waiting.pop(0)
            self._arrivals.append(now)
        self._net.sim.call_later(STEP_S, self._step)


def _restart_in_turn(net: Network, ways: dict[str, Way], way: str, load: Load) -> None:
    hosts = list(net.nodes)

    def restart(number: int) -> None:
        node = net.nodes[hosts[number % len(hosts)]]
        net.restart(node)
        ways[node.host].stop()
        ways[node.host] = WAYS[way](net, node, load.limit_per_s)
        net.sim.call_later(load.restart_every_s, lambda: restart(number + 1))

    net.sim.call_later(load.restart_every_s, lambda: restart(0))
