"""Reviews of queued requests after a pause of the process."""

from __future__ import annotations

import asyncio
import time

import pytest

from cornelpin.scheduling.decisions import Refused
from cornelpin.scheduling.review_gate import MAX_DELAY_S, ReviewGate
from cornelpin.tests.fleet_client import fetch
from cornelpin.tests.gateway_harness import run_harness
from cornelpin.tests.scheduling_harness import (
    FixedPeers,
    make_dispatcher,
    make_job,
    make_server,
)

NOW = 100.0
TICK_S = 0.05
LATE_S = TICK_S + 1.5 * MAX_DELAY_S

GATES = [
    # Times between ticks, time since the last one, whether the gate is open.
    ("before the first tick", None, 0.0, False),
    ("after the first tick", [], 0.01, True),
    ("regular", [TICK_S] * 3, 0.01, True),
    ("tick slightly late", [TICK_S], TICK_S + 0.5 * MAX_DELAY_S, True),
    ("tick overdue", [TICK_S], LATE_S, False),
    ("pause of 10 s", [TICK_S], 10.0, False),
    ("after a late tick", [TICK_S, LATE_S], 0.01, True),
    ("overdue again", [TICK_S, LATE_S], LATE_S, False),
]


@pytest.mark.parametrize(
    ("intervals", "since_s", "is_open"),
    [row[1:] for row in GATES],
    ids=[row[0] for row in GATES],
)
def test_reviews_are_postponed_while_a_tick_is_overdue(
    intervals: list[float] | None, since_s: float, is_open: bool
) -> None:
    gate = ReviewGate(TICK_S)
    now = NOW
    if intervals is not None:
        gate.tick(now)
    for interval in intervals or []:
        now += interval
        gate.tick(now)
    assert gate.is_open(now + since_s) is is_open


@pytest.mark.parametrize("review", [True, False])
def test_slots_are_granted_without_a_review(review: bool) -> None:
    peers = FixedPeers({"full": (1, 0)})
    dispatcher = make_dispatcher([make_server("full", slots=2)], peers)
    first, second = make_job(), make_job()
    for job in (first, second):
        assert dispatcher.offer(job, NOW) is None
    # Both are past the time at which a slot is of use.
    decisions = dispatcher.dispatch("app", NOW + 60.0, review=review)
    refused = [job for job, decision in decisions if isinstance(decision, Refused)]
    assert bool(refused) is review


@pytest.mark.parametrize("pause_s", [0.06, 0.1, 0.17, 0.25])
def test_pause_of_the_process_refuses_no_request(pause_s: float) -> None:
    """Guards against refusals for slots that came free during the pause.

    The server's responses of 20 ms are not handled before the pause ends.
    """

    async def scenario() -> None:
        async with run_harness(servers=1) as harness:
            (server,) = harness.servers
            server.behaviour.answer_s = 0.02
            entry = harness.entries[0]

            async def pause() -> None:
                while len(server.arrivals) < server.slots:
                    await asyncio.sleep(0)
                time.sleep(pause_s)  # noqa: ASYNC251

            address = entry._settings.callers
            _, *responses = await asyncio.gather(
                pause(), *(fetch(address, "/safe/x") for _ in range(6))
            )
            assert [response.status for response in responses] == [200] * 6

    asyncio.run(scenario())
