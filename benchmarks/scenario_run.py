"""State of a running scenario and the registries of its language."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field, frozen

from benchmarks.records import SentRecord
from benchmarks.testbed import Testbed

JOIN_TIMEOUT_S = 120.0


class ScenarioError(Exception):
    """A scenario that is malformed or whose expectation failed."""


@frozen
class Step:
    """One step: its name and its arguments."""

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
        scenario: The scenario.
        testbed: The processes that it acts on.
        senders: Threads of load that is still being sent, by name.
        records: What each named load saw.
        errors: Errors raised by the threads of the senders.
        marks: Unix times noted by the step ``mark``.
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
        """Waits for the end of all loads."""
        for name in self.senders:
            self.join(name)
        if self.errors:
            raise self.errors[0]


StepFunction = Callable[[Run, Mapping[str, Any]], None]
STEPS: dict[str, StepFunction] = {}


def step(name: str) -> Callable[[StepFunction], StepFunction]:
    """Registers the function that carries out a step."""

    def register(function: StepFunction) -> StepFunction:
        STEPS[name] = function
        return function

    return register


Measure = Callable[[Run, Mapping[str, Any]], float]
MEASURES: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Registers a quantity that ``expect`` and ``wait_for`` can bound."""

    def register(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return register
