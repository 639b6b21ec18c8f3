"""Seeded kills and pauses of the processes of a testbed."""

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
PAIR_SHARE = 0.25


@frozen
class PlannedFault:
    """One planned fault.

    Attributes:
        after_s: Seconds since the one before.
        action: Name in the registry ``ACTIONS``.
        process: Process that it acts on.
        lasts_s: Seconds until the process is restarted or resumed.
    """

    after_s: float
    action: str
    process: str
    lasts_s: float


@frozen
class Action:
    """How to begin and to end a fault, and how long it may last."""

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
    """Yields faults without end; some follow the one before at once."""
    rng = random.Random(seed)
    while True:
        action = rng.choice(sorted(ACTIONS))
        together = rng.random() < PAIR_SHARE
        yield PlannedFault(
            after_s=0.0 if together else rng.uniform(*INTERVAL_S),
            action=action,
            process=rng.choice(targets),
            lasts_s=rng.uniform(*ACTIONS[action].lasts_s),
        )


@define
class FaultInjector:
    """Carries out faults in a thread of its own until stopped.

    Attributes:
        testbed: The processes that it acts on.
        seed: Seed of the faults.
        done: The faults so far, each with the unix time of its start.
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
        """Ends all faults and waits for their processes to run again."""
        self._stop.set()
        if self._thread is not None:
            self._thread.join()
        for thread in self._active.values():
            thread.join()

    def _run(self) -> None:
        deployment = self.testbed.deployment
        engines = deployment.servers_of(Kind.MODEL)
        targets = [*sorted(self.testbed.daemon_names()), *engines]
        for disturbance in random_faults(targets, self.seed):
            if self._stop.wait(disturbance.after_s):
                return
            earlier = self._active.get(disturbance.process)
            if earlier is None or not earlier.is_alive():
                self._begin(disturbance)

    def _begin(self, disturbance: PlannedFault) -> None:
        thread = threading.Thread(target=self._carry_out, args=(disturbance,))
        self._active[disturbance.process] = thread
        self.injected.append((time.time(), disturbance))
        thread.start()

    def _carry_out(self, disturbance: PlannedFault) -> None:
        action = ACTIONS[disturbance.action]
        action.begin(self.testbed, disturbance.process)
        self._stop.wait(disturbance.lasts_s)
        action.end(self.testbed, disturbance.process)
