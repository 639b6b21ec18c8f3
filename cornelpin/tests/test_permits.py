"""Permits to send to servers with limits: the issuer and the holders."""

from __future__ import annotations

import pytest

from cornelpin.scheduling.permits import (
    BURST_S,
    ISSUER_SILENCE_S,
    PERMIT_TTL_S,
    REPLY_TIMEOUT_S,
    REQUEST_TTL_S,
    SPARE_PERMIT_TTL_S,
    PermitHolder,
    PermitIssuer,
    PermitReply,
    PermitRequest,
)

SERVER = ("i-1", 7)
OTHER = ("i-2", 7)


def request(number: int, *, count: int = 1, score: float = 1.0) -> PermitRequest:
    return PermitRequest(SERVER, number, count, score)


def granted(replies: list[tuple[str, PermitReply]]) -> list[tuple[str, int]]:
    return [(entry, reply.granted) for entry, reply in replies if reply.granted]


def ask(
    issuer: PermitIssuer, entry: str, req: PermitRequest, now: float, rate: float = 2.0
) -> list[tuple[str, PermitReply]]:
    return issuer.request(entry, req, rate, since=0.0, now=now)


def test_permits_accumulate_up_to_one_and_a_burst() -> None:
    for rate in (0.5, 2.0, 50.0):
        issuer = PermitIssuer()
        replies = ask(issuer, "a", request(1, count=100), 1000.0, rate)
        assert granted(replies) == [("a", int(1 + BURST_S * rate))]


def test_new_issuer_has_no_permits_from_before() -> None:
    issuer = PermitIssuer()
    replies = issuer.request("a", request(1), 2.0, since=99.9, now=100.0)
    ((entry, reply),) = replies
    assert (entry, reply.granted) == ("a", 0)
    assert reply.wait_s == pytest.approx(0.4)
    assert granted(issuer.replies_due(100.39, lambda server: 2.0)) == []
    assert granted(issuer.replies_due(100.41, lambda server: 2.0)) == [("a", 1)]


def test_highest_score_is_served_first() -> None:
    issuer = PermitIssuer()
    assert granted(ask(issuer, "first", request(1), 100.0)) == [("first", 1)]
    ask(issuer, "low", request(1, score=0.5), 100.01)
    ask(issuer, "high", request(1, score=2.0), 100.02)
    ask(issuer, "spare", request(1, score=0.0), 100.03)
    order = [
        entry
        for tick in range(10)
        for entry, _ in granted(issuer.replies_due(100.1 + tick / 10, lambda s: 5.0))
    ]
    assert order == ["high", "low", "spare"]


def test_lost_grant_is_repeated_not_granted_again() -> None:
    issuer = PermitIssuer()
    first = ask(issuer, "a", request(1), 100.0)
    assert granted(first) == [("a", 1)]
    assert ask(issuer, "a", request(1), 100.1) == first
    # The bucket has lost one permit only.
    assert granted(ask(issuer, "b", request(1), 100.5)) == [("b", 1)]


def test_request_expires_at_the_issuer() -> None:
    issuer = PermitIssuer()
    ask(issuer, "a", request(1), 100.0)
    ask(issuer, "b", request(1), 100.0, rate=0.1)
    later = 100.0 + REQUEST_TTL_S + 60.0
    assert granted(issuer.replies_due(later, lambda server: 0.1)) == []


def test_permits_that_come_back_serve_others() -> None:
    issuer = PermitIssuer()
    ask(issuer, "a", request(1), 100.0)
    ask(issuer, "b", request(1), 100.1)
    # Granted by another issuer, before this one.
    issuer.put_back("c", SERVER, 1)
    assert granted(issuer.replies_due(100.1, lambda server: 2.0)) == []
    issuer.put_back("a", SERVER, 1)
    issuer.put_back("a", OTHER, 1)
    assert granted(issuer.replies_due(100.1, lambda server: 2.0)) == [("b", 1)]


def test_issuer_that_is_not_responsible_any_more_grants_nothing() -> None:
    issuer = PermitIssuer()
    ask(issuer, "a", request(1), 100.0)
    ask(issuer, "b", request(1), 100.0)
    assert issuer.replies_due(100.9, lambda server: None) == []
    assert issuer.replies_due(101.0, lambda server: 2.0) == []


@pytest.mark.parametrize(
    ("score", "ttl_s"), [(1.0, PERMIT_TTL_S), (0.0, SPARE_PERMIT_TTL_S)]
)
def test_unused_permits_expire_and_are_given_back(score: float, ttl_s: float) -> None:
    holder = PermitHolder()
    asked = holder.ask(SERVER, 2, score, 100.0)
    assert holder.receive(PermitReply(SERVER, asked.number, 2), 100.0)
    assert holder.available(SERVER, 0.1, 100.0) == 2
    holder.take(SERVER, 100.0)
    assert holder.available(SERVER, 0.1, 100.0) == 1
    assert holder.expire(100.0 + 0.9 * ttl_s) == []
    assert holder.expire(100.0 + 1.1 * ttl_s) == [(SERVER, 1)]
    assert holder.available(SERVER, 0.1, 100.0) == 0


def test_grant_counts_once_and_for_the_last_request_only() -> None:
    holder = PermitHolder()
    asked = holder.ask(SERVER, 1, 1.0, 100.0)
    reply = PermitReply(SERVER, asked.number, 1)
    assert not holder.receive(PermitReply(OTHER, asked.number, 1), 100.0)
    assert not holder.receive(PermitReply(SERVER, asked.number - 1, 1), 100.0)
    assert holder.receive(reply, 100.0)
    assert not holder.receive(reply, 100.0)
    assert holder.available(SERVER, 0.1, 100.0) == 1


def test_request_without_a_reply_is_repeated_under_its_number() -> None:
    holder = PermitHolder()
    asked = holder.ask(SERVER, 1, 1.0, 100.0)
    assert not holder.may_ask(SERVER, 100.0 + 0.9 * REPLY_TIMEOUT_S)
    assert holder.may_ask(SERVER, 100.0 + 1.1 * REPLY_TIMEOUT_S)
    again = holder.ask(SERVER, 3, 2.0, 100.2)
    assert again.number == asked.number
    holder.receive(PermitReply(SERVER, asked.number, 0, wait_s=0.5), 100.2)
    # It waits at the issuer.
    assert not holder.may_ask(SERVER, 100.2 + 0.9 * REQUEST_TTL_S)
    assert holder.may_ask(SERVER, 100.2 + 1.1 * REQUEST_TTL_S)


def test_own_share_is_used_while_the_issuer_is_silent() -> None:
    holder = PermitHolder()
    holder.ask(SERVER, 1, 1.0, 100.0)
    silent_at = 100.0 + ISSUER_SILENCE_S
    assert holder.available(SERVER, 0.5, silent_at - 0.01) == 0
    # A permit every two seconds, none from before.
    times = [silent_at + n / 100 for n in range(1000)]
    used = 0
    for now in times:
        if holder.available(SERVER, 0.5, now):
            holder.take(SERVER, now)
            used += 1
    assert used == 4
    number = holder.ask(SERVER, 1, 1.0, times[-1]).number
    holder.receive(PermitReply(SERVER, number, 0, wait_s=9.0), times[-1])
    assert holder.available(SERVER, 0.5, times[-1] + 10.0) == 0


def test_processes_do_not_repeat_the_numbers_of_those_before() -> None:
    numbers = {PermitHolder().ask(SERVER, 1, 1.0, 0.0).number for _ in range(50)}
    assert len(numbers) == 50
