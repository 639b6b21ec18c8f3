"""Servers are ranked by estimated time, and prompts stay with cached prefixes.

Guards against entries that disagree on the server of a prefix, which would compute it
more than once, and against servers that get no work after one slow measurement.
"""

from __future__ import annotations

import json
import types

import attrs
import pytest

from cornelpin.core.affinity import (
    BLOCK_BYTES,
    PrefixTable,
    preferred_servers,
    prefix_digests,
)
from cornelpin.core.claims import ClaimState, Record
from cornelpin.core.ranking import ServerEstimate, Work, rank
from cornelpin.daemon.blobs import StoredCall
from cornelpin.daemon.durable import stored_request
from cornelpin.daemon.endpoints import Endpoint
from cornelpin.daemon.links import Link
from cornelpin.daemon.messages import Heartbeat
from cornelpin.daemon.preferences import EXPLORE_EVERY_REQUESTS, Preferences

PROMPT = b"a long shared prefix " * 100
WORK = Work(prompt_bytes=3000, output_tokens=20)

# Estimates as (name, token_s, load), bytes of the prompt held by server, and the names
# in the expected order.
RANKINGS = [
    ([("a", 0.02, 0.0), ("b", 0.04, 0.0)], {}, ["a", "b"]),
    ([("a", 0.04, 0.0), ("b", 0.02, 0.0)], {}, ["b", "a"]),
    ([("a", 0.02, 1.0), ("b", 0.02, 0.5)], {}, ["b", "a"]),
    ([("a", 0.02, 0.0), ("b", 0.02, 0.0)], {"b": 3000}, ["b", "a"]),
    ([("a", 0.02, 0.0), ("b", 0.02, 3.0)], {"b": 3000}, ["a", "b"]),
    ([("a", 0.02, 0.0), ("b", 0.2, 0.0)], {"b": 3000}, ["a", "b"]),
    ([("a", 0.0, 0.0), ("b", 0.04, 0.0), ("c", 0.02, 0.0)], {}, ["c", "a", "b"]),
    ([("a", 0.02, float("inf")), ("b", 0.09, 2.0)], {}, ["b", "a"]),
    ([], {}, []),
]


@pytest.mark.parametrize(("standings", "held", "expected"), RANKINGS)
def test_servers_are_ranked_by_estimated_time(
    standings: list[tuple[str, float, float]],
    held: dict[str, int],
    expected: list[str],
) -> None:
    assert rank([ServerEstimate(*s) for s in standings], WORK, held) == expected


def test_prompts_share_the_digests_of_their_common_prefix() -> None:
    first = prefix_digests("w", PROMPT + b"x" * BLOCK_BYTES)
    second = prefix_digests("w", PROMPT + b"y" * BLOCK_BYTES)
    shared = len(PROMPT) // BLOCK_BYTES
    assert first[:shared] == second[:shared]
    assert first[shared] != second[shared]


def test_digests_of_workspaces_differ() -> None:
    assert not set(prefix_digests("w", PROMPT)) & set(prefix_digests("v", PROMPT))


def test_cached_bytes_are_those_of_the_longest_recorded_prefix() -> None:
    table = PrefixTable()
    digests = prefix_digests("w", PROMPT)
    table.note(digests[:2], "a")
    table.note(digests[:4], "b")
    assert table.cached_bytes(digests) == {"a": 2 * BLOCK_BYTES, "b": 4 * BLOCK_BYTES}


def test_prefix_table_evicts_the_oldest_digests() -> None:
    table = PrefixTable(limit=10)
    for index in range(50):
        table.note((f"d{index}",), "a")
    assert len(table) == 10
    assert table.cached_bytes(("d49",)) and not table.cached_bytes(("d0",))


def test_preferred_servers_do_not_depend_on_order_or_other_servers() -> None:
    servers = {f"s{i}": 1.0 for i in range(9)}
    digests = prefix_digests("w", PROMPT)
    order = preferred_servers(digests, servers)
    assert (
        preferred_servers(digests, dict(sorted(servers.items(), reverse=True))) == order
    )
    del servers[order[0]]
    assert preferred_servers(digests, servers) == order[1:]


def test_preferred_servers_follow_capacity() -> None:
    servers = {"large": 3.0, "small": 1.0}
    firsts = [preferred_servers((f"d{i}",), servers)[0] for i in range(400)]
    assert 260 <= firsts.count("large") <= 340


def make_links(*names: str) -> list[Link]:
    """Returns links to idle sides of 8 slots that take 0.01 s per output token."""
    links = [Link(name, Endpoint("", "")) for name in names]
    for link in links:
        link.set_session(
            types.SimpleNamespace(name="", incarnation="", last_ping_at=None)
        )
        link.on_state(Heartbeat(1, False, 8, 8, 0, [], 0.01, 0.0))
    return links


def make_request(prompt: bytes) -> types.SimpleNamespace:
    prefix = prefix_digests("w", prompt)
    return types.SimpleNamespace(
        prefix=prefix, prompt_bytes=len(prompt), cost=600, durable=False
    )


def test_requests_are_bound_to_the_servers_with_their_prefix() -> None:
    links = make_links("a", "b", "c")
    request = make_request(PROMPT + b"x" * BLOCK_BYTES)
    preferences, other_entry = Preferences(), Preferences()
    first = preferences.prefix_holders(request, links)
    assert len(first) == 1
    assert other_entry.prefix_holders(request, links[::-1]) == first
    other = next(link for link in links if link not in first)
    preferences.record_grant(request, other)
    similar = make_request(PROMPT + b"y" * BLOCK_BYTES)
    assert preferences.prefix_holders(similar, links) == [other]
    other.clear_session()
    assert other not in preferences.prefix_holders(similar, links)
    assert not preferences.prefix_holders(make_request(b"short"), links)


def test_a_durable_request_is_not_bound_to_a_slow_server() -> None:
    links = make_links("a", "b", "c")
    request = make_request(PROMPT)
    preferences = Preferences()
    slow = preferences.prefix_holders(request, links)[0]
    preferences.record_grant(request, slow)
    slow.on_state(Heartbeat(1, False, 8, 8, 0, [], 0.02, 0.0))
    assert preferences.prefix_holders(request, links) == [slow]
    request.durable = True
    assert len(preferences.prefix_holders(request, links)) == 1
    assert slow not in preferences.prefix_holders(request, links)


def test_a_stored_request_keeps_the_prefix_of_its_prompt() -> None:
    prompt = PROMPT.decode()
    call = StoredCall(
        route="r",
        version="",
        tier="t",
        kind="model",
        method="POST",
        path="/v1/completions",
        headers={},
        body=json.dumps({"model": "r", "prompt": prompt}).encode(),
        cost=600,
        idempotent=False,
        streamed=False,
    )
    record = Record("k", "q", "w", "", "o", "e1", "i", ClaimState.ACCEPTED, 0.0)
    request = stored_request(record, call, 30.0)
    assert request.prefix == prefix_digests("w", PROMPT)
    assert request.prompt_bytes == len(PROMPT)
    service = attrs.evolve(call, kind="service", body=b"not JSON")
    assert not stored_request(record, service, 30.0).prefix


def test_entries_agree_on_the_next_copy_of_a_prefix() -> None:
    links = make_links("a", "b", "c", "d")
    request = make_request(PROMPT)
    preferences, other_entry = Preferences(), Preferences()
    two = preferences.prefix_holders(request, links, more=1)
    assert other_entry.prefix_holders(request, links[::-1], more=1) == two
    assert len(two) == 2
    preferences.record_grant(request, two[0])
    preferences.record_grant(request, two[1])
    assert set(preferences.prefix_holders(request, links)) == set(two)
    assert len(preferences.prefix_holders(request, links, more=1)) == 3


def test_a_server_measured_slow_is_tried_again() -> None:
    preferences = Preferences()
    links = [Link(name, Endpoint("", "")) for name in ("fast", "slow")]
    for link, token_s in zip(links, (0.01, 1.0), strict=True):
        # Fields: number, leaving, slots, free, waiting, versions, token_s,
        # drain_per_s.
        link.on_state(Heartbeat(1, False, 8, 8, 0, [], token_s, 0.0))
    request = types.SimpleNamespace(prefix=(), prompt_bytes=100, cost=50)
    chosen = []
    for _ in range(4 * EXPLORE_EVERY_REQUESTS):
        link = preferences.choose_idle(request, links, links)
        preferences.record_grant(request, link)
        chosen.append(link.name)
    assert chosen.count("slow") == 4


def test_a_server_without_work_is_explored_and_tried_again() -> None:
    preferences = Preferences()
    busy, unused = (Link(name, Endpoint("", "")) for name in ("busy", "unused"))
    for link in (busy, unused):
        link.on_state(Heartbeat(1, False, 8, 8, 0, [], 0.01, 0.0))
    request = types.SimpleNamespace(prefix=(), prompt_bytes=100, cost=50)
    for _ in range(EXPLORE_EVERY_REQUESTS):
        assert preferences.choose_idle(request, [busy], [busy, unused]) is busy
        preferences.record_grant(request, busy)
    assert preferences.to_explore is unused
    assert preferences.choose_idle(request, [busy, unused], [busy, unused]) is unused
    assert preferences.to_explore is None
