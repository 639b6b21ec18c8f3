"""Sends one request to backend servers until one responds.

A send is one ``Exchange`` with a server. It counts as a run unless the server certainly
did not start the request. A request whose run failed is sent again if the route allows
another run and the retry budget has room. One that was not run needs only the budget,
and only if it reached its server. MAX_SENDS and the deadline limit both.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway import logs
from cornelpin.gateway.event_stream import BadEvent
from cornelpin.gateway.exchange import (
    Answered,
    Broken,
    Exchange,
    IdleTimeouts,
    NotRun,
    Outcome,
    OutgoingRequest,
    ResponseSink,
    ServerResponse,
)
from cornelpin.gateway.hedged_send import Claim, HedgedSink, HedgeResult, hedged_send
from cornelpin.gateway.rejected import Rejected
from cornelpin.gateway.scheduler import Placement, Reconsidered, Refused, Scheduler
from cornelpin.platform import backend_headers, resume_headers
from cornelpin.scheduling.hedging import NO_BUDGET, OVER_QUOTA
from cornelpin.scheduling.rollouts import MIN_TIME_S
from cornelpin.scheduling.routing import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cornelpin.gateway.authorization import Grant
    from cornelpin.gateway.progress import Progress
    from cornelpin.gateway.rollouts import RolloutController
    from cornelpin.gateway.state import GatewayState
    from cornelpin.http1.client import Headers
    from cornelpin.http1.requests import ClientRequest
    from cornelpin.http1.responder import Responder
    from cornelpin.platform import ResponseInfo
    from cornelpin.scheduling.decisions import HeldBackServer
    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.routing import Route, Workspace

MAX_SENDS = 4
"""Most sends of one request, those that were not run included: each costs a round
trip."""
TIMEOUT_FACTOR = 5.0
"""Time-out of a server that sends nothing, as a multiple of the expected response time
or of the route's longest gap between events. Only for idempotent requests, and not for
the last run that the route allows, because no other could follow."""
MIN_TIMEOUT_OBJECTIVES = 2.0
"""A silent server times out no earlier than after this many latency objectives of the
route, not after one, because a late response still has some value
(``Valuation.late``)."""
MIN_SAMPLES = 5
"""Responses of a server required before its expected response time is used for
time-outs; until then its requests have none but their deadline, unless it has failed
and not responded since."""
MIN_EVENT_GAP_TIMEOUT_S = 1.0
"""Shortest time-out between two events of a stream."""
MAX_ID_DIGITS = 18
"""Longest id of an event that is compared as a number."""
MIN_SEND_S = 0.02
"""Time to the deadline below which a request is not sent again."""
PERMIT_USE_S = 0.5
"""Time within which a permit of a server with a limit is used: later sends would arrive
together with those of later permits."""
NOT_RUN_RETRY_S = (0.2, 0.5)
"""Range of Retry-After, in seconds, for a request whose last send was not run: a full
server frees a slot in less time, and the random value spreads the retries."""


@attrs.define(kw_only=True)
class Attempts:
    """Sends one request, to one server after another if necessary.

    It is also the ``ResponseSink`` of these sends.

    Attributes:
        state: State shared by the requests of this entry.
        scheduler: Assigns slots.
        rollout_controller: Receives the outcome of each run, to assess new versions.
        job: The request as the scheduler sees it.
        req: The request as received.
        responder: Writes the response.
        grant: What the configuration allows it.
        regrant: Returns that by the configuration in force now; raises ``Rejected``.
        progress: Progress so far.
        placement: The slot of the current send.
        sent_at: Monotonic time of that send in seconds.
        run_begun: Whether that send got a part of an answer.
        timeout: Ends the request at its deadline.
    """

    state: GatewayState
    scheduler: Scheduler
    rollout_controller: RolloutController
    job: Job
    req: ClientRequest
    responder: Responder
    grant: Grant
    regrant: Callable[[], Grant]
    progress: Progress
    placement: Placement | None = None
    sent_at: float = 0.0
    run_begun: bool = False
    timeout: asyncio.Timeout | None = None

    def end_by(self, at: float) -> None:
        """Shortens the request's deadline to a monotonic time, unless it is earlier."""
        self.job.deadline = min(self.job.deadline, at)
        # A time-out that has fired can't be rescheduled: the request ends with it, in a
        # later turn of the loop.
        if self.timeout is not None and not self.timeout.expired():
            when = self.timeout.when()
            self.timeout.reschedule(at if when is None else min(at, when))

    @property
    def workspace(self) -> Workspace | None:
        """The caller's workspace."""
        return self.grant.workspace

    def grant_holds(self) -> bool:
        """Returns whether the configuration in force grants the same as at arrival."""
        cfg = self.state.config
        if cfg is None or cfg.version == self.grant.version:
            return True
        try:
            return self.regrant().allows_as(self.grant)
        except Rejected:
            return False

    def _follow_config(self) -> None:
        """Applies a new configuration before the request is sent.

        Its deadline stays: the client has been told nothing else.

        Raises:
            Rejected: If the request may not run any more.
        """
        if self.state.config is None or self.state.config.version == self.grant.version:
            return
        try:
            grant = self.regrant()
        except Rejected as exc:
            if not self.progress.may_have_run:
                raise
            raise Rejected(502, exc.reason) from None
        granted_before, self.grant = self.grant, grant
        if grant.allows_as(granted_before):
            return
        job, before = self.job, self.job.service
        job.route, job.rank = grant.route, grant.rank
        job.data_centres = grant.data_centres
        job.workspace = grant.workspace.name if grant.workspace is not None else ""
        if all(name != before for name, _ in grant.route.backends):
            job.service = choose_service(grant.route)
            job.event_tokens = self.state.event_tokens(job.service)
            self.state.budget(job.service).note_request(time.monotonic())
        logs.event(
            "request.regranted",
            id=job.request_id,
            config=grant.version,
            route=job.route.name,
            service=job.service,
            service_before=before,
        )

    async def run(self) -> int:
        """Sends until there is a response; returns its status."""
        self.state.budget(self.job.service).note_request(time.monotonic())
        self.scheduler.dispatcher.note_request(self.job)
        while True:
            self._follow_config()
            queued_at = time.monotonic()
            self._reject_quarantined(queued_at)
            try:
                placement = await self.scheduler.place(self.job)
            finally:
                self.progress.waited_s += time.monotonic() - queued_at
            if isinstance(placement, Reconsidered):
                continue
            if isinstance(placement, Refused):
                return self._refused(placement)
            if not self.grant_holds():
                self.scheduler.release(self.job, placement)
                continue
            self.state.record_queue_wait(
                self.job.forecast_wait_s, time.monotonic() - queued_at
            )
            self._log_placement(placement)
            placement, outcome = await self._send(placement)
            self._record_outcome(placement, outcome)
            status = self._finish_or_resend(outcome)
            if status is not None:
                return status

    def _refused(self, refused: Refused) -> int:
        """Ends a request that gets no slot; forwards an earlier 5xx response if any.

        Returns:
            The status of the forwarded response.
        """
        logs.event(
            "request.refused",
            id=self.job.request_id,
            reason=refused.reason,
            slots=refused.slots,
            free=refused.free,
            ahead=refused.ahead,
            forecast_ms=round(1e3 * refused.forecast_wait_s),
            waited_ms=round(1e3 * self.progress.waited_s),
            retry_after_s=round(refused.retry_after_s, 3),
            servers_age_ms=self.state.servers_age_ms(),
            config=self.grant.version,
            config_age_ms=self.state.config_age_ms(),
            entries=self.state.live_entry_count(),
            **self._held_back(refused.held_back, "refused"),
        )
        if self.progress.failure is not None and not self.responder.started:
            return self._deliver(self.progress.failure)
        if self.progress.may_have_run:
            raise Rejected(504, "no whole answer and no other server")
        raise Rejected(503, refused.reason, refused.retry_after_s)

    def _reject_quarantined(self, now: float) -> None:
        """Rejects a poison request: its content or a part of it is quarantined."""
        reason = self.state.quarantine_reason(self.job, now)
        if not reason:
            return
        if self.progress.may_have_run:
            raise Rejected(502, reason)
        # The quarantine usually outlasts the deadline, and a retry before its end would
        # be rejected again.
        raise Rejected(503, reason, self.job.deadline - now)

    def _log_placement(self, placement: Placement) -> None:
        logs.event(
            "request.placed",
            id=self.job.request_id,
            server=placement.server.id,
            data_centre=placement.server.data_centre,
            free_near=placement.free_local,
            running=placement.running,
            tokens_ahead=placement.tokens_ahead,
            expected_ms=round(1e3 * placement.expected_s),
            waited_ms=round(1e3 * self.progress.waited_s),
            forecast_ms=round(1e3 * self.job.forecast_wait_s),
            servers_age_ms=self.state.servers_age_ms(),
            config=self.grant.version,
            config_age_ms=self.state.config_age_ms(),
            entries=self.state.live_entry_count(),
            **self._held_back(placement.held_back, "placed"),
            **self._slowdown(placement),
        )

    def _slowdown(self, placement: Placement) -> dict[str, object]:
        """Returns what the server has stated of its slowdown, for a log."""
        if placement.slowdown_age_s is None:
            return {}
        return {
            "slowdown": round(placement.slowdown, 2),
            "slowdown_age_ms": round(1e3 * placement.slowdown_age_s),
        }

    def _held_back(
        self, servers: tuple[HeldBackServer, ...], outcome: str
    ) -> dict[str, list[dict[str, object]]]:
        """Counts and returns the servers that limits kept from a request, for a log."""
        if not servers:
            return {}
        self.state.count_held_back(outcome)
        return {"held_back": [attrs.asdict(server) for server in servers]}

    async def _send(self, placement: Placement) -> tuple[Placement, Outcome]:
        """Sends to a server, and perhaps to a second one while the first is slow.

        Returns:
            The placement of the send whose outcome counts, and the outcome.
        """
        delay_s = self.scheduler.dispatcher.hedge_delay_s(self.job, placement)
        # Both sends may be runs, and what has begun goes on in one run.
        runs_left = self.job.route.max_attempts - self.progress.runs
        if delay_s is not None and runs_left >= 2 and not self.responder.started:
            return await self._send_hedged(placement, delay_s)
        self.placement = placement
        ran_before = self.progress.may_have_run
        outcome = await self._run(placement, self)
        if isinstance(outcome, NotRun):
            self.progress.may_have_run = ran_before
        return placement, outcome

    async def _send_hedged(
        self, first: Placement, delay_s: float
    ) -> tuple[Placement, Outcome]:
        ran_before = self.progress.may_have_run
        sinks: dict[Placement, HedgedSink] = {}

        async def start(placement: Placement, claim: Claim) -> Outcome:
            def begin(placement: Placement) -> bool:
                return claim(placement) and self._begin_stream(sinks[placement])

            sinks[placement] = sink = HedgedSink(
                placement,
                self._note_response_head,
                self._note_response_time,
                begin,
                target=self,
            )
            return await self._run(placement, sink)

        result = await hedged_send(
            first, start=start, second=lambda: self._second(first), delay_s=delay_s
        )
        for placement, outcome in result.failed:
            self.placement, self.sent_at = placement, sinks[placement].sent_at
            self._record_outcome(placement, outcome)
            self._note_failed(placement, outcome)
        sink = sinks[result.placement]
        self.placement, self.sent_at = result.placement, sink.sent_at
        self.progress.server = result.placement.server.id
        self.progress.runs += len(result.cancelled)
        if isinstance(result.outcome, Answered) and not self.responder.started:
            self._note_response_time(result.placement, sink.took_s)
        self.progress.may_have_run = (
            ran_before
            or bool(result.cancelled)
            or any(not isinstance(outcome, NotRun) for _, outcome in result.failed)
            or not isinstance(result.outcome, NotRun)
        )
        if len(sinks) > 1:
            self._record_hedge(first, result, sinks)
        return result.placement, result.outcome

    def _begin_stream(self, sink: HedgedSink) -> bool:
        """Follows the send whose stream has begun first; returns True."""
        self.placement, self.sent_at = sink.placement, sink.sent_at
        self.progress.server = sink.placement.server.id
        return True

    def _second(self, first: Placement) -> Placement | None:
        """Returns the placement of a second send beside a slow one, if there is any."""
        job, now = self.job, time.monotonic()
        job.avoid.add(first.server.id)
        if self.state.quarantine_reason(job, now):
            return None
        placement = self.scheduler.hedge(job)
        if isinstance(placement, Placement):
            if not self.state.take_hedge(job.service, now):
                reason = NO_BUDGET
            elif not self._take_hedge_quota():
                reason = OVER_QUOTA
            else:
                return placement
            self.scheduler.release(job, placement)
        else:
            reason = placement
        self.progress.hedge = reason
        self.state.count_hedge(reason)
        return None

    def _take_hedge_quota(self) -> bool:
        """Takes a second run from the quota of the caller's workspace."""
        workspace = self.workspace
        if workspace is None:
            return True
        amount = float(workspace.plain_tokens) if workspace.by_tokens else 1.0
        return self.state.take_quota(workspace, amount) is None

    def _note_failed(self, placement: Placement, outcome: Outcome) -> None:
        """Takes note of a failed send beside which another one runs or ran."""
        progress, server_id = self.progress, placement.server.id
        self.job.avoid.add(server_id)
        match outcome:
            case Answered(response=response):
                progress.runs += 1
                progress.failure = response
                progress.reasons.append(f"{server_id}: answered {response.status}")
            case Broken(reason=reason):
                progress.runs += 1
                progress.reasons.append(f"{server_id}: {reason}")
            case NotRun(reason=reason):
                progress.reasons.append(f"{server_id}: {reason}")

    def _record_hedge(
        self,
        first: Placement,
        result: HedgeResult,
        sinks: Mapping[Placement, HedgedSink],
    ) -> None:
        now = time.monotonic()
        wasted_s = sum(now - sinks[p].sent_at for p in result.cancelled)
        self.progress.hedge = "lost" if result.placement is first else "won"
        self.state.count_hedge(self.progress.hedge, wasted_s)
        logs.event(
            "request.hedged",
            id=self.job.request_id,
            first=first.server.id,
            outcome=self.progress.hedge,
            server=result.placement.server.id,
            expected_ms=round(1e3 * first.expected_s),
            wasted_ms=round(1e3 * wasted_s),
        )

    async def _run(self, placement: Placement, sink: ResponseSink) -> Outcome:
        """Sends to one server; releases its slot at the end."""
        job, req = self.job, self.req
        self.progress.sends += 1
        self.progress.server = placement.server.id
        headers: Headers = list(req.headers)
        if self.progress.last_event is not None:
            headers = resume_headers(headers, self.progress.last_event)
        outgoing = OutgoingRequest(
            request_id=job.request_id,
            method=req.method,
            target=req.target,
            headers=backend_headers(
                headers,
                server_id=placement.server.id,
                deadline_s=job.deadline - time.monotonic(),
                workspace=self.workspace.name if self.workspace is not None else None,
            ),
            body=req.body,
        )
        stream = job.route.kind is RouteKind.STREAM
        idle_timeouts = self._idle_timeouts(placement)
        exchange = Exchange(
            self.state.pool,
            placement.server,
            outgoing,
            sink,
            idle_timeouts,
            may_send=lambda: self._may_send(placement),
            may_give_up=lambda: self._may_give_up(placement),
            memory=self.state.response_memory,
        )
        self.progress.may_have_run = True
        self.sent_at = sink.sent_at = time.monotonic()
        self.run_begun = False
        self.state.rollouts.record_send(placement.server)
        try:
            outcome = await exchange.run(stream=stream)
            if isinstance(outcome, Answered):
                self.state.crashes.on_response(placement.server, exchange.connected_at)
            return outcome
        except asyncio.CancelledError:
            # One of two concurrent sends is given up because the other one has won.
            if sink is self:
                self.scheduler.eject_if_silent(placement.server)
            raise
        finally:
            self.scheduler.release(job, placement)

    def _may_send(self, placement: Placement) -> bool:
        """Returns whether what held when the slot was assigned still holds."""
        now = time.monotonic()
        return (
            self.state.servers.is_usable(placement.server, now)
            and placement.server.data_centre not in self.state.evacuations
            and not self.state.quarantine_reason(self.job, now)
            and self._within_limit(placement, now)
        )

    def _may_give_up(self, placement: Placement) -> bool:
        """Returns whether a send that makes no progress may be given up.

        A stream of which the client has a part is kept if it could not go on at another
        server: the silent one may.
        """
        if not self.responder.started:
            return True
        job, now = self.job, time.monotonic()
        return (
            self.progress.last_event is not None
            and self.progress.sends < MAX_SENDS
            and now + MIN_SEND_S <= job.deadline
            and self.state.has_retry(job.service, now)
            and self.scheduler.dispatcher.can_move(job, placement.server, now)
        )

    def _within_limit(self, placement: Placement, now: float) -> bool:
        """Returns whether the server has no limit, or this send a recent permit."""
        if self.state.limits.limit_per_s(placement.server) is None:
            return True
        return placement.permitted and now - placement.held_since < PERMIT_USE_S

    def on_response_head(self, info: ResponseInfo) -> None:
        """Takes note of what a response says about its server."""
        assert self.placement is not None
        self._note_response_head(self.placement, self.sent_at, info)

    def _note_response_head(
        self, placement: Placement, sent_at: float, info: ResponseInfo
    ) -> None:
        """Takes note of a server that leaves, wants a pause, names a limit, or is slow.

        Args:
            placement: Placement of the send.
            sent_at: Monotonic time of the send.
            info: Decoded headers of the response.
        """
        server = placement.server
        if info.leaving:
            self.state.mark_leaving(server)
        if info.pause_s is not None or info.bad_pause:
            self.scheduler.pause(server, info.pause_s, info.bad_pause)
        # A surplus response may be an old one.
        if info.request_id in {self.job.request_id, ""}:
            self.state.limits.observe(server, info, sent_at)
            slowdowns = self.scheduler.dispatcher.slowdowns
            slowdowns.invalid += info.bad_slowdown
            if info.slowdown is not None:
                placement.stated_slowdown = slowdowns.record(
                    server, info.slowdown, time.monotonic()
                )

    def _idle_timeouts(self, placement: Placement) -> IdleTimeouts | None:
        """Returns the time-outs of a send, or None if it has only its deadline."""
        route = self.job.route
        if not route.idempotent or self.progress.runs + 1 >= route.max_attempts:
            return None
        dispatcher, server = self.scheduler.dispatcher, placement.server
        measured = dispatcher.speed(server).samples >= MIN_SAMPLES
        if (placement.cold or not measured) and not dispatcher.unproven(server):
            return None
        min_timeout_s = MIN_TIMEOUT_OBJECTIVES * route.objective_s
        return IdleTimeouts(
            first_s=max(min_timeout_s, TIMEOUT_FACTOR * placement.expected_s),
            event_gap_s=max(
                MIN_EVENT_GAP_TIMEOUT_S, TIMEOUT_FACTOR * (route.max_event_gap_s or 0.0)
            ),
        )

    def _record_outcome(self, placement: Placement, outcome: Outcome) -> None:
        self.state.count_send(placement.server, type(outcome).__name__)
        health = self.scheduler.dispatcher.health(placement.server)
        # A server that asks for a pause is out of capacity; it has not failed.
        paused = health.is_paused(time.monotonic())
        if not isinstance(outcome, NotRun):
            failed = isinstance(outcome, Broken) or outcome.response.status >= 500
            self.rollout_controller.record_run(
                placement.server,
                self.job.route.name,
                failed=failed,
                # A cold server is slow whatever its version.
                took_s=None if failed or placement.cold else self._relative_time(),
            )
        match outcome:
            case Answered(response=response):
                if response.status < 500:
                    health.succeeded()
                    self.state.record_sound_content(self.job)
                    self.state.record_sound_parts(self.job)
                elif not paused:
                    health.failed()
            case Broken():
                self._record_broken(placement, outcome)
            case NotRun(withdrawn=True):
                pass
            case NotRun(reason=reason, reached=False):
                self.scheduler.eject(placement.server, reason)
            case NotRun(replaced=True):
                self.state.drop_replaced(placement.server)
            case NotRun() if not paused:
                health.failed()

    def _record_broken(self, placement: Placement, broken: Broken) -> None:
        """Records an incomplete response of a server, which may have crashed.

        A time-out is no sign of a crash.
        """
        if broken.disconnected:
            logs.event(
                "server.disconnected",
                server=placement.server.id,
                id=self.job.request_id,
                route=self.job.route.name,
                parts=self.job.shared_parts,
                begun=self.run_begun,
                idle_ms=None if broken.idle_s is None else round(1e3 * broken.idle_s),
                reason=broken.reason,
            )
            self.state.suspect_crash(self.job, placement.server, begun=self.run_begun)
        self.scheduler.eject(placement.server, broken.reason)

    def _relative_time(self) -> float:
        """Returns the run's time for the comparison of versions.

        In seconds; for a stream in seconds per unit of cost, since the cost of streams
        differs widely.
        """
        took_s = max(MIN_TIME_S, time.monotonic() - self.sent_at)
        if not self.job.stream:
            return took_s
        return took_s / self.job.actual_cost(self.progress.events)

    def _finish_or_resend(self, outcome: Outcome) -> int | None:
        """Ends the request and returns its status, or None if it is sent again."""
        progress = self.progress
        match outcome:
            case NotRun(reason=reason, reached=reached):
                progress.reasons.append(f"{progress.server}: {reason}")
                if self._take_resend(counts_as_retry=reached):
                    return None
                if progress.may_have_run:
                    raise Rejected(504, reason)
                raise Rejected(503, reason, self.retry_after_s())
            case Answered(response=response):
                return self._on_response(response)
            case Broken(reason=reason):
                progress.reasons.append(f"{progress.server}: {reason}")
                progress.runs += 1
                if self._may_run_again() and self._take_resend(counts_as_retry=True):
                    return None
                if progress.failure is not None and not self.responder.started:
                    return self._deliver(progress.failure)
                raise Rejected(502, reason)
        return None

    def _on_response(self, response: ServerResponse) -> int | None:
        """Ends the request with a response, or returns None if it is sent again."""
        progress = self.progress
        progress.runs += 1
        if self.responder.started and response.status < 300:
            self.responder.finish()
            self.scheduler.dispatcher.record_output(
                self.job, self.progress.events, time.monotonic()
            )
            return response.status
        if response.status >= 500:
            progress.reasons.append(f"{progress.server}: answered {response.status}")
            progress.failure = response
            if self._may_run_again() and self._take_resend(counts_as_retry=True):
                return None
        return self._deliver(response)

    def _deliver(self, response: ServerResponse) -> int:
        """Forwards a buffered response to the client and returns its status."""
        if self.responder.started:
            raise Rejected(502, "the stream could not be resumed")
        self.responder.send_response(response.status, response.headers, response.body)
        return response.status

    def _may_run_again(self) -> bool:
        """Returns whether the route and the response so far allow another run."""
        job = self.job
        if not job.route.idempotent or self.progress.runs >= job.route.max_attempts:
            return False
        return not self.responder.started or self.progress.last_event is not None

    def _take_resend(self, *, counts_as_retry: bool) -> bool:
        """Decides whether to send again and excludes the last server from it.

        Args:
            counts_as_retry: Whether another send takes from the retry budget, since the
                last one reached its server.
        """
        job = self.job
        now = time.monotonic()
        if self.placement is not None:
            job.avoid.add(self.placement.server.id)
        job.run_failed = self.progress.runs > 0
        if self.progress.sends >= MAX_SENDS or now + MIN_SEND_S > job.deadline:
            return False
        if not counts_as_retry:
            return True
        return self.state.take_retry(job.service, now)

    def retry_after_s(self) -> float:
        """Returns the Retry-After, in seconds, after a last send that was not run."""
        return random.uniform(*NOT_RUN_RETRY_S)

    async def on_stream_start(self, status: int, headers: Headers) -> None:
        """Forwards the head of a stream; a resumed stream keeps its first head."""
        self.run_begun = True
        self.state.record_sound_parts(self.job)
        if not self.responder.started:
            self.responder.start(status, headers)
            self.progress.begun = True

    async def on_event(self, data: bytes, event_id: str | None) -> None:
        """Forwards one event to the client.

        Raises:
            BadEvent: If the client has got it already. The server did not resume after
                the last event.
        """
        if not _follows(event_id, self.progress.last_event):
            raise BadEvent(f"event {event_id} after {self.progress.last_event}")
        self.progress.events += 1
        await self.responder.write(data)
        if event_id is not None:
            self.progress.last_event = event_id

    def on_response_time(self, took_s: float) -> None:
        """Records the response time of the current send."""
        if self.placement is not None:
            self._note_response_time(self.placement, took_s)

    def _note_response_time(self, placement: Placement, took_s: float) -> None:
        if self.progress.first_ms is None:
            since = time.monotonic() - self.req.received
            self.progress.first_ms = round(1e3 * since)
        self.scheduler.record_response_time(self.job, placement, took_s)
        self.state.observe_response_time(placement.server, took_s)

    def on_event_gap(self, took_s: float) -> None:
        """Records the gap before an event."""
        self.progress.max_event_gap_ms = max(
            self.progress.max_event_gap_ms, round(1e3 * took_s)
        )
        if self.placement is not None and not self.placement.cold:
            speed = self.scheduler.dispatcher.speed(self.placement.server)
            speed.record_gap(took_s, self.job.route.max_event_gap_s)


def _follows(event_id: str | None, last: str | None) -> bool:
    """Returns whether an event may come after another one.

    Ids that are numbers rise; others are told apart only.
    """
    if event_id is None or last is None:
        return True
    ids = (event_id, last)
    if all(i.isdecimal() and len(i) <= MAX_ID_DIGITS for i in ids):
        return int(event_id) > int(last)
    return event_id != last


def choose_service(route: Route) -> str:
    """Returns the name of one of a route's services, chosen at random by weight."""
    if len(route.backends) == 1:
        return route.backends[0][0]
    names = [name for name, _ in route.backends]
    weights = [max(0.0, weight) for _, weight in route.backends]
    if not any(weights):
        return names[0]
    return random.choices(names, weights)[0]
