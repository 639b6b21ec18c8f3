"""Continuous batching: the step loop of the model engine.

Each step emits one token of every running request and admits queued requests.
"""

from __future__ import annotations

import os
import threading
import time
from collections import Counter, deque
from typing import Any

import attrs

from standins._http import hashed_uniform
from standins._run_log import RunLog
from standins.answers import expected_tokens, prompt_sha
from standins.engine.cache import PrefixCache, prompt_blocks
from standins.engine.faults import Faults, VersionFault

# Relative growth of the step time with each further running request.
BATCH_SLOWDOWN_PER_REQUEST = 0.03
IDLE_POLL_S = 0.05
# Time after which a run without a reader is cancelled.
RESUME_WINDOW_S = 10.0
# Time for which an ended run can still be resumed from its stream.
ENDED_RUN_TTL_S = 120.0
CRASH_EXIT_CODE = 3
UNFINISHED_STATES = ("waiting", "running")


@attrs.define(eq=False)
class Run:
    """One run of a request, guarded by the lock of its batch.

    Attributes:
        state: ``waiting``, ``running`` or the outcome: ``done``, ``cancelled``
            or ``failed``.
        fail_at: Number of tokens after which the run fails; None for no failure.
        slow: Factor on the time between tokens.
        credit: Fraction of the next token that a slowed run has accumulated.
        ready_s: End of the prefill, in monotonic seconds.
        readers: Open connections that read the run.
        detached_s: Monotonic time in seconds when the last reader disconnected; None
            while there is a reader.
        ended_s: Monotonic time in seconds of the end; 0 before it.
    """

    request_id: str
    version: str
    prompt: str
    tokens: list[str]
    finish_reason: str
    is_chat: bool
    prompt_tokens: int
    state: str = "waiting"
    emitted: int = 0
    cached_tokens: int = 0
    fail_at: int | None = None
    slow: float = 1.0
    credit: float = 0.0
    ready_s: float = 0.0
    readers: int = 0
    detached_s: float | None = None
    ended_s: float = 0.0

    @property
    def ended(self) -> bool:
        """Whether the run is done, cancelled or failed."""
        return self.state not in UNFINISHED_STATES


@attrs.frozen
class BatchLimits:
    """Speed and batch size of the engine.

    Attributes:
        step_s: Duration of a step with one running request, in seconds.
        max_batch: Maximum number of running requests.
        prefill_tokens_per_s: Prefill speed for tokens that are not cached.
    """

    step_s: float
    max_batch: int
    prefill_tokens_per_s: float


class Batch:
    """Queues the runs of an engine and executes them together, step by step."""

    def __init__(
        self,
        model: str,
        limits: BatchLimits,
        cache: PrefixCache,
        log: RunLog,
        seed: int = 0,
    ) -> None:
        self.faults = Faults()
        self._model = model
        self._limits = limits
        self._cache = cache
        self._log = log
        self._seed = seed
        self._changed = threading.Condition()
        self._queued: deque[Run] = deque()
        self._running: list[Run] = []
        self._latest_by_request: dict[str, Run] = {}
        self._ended: deque[Run] = deque()
        self._submitted: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._prefill_free_at_s = 0.0

    def start(self) -> None:
        """Starts the step loop in a daemon thread."""
        threading.Thread(target=self._loop, daemon=True).start()

    def submit(self, run: Run) -> Run:
        """Queues the run; an earlier run with the same request id continues."""
        with self._changed:
            run.detached_s = time.monotonic()
            self._apply_version_fault(run)
            self._queued.append(run)
            self._latest_by_request[run.request_id] = run
            self._changed.notify_all()
        return run

    def find(self, request_id: str) -> Run | None:
        """Returns the latest run of the request; None if unknown or dropped."""
        with self._changed:
            return self._latest_by_request.get(request_id)

    def cancel(self, run: Run) -> bool:
        """Cancels the run; returns False if it has already ended."""
        with self._changed:
            if run.ended:
                return False
            self._end(run, "cancelled")
            self._changed.notify_all()
            return True

    def attach(self, run: Run) -> None:
        """Adds a reader to the run."""
        with self._changed:
            run.readers += 1
            run.detached_s = None

    def detach(self, run: Run) -> None:
        """Removes a reader; after the last one the resume window starts."""
        with self._changed:
            run.readers -= 1
            if run.readers == 0:
                run.detached_s = time.monotonic()

    def wait(self, run: Run, offset: int, timeout_s: float) -> tuple[list[str], str]:
        """Waits for tokens past ``offset`` or the run's end.

        Returns:
            The tokens from ``offset`` on (none after a timeout) and the run's state.
        """
        with self._changed:
            self._changed.wait_for(lambda: run.emitted > offset or run.ended, timeout_s)
            return run.tokens[offset : run.emitted], run.state

    def load(self) -> dict[str, Any]:
        """Returns the current utilisation: requests and cached tokens."""
        with self._changed:
            running, waiting = len(self._running), len(self._queued)
        return {
            "running": running,
            "waiting": waiting,
            "cached_tokens": self._cache.cached_tokens,
            "at": time.time(),
        }

    def _apply_version_fault(self, run: Run) -> None:
        earlier_requests = self._submitted[run.version]
        attempt = self._attempts[run.request_id]
        self._submitted[run.version] += 1
        self._attempts[run.request_id] += 1
        fault = self.faults.bad_versions.get(run.version, VersionFault())
        requests_in_engine = len(self._running) + len(self._queued) + 1
        if not fault.applies(run.prompt, earlier_requests, requests_in_engine):
            return
        run.slow = fault.slow
        draw = hashed_uniform(self._seed, run.version, run.request_id, attempt)
        if draw < fault.fail_rate:
            # Half of the failing runs fail at once, the rest after half their tokens.
            fails_at_start = (
                hashed_uniform(self._seed, "half", run.request_id, attempt) < 0.5
            )
            run.fail_at = 0 if fails_at_start else len(run.tokens) // 2

    def _loop(self) -> None:
        next_step_s = time.monotonic()
        while True:
            with self._changed:
                running_count = len(self._running)
                if not self._running and not self._queued:
                    self._changed.wait(IDLE_POLL_S)
                hang = self.faults.hang
            if hang:
                time.sleep(IDLE_POLL_S)
                continue
            slowdown = 1 + BATCH_SLOWDOWN_PER_REQUEST * max(0, running_count - 1)
            step_s = self._limits.step_s * slowdown * self.faults.slow
            next_step_s = next_due_s(
                next_step_s, step_s, time.monotonic(), idle=running_count == 0
            )
            with self._changed:
                self._step(time.monotonic())
                idle = not self._running
                self._changed.notify_all()
            if not idle:
                time.sleep(max(0.0, next_step_s - time.monotonic()))

    def _step(self, now_s: float) -> None:
        for run in list(self._running):
            if run.ready_s <= now_s:
                self._advance(run)
        self._drop_expired_runs(now_s)
        while self._queued and len(self._running) < self._limits.max_batch:
            self._admit(self._queued.popleft(), now_s)

    def _admit(self, run: Run, now_s: float) -> None:
        blocks = prompt_blocks(f"{self._model}@{run.version}", run.prompt)
        run.cached_tokens = self._cache.match_and_insert(blocks)
        cost_s = (run.prompt_tokens - run.cached_tokens) / (
            self._limits.prefill_tokens_per_s
        )
        # Prefills run one at a time, as on an engine with one device.
        self._prefill_free_at_s = max(now_s, self._prefill_free_at_s) + cost_s
        run.ready_s = self._prefill_free_at_s
        run.state = "running"
        self._running.append(run)
        self._log_event("start", run)

    def _advance(self, run: Run) -> None:
        if self.faults.crash_text and self.faults.crash_text in run.prompt:
            os._exit(CRASH_EXIT_CODE)
        run.credit += 1 / run.slow
        if run.credit < 1:
            return
        run.credit -= 1
        if run.fail_at is not None and run.emitted >= run.fail_at:
            self._end(run, "failed")
            return
        run.emitted = min(run.emitted + 1, len(run.tokens))
        if run.emitted == len(run.tokens):
            self._end(run, "done")

    def _drop_expired_runs(self, now_s: float) -> None:
        while self._ended and now_s - self._ended[0].ended_s > ENDED_RUN_TTL_S:
            old = self._ended.popleft()
            # A later run of the same request may have replaced it.
            if self._latest_by_request.get(old.request_id) is old:
                del self._latest_by_request[old.request_id]
        for run in [*self._running, *self._queued]:
            detached_s = run.detached_s
            if detached_s is not None and now_s - detached_s > RESUME_WINDOW_S:
                self._end(run, "cancelled")

    def _end(self, run: Run, outcome: str) -> None:
        started = run.state == "running"
        run.state = outcome
        run.ended_s = time.monotonic()
        self._ended.append(run)
        if started:
            self._running.remove(run)
            self._log_event("end", run)
        else:
            self._queued.remove(run)

    def _log_event(self, event: str, run: Run) -> None:
        self._log.append(
            {
                "event": event,
                "request_id": run.request_id,
                "model": self._model,
                "version": run.version,
                "prompt_sha": prompt_sha(run.prompt),
                "outcome": run.state if event == "end" else None,
                "tokens": run.emitted,
                "cached_tokens": run.cached_tokens,
                "prompt_tokens": run.prompt_tokens,
            }
        )


def next_due_s(due_s: float, step_s: float, now_s: float, *, idle: bool) -> float:
    """Returns when the next step is due.

    Scheduling by due times keeps the step interval exact. A step that is already late
    is due at once, but missed steps are not made up for. While the engine is idle, each
    poll for work would add a step to the due time, so it restarts from now.

    Args:
        due_s: When this step was due, in monotonic seconds.
        step_s: Duration of a step in seconds.
        now_s: Current monotonic time in seconds.
        idle: Whether no request was running before this step.
    """
    return now_s + step_s if idle else max(due_s + step_s, now_s)


def new_run(
    request_id: str,
    version: str,
    prompt: str,
    length: int,
    natural_length: int,
    is_chat: bool,
) -> Run:
    """Returns a run that emits ``length`` tokens.

    ``natural_length`` is the length that the completion would have without the
    ``max_tokens`` of its request; a shorter run has the finish reason ``length``.
    """
    return Run(
        request_id=request_id,
        version=version,
        prompt=prompt,
        tokens=expected_tokens(prompt, length),
        finish_reason="length" if length < natural_length else "stop",
        is_chat=is_chat,
        prompt_tokens=len(prompt.split()),
    )
