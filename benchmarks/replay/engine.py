"""An emulated inference engine: continuous batching, chunked prefill, FIFO queue."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.replay.simulation import Simulation

MAX_QUEUED = 48
"""Queue length from which an engine rejects further requests."""


@attrs.frozen
class EngineModel:
    """Speed of an engine of slowness 1.

    Attributes:
        step_s: Time of a step without requests, seconds.
        step_per_request_s: Time that each running request adds to a step, seconds.
        prefill_tokens_per_s: Prompt tokens prefilled per second.
        pairs_s_per_m: Time of a million pairs of prompt tokens in the attention over a
            prompt, seconds.
        chunk_tokens: Most prompt tokens prefilled in one step.
        event_tokens: Output tokens per event of a stream.
    """

    step_s: float = 3.03e-3
    step_per_request_s: float = 0.121e-3
    prefill_tokens_per_s: float = 92_100.0
    pairs_s_per_m: float = 0.0
    chunk_tokens: int = 2_048
    event_tokens: int = 6

    def run_s(self, prompt_tokens: int, output_tokens: int, slots: int) -> float:
        """Returns the engine time that a request takes in a full batch, seconds."""
        step_s = self.step_s + self.step_per_request_s * slots
        prefill_s = self.prefill_s(0, prompt_tokens)
        return prefill_s + output_tokens * step_s / slots

    def prefill_s(self, done: int, tokens: int) -> float:
        """Returns the time to prefill more tokens of a prompt, seconds.

        Args:
            done: Tokens of the prompt prefilled before.
            tokens: Tokens to prefill.
        """
        pairs_m = tokens * (done + tokens / 2) * 1e-6
        return tokens / self.prefill_tokens_per_s + self.pairs_s_per_m * pairs_m


@attrs.define(eq=False)
class Run:
    """One request at an engine.

    Attributes:
        prompt_left: Prompt tokens left to prefill.
        output_left: Output tokens left to generate.
        on_event: Called with the time at each event of the stream.
        on_end: Called with the time and whether the run completed.
        tokens_written: Output tokens generated so far.
        prompt_tokens: Prompt tokens in all.
    """

    prompt_left: int
    output_left: int
    on_event: Callable[[float], None]
    on_end: Callable[[float, bool], None]
    tokens_written: int = 0
    prompt_tokens: int = attrs.field(
        default=attrs.Factory(lambda self: self.prompt_left, takes_self=True)
    )


class Engine:
    """One server that runs requests in batches.

    Each step prefills a chunk of one prompt and generates a token for every request
    whose prompt is complete.

    Args:
        sim: The simulated clock.
        name: Id of the server.
        slowness: Factor on the duration of each step.
        slots: Maximum number of running requests.
        model: Its speed at slowness 1.

    Attributes:
        available: Whether it is up.
        limit_per_s: Requests per second that it says it takes; None for no limit.
        arrivals: Simulated times of the requests that reached it.
    """

    def __init__(
        self,
        sim: Simulation,
        name: str,
        slowness: float,
        slots: int,
        model: EngineModel,
    ) -> None:
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.available = True
        self.limit_per_s: float | None = None
        self.arrivals: list[float] = []
        self._sim = sim
        self._model = model
        self._queue: deque[Run] = deque()
        self._running: list[Run] = []
        self._stepping = False

    @property
    def load(self) -> int:
        """Number of running and queued requests."""
        return len(self._queue) + len(self._running)

    def submit(self, run: Run) -> bool:
        """Queues a request; returns False if it is rejected without running."""
        self.arrivals.append(self._sim.now)
        if not self.available or len(self._queue) >= MAX_QUEUED:
            return False
        self._queue.append(run)
        if not self._stepping:
            self._stepping = True
            self._step()
        return True

    def cancel(self, run: Run) -> None:
        """Drops a request, running or queued, that has passed its deadline."""
        if run in self._running:
            self._running.remove(run)
        elif run in self._queue:
            self._queue.remove(run)

    def crash(self, duration_s: float) -> None:
        """Fails all runs and rejects requests for a while."""
        self.available = False
        runs = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for run in runs:
            run.on_end(self._sim.now, False)
        self._sim.call_later(duration_s, self._restart)

    def _restart(self) -> None:
        self.available = True

    def _step(self) -> None:
        while self._queue and len(self._running) < self.slots:
            self._running.append(self._queue.popleft())
        if not self._running:
            self._stepping = False
            return
        prefilling = next((r for r in self._running if r.prompt_left > 0), None)
        model = self._model
        chunk = done = 0
        if prefilling is not None:
            done = prefilling.prompt_tokens - prefilling.prompt_left
            chunk = min(model.chunk_tokens, prefilling.prompt_left)
        step_s = (
            model.step_s
            + model.step_per_request_s * len(self._running)
            + model.prefill_s(done, chunk)
        )
        decoding = [r for r in self._running if r.prompt_left <= 0]
        if prefilling is not None:
            prefilling.prompt_left -= chunk
        self._sim.call_later(step_s * self.slowness, lambda: self._end_step(decoding))

    def _end_step(self, decoding: list[Run]) -> None:
        now = self._sim.now
        event_tokens = self._model.event_tokens
        for run in decoding:
            if run not in self._running:
                continue
            run.tokens_written += 1
            run.output_left -= 1
            if run.tokens_written == 1 or run.tokens_written % event_tokens == 0:
                run.on_event(now)
            if run.output_left <= 0:
                self._running.remove(run)
                run.on_end(now, True)
        self._step()
