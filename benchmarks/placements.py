"""Measures the cost of one placement by the gateway's dispatcher.

Run it with ``python -m benchmarks.placements``; it prints the processor time of a
placement by the number of servers. The gateway (``cornelpin.gateway``) chooses the
server itself; ``benchmarks.decisions`` measures an entry of the daemon, which chooses
sides.
"""

from __future__ import annotations

import time

import click

from cornelpin.scheduling.decisions import Placement
from cornelpin.scheduling.dispatcher import Dispatcher
from cornelpin.scheduling.jobs import Job
from cornelpin.scheduling.routing import Route, RouteKind
from cornelpin.scheduling.servers import BackendServer
from cornelpin.scheduling.subsetting import ServerSubsets

SIZES = (10, 22, 100, 300, 1_000)
PLACEMENTS = 300
# Name, host, path prefix, backends, kind, timeout_s and objective_s.
ROUTE = Route(
    "r", "h", "/r/", (("app", 1.0),), RouteKind.STREAM, 15.0, 0.8, max_event_gap_s=0.4
)


class _NoPeers:
    """View of the peers for an entry without peers."""

    def in_flight(self, server_id: str) -> tuple[int, int]:
        return 0, 0

    def queue_scores(self, service: str) -> list[float]:
        return []

    def remote_age_s(self) -> float:
        return 0.0


def measure(size: int) -> float:
    """Returns the processor time of a placement and its release in milliseconds."""
    # Id, service, address and data centre.
    servers = [
        BackendServer(f"i-{n}", "app", ("h", 1), "here", slots=9) for n in range(size)
    ]
    listed = {server.id: server for server in servers}
    subsets = ServerSubsets("front-1", "here")
    dispatcher = Dispatcher(
        servers=lambda service, now: subsets.of_service(service, listed),
        peers=_NoPeers(),
        connected=lambda server: True,
        data_centre="here",
    )
    started = time.process_time()
    for number in range(PLACEMENTS):
        now = 100.0 + number
        # Request id, route, service, priority ranks, arrival and deadline.
        job = Job(str(number), ROUTE, "app", (0, 0), now, now + 15, prompt_tokens=600)
        dispatcher.offer(job, now)
        for placed_job, placement in dispatcher.dispatch("app", now):
            assert isinstance(placement, Placement)
            dispatcher.release(placed_job, placement, now)
    return 1e3 * (time.process_time() - started) / PLACEMENTS


@click.command()
def main() -> None:
    """Prints the cost of a placement for each number of servers."""
    for size in SIZES:
        click.echo(f"{size:>6} servers {measure(size):7.3f} ms")


if __name__ == "__main__":
    main()
