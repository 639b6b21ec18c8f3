"""Announcements of a side's load to its entries."""

from __future__ import annotations

from types import SimpleNamespace

import attrs

from cornelpin.daemon.announcer import LOAD_INTERVAL_S, Announcer
from cornelpin.daemon.messages import Heartbeat

# Fields: number, leaving, slots, free, waiting, versions, token_s.
IDLE = Heartbeat(1, False, 8, 8, 0, [], 0.01)


def test_state_sent_to_one_peer_is_announced_to_all_peers() -> None:
    """The peer would otherwise keep an outdated state.

    The load at the next tick equals the one last announced to all, so that the tick
    would send nothing.
    """
    now = [0.0]
    announced: list[Heartbeat] = []
    sent_to_one: list[Heartbeat] = []
    peers = [SimpleNamespace(send=announced.append)]
    announcer = Announcer(lambda: IDLE, lambda: peers, clock=lambda: now[0])
    announcer.announce()
    announcer.send_state(attrs.evolve(IDLE, free=0), sent_to_one.append)
    now[0] += LOAD_INTERVAL_S
    announcer.tick()
    assert announced == [IDLE, IDLE]
    now[0] += LOAD_INTERVAL_S
    announcer.tick()
    assert announced == [IDLE, IDLE]
