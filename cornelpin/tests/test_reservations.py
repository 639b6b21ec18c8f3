"""Queue order, load shedding and fair sharing at a side and at an entry.

Guards against a tier that is shed while a lower one is still served, and against
workspaces or sides that hold slots for requests served elsewhere.
"""

from __future__ import annotations

import itertools

import pytest

from cornelpin.core.execution import Refusal
from cornelpin.core.reservations import Reservation, ReservationQueue, TierPolicy
from cornelpin.core.tickets import Request, Ticket
from cornelpin.daemon.ticket_table import TicketLimits, TicketTable

TIERS = {
    "question": TierPolicy(shed_order=30, urgency=0),
    "review": TierPolicy(shed_order=20, urgency=20, slot_share=0.5),
    "tag": TierPolicy(shed_order=10, urgency=10, queue_share=0.5),
}
WAIT_S = 10.0
NUMBERS = itertools.count()


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def reserve(queue, clock, *tiers, waited_s=0.0, workspace="w", rank=0):
    """Places reservations and returns the tiers of those that were shed."""
    shed = []
    for tier in tiers:
        shed += queue.place(
            Reservation(
                request_id=f"r{next(NUMBERS)}",
                owner="peer",
                tier=tier,
                workspace=workspace,
                version="",
                cost=10,
                placed_at=clock.now - waited_s,
                wait_s=WAIT_S,
                rank=rank,
            )
        )
    return [res.tier for res in shed]


def make_queue(capacity=100):
    clock = Clock()
    queue = ReservationQueue(capacity=capacity, clock=clock)
    queue.tiers = TIERS
    return queue, clock


def take_tier(queue, *, blocked=(), may_exceed=True):
    """Takes the next reservation and returns its tier; blocked tiers have no share."""
    res = queue.take_next(lambda res: res.tier not in blocked, may_exceed=may_exceed)
    return res and res.tier


@pytest.mark.parametrize(
    ("fresh", "at_risk", "blocked", "may_exceed", "expected"),
    [
        (["tag", "review", "question"], [], (), True, "question"),
        (["tag", "review"], [], (), True, "tag"),
        (["tag"], ["review"], (), True, "review"),
        (["tag"], ["review"], ("review",), True, "review"),
        (["tag"], ["review"], ("review",), False, None),
        (["tag", "question"], ["review"], ("review",), True, "question"),
        (["question"], ["tag"], (), True, "question"),
        (["question"], ["review"], (), True, "question"),
        ([], ["tag", "question"], (), True, "question"),
        (["tag"], [], ("tag",), True, None),
    ],
)
def test_next_reservation_by_urgency_risk_and_slot_share(
    fresh, at_risk, blocked, may_exceed, expected
):
    queue, clock = make_queue()
    reserve(queue, clock, *fresh)
    reserve(queue, clock, *at_risk, waited_s=0.8 * WAIT_S)
    assert take_tier(queue, blocked=blocked, may_exceed=may_exceed) == expected


@pytest.mark.parametrize(
    ("capacity", "placed", "shed"),
    [
        (2, ["tag", "review", "question"], ["tag"]),
        (2, ["question", "review", "tag"], ["tag"]),
        (2, ["question", "question", "question"], ["question"]),
        (4, ["tag", "tag", "tag"], ["tag"]),
    ],
)
def test_full_queue_sheds_by_shed_order(capacity, placed, shed):
    queue, clock = make_queue(capacity)
    assert reserve(queue, clock, *placed) == shed


@pytest.mark.parametrize(
    ("after_s", "expected"), [(0.0, None), (1.0, None), (2.0, "tag")]
)
def test_lower_tiers_get_no_slot_shortly_after_a_shed(after_s, expected):
    queue, clock = make_queue()
    reserve(queue, clock, "review", waited_s=2 * WAIT_S)
    reserve(queue, clock, "tag")
    assert [res.tier for res in queue.expired()] == ["review"]
    clock.now += after_s
    assert take_tier(queue) == expected


@pytest.mark.parametrize("tier", ["question", "review"])
def test_nothing_is_shed_while_the_queue_has_room(tier):
    queue, clock = make_queue(1000)
    assert reserve(queue, clock, *[tier] * 500) == []


def test_workspaces_share_by_weighted_tokens_and_idle_time_earns_no_credit():
    queue, clock = make_queue()
    queue.shares = {"a": 3.0, "b": 1.0}
    reserve(queue, clock, *["question"] * 20, workspace="a")
    for _ in range(8):
        take_tier(queue)
    reserve(queue, clock, *["question"] * 20, workspace="b")
    taken = [queue.take_next(lambda res: True, may_exceed=True) for _ in range(8)]
    assert sum(res.workspace == "a" for res in taken) == 6


def test_workspace_served_by_another_side_is_charged_here():
    queue, clock = make_queue()
    reserve(queue, clock, *["question"] * 4, workspace="a")
    reserve(queue, clock, *["question"] * 4, workspace="b")
    served = queue.find(lambda res: res.workspace == "a")
    queue.withdraw(served.request_id, owner="peer")
    first = queue.take_next(lambda res: True, may_exceed=True)
    assert first.workspace == "b"


@pytest.mark.parametrize(
    ("younger_s", "ranks", "expected"),
    [
        (0.1, (1, 0), 1),
        (0.1, (2, 1), 1),
        (0.1, (0, 0), 0),
        (1.0, (3, 0), 0),
        (1.0, (9, 0), 1),
    ],
)
def test_sides_delay_requests_that_prefer_another_side(younger_s, ranks, expected):
    queue, clock = make_queue()
    for i, rank in enumerate(ranks):
        reserve(queue, clock, "question", waited_s=2.0 - i * younger_s, rank=rank)
    first = queue.take_next(lambda res: True, may_exceed=True)
    assert first.rank == ranks[expected]


def make_ticket(number, tier, body=b"", workspace="w", durable=False):
    req = Request(
        request_id=str(number),
        workspace=workspace,
        durable=durable,
        route="r",
        tier=tier,
        kind="model",
        method="POST",
        path="/",
        headers={},
        body=body,
        cost=1,
        deadline=0.0,
        max_wait_s=1.0,
    )
    return Ticket(req)


@pytest.mark.parametrize(
    ("limits", "held", "newcomer", "evicted"),
    [
        (TicketLimits(2), ["question", "question"], "question", None),
        (TicketLimits(10), ["tag"] * 8, "tag", None),
        (TicketLimits(10), ["tag"] * 8, "review", []),
        (TicketLimits(10), ["tag"] * 8 + ["question"] * 2, "question", [0]),
        (TicketLimits(10, 15), ["tag"], "question", [0]),
    ],
)
def test_ticket_table_reserves_room_for_higher_tiers(limits, held, newcomer, evicted):
    orders = {name: policy.shed_order for name, policy in TIERS.items()}
    table = TicketTable(limits, lambda: orders)
    tickets = [make_ticket(i, tier, b"0123456789") for i, tier in enumerate(held)]
    for each in tickets:
        table.admit(each)
    new = make_ticket("new", newcomer, b"0123456789")
    if evicted is None:
        with pytest.raises(Refusal):
            table.admit(new)
        return
    table.admit(new)
    assert [i for i, t in enumerate(tickets) if not t.waiting] == evicted


def test_ticket_table_leaves_connections_to_other_workspaces():
    table = TicketTable(TicketLimits(100, connections=20), dict)
    crowd = [make_ticket(i, "question", workspace="crowd") for i in range(20)]
    for each in crowd[:18]:
        table.admit(each)
    with pytest.raises(Refusal) as refusal:
        table.admit(crowd[18])
    assert "connections" in refusal.value.detail
    assert not refusal.value.execution.may_have_run
    table.admit(make_ticket("other", "question"))
    # Durable requests hold no connection.
    table.admit(make_ticket("durable", "question", workspace="crowd", durable=True))
    table.remove("0")
    table.remove("1")
    table.admit(crowd[19])
