"""Queueing, admission and dispatch of requests at one entry."""

from __future__ import annotations

import attrs
import pytest

from cornelpin.scheduling.client_retries import ClientRetries, fingerprint
from cornelpin.scheduling.decisions import Placement, Refused
from cornelpin.scheduling.jobs import Job
from cornelpin.scheduling.request_classes import RequestClasses
from cornelpin.scheduling.request_queue import RequestQueue
from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.speed import SpeedEstimate
from cornelpin.scheduling.subsetting import ServerSubsets
from cornelpin.tests.scheduling_harness import (
    PLAIN,
    STREAM,
    FixedPeers,
    make_dispatcher,
    make_job,
    make_server,
)

NOW = 100.0


def placements(decisions: list) -> dict[str, str]:
    return {j.request_id: d.server.id for j, d in decisions if isinstance(d, Placement)}


def refused(decisions: list) -> list[str]:
    return [j.request_id for j, d in decisions if isinstance(d, Refused)]


ORDERINGS = [
    ("urgent first", {"rank": (0, 0)}, {"rank": (0, 1)}),
    ("workspace before route", {"rank": (0, 2)}, {"rank": (1, 0)}),
    ("cheap first", {"hinted_tokens": 30}, {"hinted_tokens": 900}),
    ("in time before late", {}, {"first_attempt_at": NOW - 5}),
]


@pytest.mark.parametrize(
    ("first", "second"),
    [row[1:] for row in ORDERINGS],
    ids=[row[0] for row in ORDERINGS],
)
@pytest.mark.parametrize("swapped", [False, True])
def test_highest_value_for_cost_is_served_first(
    first: dict, second: dict, swapped: bool
) -> None:
    queue = RequestQueue()
    jobs = [
        make_job(request_id="first", **first),
        make_job(request_id="second", **second),
    ]
    for queued in reversed(jobs) if swapped else jobs:
        queue.count_request(queued, NOW)
        queue.add(queued, NOW)
    # 0.05 s, here and below, is the expected response time.
    assert [j.request_id for j in queue.ordered(NOW, 0.05)] == ["first", "second"]


def test_client_retry_goes_before_late_queued_request() -> None:
    queue = RequestQueue()
    retry = make_job(first_attempt_at=NOW - 3)
    late = make_job(arrived=NOW - 3)
    for queued in (late, retry):
        queue.count_request(queued, NOW)
        queue.add(queued, NOW)
    assert queue.ordered(NOW, 0.05)[0] is retry


def test_class_far_below_best_served_is_boosted() -> None:
    queue = RequestQueue()
    for _ in range(10):
        urgent, lesser = make_job(rank=(0, 0)), make_job(rank=(0, 2))
        for queued in (urgent, lesser):
            queue.count_request(queued, NOW)
            queue.add(queued, NOW)
        queue.pop(urgent, NOW, 0.05)
        queue.remove(lesser)
    urgent, lesser = make_job(rank=(0, 0)), make_job(rank=(0, 2))
    for queued in (urgent, lesser):
        queue.add(queued, NOW)
    # MAX_BOOST is 8; shares are recomputed once per SHARES_TTL_S, here by NOW + 0.2.
    boosted = queue.score(lesser, NOW + 0.2, 0.05)
    fresh = RequestQueue()
    fresh.count_request(lesser, NOW)
    assert boosted == pytest.approx(8 * fresh.score(lesser, NOW, 0.05))


def test_large_client_retries_are_boosted() -> None:
    """Guards against large client retries that score too low under overload.

    A boost applies to client retries too; without it they scored 0.07 to 0.12.
    """
    queue = RequestQueue()
    sizes = [(100, True), (4000, False)] * 30
    for tokens, served in sizes:
        job = make_job(hinted_tokens=tokens)
        queue.count_request(job, NOW)
        queue.add(job, NOW)
        if served:
            queue.pop(job, NOW, 0.05)
        else:
            queue.remove(job)
    small = make_job(hinted_tokens=100, first_attempt_at=NOW - 4)
    large = make_job(hinted_tokens=4000, first_attempt_at=NOW - 4)
    for again in (small, large):
        queue.count_request(again, NOW + 1)
        queue.add(again, NOW + 1)
    assert queue.ordered(NOW + 1, 0.05) == [large, small]


def test_shares_include_counts_of_peers() -> None:
    classes = RequestClasses()
    one = make_job(rank=(0, 2))
    for _ in range(4):
        classes.offer(one, NOW)
        classes.serve(one, NOW, 1.0)
    assert classes.boost(one, NOW) == 1.0
    # Class name: workspace rank, route rank, size band; counts: offered, served.
    classes.merge_from("other", {"0.0.0": [50.0, 50.0], "0.2.0": [50.0, 5.0]}, NOW + 1)
    assert classes.boost(one, NOW + 1) > 1.0


def test_entries_agree_on_size_bands() -> None:
    """Guards against size bands computed from the few requests of one entry.

    With 24 entries and such bands, 0.15 of the largest tenth of a route was served in
    time, against 0.48 of the whole route. Bands are therefore merged over all entries.
    """
    few, many = RequestClasses(), RequestClasses()
    few.offer(make_job(hinted_tokens=2_000), NOW)
    for number in range(200):
        many.offer(make_job(hinted_tokens=100 + 10 * number), NOW)
    large = make_job(hinted_tokens=2_050)
    for _ in range(20):
        few.serve(make_job(hinted_tokens=100), NOW, 1.0)
    few.merge_from("many", many.export(NOW), NOW)
    many.merge_from("few", few.export(NOW), NOW)
    for classes in (few, many):
        classes.boost(large, NOW + 1)
        assert classes._name(large) == "0.0.2"
    assert few.relative_value(large) == pytest.approx(
        many.relative_value(large), rel=0.02
    )


def test_slow_server_gets_request_it_can_serve_in_time() -> None:
    """Guards against a long prompt at a server too slow to start it in time.

    Under overload a quarter of the engine time can go to prompts started too late.
    """
    slow, fast = make_server("slow", slots=1), make_server("fast", slots=1)
    # At "fast" a peer has one request in flight and no prompt tokens to be prefilled.
    dispatcher = make_dispatcher([slow, fast], FixedPeers({"fast": (1, 0)}))
    for _ in range(30):
        dispatcher.speed(slow).record_first_event(1_500, 0.09)
        dispatcher.speed(fast).record_first_event(1_500, 0.015)
    dispatcher.offer(
        make_job(request_id="long", rank=(0, 0), prompt_tokens=30_000), NOW
    )
    dispatcher.offer(make_job(request_id="short", rank=(0, 1)), NOW)
    assert placements(dispatcher.dispatch("app", NOW)) == {"short": "slow"}


def test_long_prompt_waits_for_fast_server_until_its_objective() -> None:
    slow, fast = make_server("slow", slots=1), make_server("fast", slots=1)
    dispatcher = make_dispatcher([slow, fast], FixedPeers({"fast": (1, 0)}))
    for _ in range(30):
        dispatcher.speed(slow).record_first_event(1_500, 0.09)
        dispatcher.speed(fast).record_first_event(1_500, 0.015)
    dispatcher.offer(make_job(request_id="long", prompt_tokens=30_000), NOW)
    assert placements(dispatcher.dispatch("app", NOW)) == {}
    assert placements(dispatcher.dispatch("app", NOW + 0.7)) == {"long": "slow"}


def test_crashed_server_attracts_no_requests() -> None:
    crashed, healthy = make_server("crashed", slots=4), make_server("healthy", slots=4)
    dispatcher = make_dispatcher([crashed, healthy])
    dispatcher.health(crashed).unreachable(NOW)
    for number in range(3):
        assert dispatcher.offer(make_job(request_id=str(number)), NOW) is None
    assert set(placements(dispatcher.dispatch("app", NOW)).values()) == {"healthy"}
    later = NOW + 5
    assert dispatcher.offer(make_job(request_id="again", arrived=later), later) is None
    assert placements(dispatcher.dispatch("app", later)) == {"again": "crashed"}


def test_slots_held_by_peers_are_not_granted() -> None:
    dispatcher = make_dispatcher(
        [make_server("one", slots=3)], FixedPeers({"one": (2, 0)})
    )
    for number in range(3):
        dispatcher.offer(make_job(request_id=str(number)), NOW)
    assert len(placements(dispatcher.dispatch("app", NOW))) == 1


@pytest.mark.parametrize(("age_s", "taken"), [(0.0, 4), (0.3, 3), (2.0, 2)])
def test_remote_slots_are_kept_free_by_age_of_reports(age_s: float, taken: int) -> None:
    remote = attrs.evolve(make_server("remote", slots=4), data_centre="elsewhere")
    dispatcher = make_dispatcher([remote], FixedPeers(age_s=age_s))
    for number in range(6):
        dispatcher.offer(make_job(request_id=str(number)), NOW)
    assert len(placements(dispatcher.dispatch("app", NOW))) == taken


def test_slot_is_left_to_higher_score_at_peer() -> None:
    peers = FixedPeers(scores=[1e9])
    dispatcher = make_dispatcher([make_server("one", slots=1)], peers)
    dispatcher.offer(make_job(), NOW)
    assert dispatcher.dispatch("app", NOW) == []
    peers.scores = []
    assert len(placements(dispatcher.dispatch("app", NOW))) == 1


def test_freed_slot_goes_to_queue_and_late_requests_are_refused() -> None:
    dispatcher = make_dispatcher([make_server("one", slots=1)])
    first, second = make_job(), make_job()
    for job in (first, second):
        assert dispatcher.offer(job, NOW) is None
    ((_, placement),) = dispatcher.dispatch("app", NOW)
    assert isinstance(placement, Placement)
    assert dispatcher.release(first, placement, NOW + 0.1)
    assert not dispatcher.release(first, placement, NOW + 0.1)
    assert placements(dispatcher.dispatch("app", NOW + 0.1)) == {
        second.request_id: "one"
    }
    third = make_job(arrived=NOW + 0.1)
    dispatcher.offer(third, NOW + 0.1)
    assert refused(dispatcher.dispatch("app", NOW + 9)) == [third.request_id]


@attrs.frozen
class Seen:
    reads: float
    gap: float


@pytest.mark.parametrize("slowness", [0.55, 1.0, 2.8, 8.0])
def test_speed_estimate_converges(slowness: float) -> None:
    speed = SpeedEstimate()
    for _ in range(60):
        speed.record_first_event(6_000, slowness * 0.08)
        for _ in range(10):
            speed.record_gap(slowness * 0.025)
    assert speed.expected_first_s(6_000) == pytest.approx(slowness * 0.08, rel=0.02)
    assert speed.gap_s == pytest.approx(slowness * 0.025, rel=0.02)


def test_slow_server_is_known_from_peers() -> None:
    """Guards against each entry having to discover the slow servers itself.

    With 30 entries and without exchanged speed estimates, a prompt expected to take
    0.5 s took 2.6 s, and a tenth of the reviews was late without overload.
    """
    slow, fast = make_server("slow"), make_server("fast")
    peer, other = make_dispatcher([slow, fast]), make_dispatcher([slow, fast])
    for _ in range(10):
        peer.speed(slow).record_first_event(6_000, 0.4, NOW)
        peer.speed(fast).record_first_event(6_000, 0.05, NOW)
    other.speeds.merge_from("peer", peer.speeds.export(NOW), NOW)
    job = make_job(prompt_tokens=20_000)
    assert other.offer(job, NOW) is None
    assert placements(other.dispatch("app", NOW)) == {job.request_id: "fast"}


def test_received_speed_estimate_decays() -> None:
    one = make_server("one")
    dispatcher = make_dispatcher([one])
    dispatcher.speeds.merge_from(
        "peer", {"one": SpeedEstimate(s_per_token=1e-3, recent=8).export(0.0)}, NOW
    )
    soon = dispatcher.speeds.merged(one, NOW).s_per_token
    later = dispatcher.speeds.merged(one, NOW + 90).s_per_token
    assert soon > 0.9e-3
    assert later == pytest.approx(SpeedEstimate().s_per_token, rel=0.2)


def test_ejection_time_doubles_to_maximum_and_success_resets_it() -> None:
    health = ServerHealth()
    ejection_times = []
    now = NOW
    for _ in range(5):
        health.unreachable(now)
        ejection_times.append(health.ejected_until - now)
        now = health.ejected_until
    assert ejection_times == pytest.approx([0.7, 1.4, 2.8, 3.0, 3.0])
    health.succeeded()
    health.unreachable(now)
    assert health.ejected_until - now == pytest.approx(0.7)


def test_client_retry_is_recognised_at_another_entry() -> None:
    local, remote = ClientRetries(), ClientRetries()
    digest = fingerprint("blue", b"/x", b"body")
    assert digest != fingerprint("red", b"/x", b"body")
    assert digest != fingerprint("blue", b"/y", b"body")
    local.record_refusal(digest, NOW)
    # Ages are sent, not times: the monotonic clocks of entries differ.
    remote.merge_from(local.take_unsent(NOW + 0.5), 900.5)
    assert remote.first_attempt_at(digest, 901.0) == pytest.approx(900.0)
    assert local.take_unsent(NOW + 0.5) == []
    assert remote.first_attempt_at(digest, 950.0) is None


def test_mean_output_of_route_is_estimated() -> None:
    dispatcher = make_dispatcher([make_server("one", slots=9)])
    for _ in range(200):
        job = make_job(hinted_tokens=None)
        dispatcher.offer(job, NOW)
        dispatcher.record_output(job, 10, NOW)
    later: Job = make_job(hinted_tokens=None)
    dispatcher.offer(later, NOW)
    # 10 events of 6 tokens each.
    assert later.output_tokens == pytest.approx(60.0, rel=0.05)


@pytest.mark.parametrize(("size", "used"), [(1, 1), (32, 32), (33, 32), (500, 32)])
def test_subset_is_bounded_and_stable(size: int, used: int) -> None:
    servers = {f"i-{n}": make_server(f"i-{n}") for n in range(size)}
    subsets = ServerSubsets("front-1", "here")
    chosen = {s.id for s in subsets.of_service("app", servers)}
    assert len(chosen) == used
    assert {s.id for s in subsets.of_service("app", servers)} == chosen
    servers["i-new"] = make_server("i-new")
    assert len(chosen - {s.id for s in subsets.of_service("app", servers)}) <= 1
    assert subsets.of_service("other", servers) == []


def test_subsets_of_all_entries_cover_the_service() -> None:
    servers = {f"i-{n}": make_server(f"i-{n}") for n in range(200)}
    used = set()
    for number in range(60):
        subsets = ServerSubsets(f"front-{number}", "here")
        used |= {s.id for s in subsets.of_service("app", servers)}
    assert used == set(servers)


def test_queue_scores_are_exported_while_no_slot_is_free() -> None:
    dispatcher = make_dispatcher(
        [make_server("full", slots=1)], FixedPeers({"full": (1, 0)})
    )
    dispatcher.offer(make_job(), NOW)
    assert dispatcher.dispatch("app", NOW) == []
    (score,) = dispatcher.queue_scores()["app"]
    assert score > 0


def test_streams_are_not_refused_for_good_by_an_estimate_that_nothing_renews() -> None:
    """Guards against a length of streams that was long once and is not measured again.

    Load: a queue that never empties, and streams that have become short, which nothing
    shows until one has ended.
    """
    dispatcher = make_dispatcher([make_server("one")])
    short = attrs.evolve(STREAM, timeout_s=3.0)
    long = make_job(route=short, hinted_tokens=None, event_tokens=1)
    dispatcher.record_output(long, 200, NOW - 10.0)

    def admits(now: float) -> bool:
        job = make_job(route=short, arrived=now, hinted_tokens=None, event_tokens=1)
        return dispatcher.offer(job, now) is None

    # All slots are taken and one request waits.
    for _ in range(3):
        assert dispatcher.offer(make_job(route=PLAIN, arrived=NOW), NOW) is None
        dispatcher.dispatch("app", NOW)
    assert admits(NOW + 0.1)
    assert not any(admits(NOW + 0.2 + 0.05 * n) for n in range(10))
    assert admits(NOW + 2.3)
    assert not admits(NOW + 2.4)
    # Once one has ended, they are known to be short.
    ended = make_job(route=short, hinted_tokens=None, event_tokens=1)
    for _ in range(60):
        dispatcher.record_output(ended, 3, NOW + 2.5)
    assert admits(NOW + 2.6)


def test_streams_of_unknown_length_are_not_refused_for_their_length() -> None:
    """Load: a queue that never empties, at an entry that has seen no stream end."""
    dispatcher = make_dispatcher([make_server("one")])
    short = attrs.evolve(STREAM, timeout_s=3.0)
    for _ in range(3):
        assert dispatcher.offer(make_job(route=PLAIN, arrived=NOW), NOW) is None
        dispatcher.dispatch("app", NOW)
    for n in range(10):
        job = make_job(route=short, arrived=NOW, hinted_tokens=None, event_tokens=1)
        assert dispatcher.offer(job, NOW + 0.05 * n) is None
    announced = make_job(route=short, arrived=NOW, max_output_tokens=300)
    assert dispatcher.offer(attrs.evolve(announced, hinted_tokens=None), NOW) is None
    long = make_job(route=short, arrived=NOW, hinted_tokens=1_000, event_tokens=1)
    assert isinstance(dispatcher.offer(long, NOW), Refused)
