"""Pings of links, and how entries watch the configuration and report its status."""

from types import SimpleNamespace

import pytest

from cornelpin.core.clock import HybridClock
from cornelpin.core.config import parse_config
from cornelpin.core.events import EventRing
from cornelpin.daemon.config_status import ConfigStatusRow, merge_rows, unreported_rows
from cornelpin.daemon.config_watcher import WATCHERS_PER_DATA_CENTRE, is_watcher
from cornelpin.daemon.liveness import Pinger


class FakePeer:
    def __init__(self):
        self.last_received_at, self.last_ping_at, self.closed = 0.0, None, False
        self.sent = 0

    def send(self, msg):
        self.sent += 1

    def close(self):
        self.closed = True


def run_pinger(*, replies_until_s, busy, intervals_s):
    """Ticks after each interval against a peer that replies until a time.

    Returns:
        The peer and the time at which its session was closed, if it was.
    """
    now = [0.0]
    peer = FakePeer()
    link = SimpleNamespace(name="f1", peer=peer)
    process = SimpleNamespace(ring=EventRing(HybridClock(), process="e", host="h"))
    pinger = Pinger(
        process,
        links=lambda: [link],
        state=lambda: None,
        pinged_often=lambda: [link] if busy else [],
        clock=lambda: now[0],
    )
    for interval_s in intervals_s:
        now[0] += interval_s
        pinger.tick()
        if peer.closed:
            return peer, now[0]
        unanswered = (
            peer.last_ping_at is not None and peer.last_received_at < peer.last_ping_at
        )
        if unanswered and now[0] <= replies_until_s:
            peer.last_received_at = now[0]
    return peer, None


@pytest.mark.parametrize("busy, silence_s", [(True, 1.0), (False, 8.0)])
def test_responsive_peer_is_kept_and_pinged_after_each_silence(busy, silence_s):
    peer, closed_at = run_pinger(
        replies_until_s=1e9, busy=busy, intervals_s=[0.5] * 100
    )
    assert closed_at is None
    assert peer.sent == int(50 / silence_s)


@pytest.mark.parametrize("busy, latest_s", [(True, 4.5), (False, 11.5)])
def test_session_of_silent_peer_is_closed_in_bounded_time(busy, latest_s):
    _, closed_at = run_pinger(replies_until_s=-1, busy=busy, intervals_s=[0.5] * 100)
    assert closed_at is not None
    assert closed_at <= latest_s


def test_process_resumed_from_suspension_pings_again_before_closing():
    """Guards against closing sessions whose replies arrived during a suspension."""
    intervals_s = [0.5] * 3 + [60.0] + [0.5] * 5
    peer, closed_at = run_pinger(replies_until_s=-1, busy=True, intervals_s=intervals_s)
    assert closed_at is None
    assert peer.sent == 2


def config(entries_by_data_centre, draining=()):
    data_centres = {e: c for c, names in entries_by_data_centre.items() for e in names}
    return parse_config(
        {
            "entries": {
                e: {"host": f"h-{e}", "peer_port": 1, "http_port": 2}
                for e in data_centres
            },
            "hosts": {
                f"h-{e}": {
                    "address": "10.0.0.1",
                    "data_centre": data_centre,
                    "leaving": e in draining,
                }
                for e, data_centre in data_centres.items()
            },
        },
        number=1,
    )


@pytest.mark.parametrize("entries, watchers", [(1, 1), (3, 3), (40, 3)])
def test_number_of_watchers_per_data_centre_is_bounded(entries, watchers):
    data_centres = {c: [f"{c}{i}" for i in range(entries)] for c in ("a", "b")}
    cfg = config(data_centres)
    for names in data_centres.values():
        assert sum(is_watcher(cfg, name) for name in names) == watchers


def test_draining_watchers_are_replaced_by_other_entries():
    names = [f"e{i}" for i in range(10)]
    draining = [name for name in names if is_watcher(config({"a": names}), name)]
    after = config({"a": names}, draining)
    chosen = {name for name in names if is_watcher(after, name)}
    assert len(chosen) == WATCHERS_PER_DATA_CENTRE
    assert chosen.isdisjoint(draining)


def test_config_status_has_highest_numbers_and_missing_processes():
    cfg = config({"a": ["e1", "e2", "e3"]})
    rows = [
        ConfigStatusRow("entry", "e1", "e1", 4),
        ConfigStatusRow("entry", "e2", "e2", 5),
    ]
    merged = merge_rows([*rows, ConfigStatusRow("entry", "e1", "e1", 5)])
    assert [(row.name, row.number) for row in merged] == [("e1", 5), ("e2", 5)]
    assert [row.name for row in unreported_rows(cfg, merged)] == ["e3"]
