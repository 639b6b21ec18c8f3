"""Which ends of connections count as crashes of servers."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

import pytest

from cornelpin.http1.client import HttpConnection
from cornelpin.scheduling.crash_evidence import (
    MAX_CRASHED,
    MAX_SUSPECTED,
    SETTLE_S,
    SUSPICION_S,
    BrokenRun,
    CrashEvidence,
)
from cornelpin.scheduling.poison_parts import PoisonParts
from cornelpin.scheduling.poison_requests import PoisonDetector
from cornelpin.scheduling.servers import BackendServer, ServerList
from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry

SERVERS = 5
FORGET_S = 0.05
EJECTION_S = 0.8


async def ask(entry: Entry, number: int) -> Response:
    """Sends a request that shares the first part of its prompt with all others."""
    return await fetch(
        entry._settings.callers,
        f"/stream/{number}",
        method="POST",
        body=f"{number}".encode(),
        headers={"Prompt-Prefix": f"common:60,part{number}:60,own{number}:60"},
    )


def forget_connections(harness: Harness) -> None:
    for server in harness.servers:
        server.behaviour.forget_s = FORGET_S


def reset_requests(harness: Harness) -> None:
    for server in harness.servers:
        server.behaviour.fault = "crash"


@pytest.mark.parametrize("disturb", [forget_connections, reset_requests])
def test_reset_connections_do_not_quarantine_what_requests_share(disturb) -> None:
    """Guards against 503 for all requests of a kind after servers reset connections.

    The servers go on: none of them has crashed.
    """

    async def scenario() -> None:
        async with run_harness(entries=2, servers=SERVERS) as harness:
            entry = harness.entries[0]
            # No answer shows to this entry that the shared part is sound.
            for round_ in range(3):
                await asyncio.gather(
                    *(
                        fetch(entry._settings.callers, f"/safe/{round_}.{n}")
                        for n in range(3 * SERVERS)
                    )
                )
            disturb(harness)
            await asyncio.sleep(2 * FORGET_S)
            responses = await asyncio.gather(
                *(ask(entry, number) for number in range(2 * SERVERS))
            )
            assert sum(response.status == 502 for response in responses) >= 3
            for server in harness.servers:
                server.behaviour.fault = ""
                server.behaviour.forget_s = float("inf")
            await asyncio.sleep(EJECTION_S)
            for number in range(100, 112):
                entry = harness.entries[number % 2]
                assert (await ask(entry, number)).status == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["crash", "mute"])
def test_interrupted_content_is_still_served(fault: str) -> None:
    """Guards against 503 for a much used GET after three resets or time-outs."""

    async def scenario() -> None:
        async with run_harness(entries=2, servers=SERVERS) as harness:
            await until(lambda: all(e.peers.count == 2 for e in harness.entries))
            for server in harness.servers:
                server.behaviour.fault = fault
            for number in range(4):
                response = await fetch(
                    harness.entries[number % 2]._settings.callers,
                    "/safe/x",
                    headers={"Deadline-Ms": "700"},
                )
                assert response.status in {502, 503, 504}
            for server in harness.servers:
                server.behaviour.fault = ""
            await asyncio.sleep(4 * EJECTION_S)
            for entry in harness.entries:
                response = await fetch(entry._settings.callers, "/safe/x")
                assert response.status == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("down_s", [0.0, 0.3, 2.0])
def test_crashed_servers_are_told_from_others(down_s: float) -> None:
    """A crashed server refuses connections, or is back as another incarnation."""

    async def scenario() -> None:
        async with run_harness(entries=2, servers=SERVERS) as harness:
            await until(lambda: all(e.peers.count == 2 for e in harness.entries))
            for server in harness.servers:
                server.behaviour.crash_part = "bad"
                server.behaviour.down_s = down_s
            for number in range(12):
                await fetch(
                    harness.entries[number % 2]._settings.callers,
                    "/stream/x",
                    method="POST",
                    body=b"%d" % number,
                    headers={"Prompt-Prefix": f"common:60,bad:60,own{number}:60"},
                )
                await asyncio.sleep(0.1)
            assert sum(len(server.crashes) for server in harness.servers) == 3
            for entry in harness.entries:
                assert entry.state.poison_parts.find(["common", "bad"])
                assert not entry.state.poison_parts.find(["common"])

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("error", "ended"),
    [
        (ConnectionResetError(), True),
        (None, True),
        (TimeoutError(), False),
        (OSError(errno.EHOSTUNREACH, "no route to host"), False),
    ],
)
def test_silent_host_does_not_count_as_a_disconnect(
    error: Exception | None, *, ended: bool
) -> None:
    """Guards against crashes by requests that were in hand when a host was lost."""
    conn = HttpConnection()
    conn.connection_lost(error)
    assert conn.ended_by_peer is ended


INCARNATION = ("s", 1)
RUN = BrokenRun("r s@1", b"content", ("a",))
# Steps: time, what happens, and whether it confirms a crash or refutes it.
HISTORIES = [
    ("nothing follows", [(0.0, "suspect", False), (9.0, "review", False)]),
    ("refused", [(0.0, "suspect", False), (0.1, "refused", True)]),
    ("registered", [(0.0, "suspect", False), (0.1, "restart", True)]),
    ("too late", [(0.0, "suspect", False), (SUSPICION_S, "restart", False)]),
    ("restart first", [(0.0, "restart", False), (0.1, "suspect", True)]),
    ("refused without a run", [(0.0, "refused", False)]),
    ("still there", [(0.0, "suspect", False), (0.1, "old", False)]),
    (
        "outlived",
        [(0.0, "suspect", False), (0.1, "refused", True), (1.0, "old", True)],
    ),
    (
        "new connection",
        [(0.0, "suspect", False), (0.1, "refused", True), (1.0, "new", False)],
    ),
    (
        "in the buffers",
        [(0.0, "suspect", False), (0.1, "refused", True), (SETTLE_S / 2, "old", False)],
    ),
    (
        "another run",
        [(0.0, "suspect", False), (0.1, "refused", True), (0.2, "suspect", True)],
    ),
]


@pytest.mark.parametrize(
    "history", [case[1] for case in HISTORIES], ids=[case[0] for case in HISTORIES]
)
def test_crash_is_confirmed_and_refuted(history: list[tuple[float, str, bool]]) -> None:
    evidence, servers = CrashEvidence(), ServerList()
    servers.put(BackendServer("s", "app", ("", 1), "here", started_ms=1))
    for at, step, expected in history:
        told: bool = False
        match step:
            case "suspect":
                evidence.suspect(INCARNATION, RUN, at)
            case "restart":
                servers.put(BackendServer("s", "app", ("", 1), "here", started_ms=2))
            case "refused":
                told = bool(evidence.confirm(INCARNATION, at))
            case "old" | "new":
                opened_at = -1.0 if step == "old" else 0.5
                told = evidence.refute(INCARNATION, opened_at, at)
        for incarnation in list(evidence.ended(servers, at)):
            told |= evidence.confirm(incarnation, at) == [RUN]
        assert told is expected, (at, step)


def test_refuted_crash_is_forgotten_although_others_still_report_it() -> None:
    parts, contents = PoisonParts(), PoisonDetector()
    for number in range(3):
        parts.record_crash(f"s{number}@1", ["a"], 1.0)
        contents.record_failure(b"x", f"r{number} s{number}@1", 1.0)
    exported = parts.export(1.0)
    assert parts.find(["a"]) and contents.is_quarantined(b"x")
    exported_contents = contents.export(1.0)
    parts.retract_crash("s1@1")
    contents.retract_crash("s1@1", 2.0)
    parts.merge_from(exported, 2.0)
    contents.merge_from(exported_contents, 2.0)
    parts.merge_crashes([("s1@1", ["a"])], 2.0)
    assert parts.find(["a"]) is None and not contents.is_quarantined(b"x")


def test_whole_answer_clears_its_content_at_all_entries() -> None:
    first, second = PoisonDetector(), PoisonDetector()
    for number in range(3):
        first.record_failure(b"x", f"r{number} s@{number}", 1.0)
    reported = first.take_unsent(1.0)
    second.merge_from(reported, 1.0)
    second.record_sound(b"x", 2.0)
    first.merge_from(second.take_unsent(2.0), 2.0)
    second.merge_from(reported, 2.0)
    for detector in (first, second):
        assert not detector.is_quarantined(b"x")


def test_memory_for_crashes_is_bounded() -> None:
    evidence = CrashEvidence()
    for number in range(MAX_SUSPECTED + MAX_CRASHED):
        evidence.suspect((f"s{number}", 1), RUN, 0.0)
        evidence.suspect((f"s{number}", 2), RUN, 0.0)
        evidence.confirm((f"s{number}", 1), 0.0)
    assert len(evidence._suspected) <= MAX_SUSPECTED
    assert len(evidence._crashed_at) <= MAX_CRASHED
