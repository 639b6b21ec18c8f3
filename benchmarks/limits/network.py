"""Entries that exchange messages over a simulated network with faults."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import attrs

from benchmarks.replay.simulation import Simulation
from cornelpin.scheduling.quota import FleetView

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT_S = 0.4
LIVENESS_S = 1.5
EXPIRY_S = 15.0
"""Heartbeats, liveness and expiry of peers, as in ``cornelpin.gateway.peers``."""
DATA_CENTRES = 3


@attrs.frozen
class Faults:
    """Faults of the network.

    Attributes:
        delay_s: Range of delays, drawn for each message.
        loss: Part of the messages that are lost.
        cut: Beginning and end of a partition in seconds; None for none.
        cut_share: Part of the entries on one side of the partition.
    """

    delay_s: tuple[float, float] = (0.001, 0.004)
    loss: float = 0.0
    cut: tuple[float, float] | None = None
    cut_share: float = 0.5


@attrs.define
class Node:
    """One entry of the simulated fleet.

    Attributes:
        index: Its number.
        host: Its name.
        data_centre: Its data centre.
        started: Simulated time of its last start.
        heard: Time of the last message of each peer.
        lost: Expired peers that may be running on the other side of a partition.
        receive: Handles a message: sender and content.
    """

    index: int
    host: str
    data_centre: str
    started: float = 0.0
    heard: dict[str, float] = attrs.field(factory=dict)
    lost: set[str] = attrs.field(factory=set)
    receive: Callable[[str, Any], None] = attrs.field(
        default=lambda host, content: None
    )


class Network:
    """A fleet of entries and the messages between them.

    Attributes:
        sim: The simulated clock.
        nodes: The entries by host.
        messages: Number of messages sent, without heartbeats.
    """

    def __init__(self, entries: int, faults: Faults, seed: int) -> None:
        self.sim = Simulation()
        self.rng = random.Random(seed)
        self.messages = 0
        self._faults = faults
        self.nodes = {
            f"e{i}": Node(i, f"e{i}", f"dc{i % DATA_CENTRES}") for i in range(entries)
        }
        for node in self.nodes.values():
            node.heard = dict.fromkeys(self.nodes.keys() - {node.host}, 0.0)
            self._schedule_beat(node, self.rng.uniform(0, HEARTBEAT_S))

    def send(self, sender: Node, host: str, content: Any) -> None:
        """Sends a message to one entry."""
        self.messages += 1
        self._deliver(sender, host, content)

    def broadcast(self, sender: Node, content: Any) -> None:
        """Sends a message to all other entries."""
        for host in self.nodes:
            if host != sender.host:
                self.send(sender, host, content)

    def _deliver(self, sender: Node, host: str, content: Any) -> None:
        if self.rng.random() < self._faults.loss or self._is_cut(sender, host):
            return
        receiver = self.nodes[host]

        def arrive() -> None:
            receiver.heard[sender.host] = self.sim.now
            receiver.lost.discard(sender.host)
            if content is not None:
                receiver.receive(sender.host, content)

        self.sim.call_later(self.rng.uniform(*self._faults.delay_s), arrive)

    def _is_cut(self, sender: Node, host: str) -> bool:
        cut = self._faults.cut
        if cut is None or not cut[0] <= self.sim.now < cut[1]:
            return False
        first = self._faults.cut_share * len(self.nodes)
        return (sender.index < first) != (self.nodes[host].index < first)

    def _beat(self, node: Node) -> None:
        for host in self.nodes:
            if host != node.host:
                self._deliver(node, host, None)
        for host, at in list(node.heard.items()):
            if self.sim.now - at > EXPIRY_S:
                del node.heard[host]
                node.lost.add(host)
        fleet = self.fleet_view(node)
        if 2 * fleet.heard > fleet.all_entries:
            node.lost.clear()
        self._schedule_beat(node, HEARTBEAT_S)

    def _schedule_beat(self, node: Node, delay_s: float) -> None:
        self.sim.call_later(delay_s, lambda: self._beat(node))

    def live(self, node: Node) -> dict[str, str]:
        """Returns the data centre of each entry that is live to a node."""
        hosts = [h for h, at in node.heard.items() if self.sim.now - at < LIVENESS_S]
        return {h: self.nodes[h].data_centre for h in [*hosts, node.host]}

    def fleet_view(self, node: Node) -> FleetView:
        """Returns the numbers of entries as a node sees them."""
        return FleetView(len(self.live(node)), 1 + len(node.heard), len(node.lost))

    def restart(self, node: Node) -> None:
        """Restarts an entry, which hears its peers again within milliseconds."""
        node.started = self.sim.now
        node.lost = set()
