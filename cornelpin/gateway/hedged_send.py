"""Runs a send and, if it is slow, a second one beside it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import attrs

from cornelpin.gateway.exchange import Answered, Outcome, ResponseSink

if TYPE_CHECKING:
    from cornelpin.http1.client import Headers
    from cornelpin.platform import ResponseInfo
    from cornelpin.scheduling.decisions import Placement


Claim = Callable[["Placement"], bool]
"""Gives up the other send once a stream has begun; returns whether it came first."""


@attrs.define
class HedgedSink:
    """Receives the response of one of two sends.

    A stream is passed on from its first event, if the other send's has not begun.

    Attributes:
        placement: Placement of the send.
        note_head: Called with it, the time of the send and a response's headers.
        note_time: Called with it and the response time in seconds.
        claim: Called with it when a stream begins.
        target: Receives the stream.
        sent_at: Monotonic time of the send.
        took_s: Response time in seconds, of a stream that has not begun.
    """

    placement: Placement
    note_head: Callable[[Placement, float, ResponseInfo], None]
    note_time: Callable[[Placement, float], None]
    claim: Claim
    target: ResponseSink
    sent_at: float = 0.0
    took_s: float = 0.0

    async def on_stream_start(self, status: int, headers: Headers) -> None:
        """Passes on the head of a stream, unless the other send's came first."""
        if not self.claim(self.placement):
            # Until it is cancelled.
            await asyncio.Event().wait()
        self.note_time(self.placement, self.took_s)
        await self.target.on_stream_start(status, headers)

    async def on_event(self, data: bytes, event_id: str | None) -> None:
        """Passes on an event."""
        await self.target.on_event(data, event_id)

    def on_event_gap(self, took_s: float) -> None:
        """Passes on the time between two events."""
        self.target.on_event_gap(took_s)

    def on_response_time(self, took_s: float) -> None:
        """Keeps the response time until it is known which response counts."""
        self.took_s = took_s

    def on_response_head(self, info: ResponseInfo) -> None:
        """Passes on what the response says about its server."""
        self.note_head(self.placement, self.sent_at, info)


@attrs.frozen
class HedgeResult:
    """What came of a send and perhaps a second one.

    Attributes:
        placement: Placement of the send whose outcome counts.
        outcome: That outcome.
        failed: Placements and outcomes of sends that failed before.
        cancelled: Placements of sends that were cancelled because another one won.
    """

    placement: Placement
    outcome: Outcome
    failed: tuple[tuple[Placement, Outcome], ...] = ()
    cancelled: tuple[Placement, ...] = ()


@attrs.define
class _Race:
    """Sends of one request.

    Attributes:
        start: Runs a send until its outcome.
        tasks: Placements of the sends that run.
        winner: Placement of the send whose stream has begun.
        cancelled: Placements of the sends that were given up for it.
    """

    start: Callable[[Placement, Claim], Coroutine[Any, Any, Outcome]]
    tasks: dict[asyncio.Task[Outcome], Placement] = attrs.field(factory=dict)
    winner: Placement | None = None
    cancelled: list[Placement] = attrs.field(factory=list)

    def add(self, placement: Placement) -> None:
        task = asyncio.create_task(self.start(placement, self.claim))
        self.tasks[task] = placement

    def claim(self, placement: Placement) -> bool:
        if self.winner is None:
            self.winner = placement
            for task, other in self.tasks.items():
                if other is not placement:
                    task.cancel()
                    self.cancelled.append(other)
        return self.winner is placement

    async def result(self) -> HedgeResult:
        """Waits for the outcome that counts."""
        failed: list[tuple[Placement, Outcome]] = []
        while self.tasks:
            done, _ = await asyncio.wait(
                self.tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                placement = self.tasks.pop(task)
                if placement in self.cancelled:
                    continue
                outcome = task.result()
                if placement is self.winner or _is_sound(outcome):
                    given_up = [p for p in self.tasks.values() if p != self.winner]
                    cancelled = dict.fromkeys([*self.cancelled, *given_up])
                    return HedgeResult(
                        placement, outcome, tuple(failed), tuple(cancelled)
                    )
                failed.append((placement, outcome))
        placement, outcome = failed.pop()
        return HedgeResult(placement, outcome, tuple(failed))


async def hedged_send(
    first: Placement,
    *,
    start: Callable[[Placement, Claim], Coroutine[Any, Any, Outcome]],
    second: Callable[[], Placement | None],
    delay_s: float,
) -> HedgeResult:
    """Sends to one server and, after a delay without an outcome, to a second one.

    The first response that is no failure counts, or the first stream that begins,
    whatever comes of it; the other send is cancelled, and has ended when this returns.
    If both fail, the outcome of the later one counts.

    Args:
        first: Placement of the first send.
        start: Runs a send until its outcome; it calls its second argument before it
            passes on a part of a stream.
        second: Returns the placement of a second send; None to wait for the first.
        delay_s: The delay in seconds.
    """
    race = _Race(start)
    race.add(first)
    try:
        done, _ = await asyncio.wait(race.tasks, timeout=delay_s)
        other = None if done or race.winner is not None else second()
        if other is not None:
            race.add(other)
        return await race.result()
    finally:
        for task in race.tasks:
            task.cancel()
        await asyncio.gather(*race.tasks, return_exceptions=True)


def _is_sound(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.response.status < 500
