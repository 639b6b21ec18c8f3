"""Runs a send and, if it is slow, a second one beside it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway.exchange import Answered, Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from cornelpin.http1.client import Headers
    from cornelpin.platform import ResponseInfo
    from cornelpin.scheduling.decisions import Placement


@attrs.define
class HedgedSink:
    """Receives the response of one of two sends, which is not streamed.

    Attributes:
        placement: Placement of the send.
        note_head: Called with it, the time of the send and a response's headers.
        note_time: Called with it and the response time in seconds.
        sent_at: Monotonic time of the send.
    """

    placement: Placement
    note_head: Callable[[Placement, float, ResponseInfo], None]
    note_time: Callable[[Placement, float], None]
    sent_at: float = 0.0

    async def on_stream_start(self, status: int, headers: Headers) -> None:
        """Is not called: the response is not streamed."""

    async def on_event(self, data: bytes, event_id: str | None) -> None:
        """Is not called."""

    def on_event_gap(self, took_s: float) -> None:
        """Is not called."""

    def on_response_time(self, took_s: float) -> None:
        """Passes on the response time."""
        self.note_time(self.placement, took_s)

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


async def hedged_send(
    first: Placement,
    *,
    start: Callable[[Placement], Awaitable[Outcome]],
    second: Callable[[], Placement | None],
    delay_s: float,
) -> HedgeResult:
    """Sends to one server and, after a delay without an outcome, to a second one.

    The first response that is no failure counts; the other send is cancelled, and has
    ended when this returns. If both fail, the outcome of the later one counts.

    Args:
        first: Placement of the first send.
        start: Runs a send until its outcome.
        second: Returns the placement of a second send; None to wait for the first.
        delay_s: The delay in seconds.
    """
    tasks = {asyncio.ensure_future(start(first)): first}
    failed: list[tuple[Placement, Outcome]] = []
    try:
        done, _ = await asyncio.wait(tasks, timeout=delay_s)
        other = None if done else second()
        if other is not None:
            tasks[asyncio.ensure_future(start(other))] = other
        while tasks:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                placement, outcome = tasks.pop(task), task.result()
                if _is_sound(outcome):
                    cancelled = tuple(tasks.values())
                    return HedgeResult(placement, outcome, tuple(failed), cancelled)
                failed.append((placement, outcome))
        placement, outcome = failed.pop()
        return HedgeResult(placement, outcome, tuple(failed))
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _is_sound(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.response.status < 500
