"""Shares of the connections that requests in hand may hold."""

from __future__ import annotations

import pytest

from cornelpin.http1.request_shares import RequestShares

CONNECTIONS = 100
LIMIT = 90

# Numbers of requests that come, by service and workspace in order; how many are held.
COMING = {
    "all_connections_but_the_rest": ([(LIMIT, "a", "")], [LIMIT]),
    "no_more_than_the_limit": ([(300, "a", "")], [LIMIT]),
    "a_newcomer_beside_a_crowd": ([(300, "a", ""), (1, "b", "")], [LIMIT, 1]),
    "an_equal_share": ([(300, "a", ""), (300, "b", "")], [LIMIT, 45]),
    "workspaces_of_one_service": (
        [(300, "a", "x"), (300, "a", "y"), (300, "a", "z")],
        [LIMIT, 45, 30],
    ),
    "below_the_limit_without_shares": ([(80, "a", ""), (20, "b", "")], [80, 20]),
}


@pytest.mark.parametrize("case", COMING)
def test_requests_in_hand_are_limited_by_equal_shares(case: str) -> None:
    coming, expected = COMING[case]
    shares = RequestShares(CONNECTIONS)
    held = [
        sum(shares.admit(service, workspace) for _ in range(count))
        for count, service, workspace in coming
    ]
    assert held == expected
    assert shares.refused == sum(count for count, *_ in coming) - sum(expected)


def test_ended_requests_give_their_share_back() -> None:
    shares = RequestShares(CONNECTIONS)
    for _ in range(LIMIT):
        assert shares.admit("a", "")
    assert not shares.admit("a", "")
    shares.release("a", "")
    assert shares.admit("a", "")
    for _ in range(LIMIT):
        shares.release("a", "")
    # A group without requests has no part in the shares.
    assert all(shares.admit("b", "") for _ in range(LIMIT))
    assert not shares.admit("b", "")
