"""When a stream whose server is silent could go on at another server at once."""

from __future__ import annotations

import pytest

from cornelpin.tests.scheduling_harness import (
    PLAIN,
    FixedPeers,
    make_dispatcher,
    make_job,
    make_server,
)

NOW = 100.0
MOVES = [
    # Slots by server, those that other entries use, queued jobs, ejected servers, those
    # that the job avoids, whether it can move from the first server.
    ("another is free", {"a": 1, "b": 1}, {}, 0, "", "", True),
    ("no other", {"a": 9}, {}, 0, "", "", False),
    ("others are full", {"a": 9, "b": 2, "c": 1}, {"b": 2, "c": 1}, 0, "", "", False),
    ("as many wait as slots are free", {"a": 1, "b": 2}, {}, 2, "", "", False),
    ("fewer wait", {"a": 1, "b": 3}, {}, 2, "", "", True),
    ("another is ejected", {"a": 1, "b": 1}, {}, 0, "b", "", False),
    ("another had it before", {"a": 1, "b": 1}, {}, 0, "", "b", False),
    ("a third is free", {"a": 1, "b": 1, "c": 1}, {}, 0, "b", "", True),
]


@pytest.mark.parametrize(
    ("slots", "used", "queued", "ejected", "avoided", "movable"),
    [row[1:] for row in MOVES],
    ids=[row[0] for row in MOVES],
)
def test_stream_can_move(
    slots: dict[str, int],
    used: dict[str, int],
    queued: int,
    ejected: str,
    avoided: str,
    movable: bool,
) -> None:
    servers = [make_server(name, slots=number) for name, number in slots.items()]
    peers = FixedPeers()
    peers.flights = {name: (number, 0) for name, number in used.items()}
    dispatcher = make_dispatcher(servers, peers)
    for candidate in dispatcher._candidates.of_service("app", NOW):
        if candidate.server.id in ejected:
            candidate.health.unreachable(NOW)
    for _ in range(queued):
        dispatcher._service("app").queue.add(make_job(route=PLAIN), NOW)
    job = make_job(route=PLAIN)
    job.avoid.update(avoided)
    assert dispatcher.can_move(job, servers[0], NOW) == movable
