from __future__ import annotations

from types import SimpleNamespace

import pytest

from cornelpin.core.clock import HybridClock
from cornelpin.core.events import EventRing
from cornelpin.daemon.host_messages import HostNotice, HostsLeaving
from cornelpin.daemon.host_watch import HostWatch
from cornelpin.stores.hosts import LEAVING, LIVE, HostList, Hosts, ListedHost
from cornelpin.stores.objects import Unavailable

OWN_HOST = "host-e1"
SIDE_HOST = "host-f1"
OTHER_HOST = "host-f2"


class FakePeer:
    def __init__(self, name, role):
        self.name, self.role, self.sent = name, role, []

    def send(self, msg):
        self.sent.append(msg)


class ScriptedHosts(HostList):
    """Answers with the hosts set last; None stands for an outage."""

    def __init__(self):
        self.leaving = set()

    def hosts(self):
        if self.leaving is None:
            return Unavailable("down")
        names = (OWN_HOST, SIDE_HOST, OTHER_HOST)
        return Hosts(
            tuple(
                ListedHost(n, "10.0.0.1", "dc", LEAVING if n in self.leaving else LIVE)
                for n in names
            )
        )


class Bed:
    def __init__(self):
        servers = {"f1": SimpleNamespace(host=SIDE_HOST)}
        servers["f2"] = SimpleNamespace(host=OTHER_HOST)
        self.clock = HybridClock()
        self.process = SimpleNamespace(
            settings=SimpleNamespace(host=OWN_HOST, name="e1"),
            clock=self.clock,
            ring=EventRing(self.clock, process="e1", host=OWN_HOST),
            view=SimpleNamespace(config=SimpleNamespace(backend_servers=servers)),
            listed_leaving=False,
        )
        self.entry = FakePeer("e2", "entry")
        self.links = [FakePeer("f1", "side"), FakePeer("f2", "side")]
        self.changes = 0
        self.hosts = ScriptedHosts()
        self.watch = HostWatch(
            self.process,
            self.hosts,
            peers=lambda: [self.entry, *self.links],
            links=lambda: self.links,
            on_change=self._changed,
        )

    def _changed(self):
        self.changes += 1

    def poll(self, leaving):
        self.hosts.leaving = leaving
        self.watch._poll(self.hosts)

    def told(self):
        """Returns what each side was told last, by backend server."""
        return {
            link.name: link.sent[-1].leaving if link.sent else None
            for link in self.links
        }


POLLS = {
    "nobody leaves": ([set()], {"f1": False, "f2": False}, False),
    "a side leaves": ([set(), {SIDE_HOST}], {"f1": True, "f2": False}, False),
    "a side returns": ([{SIDE_HOST}, set()], {"f1": False, "f2": False}, False),
    "an outage changes nothing": (
        [{SIDE_HOST}, None],
        {"f1": True, "f2": False},
        False,
    ),
    "this host leaves": ([{OWN_HOST}], {"f1": False, "f2": False}, True),
    "this host returns": ([{OWN_HOST}, set()], {"f1": False, "f2": False}, False),
}


@pytest.mark.parametrize("name", POLLS)
def test_sides_and_process_follow_the_list(name):
    polls, told, own = POLLS[name]
    bed = Bed()
    for leaving in polls:
        bed.poll(leaving)
    assert bed.told() == told
    assert bed.process.listed_leaving is own


def test_only_a_change_is_told_and_stamps_rise():
    bed = Bed()
    for leaving in ({SIDE_HOST}, {SIDE_HOST}, None, {SIDE_HOST}, set()):
        bed.poll(leaving)
    news = bed.entry.sent
    assert [msg.hosts for msg in news] == [[SIDE_HOST], []]
    assert news[0].stamp < news[1].stamp
    assert [msg.stamp for msg in bed.links[0].sent] == [msg.stamp for msg in news]


def test_the_process_is_told_once_for_each_change_of_its_own_host():
    bed = Bed()
    for leaving in ({OWN_HOST}, {OWN_HOST, SIDE_HOST}, {SIDE_HOST}, set()):
        bed.poll(leaving)
    assert bed.changes == 2


@pytest.mark.parametrize("stamp, taken", [(4, False), (5, False), (6, True)])
def test_only_a_newer_reading_of_another_entry_is_taken(stamp, taken):
    bed = Bed()
    bed.watch.handle(HostsLeaving(5, [SIDE_HOST]))
    bed.watch.handle(HostsLeaving(stamp, [OTHER_HOST]))
    assert bed.told() == {"f1": not taken, "f2": taken}


def test_new_peers_learn_what_is_listed_by_their_role():
    bed = Bed()
    peer, side = FakePeer("e3", "entry"), FakePeer("side-f1", "side")
    bed.watch.send_initial_state(peer, None)
    bed.watch.send_initial_state(side, bed.links[0])
    assert peer.sent == side.sent == []
    bed.watch.handle(HostsLeaving(5, [SIDE_HOST]))
    bed.watch.send_initial_state(peer, None)
    bed.watch.send_initial_state(side, bed.links[0])
    assert peer.sent == [HostsLeaving(5, [SIDE_HOST])]
    assert side.sent == [HostNotice(5, True)]


def test_a_side_that_is_no_longer_configured_is_not_listed_as_leaving():
    bed = Bed()
    bed.process.view.config.backend_servers.clear()
    bed.poll({SIDE_HOST})
    assert bed.told() == {"f1": False, "f2": False}
