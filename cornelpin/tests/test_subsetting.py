"""Guards against unbounded links, and servers without a link, as a fleet changes."""

from __future__ import annotations

import pytest

from cornelpin.core.subsetting import (
    MAX_LINKS_ALL_ROUTES,
    SUBSET_SIZE,
    coverage_subset,
    subset,
    subset_size,
)


def fleet(count):
    return {f"s{i}": f"dc-{i % 3}" for i in range(count)}


@pytest.mark.parametrize(("count", "links"), [(3, 3), (24, 24), (25, 24), (900, 24)])
def test_subset_is_bounded_and_deterministic(count, links):
    chosen = subset("e1", "dc-0", fleet(count))
    assert len(chosen) == links
    assert chosen == subset("e1", "dc-0", dict(reversed(fleet(count).items())))


def test_half_of_the_links_stay_in_the_own_data_centre():
    servers = fleet(900)
    chosen = subset("e1", "dc-0", servers)
    assert sum(servers[name] == "dc-0" for name in chosen) >= 12
    assert {servers[name] for name in chosen} == {"dc-0", "dc-1", "dc-2"}


@pytest.mark.parametrize("lost", ["s0", "s1", "s500"])
def test_removal_of_a_server_changes_at_most_one_link(lost):
    servers = fleet(900)
    before = set(subset("e1", "dc-0", servers))
    del servers[lost]
    after = set(subset("e1", "dc-0", servers))
    assert len(before - after) <= 1


def test_subsets_of_many_entries_cover_the_fleet():
    servers = fleet(300)
    linked = set()
    for i in range(60):
        linked.update(subset(f"e{i}", f"dc-{i % 3}", servers))
    assert len(linked) >= 0.95 * len(servers)


@pytest.mark.parametrize("routes, size", [(0, 24), (1, 24), (4, 24), (8, 12), (38, 2)])
def test_links_of_all_routes_are_bounded(routes, size):
    assert subset_size(routes) == size <= SUBSET_SIZE
    assert routes * size <= MAX_LINKS_ALL_ROUTES


@pytest.mark.parametrize("entries, servers", [(1, 5), (2, 40), (10, 92), (200, 50)])
def test_each_backend_server_is_in_the_coverage_subsets_of_two_entries(
    entries, servers
):
    names = [f"e{i}" for i in range(entries)]
    sides = [f"f{i}" for i in range(servers)]
    chosen = [side for name in names for side in coverage_subset(name, names, sides)]
    assert {chosen.count(side) for side in sides} == {min(2, entries)}
