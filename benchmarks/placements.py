"""Measures the cost of one placement by the gateway's dispatcher.

Run it with ``python -m benchmarks.placements``; it prints the processor time of a
placement by the number of servers. The gateway (``cornelpin.gateway``) chooses the
server itself; ``benchmarks.decisions`` measures an entry of the daemon, which chooses
sides.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import click
import msgpack

from cornelpin.gateway.limit_coordinator import LimitCoordinator
from cornelpin.scheduling.decisions import Placement
from cornelpin.scheduling.dispatcher import Dispatcher
from cornelpin.scheduling.jobs import Job
from cornelpin.scheduling.quota import FleetView
from cornelpin.scheduling.routing import Route, RouteKind
from cornelpin.scheduling.servers import BackendServer
from cornelpin.scheduling.subsetting import ServerSubsets

if TYPE_CHECKING:
    from collections.abc import Mapping

SIZES = (10, 22, 100, 300, 1_000)
LIMITED = (
    (60, 0, 68),
    (60, 30, 68),
    (60, 59, 68),
    (4_600, 0, 1_400),
    (4_600, 2_300, 1_400),
)
"""Servers, those of them with limits, and entries."""
PLACEMENTS = 300
# Name, host, path prefix, backends, kind, timeout_s and objective_s.
ROUTE = Route(
    "r", "h", "/r/", (("app", 1.0),), RouteKind.STREAM, 15.0, 0.8, max_event_gap_s=0.4
)


class _NoPeers:
    """View of the peers for an entry without peers."""

    silent_data_centres: frozenset[str] = frozenset()

    def in_flight(self, server_id: str) -> tuple[int, int]:
        return 0, 0

    def queue_scores(self, service: str) -> list[float]:
        return []

    def remote_age_s(self) -> float:
        return 0.0


class _Fleet:
    """Entries whose messages are lost.

    Args:
        entries: Number of entries.
    """

    host = "front-1"

    def __init__(self, entries: int) -> None:
        self._entries = entries
        self.sent_bytes = 0

    def live_hosts(self) -> Mapping[str, str]:
        """Returns entries of eight data centres."""
        return {f"front-{n}": f"dc{n % 8}" for n in range(self._entries)}

    def fleet_view(self) -> FleetView:
        """Returns the number of entries."""
        return FleetView(self._entries, self._entries)

    def send_permits(self, host: str, message: dict[str, Any]) -> None:
        """Counts the bytes of a message."""
        self.sent_bytes += len(msgpack.packb(message, use_single_float=True))


class _Clock:
    """Time of the measurement, in seconds."""

    now = 99.0


def measure(size: int, *, limited: int = 0, entries: int = 1) -> tuple[float, float]:
    """Measures placements.

    Args:
        size: Number of servers.
        limited: How many of them name a limit of two requests a second.
        entries: Number of entries.

    Returns:
        Processor time of a placement and its release in milliseconds, and bytes of
        messages about permits per placement, without the sender's fields.
    """
    # Id, service, address and data centre.
    servers = [
        BackendServer(f"i-{n}", "app", ("h", 1), "here", slots=9) for n in range(size)
    ]
    listed = {server.id: server for server in servers}
    subsets = ServerSubsets("front-1", "here")
    fleet, clock = _Fleet(entries), _Clock()
    coordinator = LimitCoordinator(
        fleet,
        listed.get,
        flush=lambda: None,
        on_change=lambda: None,
        clock=lambda: clock.now,
    )
    for server in servers[:limited]:
        coordinator.limits.observe(server.incarnation, 2.0, sent_at=98.0, now=99.0)
    dispatcher = Dispatcher(
        permits=coordinator,
        servers=lambda service, now: subsets.of_service(service, listed),
        peers=_NoPeers(),
        connected=lambda server: True,
        data_centre="here",
    )
    started = time.process_time()
    for number in range(PLACEMENTS):
        now = clock.now = 100.0 + 0.01 * number
        # Request id, route, service, priority ranks, arrival and deadline.
        job = Job(str(number), ROUTE, "app", (0, 0), now, now + 15, prompt_tokens=600)
        dispatcher.offer(job, now)
        for placed_job, placement in dispatcher.dispatch("app", now):
            # With limits on all servers of the subset, requests are refused.
            if isinstance(placement, Placement):
                dispatcher.release(placed_job, placement, now)
    took_ms = 1e3 * (time.process_time() - started) / PLACEMENTS
    return took_ms, fleet.sent_bytes / PLACEMENTS


@click.command()
def main() -> None:
    """Prints the cost of a placement for each number of servers and of limits."""
    for size in SIZES:
        click.echo(f"{size:>6} servers {measure(size)[0]:7.3f} ms")
    for size, limited, entries in LIMITED:
        took_ms, sent = measure(size, limited=limited, entries=entries)
        click.echo(
            f"{size:>6} servers, {limited} with limits, {entries} entries"
            f" {took_ms:7.3f} ms, {sent:.0f} B"
        )


if __name__ == "__main__":
    main()
