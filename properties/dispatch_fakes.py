"""Fakes for tests of dispatch: sessions and sides that a test drives step by step.

The message handling of ``Side`` is the real one; streams and backend servers are fakes.
"""

from __future__ import annotations

import collections
import threading
import time
import types
from unittest import mock

from cornelpin.core.clock import HybridClock
from cornelpin.core.events import EventRing
from cornelpin.daemon.admission import Admission
from cornelpin.daemon.endpoints import Endpoint
from cornelpin.daemon.links import Link
from cornelpin.daemon.runner import Runner
from cornelpin.daemon.runs import RunTable
from cornelpin.daemon.side import Side

# Number of run ids that each side keeps after it has dropped the runs. With few of
# them a side soon cannot state of an unknown run that it was never started.
MAX_PAST_RUNS = {"s1": 1, "s2": 1000}
SERVERS = tuple(MAX_PAST_RUNS)


class FakePeer:
    """One end of a session; rules deliver the messages of its outbox."""

    def __init__(self, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.closed = False
        self.last_ping_at = None
        self.outbox = collections.deque()

    @property
    def last_received_at(self):
        return time.monotonic()

    def send(self, msg):
        if not self.closed:
            self.outbox.append(msg)

    def close(self):
        self.closed = True


def make_process(name, incarnation):
    route = types.SimpleNamespace(backend_servers=SERVERS)
    view = types.SimpleNamespace(number=1, head=None, on_change=lambda listener: None)
    view.config = types.SimpleNamespace(
        number=1, routes={"route": route}, tiers={}, workspaces={}, hosts={}
    )
    backend = types.SimpleNamespace(name=name, kind="service", url="", slots=1)
    process = mock.MagicMock(view=view, incarnation=incarnation)
    process.settings = types.SimpleNamespace(backend=backend, name=name, host=name)
    process.ring = EventRing(HybridClock(), process=name, host=name)
    process.draining = threading.Event()
    process.stopping = threading.Event()
    process.is_host_draining.return_value = False
    return process


class HeldRunner(Runner):
    """Holds started runs for the rules instead of executing them in threads.

    ``held`` is a list of (run, function that frees its slot, whether it was resumed).
    """

    def __init__(self, server):
        super().__init__(None, server.ring, slots=1, on_end=lambda run, end: None)
        self.runs = RunTable(past_limit=MAX_PAST_RUNS[server.name])
        self.held = []

    def start(self, run, release):
        self.held.append((run, release, False))

    def resume(self, run, offset, release):
        self.held.append((run, release, True))


class SimulatedServer:
    """One backend server with its current side process and its link from the entry.

    Attributes:
        progress: Number of response parts that the backend server sent, by request id.
        entry_end: The entry's end of the latest session.
        sessions: Both ends and the side of each session, the latest last: (entry's end,
            side's end, side). A session stays until the side notices its loss.
    """

    def __init__(self, name):
        self.name = name
        self.ring = EventRing(HybridClock(), process=name, host=name)
        self.progress = {}
        self.side_starts = 0
        self.link = Link(name, Endpoint("", ""))
        self.entry_end = None
        self.sessions = []
        self.start_side()

    def start_side(self):
        self.side_starts += 1
        self.side = Side(make_process(self.name, f"{self.name}-{self.side_starts}"))
        self.side._runner = HeldRunner(self)
        self.side._runs = self.side._runner.runs
        self.side._admission = Admission(1, self.side._runs, self.side._suspicions)
        self.side._runner.before_end = lambda run, end: None

    @property
    def held(self):
        return self.side._runner.held
