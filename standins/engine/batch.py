"""Continuous batching: the step loop of the model engine."""

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

BATCH_SLOWDOWN_PER_REQUEST = 0.03
IDLE_WAIT_S = 0.05
RESUME_WINDOW_S = 10.0
KEEP_ENDED_S = 120.0
CRASH_EXIT_CODE = 3
RUNNING_STATES = ("waiting", "running")


@attrs.define(eq=False)
class Run:
    """One run of a request; the batch's lock guards its fields.

    Attributes:
        state: ``waiting``, ``running`` or the outcome: ``done``, ``cancelled``
            or ``failed``.
        fail_at: The token before which the run fails, if it must.
        slow: Factor on the time between tokens.
        credit: Part of a token that a slowed run has earned.
        ready_s: When the prefill ends, on the monotonic clock.
        readers: Open connections that read the run.
        detached_s: When the run was last without readers; None while one is there.
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
        """Whether the run has its outcome."""
        return self.state not in RUNNING_STATES


@attrs.frozen
class BatchLimits:
    """The engine's speed and size."""

    step_s: float
    max_batch: int
    prefill_tokens_per_s: float


class Batch:
    """The runs of an engine and the loop that steps them together."""

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
        self._waiting: deque[Run] = deque()
        self._running: list[Run] = []
        self._latest: dict[str, Run] = {}
        self._ended: deque[Run] = deque()
        self._submitted: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._prefill_free_s = 0.0

    def start(self) -> None:
        """Starts the step loop in a thread of its own."""
        threading.Thread(target=self._loop, daemon=True).start()

    def submit(self, run: Run) -> Run:
        """Queues the run; a run with the same request id still goes on."""
        with self._changed:
            run.detached_s = time.monotonic()
            self._apply_version_fault(run)
            self._waiting.append(run)
            self._latest[run.request_id] = run
            self._changed.notify_all()
        return run

    def find(self, request_id: str) -> Run | None:
        """Returns the latest run of the request, if it is still kept."""
        with self._changed:
            return self._latest.get(request_id)

    def cancel(self, run: Run) -> bool:
        """Ends the run; returns False if it had ended already."""
        with self._changed:
            if run.ended:
                return False
            self._end(run, "cancelled")
            self._changed.notify_all()
            return True

    def attach(self, run: Run) -> None:
        """Counts one more reader of the run."""
        with self._changed:
            run.readers += 1
            run.detached_s = None

    def detach(self, run: Run) -> None:
        """Counts one reader less; without any, the resume window opens."""
        with self._changed:
            run.readers -= 1
            if run.readers == 0:
                run.detached_s = time.monotonic()

    def wait(self, run: Run, offset: int, timeout_s: float) -> tuple[list[str], str]:
        """Waits for tokens past ``offset`` or the run's end.

        Returns:
            The tokens from ``offset`` on, none after the timeout, and the state.
        """
        with self._changed:
            self._changed.wait_for(lambda: run.emitted > offset or run.ended, timeout_s)
            return run.tokens[offset : run.emitted], run.state

    def load(self) -> dict[str, Any]:
        """Returns the load as it is now."""
        with self._changed:
            running, waiting = len(self._running), len(self._waiting)
        return {
            "running": running,
            "waiting": waiting,
            "cached_tokens": self._cache.cached_tokens,
            "at": time.time(),
        }

    def _apply_version_fault(self, run: Run) -> None:
        earlier = self._submitted[run.version]
        attempt = self._attempts[run.request_id]
        self._submitted[run.version] += 1
        self._attempts[run.request_id] += 1
        fault = self.faults.bad_versions.get(run.version, VersionFault())
        load = len(self._running) + len(self._waiting) + 1
        if not fault.applies(run.prompt, earlier, load):
            return
        run.slow = fault.slow
        draw = hashed_uniform(self._seed, run.version, run.request_id, attempt)
        if draw < fault.fail_rate:
            # Half of the failing runs break in the middle of their answer.
            at_once = hashed_uniform(self._seed, "half", run.request_id, attempt) < 0.5
            run.fail_at = 0 if at_once else len(run.tokens) // 2

    def _loop(self) -> None:
        next_step_s = time.monotonic()
        while True:
            with self._changed:
                batch = len(self._running)
                if not self._running and not self._waiting:
                    self._changed.wait(IDLE_WAIT_S)
                hang = self.faults.hang
            if hang:
                time.sleep(IDLE_WAIT_S)
                continue
            growth = 1 + BATCH_SLOWDOWN_PER_REQUEST * max(0, batch - 1)
            step_s = self._limits.step_s * growth * self.faults.slow
            next_step_s = next_due_s(
                next_step_s, step_s, time.monotonic(), idle=batch == 0
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
        self._drop_abandoned(now_s)
        while self._waiting and len(self._running) < self._limits.max_batch:
            self._admit(self._waiting.popleft(), now_s)

    def _admit(self, run: Run, now_s: float) -> None:
        blocks = prompt_blocks(f"{self._model}@{run.version}", run.prompt)
        run.cached_tokens = self._cache.match_and_insert(blocks)
        cost_s = (run.prompt_tokens - run.cached_tokens) / (
            self._limits.prefill_tokens_per_s
        )
        # One prefill at a time, as the engine has one device.
        self._prefill_free_s = max(now_s, self._prefill_free_s) + cost_s
        run.ready_s = self._prefill_free_s
        run.state = "running"
        self._running.append(run)
        self._write_log("start", run)

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

    def _drop_abandoned(self, now_s: float) -> None:
        while self._ended and now_s - self._ended[0].ended_s > KEEP_ENDED_S:
            old = self._ended.popleft()
            # A double of the request may have taken its place.
            if self._latest.get(old.request_id) is old:
                del self._latest[old.request_id]
        for run in [*self._running, *self._waiting]:
            left_s = run.detached_s
            if left_s is not None and now_s - left_s > RESUME_WINDOW_S:
                self._end(run, "cancelled")

    def _end(self, run: Run, outcome: str) -> None:
        started = run.state == "running"
        run.state = outcome
        run.ended_s = time.monotonic()
        self._ended.append(run)
        if started:
            self._running.remove(run)
            self._write_log("end", run)
        else:
            self._waiting.remove(run)

    def _write_log(self, event: str, run: Run) -> None:
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
    """Returns when the step after this one is due.

    Due times keep the pace exact; a late loop doesn't catch up. An idle one looks for
    work more often than it steps, so its due times must not add up.

    Args:
        due_s: When this step was due.
        step_s: Time of a step.
        now_s: The time now.
        idle: Whether nothing ran before this step.
    """
    return now_s + step_s if idle else max(due_s + step_s, now_s)


def new_run(
    request_id: str, version: str, prompt: str, length: int, natural: int, is_chat: bool
) -> Run:
    """Returns a run that gives the first ``length`` of ``natural`` tokens."""
    return Run(
        request_id=request_id,
        version=version,
        prompt=prompt,
        tokens=expected_tokens(prompt, length),
        finish_reason="length" if length < natural else "stop",
        is_chat=is_chat,
        prompt_tokens=len(prompt.split()),
    )
