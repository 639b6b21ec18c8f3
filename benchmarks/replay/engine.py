"""An emulated engine: batches, chunked prompt reading, order of arrival."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.replay.simulation import Simulation

STEP_S = 3.03e-3
"""Time of one step of an engine of speed one, without requests."""
STEP_PER_REQUEST_S = 0.121e-3
"""What each running request adds to a step."""
READ_TOKENS_PER_S = 92_100.0
"""Prompt tokens read in a second by an engine of speed one."""
CHUNK_TOKENS = 2_048
"""Prompt tokens read in one step at most."""
QUEUE = 48
"""Requests that wait at an engine before it turns others away."""


@attrs.define(eq=False)
class Run:
    """One request at an engine.

    Attributes:
        prompt: Prompt tokens left to read.
        output: Tokens left to write.
        on_event: Called with the time at each event of the stream.
        on_end: Called with the time and whether the run is whole.
    """

    prompt: int
    output: int
    on_event: Callable[[float], None]
    on_end: Callable[[float, bool], None]
    written: int = 0


class Engine:
    """One server that runs requests in batches.

    Args:
        world: The world's clock.
        name: Id of the server.
        slowness: Factor on all its times.
        slots: Requests that run at once.
        event_tokens: Tokens in one event.
    """

    def __init__(
        self, sim: Simulation, name: str, slowness: float, slots: int, event_tokens: int
    ) -> None:
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.up = True
        self._sim = sim
        self._event_tokens = event_tokens
        self._queue: deque[Run] = deque()
        self._running: list[Run] = []
        self._stepping = False

    @property
    def load(self) -> int:
        """Requests that run or wait here."""
        return len(self._queue) + len(self._running)

    def submit(self, run: Run) -> bool:
        """Takes a request; returns False if it is turned away without running."""
        if not self.up or len(self._queue) >= QUEUE:
            return False
        self._queue.append(run)
        if not self._stepping:
            self._stepping = True
            self._step()
        return True

    def cancel(self, run: Run) -> None:
        """Drops a request whose client has left."""
        if run in self._running:
            self._running.remove(run)
        elif run in self._queue:
            self._queue.remove(run)

    def crash(self, for_s: float) -> None:
        """Breaks all runs off and refuses connections for a while."""
        self.up = False
        runs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for run in runs:
            run.on_end(self._sim.now, False)
        self._sim.after(for_s, self._restart)

    def _restart(self) -> None:
        self.up = True

    def _step(self) -> None:
        while self._queue and len(self._running) < self.slots:
            self._running.append(self._queue.popleft())
        if not self._running:
            self._stepping = False
            return
        reading = next((r for r in self._running if r.prompt > 0), None)
        chunk = min(CHUNK_TOKENS, reading.prompt) if reading is not None else 0
        took = (
            STEP_S + STEP_PER_REQUEST_S * len(self._running) + chunk / READ_TOKENS_PER_S
        )
        writing = [r for r in self._running if r.prompt <= 0]
        if reading is not None:
            reading.prompt -= chunk
        self._sim.after(took * self.slowness, lambda: self._end_step(writing))

    def _end_step(self, writing: list[Run]) -> None:
        now = self._sim.now
        for run in writing:
            if run not in self._running:
                continue
            run.written += 1
            run.output -= 1
            if run.written == 1 or run.written % self._event_tokens == 0:
                run.on_event(now)
            if run.output <= 0:
                self._running.remove(run)
                run.on_end(now, True)
        self._step()
