"""Handling of one client request: admission, quota, sends to servers, logging."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING

import attrs

from cornelpin.gateway import logs
from cornelpin.gateway.attempts import Attempts, choose_service
from cornelpin.gateway.authorization import (
    STOPPING_RETRY_S,
    Authorization,
    Grant,
)
from cornelpin.gateway.progress import Progress
from cornelpin.gateway.rejected import Rejected
from cornelpin.platform import RequestInfo, read_request, refusal_headers
from cornelpin.scheduling.client_retries import fingerprint
from cornelpin.scheduling.jobs import Job

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornelpin.gateway.rollouts import RolloutController
    from cornelpin.gateway.scheduler import Scheduler
    from cornelpin.gateway.state import GatewayState
    from cornelpin.http1.request_shares import RequestShares
    from cornelpin.http1.requests import ClientRequest
    from cornelpin.http1.responder import Responder
    from cornelpin.scheduling.routing import Workspace

DEADLINE_GRACE_S = 0.1
"""Time past a request's deadline for the server's own time-out response to arrive."""
SHARE_RETRY_S = (0.5, 1.5)
"""Range of Retry-After, in seconds, for a request over its share of the connections.
The random value spreads the retries."""
CONFIG_WAIT_S = 0.25
"""Time for which a request waits for the first configuration of an entry that has just
started: several times what a start takes, and less than callers notice."""


class RequestHandler:
    """Handles the client requests of one entry."""

    def __init__(
        self,
        state: GatewayState,
        scheduler: Scheduler,
        rollout_controller: RolloutController,
        shares: RequestShares,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._rollout_controller = rollout_controller
        self._shares = shares
        self._authorization = Authorization(state)
        # Requests that are queued or run.
        self._attempts: dict[Job, Attempts] = {}

    def reconsider(self) -> None:
        """Takes requests from the queues that a new configuration treats otherwise."""
        self._scheduler.reconsider(
            lambda job: job in self._attempts and not self._attempts[job].grant_holds()
        )

    async def serve(self, req: ClientRequest, responder: Responder) -> None:
        """Responds to one request and logs its outcome."""
        info = read_request(req.headers)
        progress = Progress()
        job: Job | None = None
        status = 0
        reason = ""
        try:
            await self._state.wait_for_config(CONFIG_WAIT_S)
            path = req.target.split(b"?", 1)[0].decode("latin-1")
            grant = await self._authorization.admit(info, path)
            job = self._make_job(grant, info, req)
            self._reject_if_too_long(job)
            with self._share(job):
                status = await self._within_deadline(
                    job, grant, path, req, info, responder, progress
                )
        except Rejected as exc:
            status, reason = exc.status, exc.reason
            if status in {429, 503} and job is not None:
                self._state.record_refusal(job)
            self._reject(exc, info, responder, progress)
        except asyncio.CancelledError:
            reason = "the client left"
            raise
        finally:
            self._log(req, info, job, progress, status, reason)

    def begin_stop(self, stop_at: float) -> None:
        """Lets all requests end by a monotonic time, with an answer.

        A request that has not run until then is refused, so that its client may go to
        another entry.
        """
        self._state.stop_at = stop_at
        for attempts in self._attempts.values():
            attempts.end_by(stop_at)

    def _reject_if_too_long(self, job: Job) -> None:
        """Rejects a request that would probably outlast this process."""
        stop_at = self._state.stop_at
        if stop_at is None or job.deadline <= stop_at:
            return
        upper_s = self._state.durations.upper_s(job.route.name)
        if upper_s is None or time.monotonic() + upper_s > stop_at:
            raise Rejected(503, "this entry stops", STOPPING_RETRY_S)

    @contextlib.contextmanager
    def _share(self, job: Job) -> Iterator[None]:
        """Counts a request as in hand; rejects it if it has no share left."""
        # A new configuration may move the job to another service.
        group = job.service, job.workspace
        if not self._shares.admit(*group):
            reason = "requests like this hold too many connections"
            raise Rejected(503, reason, random.uniform(*SHARE_RETRY_S))
        try:
            yield
        finally:
            self._shares.release(*group)

    def _make_job(self, grant: Grant, info: RequestInfo, req: ClientRequest) -> Job:
        route = grant.route
        remaining_s = route.timeout_s
        if info.deadline_s is not None:
            remaining_s = min(remaining_s, info.deadline_s)
        service = choose_service(route)
        name = grant.workspace.name if grant.workspace is not None else ""
        content_fingerprint = fingerprint(name, req.target, *req.body)
        first_attempt_at = self._state.client_retries.first_attempt_at(
            content_fingerprint, time.monotonic()
        )
        return Job(
            request_id=info.request_id,
            route=route,
            service=service,
            rank=grant.rank,
            arrived=req.received,
            deadline=req.received + remaining_s,
            prompt_tokens=info.prompt_tokens,
            hinted_tokens=info.hinted_tokens,
            max_output_tokens=info.max_output_tokens,
            event_tokens=self._state.event_tokens(service),
            workspace=name,
            data_centres=grant.data_centres,
            fingerprint=content_fingerprint,
            shared_parts=info.shared_parts,
            first_attempt_at=req.received
            if first_attempt_at is None
            else min(first_attempt_at, req.received),
        )

    async def _within_deadline(
        self,
        job: Job,
        grant: Grant,
        path: str,
        req: ClientRequest,
        info: RequestInfo,
        responder: Responder,
        progress: Progress,
    ) -> int:
        """Sends a request until its deadline; refunds the quota if it did not run."""
        workspace = grant.workspace
        amount = self._take_quota(workspace, info)
        attempts = self._attempts[job] = Attempts(
            state=self._state,
            scheduler=self._scheduler,
            rollout_controller=self._rollout_controller,
            job=job,
            req=req,
            responder=responder,
            grant=grant,
            regrant=lambda: self._authorization.grant(info, path),
            progress=progress,
        )
        try:
            async with asyncio.timeout_at(job.deadline + DEADLINE_GRACE_S) as timeout:
                attempts.timeout = timeout
                if self._state.stop_at is not None:
                    attempts.end_by(self._state.stop_at)
                status = await attempts.run()
            if status < 500:
                self._state.durations.record(
                    job.route.name, time.monotonic() - req.received
                )
            return status
        except TimeoutError:
            failure = progress.failure
            if failure is not None and not responder.started:
                responder.send_response(failure.status, failure.headers, failure.body)
                return failure.status
            if progress.may_have_run:
                raise Rejected(504, "no whole answer in time") from None
            if self._state.stop_at is not None:
                raise Rejected(503, "this entry stops", STOPPING_RETRY_S) from None
            raise Rejected(503, "no server in time", None) from None
        finally:
            del self._attempts[job]
            if not progress.may_have_run and workspace is not None:
                self._state.quotas.refund(workspace.name, amount)

    def _take_quota(self, workspace: Workspace | None, info: RequestInfo) -> float:
        """Takes a request from its workspace's quota and returns the amount taken.

        The amount is one request or, for a quota in tokens, the prompt tokens and the
        maximum of output tokens that the client announces. For a request without these
        counts it is the workspace's setting ``plain_tokens``.
        """
        if workspace is None:
            return 0.0
        amount = 1.0
        if workspace.by_tokens:
            amount = float(workspace.plain_tokens)
            if info.has_token_counts:
                amount = float(info.prompt_tokens + info.max_output_tokens)
        wait_s = self._state.take_quota(workspace, amount)
        if wait_s is not None:
            logs.event(
                "request.over_limit",
                id=info.request_id,
                workspace=workspace.name,
                amount=amount,
                rate_per_s=workspace.rate_per_s,
                burst=workspace.burst,
                left=round(self._state.quotas.level(workspace.name)),
                entries=attrs.asdict(self._state.fleet_view()),
                retry_after_s=round(wait_s, 3),
            )
            raise Rejected(429, f"workspace {workspace.name} is over its limit", wait_s)
        return amount

    def _reject(
        self,
        exc: Rejected,
        info: RequestInfo,
        responder: Responder,
        progress: Progress,
    ) -> None:
        """Responds to a rejected request; aborts a response that has started."""
        if responder.started:
            responder.abort()
            return
        headers = refusal_headers(info.request_id, exc.retry_after_s)
        responder.send_response(exc.status, headers, exc.reason.encode())

    def _log(
        self,
        req: ClientRequest,
        info: RequestInfo,
        job: Job | None,
        progress: Progress,
        status: int,
        reason: str,
    ) -> None:
        """Logs and counts a request that has ended, with one of these outcomes.

        * ``answered``: a server's response was forwarded, whatever its status
        * ``refused``: this entry rejected the request (``Rejected``), possibly after a
          failed run, before any part of a response was forwarded
        * ``broken``: this entry rejected it after that, so the response is incomplete
        * ``left``: the client disconnected or an unexpected exception was raised
        """
        took_s = time.monotonic() - req.received
        cfg = self._state.config
        outcome = "answered" if status and not reason else "refused"
        if progress.begun and outcome == "refused":
            outcome = "broken"
        if not status:
            outcome = "left"
        fields = {
            "id": info.request_id,
            "status": status,
            "outcome": outcome,
            "took_ms": round(took_s * 1e3),
            "route": job.route.name if job is not None else "",
            "workspace": job.workspace if job is not None else "",
            "rank": job.rank if job is not None else None,
            "prompt": info.prompt_tokens,
            "output": job.output_tokens if job is not None else 0,
            "events": progress.events,
            "first_ms": progress.first_ms,
            "pause_ms": progress.max_event_gap_ms,
            "late": job is not None and progress.late(job),
            "returned": job is not None and job.is_client_retry,
            "waited_ms": round(1e3 * progress.waited_s),
            "server": progress.server,
            "sends": progress.sends,
            "may_have_run": progress.may_have_run,
            "config": cfg.version if cfg is not None else None,
            "config_age_ms": self._state.config_age_ms(),
            "reason": reason,
            "hedge": progress.hedge,
            "steps": progress.reasons,
        }
        logs.event("request.ended", **fields)
        self._state.count_request(job, outcome, status, reason, took_s)
