"""Crowds of clients that do not behave, at the addresses of the daemon.

The checks are those of ``test_crowds``.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import TYPE_CHECKING

import attrs
import pytest

from benchmarks.waiting import wait_until
from cornelpin.tests.crowds import (
    BROKEN_FRAMES,
    KINDS,
    LARGE_FRAMES,
    NESTED_JSON,
    PATIENT,
    Crowd,
    Door,
    Kind,
)
from cornelpin.tests.daemon_crowd_bed import (
    ENTRY,
    FILES,
    MAX_FDS,
    MEMORY_MB,
    MIB,
    ROUTE,
    SERVICE,
    LimitedTestbed,
    Probe,
    deployment,
)
from standins.service import CONTROL_PREFIX

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

pytestmark = pytest.mark.isolated

SEED = 47
CROWD_S = 4.0
"""Time for which a crowd sends at most."""
SLOW = 10_000.0
"""Factor on the response time of a slow service: longer than its callers wait."""
WAIT_S = 120.0
"""Time for which the callers of a slow service wait."""
LOG_TIMEOUT_S = 30.0
MOST_LINES = 10
"""Log lines that a crowd may cause: far fewer than it has clients."""
SIDE = f"side-{SERVICE}"
# Process and path; no path for the address for other processes.
DOORS = {
    "route": (ENTRY, ROUTE),
    "none": (ENTRY, "/nothing/x"),
    "readiness": (ENTRY, "/readyz"),
    "peers": (ENTRY, None),
    "side_none": (SIDE, "/nothing/x"),
    "side_readiness": (SIDE, "/readyz"),
    "side_peers": (SIDE, None),
}


class Beds:
    """The testbed of these tests; a new one after a test that failed."""

    def __init__(self) -> None:
        self._bed: LimitedTestbed | None = None

    def get(self) -> LimitedTestbed:
        """Returns the testbed, started."""
        if self._bed is None:
            bed = LimitedTestbed(deployment(), seed=SEED)
            bed.__enter__()
            self._bed = bed
        return self._bed

    def drop(self) -> None:
        """Ends the testbed."""
        if self._bed is not None:
            self._bed.close()
            self._bed.remove_folder()
        self._bed = None


@pytest.fixture(scope="module")
def beds() -> Iterator[Beds]:
    beds = Beds()
    yield beds
    beds.drop()


@contextlib.asynccontextmanager
async def within_limits(probe: Probe) -> AsyncIterator[None]:
    """Checks that a process lives and keeps its limits within the context."""
    measuring = asyncio.ensure_future(probe.measure())
    yield
    measuring.cancel()
    assert probe.running
    assert probe.peak_bytes < MEMORY_MB * MIB
    assert probe.peak_sockets <= MAX_FDS - FILES


async def check_crowd(probe: Probe, crowd: Crowd) -> None:
    """Lets a crowd come and checks what holds meanwhile and afterwards."""
    async with within_limits(probe):
        try:
            await crowd.run(CROWD_S)
            assert probe.running
            assert await probe.ordinary_request_is_answered(), "beside the crowd"
            assert await probe.is_ready(), "beside the crowd"
        finally:
            await crowd.close()
        assert await probe.ordinary_request_is_answered(), "after the crowd"


def run_crowd(beds: Beds, kind: Kind, name: str, path: str | None) -> None:
    """Runs a crowd at a door of a process; a failure ends the testbed."""
    try:
        probe = Probe(beds.get(), name)
        door = probe.door(path or "/", peers=path is None)
        asyncio.run(check_crowd(probe, Crowd(kind, door)))
    except BaseException:
        beds.drop()
        raise


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("kind", KINDS)
def test_crowd_leaves_the_daemon_and_its_callers_alone(
    kind: str, door: str, beds: Beds
) -> None:
    run_crowd(beds, KINDS[kind], *DOORS[door])


@pytest.mark.parametrize("name", [ENTRY, SIDE])
def test_large_frames_before_a_proof_of_the_key(name: str, beds: Beds) -> None:
    run_crowd(beds, LARGE_FRAMES, name, None)


@pytest.mark.parametrize("path", ["/v1/completions", "/v1/chat/completions"])
def test_documents_that_are_large_when_decoded(path: str, beds: Beds) -> None:
    run_crowd(beds, NESTED_JSON, ENTRY, path)


LOGGED = [
    # Process, path, crowd, and the text of the log lines it causes.
    (ENTRY, ROUTE, KINDS["silent_connections"], "short of memory or connections"),
    (SIDE, "/readyz", KINDS["silent_connections"], "short of memory or connections"),
    (ENTRY, None, BROKEN_FRAMES, "protocol error"),
    (SIDE, None, BROKEN_FRAMES, "protocol error"),
]


@pytest.mark.parametrize(("name", "path", "kind", "text"), LOGGED)
def test_crowd_is_logged_in_few_lines(
    name: str, path: str | None, kind: Kind, text: str, beds: Beds
) -> None:
    log = beds.get().processes[name].stderr_path
    before = log.read_text().count(text)
    run_crowd(beds, kind, name, path)
    wait_until(
        lambda: log.read_text().count(text) > before, LOG_TIMEOUT_S, "a line is logged"
    )
    assert log.read_text().count(text) - before <= MOST_LINES


@pytest.mark.parametrize("name", [ENTRY, SIDE])
def test_closed_connections_have_a_metric(name: str, beds: Beds) -> None:
    run_crowd(beds, KINDS["silent_connections"], name, "/readyz")
    text = asyncio.run(Probe(beds.get(), name).metrics())
    closed = re.search(r'cornelpin_http_shortages\S*kind="closed"\S* (\S+)', text)
    assert closed is not None
    assert float(closed[1]) > 0.0


@pytest.mark.parametrize("crowds", [1, 2])
def test_crowd_that_waits_for_a_slow_service(crowds: int) -> None:
    with LimitedTestbed(deployment(max_wait_s=WAIT_S), seed=SEED) as bed:
        bed.client(SERVICE).call("POST", f"{CONTROL_PREFIX}faults", {"slow": SLOW})
        probe = Probe(bed, ENTRY)
        door = probe.door(ROUTE)
        timeout = b"X-Cornelpin-Timeout-S: %d" % WAIT_S
        door = attrs.evolve(door, fields=(*door.fields, timeout))
        asyncio.run(check_waiting_crowds(probe, door, crowds))


async def check_waiting_crowds(probe: Probe, door: Door, crowds: int) -> None:
    """Lets crowds come and wait; what does not need their service is answered."""
    waiting = [Crowd(PATIENT, door) for _ in range(crowds)]
    async with within_limits(probe):
        try:
            for crowd in waiting:
                await crowd.run(CROWD_S)
            assert probe.running
            assert await probe.is_ready(), "beside the crowd"
            assert await probe.models_are_listed(), "beside the crowd"
        finally:
            for crowd in waiting:
                await crowd.close()
        assert await probe.models_are_listed(), "after the crowd"
