"""Progress of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cornelpin.gateway.exchange import ServerResponse
    from cornelpin.scheduling.jobs import Job


@attrs.define
class Progress:
    """Progress of one request.

    Attributes:
        sends: Sends so far, those that were not run included.
        runs: Completed sends that were or may have been run.
        may_have_run: Whether a server was sent the request and may have run it, the
            current send included.
        last_event: Id of the last event forwarded to the client.
        begun: Whether any part of a response was forwarded.
        events: Number of events forwarded.
        first_ms: Milliseconds from the request's arrival to the first event of a stream
            or the end of another response.
        max_event_gap_ms: Longest gap between two events in milliseconds.
        waited_s: Seconds spent in the queue for slots.
        server: Id of the last server.
        hedge: What came of the second send beside a slow one (``won`` or ``lost``), or
            why there was none; empty if the first one was not slow.
        failure: A server's 5xx response, forwarded if no other send succeeds.
        reasons: Failure reason of each send.
    """

    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    last_event: str | None = None
    begun: bool = False
    events: int = 0
    first_ms: int | None = None
    max_event_gap_ms: int = 0
    waited_s: float = 0.0
    server: str = ""
    hedge: str = ""
    failure: ServerResponse | None = None
    reasons: list[str] = attrs.field(factory=list)

    def late(self, job: Job) -> bool:
        """Returns whether a response missed its latency objective.

        For a stream also if a gap between events was longer than the route's limit.
        """
        if self.first_ms is None:
            return False
        limit_s = job.route.max_event_gap_s
        gap_exceeded = limit_s is not None and self.max_event_gap_ms > 1e3 * limit_s
        return gap_exceeded or job.arrived + self.first_ms / 1e3 > job.objective
