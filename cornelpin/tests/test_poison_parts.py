"""Parts of prompts that crash every server which answers a request with them."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import pytest

from cornelpin.scheduling.poison_parts import (
    MAX_SOUND_PARTS,
    MAX_SUSPECTS,
    QUARANTINE_S,
    SUSPICION_TTL_S,
    PoisonParts,
)
from cornelpin.tests.fleet_client import Response, fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry

MAX_CRASHES = 5
"""Crashes after which the platform expects an end of them."""
MAX_FURTHER = 3
"""Requests that may still reach servers then."""

_numbers = itertools.count()


async def stream(entry: Entry, *parts: str) -> Response:
    """Sends a request whose content is unlike all others, but for shared parts."""
    own = f"own-{next(_numbers)}"
    prefix = ",".join(f"{part}:60" for part in (*parts, own))
    return await fetch(
        entry._settings.callers,
        "/stream/x",
        method="POST",
        body=own.encode(),
        headers={"Prompt-Prefix": prefix},
    )


async def start(harness: Harness) -> None:
    """Waits for the entries to hear each other; lets a part crash all servers."""
    await until(
        lambda: all(e.peers.count == len(harness.entries) for e in harness.entries)
    )
    for server in harness.servers:
        server.behaviour.crash_part = "bad"
        server.behaviour.gap_s = 0.01


def crashes(harness: Harness) -> int:
    return sum(len(server.crashes) for server in harness.servers)


def test_part_that_crashes_servers_stops_reaching_them() -> None:
    async def scenario() -> None:
        async with run_harness(entries=3, servers=4) as harness:
            await start(harness)
            for number in range(16):
                entry = harness.entries[number % 3]
                response = await stream(entry, "common", "bad")
                assert response.status in {502, 503}
                await asyncio.sleep(0.05)
            assert crashes(harness) <= MAX_CRASHES + MAX_FURTHER
            # Ejected servers are tried again after some seconds.
            await asyncio.sleep(2.5)
            for entry in harness.entries:
                assert (await stream(entry, "common")).status == 200

    asyncio.run(scenario())


def test_sound_requests_with_the_other_parts_are_served() -> None:
    """Guards against a quarantine of the parts that poison requests share with others.

    No entry knows any part beforehand.
    """

    async def scenario() -> None:
        async with run_harness(entries=3, servers=6) as harness:
            await start(harness)
            served = sent = 0
            for number in range(24):
                entry = harness.entries[number % 3]
                poison, sound = await asyncio.gather(
                    stream(entry, "common", "bad"),
                    stream(harness.entries[(number + 1) % 3], "common", "other"),
                )
                assert poison.status != 200
                if number >= 12:
                    sent += 1
                    served += sound.status == 200 and sound.complete
                await asyncio.sleep(0.1)
            assert served >= sent / 2
            assert crashes(harness) <= MAX_CRASHES + MAX_FURTHER

    asyncio.run(scenario())


def test_entry_that_starts_later_knows_the_quarantined_parts() -> None:
    async def scenario() -> None:
        async with run_harness(entries=2, servers=4) as harness:
            await start(harness)
            while not harness.entries[0].state.poison_parts.quarantined:
                await stream(harness.entries[0], "common", "bad")
            entry = await harness.add_entry()
            await until(lambda: bool(entry.state.poison_parts.quarantined), 1.0)
            before = crashes(harness)
            assert (await stream(entry, "common", "bad")).status == 503
            assert crashes(harness) == before

    asyncio.run(scenario())


def test_rejected_request_is_told_at_once_that_it_has_not_run() -> None:
    async def scenario() -> None:
        async with run_harness(servers=4) as harness:
            await start(harness)
            entry = harness.entries[0]
            while not entry.state.poison_parts.quarantined:
                await stream(entry, "common", "bad")
            began = asyncio.get_running_loop().time()
            response = await stream(entry, "common", "bad")
            assert asyncio.get_running_loop().time() - began < 0.1
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert "response-seal" not in response.headers

    asyncio.run(scenario())


CRASHES = [
    ("one part", ["bad", "bad", "bad"], {"bad": "bad"}),
    ("two crashes are too few", ["bad", "bad"], {}),
    ("common parts narrow it", ["a bad", "a bad", "a bad"], {"bad": "a bad"}),
    ("they differ", ["a bad", "b bad", "a bad"], {"bad": "bad"}),
    ("no part explains all", ["a", "b", "c"], {}),
    ("two causes", ["bad", "worse"] * 3, {"bad": "bad", "worse": "worse"}),
    ("sound parts", ["known bad", "known bad", "known bad"], {"bad": "bad"}),
    ("only sound parts", ["known", "known", "known", "known"], {}),
]


@pytest.mark.parametrize(
    ("crashed", "quarantined"),
    [case[1:] for case in CRASHES],
    ids=[c[0] for c in CRASHES],
)
def test_part_that_explains_the_crashes_is_quarantined(
    crashed: list[str], quarantined: dict[str, str]
) -> None:
    parts = PoisonParts()
    parts.record_sound(["known"], 0.0)
    for number, shared in enumerate(crashed):
        parts.record_crash(f"server-{number}", shared.split(), 1.0 + number)
    found = {p: " ".join(sorted(with_)) for p, with_ in parts.quarantined.items()}
    assert found == quarantined


def test_crash_is_explained_once_although_several_requests_were_in_hand() -> None:
    parts = PoisonParts()
    for number in range(5):
        # The bystander's report comes first.
        parts.record_crash(f"server-{number}", ["a", "b"], number)
        parts.record_crash(f"server-{number}", ["a", "bad"], number)
    assert parts.find(["a", "bad"]) is not None
    assert parts.find(["a", "c"]) is None


def test_one_server_crashes_once() -> None:
    parts = PoisonParts()
    for number in range(9):
        parts.record_crash("server", ["bad"], number)
    assert not parts.quarantined


def test_begun_answer_clears_a_part_at_all_entries() -> None:
    first, second = PoisonParts(), PoisonParts()
    for number in range(3):
        first.record_crash(f"server-{number}", ["a", "bad"], 1.0)
    second.merge_crashes(first.take_unsent_crashes(), 1.1)
    assert first.find(["a", "bad"]) and second.find(["a", "bad"])
    assert second.find(["c", "bad"]) is None
    second.record_sound(["a", "b"], 2.0)
    first.merge_sound(second.take_unsent_sound(), 2.1)
    for parts in (first, second):
        assert parts.quarantined == {"bad": frozenset({"bad"})}


def test_entry_that_knows_a_part_to_be_sound_tells_the_others() -> None:
    first, second = PoisonParts(), PoisonParts()
    second.record_sound(["a"], 0.0)
    first.record_crash("server", ["a", "bad"], 1.0)
    second.merge_crashes(first.take_unsent_crashes(), 1.0)
    assert second.take_unsent_sound() == ["a"]


def test_quarantine_ends_some_time_after_the_last_crash() -> None:
    parts, late = PoisonParts(), PoisonParts()
    for number in range(4):
        parts.record_crash(f"server-{number}", ["bad"], 10.0 * number)
    parts.expire(30.0 + QUARANTINE_S - 1)
    late.merge_from(parts.export(30.0 + QUARANTINE_S - 1), 5.0)
    assert parts.quarantined and late.quarantined
    parts.expire(30.0 + QUARANTINE_S)
    late.expire(5.0 + 2)
    assert not parts.quarantined and not late.quarantined


def test_two_crashes_far_apart_and_a_third_do_not_quarantine() -> None:
    parts = PoisonParts()
    for number in range(6):
        parts.record_crash(f"server-{number}", ["bad"], number * SUSPICION_TTL_S)
    assert not parts.quarantined


def test_memory_for_parts_is_bounded() -> None:
    parts = PoisonParts()
    for number in range(MAX_SOUND_PARTS + 10):
        parts.record_sound([f"s{number}"], 0.0)
    for number in range(MAX_SUSPECTS + 10):
        parts.record_crash(f"server-{number}", [f"p{number}"], 1.0)
    assert len(parts._sound) == MAX_SOUND_PARTS
    assert len(parts._suspects) == MAX_SUSPECTS
