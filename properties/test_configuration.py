"""Configuration sync between processes, with a faulty store and lost sessions.

No process may go back to a lower number, see another document under a number, or miss
an accepted patch; once the faults end, all processes agree with the store.
"""

import collections
import types

from hypothesis import HealthCheck, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cornelpin.core.configstore import Accepted, ConfigStore, Snapshot, Undecided
from cornelpin.core.sections import canonical_json
from cornelpin.daemon.config_sync import REQUEST_RETRY_S, ConfigSync
from cornelpin.daemon.config_view import ConfigView
from cornelpin.daemon.config_watcher import ConfigWatcher
from cornelpin.stores.memory_objects import MemoryObjectStore
from properties.profiles import run_settings

NAMES = ("e1", "e2", "s1")
PROCESSES = st.sampled_from(NAMES)
REPAIR_ROUNDS = 30
ENTRIES = st.sampled_from(NAMES[:2])


class FaultyStore(MemoryObjectStore):
    """Returns the previous version on reads while ``stale`` is set."""

    def __init__(self):
        super().__init__()
        self.stale = False
        self.previous = {}

    def put(self, key, value, *, if_version):
        before = self._objects.get(key)
        outcome = super().put(key, value, if_version=if_version)
        if self._objects.get(key) != before:
            self.previous[key] = before
        return outcome

    def _read(self, key, unless_version):
        previous = self.previous.get(key)
        if self.stale and not self.outage and previous is not None:
            return previous
        return super()._read(key, unless_version)


class FakePeer:
    """One end of a session; sent messages are queued until delivered."""

    def __init__(self, owner, other):
        self.owner, self.other = owner, other
        self.role = "side" if other.startswith("s") else "entry"
        self.closed = False
        self.sent = collections.deque()

    def send(self, msg):
        if not self.closed:
            self.sent.append(msg)


class ProcessRun:
    """One run of a process, with its view, sync and store."""

    def __init__(self, name, store):
        role = "side" if name.startswith("s") else "entry"
        self.view = ConfigView()
        self.peers = {}
        ring = types.SimpleNamespace(record=lambda *args, **kwargs: None)
        process = types.SimpleNamespace(
            view=self.view, ring=ring, settings=types.SimpleNamespace(role=role)
        )
        self.time = 0.0
        self.sync = ConfigSync(
            process, lambda: list(self.peers.values()), clock=lambda: self.time
        )
        self.store = ConfigStore(
            store, clock=lambda: 1.0, sleep=lambda s: None, known=self.view.snapshot
        )
        self.watcher = ConfigWatcher(name, self.store, self.sync, self.view)
        self.highest = 0


class Configuration(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = FaultyStore()
        self.runs = {}
        self.documents = {}
        self.accepted = {}
        self.count = 0

    @initialize()
    def start(self):
        self.runs = {name: ProcessRun(name, self.store) for name in NAMES}
        for name in NAMES:
            self.connect(name)
        first = {"tiers": {"t": {}}, "routes": {"r": {"tier": "t"}}, "workspaces": {}}
        assert self.runs["e1"].store.submit(0, first, author="a") == Accepted(1)

    def connect(self, name):
        for other in NAMES:
            if other != name:
                self.open_session(name, other)

    def open_session(self, one, other):
        for owner, end in ((one, other), (other, one)):
            self.runs[owner].peers[end] = FakePeer(owner, end)
        for owner, end in ((one, other), (other, one)):
            self.runs[owner].sync.on_peer_opened(self.runs[owner].peers[end])

    @rule(name=ENTRIES, many=st.booleans())
    def patch(self, name, many):
        self.count += 1
        run = self.runs[name]
        # 70 items are more than SHARD_ABOVE_ITEMS: the section is split.
        added = range(70) if many else range(1)
        entries = {f"w{self.count}-{i}": {"routes": ["r"]} for i in added}
        loaded = run.store.load()
        if not isinstance(loaded, Snapshot):
            return
        patch = {"workspaces": entries}
        outcome = run.store.submit(loaded.number, patch, author="a")
        assert not isinstance(outcome, Undecided) or self.faulty()
        if isinstance(outcome, Accepted):
            assert outcome.number not in self.accepted
            self.accepted[outcome.number] = set(entries)

    def faulty(self):
        """Whether a patch may stay undecided.

        Lost answers alone cannot cause that: the write is repeated, and the second
        outcome shows whether the first took effect.
        """
        return self.store.outage or self.store.stale or self.store.lose_writes > 0

    @rule(name=ENTRIES)
    def poll(self, name):
        self.runs[name].watcher.refresh()

    @rule(one=PROCESSES, other=PROCESSES, count=st.integers(1, 5))
    def deliver(self, one, other, count):
        for _ in range(count):
            self.deliver_one(one, other)

    def deliver_one(self, one, other):
        peer = self.runs[one].peers.get(other)
        if peer is None or not peer.sent:
            return False
        run = self.runs[other]
        run.sync.handle(run.peers[one], peer.sent.popleft())
        return True

    @rule(one=PROCESSES, other=PROCESSES)
    def reconnect(self, one, other):
        if one == other:
            return
        for owner, end in ((one, other), (other, one)):
            old = self.runs[owner].peers.pop(end)
            old.closed = True
            self.runs[owner].sync.on_peer_closed(old)
        self.open_session(one, other)

    @rule(name=PROCESSES)
    def restart(self, name):
        for other in NAMES:
            if other != name:
                self.runs[other].peers.pop(name).closed = True
        self.runs[name] = ProcessRun(name, self.store)
        self.connect(name)

    @rule(
        outage=st.booleans(),
        stale=st.booleans(),
        answers=st.integers(0, 2),
        writes=st.integers(0, 1),
    )
    def disturb(self, outage, stale, answers, writes):
        self.store.outage, self.store.stale = outage, stale
        self.store.lose_answers, self.store.lose_writes = answers, writes

    @rule(name=PROCESSES)
    def repair(self, name):
        self.runs[name].time += REQUEST_RETRY_S
        self.runs[name].sync.repair()

    @rule()
    def calm(self):
        self.disturb(False, False, 0, 0)

    @invariant()
    def numbers_never_decrease(self):
        for run in self.runs.values():
            assert run.view.number >= run.highest
            run.highest = run.view.number

    @invariant()
    def each_number_has_one_document(self):
        for run in self.runs.values():
            if run.view.number:
                value = canonical_json(run.view.document)
                assert self.documents.setdefault(run.view.number, value) == value

    @invariant()
    def accepted_patches_are_applied(self):
        for run in self.runs.values():
            for number, names in self.accepted.items():
                if run.view.number >= number:
                    assert names <= run.view.config.workspaces.keys()

    def teardown(self):
        """Ends all faults and checks that all processes agree with the store."""
        if not self.runs:
            return
        self.calm()
        self.runs["e1"].watcher.refresh()
        for one in NAMES:
            for other in NAMES:
                self.reconnect(one, other)
        pairs = [(a, b) for a in NAMES for b in NAMES if a != b]
        for _ in range(REPAIR_ROUNDS):
            while any([self.deliver_one(*pair) for pair in pairs]):
                pass
            for run in self.runs.values():
                run.time += REQUEST_RETRY_S
                run.sync.repair()
        self.numbers_never_decrease()
        self.each_number_has_one_document()
        self.accepted_patches_are_applied()
        stored = self.runs["e1"].store.load().number
        assert {run.view.number for run in self.runs.values()} == {stored}


Configuration.TestCase.settings = run_settings(
    60, stateful_step_count=40, suppress_health_check=list(HealthCheck)
)
TestConfiguration = Configuration.TestCase
