"""Runs controllers of moves against an in-memory object store and fake sides."""

from __future__ import annotations

import copy
import threading
from types import SimpleNamespace
from unittest import mock

from cornelpin.core.canary_analysis import Assessment
from cornelpin.core.configstore import Accepted, ConfigStore
from cornelpin.core.move_state import MoveBook
from cornelpin.core.move_store import STATE_KEY
from cornelpin.daemon import move_controller, move_loader
from cornelpin.daemon.move_controller import MoveController
from cornelpin.daemon.move_messages import VersionOrder, VersionReply
from cornelpin.daemon.move_view import MoveView
from cornelpin.stores.memory_objects import MemoryObjectStore
from cornelpin.stores.objects import Found

CONTROLLERS = 2
FINISH_BY = 10_000.0
SERVERS = ("f1", "f2", "f3")
GOOD = Assessment(bad=False, accepted=True, suspicious=False, reason="", runs=100)
DOCUMENT = {
    "tiers": {"t": {}},
    "hosts": {"h": {"address": "127.0.0.1"}},
    "backend_servers": {n: {"host": "h", "peer_port": 1} for n in SERVERS},
    "routes": {"r": {"tier": "t", "version": "v1", "backend_servers": list(SERVERS)}},
    "moves": {
        "m": {
            "route": "r",
            "from_version": "v1",
            "to_version": "v2",
            "finish_by": FINISH_BY,
            "stages": [0.1, 0.5, 1],
            "stage_s": 1,
        }
    },
}


class FakeLink:
    """The controller's link to a side that executes orders at once.

    The side refuses old fencing tokens.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.usable = True
        self.versions = {"v1"}
        self.fence = 0
        self.replies: list[VersionReply] = []
        self.sent: list[VersionOrder] = []
        # Replies to load orders by version, for versions that can't be loaded.
        self.refusals: dict[str, VersionReply] = {}

    def has_version(self, version: str) -> bool:
        return version in self.versions

    def lacks_version(self, version: str) -> bool:
        return version not in self.versions

    def send(self, order) -> bool:
        self.sent.append(order)
        if order.op == "load" and order.version in self.refusals:
            self.replies.append(self.refusals[order.version])
            return True
        outcome = "done" if order.fence >= self.fence else "old_fence"
        self.replies.append(VersionReply(order.op, order.version, outcome, 0.0, ""))
        if outcome != "done":
            return True
        self.fence = order.fence
        change = self.versions.add if order.op == "load" else self.versions.discard
        change(order.version)
        return True


class MoveHarness:
    """Two controllers that share a store, with a clock that only the test advances.

    Args:
        store: The object store.
        moves: Moves of the configuration, those of ``DOCUMENT`` by default.
        routes: Routes in addition to those of ``DOCUMENT``.
    """

    def __init__(
        self,
        store: MemoryObjectStore,
        moves: dict | None = None,
        routes: dict | None = None,
    ) -> None:
        self.now = 0.0
        clock = SimpleNamespace(monotonic=lambda: self.now, time=lambda: self.now)
        self._patches = [
            mock.patch.object(module, "time", clock)
            for module in (move_controller, move_loader)
        ]
        for patch in self._patches:
            patch.start()
        self.store = store
        self.config = ConfigStore(store, sleep=lambda s: None)
        document = copy.deepcopy(DOCUMENT)
        document["routes"].update(routes or {})
        document["moves"] = moves if moves is not None else document["moves"]
        assert isinstance(self.config.submit(0, document, author="a"), Accepted)
        self.links = [FakeLink(name) for name in SERVERS]
        self.controllers = [self.make_controller(i) for i in range(CONTROLLERS)]

    def close(self) -> None:
        for patch in self._patches:
            patch.stop()

    def make_controller(self, index: int) -> MoveController:
        snapshot = self.config.load()
        view = SimpleNamespace(config=snapshot.config, number=snapshot.number)
        process = SimpleNamespace(
            settings=SimpleNamespace(name=f"e{index}"),
            incarnation=str(self.now),
            view=view,
            ring=mock.Mock(),
            draining=threading.Event(),
        )
        controller = MoveController(
            process,
            self.store,
            MoveView(process, list),
            SimpleNamespace(assess=lambda attempt: GOOD),
            links_of=lambda servers: [x for x in self.links if x.name in servers],
            submit=ConfigStore(self.store, sleep=lambda s: None).submit,
        )
        controller._lease._clock = lambda: self.now
        return controller

    def step(self, index: int) -> None:
        """Runs one step of a controller with the stored configuration in force."""
        controller = self.controllers[index]
        snapshot = ConfigStore(self.store).load()
        # During a store outage nothing is loaded: the old configuration stays in force.
        if hasattr(snapshot, "config"):
            controller._process.view.config = snapshot.config
            controller._process.view.number = snapshot.number
        self.deliver_replies()
        controller._step()

    def deliver_replies(self) -> None:
        """Delivers the replies of all sides to all controllers."""
        for link in self.links:
            replies, link.replies = link.replies, []
            for reply in replies:
                for controller in self.controllers:
                    controller.loader.on_reply(link, reply)

    def run(self, index: int, seconds: int) -> None:
        """Runs one step of a controller per second."""
        for _ in range(seconds):
            self.now += 1.0
            self.step(index)

    def patch(self, patch: dict) -> None:
        """Submits a patch based on the number in force, as an operator does."""
        number = self.config.load().number
        assert isinstance(self.config.submit(number, patch, author="o"), Accepted)

    def stored_book(self) -> MoveBook:
        value = self.store._objects.get(STATE_KEY)
        return MoveBook.decode(value.value) if isinstance(value, Found) else MoveBook()
