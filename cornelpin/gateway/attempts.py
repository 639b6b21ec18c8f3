"""The sends of one request: where, how often, and what is made of each outcome."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway import logs
from cornelpin.gateway.exchange import (
    Answered,
    Broken,
    Exchange,
    IdleTimeouts,
    NotRun,
    Outcome,
    OutgoingRequest,
    ServerResponse,
)
from cornelpin.gateway.scheduler import Place, Refused, Scheduler
from cornelpin.platform import backend_headers, resume_headers
from cornelpin.scheduling.rollouts import MIN_TIME_S
from cornelpin.scheduling.routing import Repeat

if TYPE_CHECKING:
    from cornelpin.gateway.rollouts import RolloutController
    from cornelpin.gateway.state import GatewayState
    from cornelpin.http1.client import Headers
    from cornelpin.http1.server import ClientRequest, Responder
    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.routing import Workspace

MAX_SENDS = 4
"""Sends of one request, those that were not run included: each costs a round trip."""
SILENCE_FACTOR = 5.0
"""Multiple of the expected first bytes, or of the longest pause that is still on time,
after which a request that may be repeated is given up at a silent server."""
SILENT_OBJECTIVES = 2.0
"""Least such time in objectives of the route: until one has passed nothing is lost, and
a slow answer is worth waiting for as long again."""
MIN_SAMPLES = 5
"""Answers of a server before its expected times are trusted that far."""
MIN_PAUSE_S = 1.0
"""Shortest such time within a stream."""
MIN_SEND_S = 0.02
"""Least time left for a send to make sense."""
FULL_RETRY_S = (0.2, 0.5)
"""Bounds of Retry-After when the servers tried were full: a slot frees in less."""


@attrs.frozen
class Rejected(Exception):
    """A request that ends with an answer of our own."""

    status: int
    reason: str
    retry_after_s: float | None = None


@attrs.define
class Progress:
    """What has been done for one request.

    Attributes:
        sends: Sends so far, those that were not run included.
        runs: Servers that may have begun to run it.
        may_have_run: Whether one of them may have.
        last_event: Id of the last event that was passed on.
        begun: Whether a part of an answer was passed on.
        events: Events that were passed on.
        first_ms: Time from its arrival to the first bytes of an answer.
        pause_ms: Longest pause between two events.
        waited_s: Time for which it waited for slots.
        server: Id of the last server.
        failure: A server's own failure, passed on if nothing better comes.
        reasons: What went wrong, a line for each send.
    """

    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    last_event: str | None = None
    begun: bool = False
    events: int = 0
    first_ms: int | None = None
    pause_ms: int = 0
    waited_s: float = 0.0
    server: str = ""
    failure: ServerResponse | None = None
    reasons: list[str] = attrs.field(factory=list)

    def late(self, job: Job) -> bool:
        """Returns whether an answer missed its route's objective or a pause."""
        if self.first_ms is None:
            return False
        pause_s = job.route.pause_s
        paused = pause_s is not None and self.pause_ms > 1e3 * pause_s
        return paused or job.arrived + self.first_ms / 1e3 > job.objective


@attrs.define(kw_only=True)
class Attempts:
    """The sends of one request.

    Attributes:
        state: What the entry believes and shares.
        scheduler: Hands out slots.
        rollouts: Judges new versions by what comes of their sends.
        job: The request as the scheduler sees it.
        req: The request as it came.
        responder: Writes its answer.
        workspace: The caller's workspace.
        progress: What has been done so far.
        place: The slot of the present send.
        sent_at: Monotonic time of that send.
    """

    state: GatewayState
    scheduler: Scheduler
    rollouts: RolloutController
    job: Job
    req: ClientRequest
    responder: Responder
    workspace: Workspace | None
    progress: Progress
    place: Place | None = None
    sent_at: float = 0.0

    async def run(self) -> int:
        """Sends until there is an answer; returns its status."""
        self.state.budget(self.job.service).note_request(time.monotonic())
        while True:
            asked = time.monotonic()
            self._check_content(asked)
            try:
                place = await self.scheduler.place(self.job)
            finally:
                self.progress.waited_s += time.monotonic() - asked
            if isinstance(place, Refused):
                return self._refused(place)
            self._log_place(place)
            outcome = await self._send(place)
            self._learn(place, outcome)
            status = self._conclude(outcome)
            if status is not None:
                return status

    def _refused(self, refused: Refused) -> int:
        """Ends a request that gets no slot; a server's failure at hand is passed on."""
        logs.event(
            "request.refused",
            id=self.job.request_id,
            reason=refused.reason,
            slots=refused.slots,
            free=refused.free,
            ahead=refused.ahead,
            waited_ms=round(1e3 * self.progress.waited_s),
            retry_after_s=round(refused.retry_after_s, 3),
            servers_age_ms=self.state.servers_age_ms(),
            entries=self.state.entries(),
        )
        if self.progress.failure is not None and not self.responder.started:
            return self._deliver(self.progress.failure)
        if self.progress.may_have_run:
            raise Rejected(504, "no whole answer and no other server")
        raise Rejected(503, refused.reason, refused.retry_after_s)

    def _check_content(self, now: float) -> None:
        """Turns a content away that breaks the servers that run it."""
        if not self.state.poison_detector.condemned(self.job.fingerprint, now):
            return
        reason = "its content has broken several servers"
        if self.progress.may_have_run:
            raise Rejected(502, reason)
        raise Rejected(503, reason, self.job.deadline - now)

    def _log_place(self, place: Place) -> None:
        logs.event(
            "request.placed",
            id=self.job.request_id,
            server=place.server.id,
            data_centre=place.server.data_centre,
            free_near=place.free_near,
            running=place.running,
            tokens_ahead=place.ahead,
            expected_ms=round(1e3 * place.expected_s),
            waited_ms=round(1e3 * self.progress.waited_s),
            servers_age_ms=self.state.servers_age_ms(),
            entries=self.state.entries(),
        )

    async def _send(self, place: Place) -> Outcome:
        job, req = self.job, self.req
        self.place = place
        self.progress.sends += 1
        self.progress.server = place.server.id
        headers: Headers = list(req.headers)
        if self.progress.last_event is not None:
            headers = resume_headers(headers, self.progress.last_event)
        sent = OutgoingRequest(
            request_id=job.request_id,
            method=req.method,
            target=req.target,
            headers=backend_headers(
                headers,
                server_id=place.server.id,
                deadline_s=job.deadline - time.monotonic(),
                workspace=self.workspace.name if self.workspace is not None else None,
            ),
            body=req.body,
        )
        stream = job.route.repeat is Repeat.STREAM
        silence = self._silence(place)
        exchange = Exchange(self.state.pool, place.server, sent, self, silence)
        ran_before = self.progress.may_have_run
        self.progress.may_have_run = True
        self.sent_at = time.monotonic()
        self.state.rollouts.sent(place.server)
        try:
            outcome = await exchange.run(stream=stream)
        finally:
            self.scheduler.release(job, place)
        if isinstance(outcome, NotRun):
            self.progress.may_have_run = ran_before
        return outcome

    def _silence(self, place: Place) -> IdleTimeouts | None:
        """Returns how long the server may be silent if the request may go elsewhere."""
        route = self.job.route
        if not route.idempotent or self.progress.runs + 1 >= route.max_attempts:
            return None
        if self.scheduler.dispatcher.pace(place.server).samples < MIN_SAMPLES:
            return None
        objective_s = SILENT_OBJECTIVES * route.objective_s
        return IdleTimeouts(
            first_s=max(objective_s, SILENCE_FACTOR * place.expected_s),
            pause_s=max(MIN_PAUSE_S, SILENCE_FACTOR * (route.pause_s or 0.0)),
        )

    def _learn(self, place: Place, outcome: Outcome) -> None:
        self.state.count_send(place.server, type(outcome).__name__)
        standing = self.scheduler.dispatcher.standing(place.server)
        if not isinstance(outcome, NotRun):
            failed = isinstance(outcome, Broken) or outcome.response.status >= 500
            self.rollouts.ended(
                place.server,
                self.job.route.name,
                failed=failed,
                took_s=None if failed else self._relative_time(),
            )
        match outcome:
            case Answered(response=answer):
                if answer.status >= 500:
                    standing.failed()
                else:
                    standing.succeeded()
            case Broken(reason=reason):
                self.state.record_broken_run(self.job, place.server)
                self.scheduler.unreachable(place.server, reason)
            case NotRun(reason=reason, reached=False):
                self.scheduler.unreachable(place.server, reason)
            case NotRun(replaced=True):
                self.state.server_replaced(place.server)
            case NotRun():
                standing.failed()

    def _relative_time(self) -> float:
        """Returns the time of the present run, of a stream that for its work."""
        took_s = max(MIN_TIME_S, time.monotonic() - self.sent_at)
        if not self.job.stream:
            return took_s
        return took_s / self.job.work(self.progress.events)

    def _conclude(self, outcome: Outcome) -> int | None:
        """Ends the request, or returns None if it is to be sent again."""
        progress = self.progress
        match outcome:
            case NotRun(reason=reason, reached=reached):
                progress.reasons.append(f"{progress.server}: {reason}")
                if self._again(repeat=reached):
                    return None
                if progress.may_have_run:
                    raise Rejected(504, reason)
                raise Rejected(503, reason, self.retry_after_s())
            case Answered(response=answer):
                return self._answered(answer)
            case Broken(reason=reason):
                progress.reasons.append(f"{progress.server}: {reason}")
                progress.runs += 1
                if self._may_repeat() and self._again(repeat=True):
                    return None
                if progress.failure is not None and not self.responder.started:
                    return self._deliver(progress.failure)
                raise Rejected(502, reason)
        return None

    def _answered(self, answer: ServerResponse) -> int | None:
        progress = self.progress
        progress.runs += 1
        if self.responder.started and answer.status < 300:
            self.responder.finish()
            self.scheduler.dispatcher.wrote(self.job, self.progress.events)
            return answer.status
        if answer.status >= 500:
            progress.reasons.append(f"{progress.server}: answered {answer.status}")
            progress.failure = answer
            if self._may_repeat() and self._again(repeat=True):
                return None
        return self._deliver(answer)

    def _deliver(self, answer: ServerResponse) -> int:
        if self.responder.started:
            raise Rejected(502, "the stream could not be resumed")
        self.responder.send_response(answer.status, answer.headers, answer.body)
        return answer.status

    def _may_repeat(self) -> bool:
        job = self.job
        if not job.route.idempotent or self.progress.runs >= job.route.max_attempts:
            return False
        return not self.responder.started or self.progress.last_event is not None

    def _again(self, *, repeat: bool) -> bool:
        """Returns whether another send makes sense, and takes it from the budget."""
        job = self.job
        now = time.monotonic()
        if self.place is not None:
            job.avoid.add(self.place.server.id)
        if self.progress.sends >= MAX_SENDS or now + MIN_SEND_S > job.deadline:
            return False
        if not repeat:
            return True
        return self.state.budget(job.service).take(now, self.state.entries())

    def retry_after_s(self) -> float:
        """Returns when a client whose servers were full should come back."""
        return random.uniform(*FULL_RETRY_S)

    async def on_stream_start(self, status: int, headers: Headers) -> None:
        """Passes the head of a stream on; a resumed one keeps the first."""
        if not self.responder.started:
            self.responder.start(status, headers)
            self.progress.begun = True

    async def on_event(self, data: bytes, event_id: str | None) -> None:
        """Passes one event on."""
        self.progress.events += 1
        await self.responder.write(data)
        if event_id is not None:
            self.progress.last_event = event_id

    def on_first_byte(self, took_s: float) -> None:
        """Tells the scheduler how long the first bytes took."""
        if self.progress.first_ms is None:
            since = time.monotonic() - self.req.received
            self.progress.first_ms = round(1e3 * since)
        if self.place is not None:
            self.scheduler.first_bytes(self.job, self.place, took_s)
            self.state.count_first_bytes(self.place.server, took_s)

    def on_event_gap(self, took_s: float) -> None:
        """Tells the scheduler the pause before an event."""
        self.progress.pause_ms = max(self.progress.pause_ms, round(1e3 * took_s))
        if self.place is not None:
            pace = self.scheduler.dispatcher.pace(self.place.server)
            pace.gap(took_s, self.job.route.pause_s)
