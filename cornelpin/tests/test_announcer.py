"""A side's announcements of its load."""

from __future__ import annotations

from types import SimpleNamespace

import attrs

from cornelpin.daemon.announcer import LOAD_INTERVAL_S, Announcer
from cornelpin.daemon.messages import Heartbeat

IDLE = Heartbeat(1, False, 8, 8, 0, [], 0.01)


def test_a_state_told_to_one_peer_is_followed_by_an_announcement_to_all() -> None:
    now = [0.0]
    heard: list[Heartbeat] = []
    told: list[Heartbeat] = []
    peers = [SimpleNamespace(send=heard.append)]
    announcer = Announcer(lambda: IDLE, lambda: peers, clock=lambda: now[0])
    announcer.announce()
    announcer.send_state(attrs.evolve(IDLE, free=0), told.append)
    now[0] += LOAD_INTERVAL_S
    announcer.tick()
    assert heard == [IDLE, IDLE]
    now[0] += LOAD_INTERVAL_S
    announcer.tick()
    assert heard == [IDLE, IDLE]
