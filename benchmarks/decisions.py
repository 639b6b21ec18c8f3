"""Measures how the cost of a scheduling decision grows with the fleet.

Run it with ``python -m benchmarks.decisions``. It prints the time of one placement at
an entry (``cornelpin.daemon``) and of choosing the subset of sides, for fleets of 10
to 5,000 sides. ``benchmarks.placements`` measures the gateway's dispatcher instead.
"""

from __future__ import annotations

import time
import types
from typing import Any

from cornelpin.core.affinity import prefix_digests
from cornelpin.core.subsetting import subset
from cornelpin.core.tickets import Request, Ticket
from cornelpin.daemon.endpoints import Endpoint
from cornelpin.daemon.links import Link
from cornelpin.daemon.messages import Heartbeat
from cornelpin.daemon.placement import Placement
from cornelpin.daemon.preferences import Preferences

FLEETS = (10, 100, 1_000, 5_000)
DATA_CENTRES = 3
DECISIONS = 2_000
PREFIXES = 40
PROMPT_REPEATS = 120
US_PER_S = 1_000_000
MS_PER_S = 1_000
# Number, leaving, slots, free (none), waiting, versions and token_s of a busy side.
BUSY = Heartbeat(1, False, 8, 0, 3, [], 0.02)


def build_links(fleet: int) -> list[Link]:
    """Returns the links of an entry to its subset of sides; no side has a free slot."""
    servers = {f"s{i}": f"dc-{i % DATA_CENTRES}" for i in range(fleet)}
    links = [Link(name, Endpoint("", "")) for name in subset("e1", "dc-0", servers)]
    for link in links:
        link.set_session(_fake_session(link.name))
        link.on_state(BUSY)
    return links


def _fake_session(name: str) -> Any:
    return types.SimpleNamespace(
        name=name, incarnation="1", last_ping_at=None, send=lambda msg: None
    )


def placement_us(fleet: int, prefixes: int = 0) -> float:
    """Returns the mean time of one placement in microseconds.

    Args:
        fleet: Number of sides.
        prefixes: Number of distinct prompt prefixes; 0 for empty prompts.
    """
    links = build_links(fleet)
    preferences = Preferences()
    # After the ticket: candidates, choose_version, must_run_alone, preferences, wait_s.
    placements = [
        Placement(
            _fake_process(),
            Ticket(_request(i, prefixes)),
            lambda route: links,
            _keep_version,
            lambda req: False,
            preferences,
            60.0,
        )
        for i in range(DECISIONS)
    ]
    started = time.perf_counter()
    for placement in placements:
        placement.place(direct=True)
    return (time.perf_counter() - started) / DECISIONS * US_PER_S


def subset_ms(fleet: int) -> float:
    """Returns the time to choose the subset of sides in milliseconds."""
    servers = {f"s{i}": f"dc-{i % DATA_CENTRES}" for i in range(fleet)}
    started = time.perf_counter()
    subset("e1", "dc-0", servers)
    return (time.perf_counter() - started) * MS_PER_S


def _fake_process() -> Any:
    """Returns a process whose ring buffer of timeline events records nothing."""
    ring = types.SimpleNamespace(record=lambda *args, **kwargs: None)
    return types.SimpleNamespace(ring=ring)


def _keep_version(ticket: Ticket, links: list[Link]) -> None:
    """Leaves the version of a request unchanged."""


def _request(number: int, prefixes: int) -> Request:
    shared = f"prefix {number % prefixes} " if prefixes else ""
    prompt = (shared * PROMPT_REPEATS).encode()
    return Request(
        request_id=f"r{number}",
        workspace="w",
        route="route",
        tier="tier",
        kind="model",
        method="POST",
        path="/",
        headers={},
        body=b"",
        cost=1,
        deadline=time.monotonic() + 60.0,
        max_wait_s=60.0,
        prefix=prefix_digests("w", prompt),
        prompt_bytes=len(prompt),
    )


def main() -> None:
    """Prints one row per fleet size."""
    print(
        f"{'sides':>6}{'links':>7}{'placement us':>14}{'with prefix us':>16}"
        f"{'subset ms':>11}"
    )
    for fleet in FLEETS:
        print(
            f"{fleet:>6}{len(build_links(fleet)):>7}"
            f"{placement_us(fleet):>14.1f}"
            f"{placement_us(fleet, PREFIXES):>16.1f}{subset_ms(fleet):>11.2f}"
        )


if __name__ == "__main__":
    main()
