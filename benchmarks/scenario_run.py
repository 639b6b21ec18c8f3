"""State of a running scenario, and the registries of steps and measures."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field, frozen

from benchmarks.records import SentRecord
from benchmarks.testbed import Testbed

JOIN_TIMEOUT_S = 120.0
"""Time limit for the end of a load, from the time at which a step waits for it."""


class ScenarioError(Exception):
    """A malformed scenario, or a step or expectation that failed."""


@frozen
class Step:
    """One step of a scenario."""

    name: str
    arguments: Mapping[str, Any]


@frozen
class Scenario:
    """A scenario as read from its file."""

    name: str
    seed: int
    deployment: str
    steps: tuple[Step, ...]


@define
class Run:
    """State of a scenario that is being run.

    Attributes:
        scenario: The scenario being run.
        testbed: The processes that it acts on.
        senders: Threads that send the loads, by name of the load.
        records: Records of each finished load, by its name.
        errors: Errors raised in the sender threads.
        marks: Unix times recorded by the step ``mark``, by name.
    """

    scenario: Scenario
    testbed: Testbed
    senders: dict[str, threading.Thread] = field(factory=dict)
    records: dict[str, list[SentRecord]] = field(factory=dict)
    errors: list[Exception] = field(factory=list)
    marks: dict[str, float] = field(factory=dict)

    def join(self, name: str) -> None:
        """Waits for the end of a named load."""
        thread = self.senders[name]
        thread.join(JOIN_TIMEOUT_S)
        if thread.is_alive():
            raise ScenarioError(f"load {name!r} did not end in {JOIN_TIMEOUT_S} s")

    def join_all(self) -> None:
        """Waits for the end of all loads; raises the first error of a sender."""
        for name in self.senders:
            self.join(name)
        if self.errors:
            raise self.errors[0]


StepFunction = Callable[[Run, Mapping[str, Any]], None]
STEPS: dict[str, StepFunction] = {}


def step(name: str) -> Callable[[StepFunction], StepFunction]:
    """Registers the decorated function as a step under a name."""

    def register(function: StepFunction) -> StepFunction:
        STEPS[name] = function
        return function

    return register


Measure = Callable[[Run, Mapping[str, Any]], float]
MEASURES: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Registers the decorated function as a measure of ``expect`` and ``wait_for``."""

    def register(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return register
