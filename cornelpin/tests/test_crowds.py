"""Crowds of clients that do not behave, at each address that listens.

The checks do not depend on the speed of the machine: the process lives, its memory and
its descriptors stay under its limits, and ordinary callers get their responses.
"""

from __future__ import annotations

import asyncio
import socket

import attrs
import pytest

from cornelpin.tests.crowd_bed import (
    CALLERS,
    FILES,
    MAX_FDS,
    MEMORY_MB,
    METRICS,
    MIB,
    READY,
    SNAPSHOTS,
    CrowdBed,
    run_crowd_bed,
)
from cornelpin.tests.crowds import KINDS, PATIENT, Crowd, Door, Kind, datagrams

pytestmark = pytest.mark.isolated

CROWD_S = 4.0
"""Time for which a crowd sends at most."""
SLOW_S = 60.0
"""Response time of a slow server."""
PATHS = {"route": "/safe/x", "none": "/nothing/x", "readiness": "/-/readiness"}
LISTENERS = {"callers": CALLERS, "ready": READY, "metrics": METRICS}
DOORS = [
    *((listener, path) for listener in LISTENERS for path in PATHS.values()),
    ("metrics", "/status"),
]


async def check_crowd(bed: CrowdBed, kind: Kind, door: Door) -> None:
    """Lets a crowd come and checks what holds meanwhile and afterwards."""
    crowd = Crowd(kind, door)
    try:
        await crowd.run(CROWD_S)
        assert bed.entry.running
        assert await bed.ordinary_request_is_answered(), "beside the crowd"
        assert await bed.is_ready(), "beside the crowd"
    finally:
        await crowd.close()
    assert await bed.ordinary_request_is_answered(), "after the crowd"
    assert bed.entry.running
    assert bed.peak_bytes < MEMORY_MB * MIB
    assert bed.peak_sockets <= MAX_FDS - FILES


@pytest.mark.parametrize(("listener", "path"), DOORS)
@pytest.mark.parametrize("kind", KINDS)
def test_crowd_leaves_the_process_and_its_callers_alone(
    kind: str, listener: str, path: str
) -> None:
    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            await check_crowd(bed, KINDS[kind], bed.door(LISTENERS[listener], path))

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", KINDS)
def test_crowd_at_the_address_for_other_entries(kind: str) -> None:
    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            await check_crowd(bed, KINDS[kind], bed.door(SNAPSHOTS))

    asyncio.run(scenario())


@pytest.mark.parametrize(("slots", "crowds"), [(1, 1), (4, 3), (1_000, 1), (1_000, 2)])
def test_crowd_that_waits_for_a_slow_server(slots: int, crowds: int) -> None:
    """Its requests are queued, or run, for longer than ordinary callers try again."""

    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            server = bed.fleet.servers[0]
            server.behaviour.raw = None
            server.behaviour.answer_s = SLOW_S
            server.slots = slots
            bed.fleet.register_server(server)
            door = bed.door(CALLERS, PATHS["route"])
            door = attrs.evolve(door, deadline_ms=int(1e3 * SLOW_S))
            earlier = [Crowd(PATIENT, door) for _ in range(crowds - 1)]
            for crowd in earlier:
                await crowd.run(CROWD_S)
            await check_crowd(bed, PATIENT, door)
            for crowd in earlier:
                await crowd.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("content", ["in_flight", "keys", "used", "shares", "ips"])
def test_datagrams_of_unknown_hosts(content: str) -> None:
    async def scenario() -> None:
        async with run_crowd_bed() as bed:
            address = bed.door(SNAPSHOTS).address
            with socket.socket(type=socket.SOCK_DGRAM) as sock:
                for data in datagrams(content):
                    sock.sendto(data, address)
                    await asyncio.sleep(0)
                assert await bed.ordinary_request_is_answered()
                assert await bed.is_ready()
            assert bed.entry.running
            assert bed.peak_bytes < MEMORY_MB * MIB

    asyncio.run(scenario())
