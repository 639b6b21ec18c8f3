"""Propagation of the host list to the own process, to entries and to sides.

Guards against processes that miss a draining host, apply an old reading of the list or
treat an outage of the list as a change.
"""

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


class FakeHostList(HostList):
    """A host list in memory; None as ``leaving`` stands for an outage."""

    def __init__(self):
        self.leaving = set()

    def read(self):
        if self.leaving is None:
            return Unavailable("down")
        names = (OWN_HOST, SIDE_HOST, OTHER_HOST)
        return Hosts(
            tuple(
                ListedHost(n, "10.0.0.1", "dc", LEAVING if n in self.leaving else LIVE)
                for n in names
            )
        )


class Harness:
    """A host watch of entry e1 with fake peers: entry e2 and the sides f1 and f2."""

    def __init__(self):
        servers = {"f1": SimpleNamespace(host=SIDE_HOST)}
        servers["f2"] = SimpleNamespace(host=OTHER_HOST)
        self.clock = HybridClock()
        self.process = SimpleNamespace(
            settings=SimpleNamespace(host=OWN_HOST, name="e1"),
            clock=self.clock,
            ring=EventRing(self.clock, process="e1", host=OWN_HOST),
            view=SimpleNamespace(config=SimpleNamespace(backend_servers=servers)),
            listed_draining=False,
        )
        self.entry = FakePeer("e2", "entry")
        self.links = [FakePeer("f1", "side"), FakePeer("f2", "side")]
        self.changes = 0
        self.hosts = FakeHostList()
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

    def last_notices(self):
        """Returns the last notice sent to each side, by backend server."""
        return {
            link.name: link.sent[-1].leaving if link.sent else None
            for link in self.links
        }


POLL_SEQUENCES = {
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


@pytest.mark.parametrize("name", POLL_SEQUENCES)
def test_sides_and_process_follow_the_host_list(name):
    polls, last_notices, own_draining = POLL_SEQUENCES[name]
    harness = Harness()
    for leaving in polls:
        harness.poll(leaving)
    assert harness.last_notices() == last_notices
    assert harness.process.listed_draining is own_draining


def test_only_changes_are_sent_with_increasing_stamps():
    harness = Harness()
    for leaving in ({SIDE_HOST}, {SIDE_HOST}, None, {SIDE_HOST}, set()):
        harness.poll(leaving)
    updates = harness.entry.sent
    assert [msg.hosts for msg in updates] == [[SIDE_HOST], []]
    assert updates[0].stamp < updates[1].stamp
    assert [msg.stamp for msg in harness.links[0].sent] == [
        msg.stamp for msg in updates
    ]


def test_on_change_is_called_once_per_change_of_the_own_host():
    harness = Harness()
    for leaving in ({OWN_HOST}, {OWN_HOST, SIDE_HOST}, {SIDE_HOST}, set()):
        harness.poll(leaving)
    assert harness.changes == 2


@pytest.mark.parametrize("stamp, taken", [(4, False), (5, False), (6, True)])
def test_only_newer_readings_of_other_entries_are_applied(stamp, taken):
    harness = Harness()
    harness.watch.handle(HostsLeaving(5, [SIDE_HOST]))
    harness.watch.handle(HostsLeaving(stamp, [OTHER_HOST]))
    assert harness.last_notices() == {"f1": not taken, "f2": taken}


def test_new_peers_get_the_listed_state_for_their_role():
    harness = Harness()
    peer, side = FakePeer("e3", "entry"), FakePeer("side-f1", "side")
    harness.watch.send_initial_state(peer, None)
    harness.watch.send_initial_state(side, harness.links[0])
    assert peer.sent == side.sent == []
    harness.watch.handle(HostsLeaving(5, [SIDE_HOST]))
    harness.watch.send_initial_state(peer, None)
    harness.watch.send_initial_state(side, harness.links[0])
    assert peer.sent == [HostsLeaving(5, [SIDE_HOST])]
    assert side.sent == [HostNotice(5, True)]


def test_a_side_without_configuration_is_not_reported_as_draining():
    harness = Harness()
    harness.process.view.config.backend_servers.clear()
    harness.poll({SIDE_HOST})
    assert harness.last_notices() == {"f1": False, "f2": False}
