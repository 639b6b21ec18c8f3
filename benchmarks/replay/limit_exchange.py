"""What the replayed entries tell each other of servers' limits."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.gateway.limit_coordinator import LimitCoordinator
from cornelpin.platform import read_response
from cornelpin.scheduling.quota import FleetView

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from benchmarks.replay.simulation import Simulation
    from cornelpin.scheduling.servers import BackendServer


class _Transport:
    """Messages of one entry, delayed by the network."""

    def __init__(self, exchange: LimitExchange, number: int) -> None:
        self._exchange = exchange
        self.host = str(number)

    def live_hosts(self) -> Mapping[str, str]:
        """Returns all entries, which are in one data centre."""
        return {str(n): "here" for n in range(self._exchange.entries)}

    def fleet_view(self) -> FleetView:
        """Returns the number of entries."""
        return FleetView(self._exchange.entries, self._exchange.entries)

    def send_permits(self, host: str, message: dict[str, Any]) -> None:
        """Sends a message to one entry."""
        self._exchange.send(self.host, int(host), message)


class LimitExchange:
    """Coordinators of the replayed entries.

    Args:
        sim: The simulated clock.
        servers: The servers.
        entries: Number of entries.
        gossip_delay_s: Delay until other entries know a limit.
        hop_s: One-way latency of other messages.
        dispatch: Dispatches the queue of an entry.

    Attributes:
        coordinators: One per entry.
    """

    def __init__(
        self,
        sim: Simulation,
        servers: list[BackendServer],
        entries: int,
        gossip_delay_s: float,
        hop_s: float,
        dispatch: Callable[[int], None],
    ) -> None:
        self.entries = entries
        self._sim = sim
        self._gossip_delay_s = gossip_delay_s
        self._hop_s = hop_s
        by_id = {server.id: server for server in servers}
        self.coordinators: list[LimitCoordinator] = []
        for number in range(entries):
            tell = functools.partial(self._tell, number)
            coordinator = LimitCoordinator(
                _Transport(self, number),
                by_id.get,
                flush=tell,
                on_change=tell,
                clock=lambda: sim.now,
            )
            use = functools.partial(dispatch, number)
            coordinator.on_permits = functools.partial(sim.call_later, 0.0, use)
            self.coordinators.append(coordinator)

    def restrict_cold(self, per_s: float) -> None:
        """Lets all entries know what a cold server takes, requests per second."""
        for coordinator in self.coordinators:
            coordinator.cold.configure({"engines": per_s})

    def register_cold(self, server: BackendServer, cold_s: float) -> None:
        """Registers a server that is cold; the entries know it after a delay."""
        registered = attrs.evolve(server, cold_s=cold_s)
        for coordinator in self.coordinators:
            register = functools.partial(coordinator.register, registered)
            self._sim.call_later(self._hop_s, register)

    def observe(
        self,
        entry: int,
        server: BackendServer,
        limit_per_s: float | None,
        sent_at: float,
    ) -> None:
        """Passes on what a response to an entry says about its server's limit."""
        headers = []
        if limit_per_s is not None:
            headers.append((b"Server-Limit", f"{limit_per_s}".encode()))
        info = read_response(200, headers)
        self.coordinators[entry].observe(server, info, sent_at)

    def send(self, sender: str, receiver: int, message: dict[str, Any]) -> None:
        """Delivers a message about permits."""
        receive = self.coordinators[receiver].receive
        self._sim.call_later(self._hop_s, lambda: receive(sender, message))

    def _tell(self, entry: int) -> None:
        observations = self.coordinators[entry].limits.take_unsent(self._sim.now)
        if not observations:
            return
        message = {"limits": observations}
        for number, coordinator in enumerate(self.coordinators):
            if number != entry:
                merge = functools.partial(coordinator.merge, message)
                self._sim.call_later(self._gossip_delay_s, merge)
