"""Exchange between data centres: summaries, entry reports, and the loss of a relay."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import msgpack
import pytest

from cornelpin.gateway.peer import Peer
from cornelpin.gateway.summaries import (
    MAX_QUEUE_SCORES,
    PREFILL_UNIT_TOKENS,
    SUMMARY_FRESH_S,
    EntryReportBuilder,
    Summary,
    build_summary,
    read_summary,
    relay_order,
    short_id,
    sum_class_counts,
)
from cornelpin.gateway.summary_exchange import MAX_PENDING_UPDATES, SummaryExchange
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import Harness, run_harness, until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornelpin.gateway.app import Entry

MAX_SUMMARY_BYTES = 700
"""Limit for a summary of ten entries and 27 servers: one packet, within an entry's
budget of 3 KB/s between four data centres."""


def make_peer(**fields: Any) -> Peer:
    return Peer("10.0.0.1", "there", "1", received_at=100.0, **fields)


def make_summary(
    peers: list[Peer], own: dict[str, Any] | None = None
) -> dict[str, Any]:
    return build_summary(own or {"in_flight": {}, "keys": {}}, peers, 100.5, 1.5)


def test_summary_sums_the_state_of_its_entries() -> None:
    own = {"in_flight": {"a": (2, 100)}, "keys": {"app": [3.0]}}
    sent = make_summary([make_peer(in_flight={"a": (1, 30), "b": (1, 0)})], own)
    got = read_summary(sent | {"from": ["relay", "1", 1, "there"]}, 100.5)
    assert got.in_flight[short_id("a")] == (3, 3 * PREFILL_UNIT_TOKENS)
    assert got.in_flight[short_id("b")] == (1, 0)
    assert got.queue_scores == {"app": [3.0]}
    assert got.entries == 2


def test_relays_are_the_hosts_with_the_highest_bandwidth() -> None:
    assert relay_order({"a": 5.0, "b": 100.0, "c": 10.0}) == ["b", "c", "a"]


def test_summary_leaves_out_a_peer_without_recent_messages() -> None:
    silent = make_peer(in_flight={"a": (1, 30)})
    silent.received_at = 98.0
    assert make_summary([silent])["in_flight"] == {}


def test_summary_holds_only_the_highest_queue_scores() -> None:
    sent = make_summary(
        [
            make_peer(queue_scores={"app": [float(n)]})
            for n in range(3 * MAX_QUEUE_SCORES)
        ]
    )
    assert sorted(sent["keys"]["app"]) == list(
        range(2 * MAX_QUEUE_SCORES, 3 * MAX_QUEUE_SCORES)
    )


@pytest.mark.parametrize(
    ("relay", "entries", "age_s", "replaces"),
    [
        ("first", 1, 0.0, True),
        ("second", 5, 0.0, False),
        ("second", 6, 0.0, True),
        ("second", 1, 2 * SUMMARY_FRESH_S, True),
    ],
    ids=["the same relay", "no better", "hears more entries", "the first is silent"],
)
def test_which_relay_s_summary_replaces_the_current_one(
    relay: str, entries: int, age_s: float, replaces: bool
) -> None:
    current = Summary(relay="first", entries=5, received_at=100.0)
    assert current.replaced_by(relay, entries, 100.0 + age_s) is replaces


def test_summary_of_a_large_data_centre_fits_a_packet() -> None:
    in_flight = {f"i-{n:010x}": (3, 9_000) for n in range(27)}
    scores = {"llm": [float(n) for n in range(8)], "app": [1.0] * 8}
    sent = make_summary(
        [make_peer(in_flight=in_flight, queue_scores=scores) for _ in range(10)]
    )
    sent["from"] = ["front-messina-c-10", "0123abcd", 99_999, "messina-c", 100.0]
    packed = msgpack.packb(sent, use_single_float=True)
    assert len(packed) < MAX_SUMMARY_BYTES
    single = msgpack.packb({"in_flight": in_flight, "keys": scores})
    # A fifth of what ten entries would send without a summary.
    assert len(packed) < 10 * len(single) / 5


def test_entry_reports_hold_changed_amounts_and_periodically_all() -> None:
    # The fifth field of a report holds the used amounts by workspace.
    builder, peer = EntryReportBuilder(), make_peer(used={"blue": 5, "red": 7})
    assert builder.build({"h": peer}, 100.5)["h"][4] == {"blue": 5, "red": 7}
    peer.used["red"] = 9
    assert builder.build({"h": peer}, 100.8)["h"][4] == {"red": 9}
    all_amounts = [builder.build({"h": peer}, 101.0)["h"][4] for _ in range(8)]
    assert {"blue": 5, "red": 9} in all_amounts


def test_counts_of_a_data_centre_are_summed_by_request_class() -> None:
    peer = make_peer(class_counts={"app": {"0.0": [3.0, 1.0]}})
    assert sum_class_counts({"app": {"0.0": [1.0, 1.0]}}, [peer, peer]) == {
        "app": {"0.0": [7.0, 3.0]}
    }


def test_pending_updates_are_bounded_without_another_data_centre() -> None:
    exchange = SummaryExchange("only", "here", 100.0)
    for number in range(3 * MAX_PENDING_UPDATES):
        exchange.add_one_time_updates({"refused": [number]}, {}, 100.0)
    kept = exchange.next_summary({"in_flight": {}, "keys": {}}, {}, 100.0)["refused"]
    assert kept == list(range(2 * MAX_PENDING_UPDATES, 3 * MAX_PENDING_UPDATES))


async def start_two_data_centres(harness: Harness) -> None:
    """Adds two entries here and three there; waits until all are live to each other."""
    for zone in ("here", "here", "there", "there", "there"):
        await harness.add_entry(zone=zone)
    await until(lambda: all(e.peers.count == 5 for e in harness.entries))


def count_peer_requests(entry: Entry, harness: Harness) -> int:
    """Returns the number of other entries' requests in flight that an entry counts."""
    return sum(entry.peers.in_flight(s.id)[0] for s in harness.servers)


def test_in_flight_counts_reach_other_data_centres() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            await start_two_data_centres(harness)
            harness.servers[0].behaviour.answer_s = 1.0
            response = asyncio.create_task(
                fetch(harness.entries[0]._settings.callers, "/safe/x")
            )
            others = harness.entries[1:]
            await until(
                lambda: all(count_peer_requests(e, harness) == 1 for e in others), 0.7
            )
            await response
            await until(
                lambda: all(count_peer_requests(e, harness) == 0 for e in others), 0.7
            )

    asyncio.run(scenario())


@pytest.mark.parametrize("rank", [0, 1], ids=["first relay", "second relay"])
def test_summaries_continue_after_the_loss_of_a_relay(rank: int) -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            await start_two_data_centres(harness)
            there = {e.peers.host: e for e in harness.entries[2:]}
            failed_relay = there.pop(relay_order(dict.fromkeys(there, 100.0))[rank])
            failed_relay.peers.close()
            sender = next(iter(there.values()))
            harness.servers[0].behaviour.answer_s = 1.5
            response = asyncio.create_task(fetch(sender._settings.callers, "/safe/x"))
            await until(
                lambda: all(
                    count_peer_requests(e, harness) for e in harness.entries[:2]
                ),
                1.3,
            )
            await response

    asyncio.run(scenario())


def test_rate_limit_is_shared_between_data_centres() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            await start_two_data_centres(harness)
            await asyncio.sleep(1.1)
            loop = asyncio.get_running_loop()
            began, served = loop.time(), 0
            while loop.time() < began + 3.0:
                for entry in harness.entries:
                    got = await fetch(
                        entry._settings.callers,
                        "/keyed/x",
                        headers={"Authorization": "Token key-small"},
                    )
                    served += got.status == 200
                await asyncio.sleep(0.02)
            # 1,000 tokens per second with a burst of 1,000, at 200 per request, plus 5
            # for the requests accepted while reports are under way.
            assert served <= 1.1 * (1000 + 3 * 1000) / 200 + 5

    asyncio.run(scenario())


@contextlib.contextmanager
def cut_between_data_centres(harness: Harness) -> Iterator[None]:
    """Loses all messages between entries of different data centres."""
    zones = {e._settings.ip: e._settings.data_centre for e in harness.entries}
    for entry in harness.entries:

        def receive(data: bytes, addr: tuple[str, int], entry: Entry = entry) -> None:
            if zones[addr[0]] == entry._settings.data_centre:
                type(entry.peers).datagram_received(entry.peers, data, addr)

        entry.peers.datagram_received = receive  # type: ignore[method-assign]
    try:
        yield
    finally:
        for entry in harness.entries:
            del entry.peers.datagram_received


def test_data_centres_hear_each_other_soon_after_a_cut() -> None:
    """Guards against data centres that wait for each other's next hello."""

    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            await start_two_data_centres(harness)
            with cut_between_data_centres(harness):
                await asyncio.sleep(2.5)
                assert [e.peers.count for e in harness.entries] == [2, 2, 3, 3, 3]
            await until(lambda: all(e.peers.count == 5 for e in harness.entries), 3.0)

    asyncio.run(scenario())


def test_poison_request_is_known_in_all_data_centres_at_once() -> None:
    async def scenario() -> None:
        async with run_harness(entries=0) as harness:
            await start_two_data_centres(harness)
            harness.servers[0].behaviour.fault = "die"
            address = harness.entries[0]._settings.callers
            await fetch(address, "/unsafe/x", method="POST", body=b"poison")

            def is_known(entry: Entry) -> bool:
                return bool(entry.state.poison_detector._records)

            await until(lambda: all(is_known(e) for e in harness.entries), 0.3)

    asyncio.run(scenario())
