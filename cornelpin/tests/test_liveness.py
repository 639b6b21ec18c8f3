from types import SimpleNamespace

import pytest

from cornelpin.core.clock import HybridClock
from cornelpin.core.config import parse_config
from cornelpin.core.events import EventRing
from cornelpin.daemon.config_status import CensusRow, merge_rows, unreported_rows
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


def run_pinger(*, answers_until, busy, ticks):
    """Ticks every half second; returns the peer and the time of its end."""
    now = [0.0]
    peer = FakePeer()
    link = SimpleNamespace(name="f1", peer=peer)
    process = SimpleNamespace(ring=EventRing(HybridClock(), process="e", host="h"))
    pinger = Pinger(
        process,
        links=lambda: [link],
        state=lambda: None,
        busy=lambda: [link] if busy else [],
        clock=lambda: now[0],
    )
    for step in ticks:
        now[0] += step
        pinger.tick()
        if peer.closed:
            return peer, now[0]
        waits = (
            peer.last_ping_at is not None and peer.last_received_at < peer.last_ping_at
        )
        if waits and now[0] <= answers_until:
            peer.last_received_at = now[0]
    return peer, None


@pytest.mark.parametrize("busy, silence_s", [(True, 1.0), (False, 8.0)])
def test_an_answering_peer_is_kept_and_pinged_after_each_silence(busy, silence_s):
    peer, ended = run_pinger(answers_until=1e9, busy=busy, ticks=[0.5] * 100)
    assert ended is None
    assert peer.sent == int(50 / silence_s)


@pytest.mark.parametrize("busy, latest_s", [(True, 4.5), (False, 11.5)])
def test_a_silent_peer_is_ended_in_bounded_time(busy, latest_s):
    _, ended = run_pinger(answers_until=-1, busy=busy, ticks=[0.5] * 100)
    assert ended is not None
    assert ended <= latest_s


def test_a_process_that_was_stopped_itself_asks_again_first():
    ticks = [0.5] * 3 + [60.0] + [0.5] * 5
    peer, ended = run_pinger(answers_until=-1, busy=True, ticks=ticks)
    assert ended is None
    assert peer.sent == 2


def config(entries_by_centre, leaving=()):
    centre_of = {e: c for c, entries in entries_by_centre.items() for e in entries}
    return parse_config(
        {
            "entries": {
                e: {"host": f"h-{e}", "peer_port": 1, "http_port": 2} for e in centre_of
            },
            "hosts": {
                f"h-{e}": {
                    "address": "10.0.0.1",
                    "data_centre": centre,
                    "leaving": e in leaving,
                }
                for e, centre in centre_of.items()
            },
        },
        number=1,
    )


@pytest.mark.parametrize("entries, watchers", [(1, 1), (3, 3), (40, 3)])
def test_each_data_centre_has_few_watchers(entries, watchers):
    centres = {c: [f"{c}{i}" for i in range(entries)] for c in ("a", "b")}
    cfg = config(centres)
    for names in centres.values():
        assert sum(is_watcher(cfg, name) for name in names) == watchers


def test_another_entry_watches_when_one_leaves():
    names = [f"e{i}" for i in range(10)]
    leaving = [name for name in names if is_watcher(config({"a": names}), name)]
    after = config({"a": names}, leaving)
    chosen = {name for name in names if is_watcher(after, name)}
    assert len(chosen) == WATCHERS_PER_DATA_CENTRE
    assert chosen.isdisjoint(leaving)


def test_a_census_keeps_the_highest_number_and_names_who_is_missing():
    cfg = config({"a": ["e1", "e2", "e3"]})
    rows = [CensusRow("entry", "e1", "e1", 4), CensusRow("entry", "e2", "e2", 5)]
    merged = merge_rows([*rows, CensusRow("entry", "e1", "e1", 5)])
    assert [(row.name, row.number) for row in merged] == [("e1", 5), ("e2", 5)]
    assert [row.name for row in unreported_rows(cfg, merged)] == ["e3"]
