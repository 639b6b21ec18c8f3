"""What data centres tell each other: sums, digests, relays and their loss."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgpack
import pytest

from cornelpin.gateway.peer import Peer
from cornelpin.gateway.summaries import (
    FRESH_S,
    MAX_KEYS,
    READING_UNIT,
    Digest,
    Summary,
    build_summary,
    merge_shares,
    read_summary,
    relay_order,
    short_id,
)
from cornelpin.gateway.summary_exchange import MAX_NEWS, SummaryExchange
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until

if TYPE_CHECKING:
    from cornelpin.gateway.app import Entry

BYTES_A_SUMMARY = 700
"""Bound on a summary of ten entries and 27 servers: a packet, at an entry's budget of
3 KB/s between four data centres."""


def peer(**fields: Any) -> Peer:
    return Peer("10.0.0.1", "there", "1", received_at=100.0, **fields)


def summary(peers: list[Peer], own: dict[str, Any] | None = None) -> dict[str, Any]:
    return build_summary(own or {"in_flight": {}, "keys": {}}, peers, 100.5, 1.5)


def test_a_summary_adds_up_what_its_entries_hold() -> None:
    own = {"in_flight": {"a": (2, 100)}, "keys": {"app": [3.0]}}
    told = summary([peer(in_flight={"a": (1, 30), "b": (1, 0)})], own)
    got = read_summary(told | {"from": ["relay", "1", 1, "there"]}, 100.5)
    assert got.in_flight[short_id("a")] == (3, 3 * READING_UNIT)
    assert got.in_flight[short_id("b")] == (1, 0)
    assert got.queue_scores == {"app": [3.0]}
    assert got.entries == 2


def test_hosts_with_wide_links_relay() -> None:
    assert relay_order({"a": 5.0, "b": 100.0, "c": 10.0}) == ["b", "c", "a"]


def test_a_silent_entry_is_left_out() -> None:
    silent = peer(in_flight={"a": (1, 30)})
    silent.received_at = 98.0
    assert summary([silent])["in_flight"] == {}


def test_only_the_highest_keys_are_told() -> None:
    told = summary(
        [peer(queue_scores={"app": [float(n)]}) for n in range(3 * MAX_KEYS)]
    )
    assert sorted(told["keys"]["app"]) == list(range(2 * MAX_KEYS, 3 * MAX_KEYS))


@pytest.mark.parametrize(
    ("relay", "entries", "age_s", "replaces"),
    [
        ("first", 1, 0.0, True),
        ("second", 5, 0.0, False),
        ("second", 6, 0.0, True),
        ("second", 1, 2 * FRESH_S, True),
    ],
    ids=["the same relay", "no better", "hears more entries", "the first is silent"],
)
def test_which_relay_is_believed(
    relay: str, entries: int, age_s: float, replaces: bool
) -> None:
    known = Summary(relay="first", entries=5, received_at=100.0)
    assert known.replaced_by(relay, entries, 100.0 + age_s) is replaces


def test_a_summary_of_a_large_data_centre_takes_few_bytes() -> None:
    flights = {f"i-{n:010x}": (3, 9_000) for n in range(27)}
    keys = {"llm": [float(n) for n in range(8)], "app": [1.0] * 8}
    told = summary([peer(in_flight=flights, queue_scores=keys) for _ in range(10)])
    told["from"] = ["front-messina-c-10", "0123abcd", 99_999, "messina-c", 100.0]
    packed = msgpack.packb(told, use_single_float=True)
    assert len(packed) < BYTES_A_SUMMARY
    single = msgpack.packb({"in_flight": flights, "keys": keys})
    assert len(packed) < 10 * len(single) / 5


def test_a_digest_tells_changed_amounts_and_now_and_then_all() -> None:
    digest, one = Digest(), peer(used={"blue": 5, "red": 7})
    assert digest.of({"h": one}, 100.5)["h"][4] == {"blue": 5, "red": 7}
    one.used["red"] = 9
    assert digest.of({"h": one}, 100.8)["h"][4] == {"red": 9}
    later = [digest.of({"h": one}, 101.0)["h"][4] for _ in range(8)]
    assert {"blue": 5, "red": 9} in later


def test_shares_of_a_data_centre_are_summed_by_kind() -> None:
    one = peer(shares={"app": {"0.0": [3.0, 1.0]}})
    assert merge_shares({"app": {"0.0": [1.0, 1.0]}}, [one, one]) == {
        "app": {"0.0": [7.0, 3.0]}
    }


def test_without_another_data_centre_news_do_not_pile_up() -> None:
    links = SummaryExchange("only", "here", 100.0)
    for number in range(3 * MAX_NEWS):
        links.keep({"refused": [number]}, {}, 100.0)
    kept = links.summary({"in_flight": {}, "keys": {}}, {}, 100.0)["refused"]
    assert kept == list(range(2 * MAX_NEWS, 3 * MAX_NEWS))


async def two_centres(made: Harness) -> None:
    """Adds three entries here and two there that hear each other."""
    for zone in ("here", "here", "there", "there", "there"):
        await made.add_entry(zone=zone)
    await until(lambda: all(e.peers.count == 5 for e in made.entries))


def held(entry: Entry, made: Harness) -> int:
    """Returns how many requests of others an entry knows of."""
    return sum(entry.peers.in_flight(s.id)[0] for s in made.servers)


def test_entries_elsewhere_know_what_is_in_flight() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as made:
            await two_centres(made)
            made.servers[0].behaviour.answer_s = 1.0
            asked = asyncio.create_task(
                fetch(made.entries[0]._settings.callers, "/safe/x")
            )
            others = made.entries[1:]
            await until(lambda: all(held(e, made) == 1 for e in others), 0.7)
            await asked
            await until(lambda: all(held(e, made) == 0 for e in others), 0.7)

    asyncio.run(scenario())


@pytest.mark.parametrize("rank", [0, 1], ids=["first relay", "second relay"])
def test_the_loss_of_a_relay_leaves_the_others_informed(rank: int) -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as made:
            await two_centres(made)
            there = {e.peers.host: e for e in made.entries[2:]}
            lost = there.pop(relay_order(dict.fromkeys(there, 100.0))[rank])
            lost.peers.close()
            asking = next(iter(there.values()))
            made.servers[0].behaviour.answer_s = 1.5
            asked = asyncio.create_task(fetch(asking._settings.callers, "/safe/x"))
            await until(lambda: all(held(e, made) for e in made.entries[:2]), 1.3)
            await asked

    asyncio.run(scenario())


def test_a_rate_is_shared_between_data_centres() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as made:
            await two_centres(made)
            await asyncio.sleep(1.1)
            loop = asyncio.get_running_loop()
            began, served = loop.time(), 0
            while loop.time() < began + 3.0:
                for entry in made.entries:
                    got = await fetch(
                        entry._settings.callers,
                        "/keyed/x",
                        headers={"Authorization": "Token key-small"},
                    )
                    served += got.status == 200
                await asyncio.sleep(0.02)
            # 1,000 tokens a second and as much at once, 200 for each request, and what
            # comes while a digest is on its way.
            assert served <= 1.1 * (1000 + 3 * 1000) / 200 + 5

    asyncio.run(scenario())


def test_a_content_that_breaks_servers_is_known_everywhere_at_once() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as made:
            await two_centres(made)
            made.servers[0].behaviour.fault = "crash"
            where = made.entries[0]._settings.callers
            await fetch(where, "/unsafe/x", method="POST", body=b"poison")

            def known(entry: Entry) -> bool:
                return bool(entry.state.poison_detector._records)

            await until(lambda: all(known(e) for e in made.entries), 0.3)

    asyncio.run(scenario())
