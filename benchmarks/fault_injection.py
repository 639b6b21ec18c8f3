"""Injects faults into a testbed: seeded kills and pauses of its processes."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from benchmarks.records import Kind
from benchmarks.testbed import Testbed

INTERVAL_S = (2.0, 5.0)
DOWN_S = (0.5, 3.0)
PAUSE_S = (0.2, 6.0)
# Share of the faults that start together with the previous one.
IMMEDIATE_SHARE = 0.25


@frozen
class PlannedFault:
    """One planned fault.

    Attributes:
        after_s: Delay after the start of the previous fault in seconds.
        action: Name in ``ACTIONS``.
        process: Name of the affected process.
        lasts_s: Time until the process is restarted or resumed, in seconds.
    """

    after_s: float
    action: str
    process: str
    lasts_s: float


@frozen
class Action:
    """How to begin and end a fault, and the range of its duration in seconds."""

    begin: Callable[[Testbed, str], None]
    end: Callable[[Testbed, str], None]
    lasts_s: tuple[float, float]


def _kill(testbed: Testbed, name: str) -> None:
    testbed.processes[name].kill()


def _start(testbed: Testbed, name: str) -> None:
    if name in testbed.daemon_names():
        testbed.restart_daemon(name)
    else:
        testbed.restart(name)


def _pause(testbed: Testbed, name: str) -> None:
    testbed.processes[name].pause()


def _resume(testbed: Testbed, name: str) -> None:
    testbed.processes[name].resume()


ACTIONS = {
    "kill": Action(_kill, _start, DOWN_S),
    "pause": Action(_pause, _resume, PAUSE_S),
}


def random_faults(targets: list[str], seed: int) -> Iterator[PlannedFault]:
    """Yields an endless sequence of faults; some start together with the previous."""
    rng = random.Random(seed)
    while True:
        action = rng.choice(sorted(ACTIONS))
        is_immediate = rng.random() < IMMEDIATE_SHARE
        yield PlannedFault(
            after_s=0.0 if is_immediate else rng.uniform(*INTERVAL_S),
            action=action,
            process=rng.choice(targets),
            lasts_s=rng.uniform(*ACTIONS[action].lasts_s),
        )


@define
class FaultInjector:
    """Injects random faults from a thread of its own until it is stopped.

    Attributes:
        testbed: The processes that it acts on.
        seed: Seed of the faults.
        injected: The faults so far, each with the unix time of its start.
    """

    testbed: Testbed
    seed: int
    injected: list[tuple[float, PlannedFault]] = field(factory=list)
    _stop: threading.Event = field(factory=threading.Event)
    _active: dict[str, threading.Thread] = field(factory=dict)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the thread."""
        self._thread = threading.Thread(target=self._run, name="disturber")
        self._thread.start()

    def stop(self) -> None:
        """Ends all faults and waits until their processes run again."""
        self._stop.set()
        if self._thread is not None:
            self._thread.join()
        for thread in self._active.values():
            thread.join()

    def _run(self) -> None:
        deployment = self.testbed.deployment
        engines = deployment.servers_of(Kind.MODEL)
        targets = [*sorted(self.testbed.daemon_names()), *engines]
        for fault in random_faults(targets, self.seed):
            if self._stop.wait(fault.after_s):
                return
            previous = self._active.get(fault.process)
            if previous is None or not previous.is_alive():
                self._begin(fault)

    def _begin(self, fault: PlannedFault) -> None:
        thread = threading.Thread(target=self._inject, args=(fault,))
        self._active[fault.process] = thread
        self.injected.append((time.time(), fault))
        thread.start()

    def _inject(self, fault: PlannedFault) -> None:
        action = ACTIONS[fault.action]
        action.begin(self.testbed, fault.process)
        self._stop.wait(fault.lasts_s)
        action.end(self.testbed, fault.process)
