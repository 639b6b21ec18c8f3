"""Assigns slots of backend servers to the requests queued at one entry.

Combines queueing and server selection. Time and the state of peers are passed in, so
that a replay runs the same code as the gateway.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cornelpin.scheduling.admission import (
    EARLY_STRICTNESS,
    MAX_RETRY_S,
    AdmissionControl,
    Forecast,
    ServiceLoad,
    due_review,
    prospects,
)
from cornelpin.scheduling.candidates import Candidates, PeerView
from cornelpin.scheduling.decisions import (
    EVACUATED,
    NO_SLOT,
    OUTSIDE_REGIONS,
    TOO_LONG,
    WAITED,
    Decision,
    Placement,
    Refused,
)
from cornelpin.scheduling.hedging import (
    BUSY,
    MIN_FREE_SHARE,
    NO_BUDGET,
    NO_SERVER,
    Hedging,
    HedgingPolicy,
)
from cornelpin.scheduling.jobs import Review
from cornelpin.scheduling.matching import best_pair
from cornelpin.scheduling.permit_demand import (
    NoPermits,
    PermitSource,
    held_back,
    may_get_permit,
    permits_wanted,
)
from cornelpin.scheduling.request_queue import RequestQueue
from cornelpin.scheduling.server_selection import (
    Candidate,
    can_finish,
    expected_response_s,
    rank_candidates,
)
from cornelpin.scheduling.service_state import ServiceState
from cornelpin.scheduling.valuation import Valuation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.server_health import ServerHealth
    from cornelpin.scheduling.servers import BackendServer
    from cornelpin.scheduling.speed import SpeedEstimate

SCARCE_SHARE = 0.5
"""Share of free slots at or below which an entry sends updates to its peers at shorter
intervals (``Dispatcher.slots_scarce``)."""
MAX_COMPARED_JOBS = 8
"""Queued requests considered for a free slot: the servers of one service differ, and
the request with the highest score may be too late on a slow one."""
MAX_SCORES = 8
"""Queued requests of a service whose scores are sent to peers."""


@attrs.frozen
class _Snapshot:
    """What one decision on the requests of a service is based on.

    Attributes:
        candidates: Servers of the service.
        load: Load of the service.
        peer_scores: Scores of the jobs queued at other entries, ascending.
    """

    candidates: list[Candidate]
    load: ServiceLoad
    peer_scores: list[float]


class Dispatcher:
    """Decides when and to which server each request is sent.

    Args:
        servers: Returns a service's servers believed to be running at a given time.
        peers: State of the other entries.
        connected: Returns whether an idle connection to a server exists.
        needs_traffic: Returns whether a server's version is below its traffic share.
        evacuated: Returns whether all servers of a service are in evacuated data
            centres.
        data_centre: Data centre of this entry.
        valuation: Relative values of responses.
        permits: Limits of servers, and permits to send to those that have one.
        hedging: Which part of the requests may be hedged; none if not given.
        rng: Source of randomness.

    Attributes:
        speeds: Speed estimates of the servers.
        slowdowns: How long work takes on the servers at this moment, as they state it.
    """

    def __init__(
        self,
        *,
        servers: Callable[[str, float], Iterable[BackendServer]],
        peers: PeerView,
        connected: Callable[[BackendServer], bool],
        data_centre: str,
        needs_traffic: Callable[[BackendServer], bool] = lambda server: False,
        evacuated: Callable[[str, float], bool] = lambda service, now: False,
        valuation: Valuation | None = None,
        permits: PermitSource | None = None,
        hedging: HedgingPolicy | None = None,
        rng: Callable[[], float] = random.random,
    ) -> None:
        self._valuation = valuation or Valuation()
        self._hedging = hedging or HedgingPolicy()
        self._peers = peers
        self._evacuated = evacuated
        self._rng = rng
        self._servers = servers
        self._services: dict[str, ServiceState] = {}
        self._candidates = Candidates(
            servers=servers,
            peers=peers,
            connected=connected,
            data_centre=data_centre,
            needs_traffic=needs_traffic,
            permits=permits or NoPermits(),
            cold_slowdown=lambda service: self._service(service).cold_slowdown,
        )
        self.speeds = self._candidates.speeds
        self.slowdowns = self._candidates.slowdowns

    def speed(self, server: BackendServer) -> SpeedEstimate:
        """Returns the speed of a server as estimated at this entry."""
        return self.speeds.own(server)

    def health(self, server: BackendServer) -> ServerHealth:
        """Returns the health of a server as observed at this entry."""
        return self._candidates.health(server)

    def unproven(self, server: BackendServer) -> bool:
        """Returns whether a server has failed, or its data centre may be lost."""
        return self._candidates.unproven(server)

    def services(self) -> list[str]:
        """Returns the services for which requests have arrived."""
        return list(self._services)

    def queued(self) -> int:
        """Returns the number of requests queued here."""
        return sum(len(service.queue) for service in self._services.values())

    @property
    def slots_scarce(self) -> bool:
        """Whether free slots are so few that entries may assign the same ones."""
        return any(
            service.free_share <= SCARCE_SHARE or len(service.queue)
            for service in self._services.values()
        )

    def in_flight(self) -> dict[str, tuple[int, int]]:
        """Returns this entry's requests in flight and pending tokens by server id."""
        return self._candidates.in_flight()

    def queue_scores(self) -> dict[str, list[float]]:
        """Returns the highest scores of the requests queued here, by service."""
        return {
            name: [round(score, 5) for score in service.queue.scores()[:MAX_SCORES]]
            for name, service in self._services.items()
            if len(service.queue)
        }

    def export_class_counts(self, now: float) -> dict[str, dict[str, list[float]]]:
        """Returns this entry's class counts and rank sizes, by service.

        The form is that of ``RequestClasses.export``.
        """
        return {n: s.queue.classes.export(now) for n, s in self._services.items()}

    def merge_class_counts(
        self, entry: str, figures: dict[str, dict[str, list[float]]], now: float
    ) -> None:
        """Merges the class counts and rank sizes of another entry, by service.

        Those of a service without servers are of no use, and its state is large.
        """
        for name, exported in figures.items():
            if name in self._services or any(self._servers(name, now)):
                classes = self._service(name).queue.classes
                classes.merge_from(entry, exported, now)

    def offer(self, job: Job, now: float) -> Refused | None:
        """Queues a job, or returns a refusal if it could not be served in time.

        One whose run has failed is queued until its client is about to leave.
        """
        service = self._service(job.service)
        job.queued_since = now
        job.typical_tokens = service.typical_tokens(job.route.name)
        if not (job.announces_output or service.knows_output(job.route.name)):
            job.renews_estimates = True
        service.queue.count_request(job, now)
        snapshot = self._snapshot(job.service, service, now)
        closed = self._refuse_if_closed(service, job, snapshot, now)
        if closed is not None:
            return closed
        outcome: Forecast | Refused
        if job.run_failed:
            outcome = self._forecast(service, job, snapshot, now, score_at=now)
        else:
            outcome = self._assess(service, job, snapshot, now)
        if isinstance(outcome, Refused):
            service.admission.refused_early()
            return outcome
        job.forecast_wait_s = outcome.wait_s
        score = service.queue.score(job, now, service.first_s)
        service.admission.record_admission(score, now)
        service.queue.add(job, now)
        return None

    def _assess(
        self,
        service: ServiceState,
        job: Job,
        snapshot: _Snapshot,
        now: float,
        strictness: float = 1.0,
    ) -> Forecast | Refused:
        """Forecasts a wait; refuses the job if it is not expected to be served in time.

        Args:
            service: State of the service.
            job: The job.
            snapshot: Servers and load.
            now: Monotonic time in seconds.
            strictness: Factor on the safety margin.
        """
        reason = NO_SLOT
        for at, until in prospects(job, now, service.first_s):
            forecast = self._forecast(service, job, snapshot, now, score_at=at)
            if service.admission.admits(forecast, until, now, strictness=strictness):
                if not snapshot.load.contested or can_finish(
                    job, snapshot.candidates, now
                ):
                    return forecast
                if service.renews_estimates(now):
                    job.renews_estimates = True
                    return forecast
                reason = TOO_LONG
        return self._refuse(service, job, snapshot, now, reason, forecast)

    def _refuse_if_closed(
        self, service: ServiceState, job: Job, snapshot: _Snapshot, now: float
    ) -> Refused | None:
        """Refuses a job to which no server is open, however long it waits.

        The safety margin of forecasts has nothing to learn from such a refusal.
        """
        if any(job.may_run_at(c.server) for c in snapshot.candidates):
            return None
        if snapshot.candidates:
            reason = OUTSIDE_REGIONS
        elif self._evacuated(job.service, now):
            reason = EVACUATED
        else:
            return None
        forecast = self._forecast(service, job, snapshot, now, score_at=now)
        return self._refuse(service, job, snapshot, now, reason, forecast)

    def _forecast(
        self,
        service: ServiceState,
        job: Job,
        snapshot: _Snapshot,
        now: float,
        *,
        score_at: float,
    ) -> Forecast:
        """Returns the forecast for a job with its queue score of a monotonic time."""
        score = service.queue.score(job, score_at, service.first_s)
        ahead = service.queue.ahead(score, snapshot.peer_scores, without=job)
        own_share = service.queue.classes.own_share(now)
        return service.admission.forecast(score, ahead, snapshot.load, own_share, now)

    def _refuse(
        self,
        service: ServiceState,
        job: Job,
        snapshot: _Snapshot,
        now: float,
        reason: str,
        forecast: Forecast,
    ) -> Refused:
        load = snapshot.load
        retry_after_s = service.admission.retry_after_s(job, service.run_s(job), now)
        if load.limited_slots:
            # Limits allow no earlier start, however soon slots are free.
            retry_after_s = max(retry_after_s, min(forecast.wait_s, MAX_RETRY_S))
        return Refused(
            reason,
            retry_after_s,
            held_back=held_back(snapshot.candidates, self._candidates.permits, now),
            slots=load.slots,
            free=load.free,
            ahead=forecast.ahead,
            forecast_wait_s=forecast.wait_s,
        )

    def withdraw(self, job: Job) -> None:
        """Removes a queued job whose client has disconnected."""
        self._service(job.service).queue.remove(job)

    def dispatch(self, name: str, now: float, *, review: bool = True) -> list[Decision]:
        """Grants a service's free slots and reviews the jobs that remain queued.

        Args:
            name: Name of the service.
            now: Monotonic time in seconds.
            review: Whether jobs that are no longer expected to be served in time are
                refused.
        """
        service = self._services.get(name)
        if service is None or not len(service.queue):
            return []
        snapshot = self._snapshot(name, service, now)
        candidates = snapshot.candidates
        decisions: list[Decision] = []
        free, granted = snapshot.load.free, 0
        jobs = service.queue.ordered(now, service.first_s)
        last: tuple[Job, Candidate] | None = None
        while granted < free:
            pair = best_pair(
                jobs[:MAX_COMPARED_JOBS],
                candidates,
                snapshot.peer_scores,
                free - granted,
                now,
                score=lambda job: service.queue.score(job, now, service.first_s),
                late_value=self._valuation.late,
            )
            if pair is None:
                break
            job, chosen = pair
            jobs.remove(job)
            placement = self._grant(service, job, chosen, candidates, now)
            decisions.append((job, placement))
            granted += 1
            last = pair
            candidates = [
                self._candidates.candidate(c.server, now) if c is chosen else c
                for c in candidates
            ]
        service.free_share = (free - granted) / max(1, snapshot.load.slots)
        score = service.queue.score(jobs[0], now, service.first_s) if jobs else 0.0
        for chosen, count in permits_wanted(
            jobs[:MAX_COMPARED_JOBS], last, candidates, self._candidates.permits, now
        ):
            self._candidates.permits.ask(chosen.server, count, score, now)
        if review:
            decisions += self._review_queue(service, snapshot, now)
        return decisions

    def _grant(
        self,
        service: ServiceState,
        job: Job,
        chosen: Candidate,
        candidates: list[Candidate],
        now: float,
    ) -> Placement:
        service.queue.pop(job, now, service.first_s)
        return self._place(job, chosen, candidates, now)

    def _place(
        self, job: Job, chosen: Candidate, candidates: list[Candidate], now: float
    ) -> Placement:
        """Takes a slot of a server for a job."""
        placement = Placement(
            server=chosen.server,
            pending_tokens=job.prompt_tokens,
            tokens_ahead=chosen.pending_tokens + job.prompt_tokens,
            running=chosen.running,
            held_since=now,
            expected_s=expected_response_s(job, chosen),
            free_local=sum(c.free for c in candidates if not c.remote),
            permitted=chosen.limited,
            cold=chosen.cold,
            slowdown=chosen.slowdown,
            slowdown_age_s=self.slowdowns.age_s(chosen.server, now),
            held_back=held_back(candidates, self._candidates.permits, now),
        )
        if chosen.limited:
            self._candidates.permits.take(chosen.server, now)
        self._candidates.hold(placement)
        chosen.health.sent(job.request_id, now, placement.expected_s)
        return placement

    def hedge_delay_s(self, job: Job, placement: Placement) -> float | None:
        """Returns the seconds after which a send is slow; None if it is not hedged."""
        if placement.cold or not job.route.idempotent or not self._hedging.allows(job):
            return None
        hedging = self._service(job.service).hedging
        return hedging.delay_s(job.route.name, placement.expected_s)

    def hedge(self, job: Job, now: float) -> Placement | str:
        """Takes a slot for a second send of a job that runs; else returns why not.

        Only if nobody waits for the service, on a server that is sound and free, and
        within the share of requests that may be hedged.

        Args:
            job: The job; the servers to which it was sent are avoided.
            now: Monotonic time in seconds.
        """
        service = self._service(job.service)
        snapshot = self._snapshot(job.service, service, now)
        if snapshot.load.contested or service.free_share < MIN_FREE_SHARE:
            return BUSY
        sound = [
            c
            for c in snapshot.candidates
            if not (c.limited or c.cold or c.health.is_ejected(now))
            and c.server.id not in job.avoid
        ]
        ranked = rank_candidates(job, sound, now)
        if not ranked:
            return NO_SERVER
        if not service.hedging.take():
            return NO_BUDGET
        return self._place(job, ranked[0], snapshot.candidates, now)

    def can_move(self, job: Job, server: BackendServer, now: float) -> bool:
        """Returns whether a job that runs could get a slot elsewhere at once.

        That is on a sound server, and beside the jobs that already wait for one.

        Args:
            job: The job.
            server: The server at which it runs.
            now: Monotonic time in seconds.
        """
        free = sum(
            candidate.free
            for candidate in self._candidates.of_service(job.service, now)
            if candidate.server is not server
            and candidate.server.id not in job.avoid
            and not candidate.health.is_ejected(now)
        )
        return free > len(self._service(job.service).queue)

    def note_request(self, job: Job) -> None:
        """Counts a request towards the share that may be hedged."""
        self._service(job.service).hedging.note_request()

    def _review_queue(
        self, service: ServiceState, snapshot: _Snapshot, now: float
    ) -> list[Decision]:
        """Refuses queued jobs that are no longer expected to be served in time."""
        refused: list[Decision] = []
        for job in service.queue:
            closed = self._refuse_if_closed(service, job, snapshot, now)
            if closed is not None:
                service.queue.remove(job)
                refused.append((job, closed))
                continue
            review = due_review(job, now, service.first_s)
            if review is None:
                continue
            job.reviewed_at = now
            outcome: Forecast | Refused
            if review is Review.EXPIRED:
                forecast = self._forecast(service, job, snapshot, now, score_at=now)
                outcome = self._refuse(service, job, snapshot, now, WAITED, forecast)
            else:
                strictness = EARLY_STRICTNESS if review is Review.EARLY else 1.0
                outcome = self._assess(service, job, snapshot, now, strictness)
            if not isinstance(outcome, Refused):
                continue
            service.queue.remove(job)
            if review is Review.EARLY:
                service.admission.refused_early()
            else:
                service.admission.refused_late()
            refused.append((job, outcome))
        return refused

    def first_bytes(
        self, job: Job, placement: Placement, took_s: float, now: float
    ) -> None:
        """Records a response time.

        It is the time from the send to the first event of a stream, or to the whole
        response if it is not streamed.
        """
        placement.pending_tokens = 0
        service = self._service(job.service)
        self.health(placement.server).received(job.request_id, now)
        if placement.cold:
            service.record_cold_response(
                placement.slowdown * took_s / placement.expected_s
            )
            return
        service.hedging.record_response(job.route.name, took_s, placement.expected_s)
        usual_s = took_s / placement.stated_slowdown
        if job.stream:
            self.speed(placement.server).record_first_event(
                placement.tokens_ahead, usual_s, now
            )
        else:
            self.speed(placement.server).record_response(usual_s, now)
        service.record_response(took_s)

    def record_output(self, job: Job, events: int, now: float) -> None:
        """Updates the mean output of a route, given the events of a complete stream."""
        self._service(job.service).record_output(job, events, now)

    def release(self, job: Job, placement: Placement, now: float) -> bool:
        """Releases the slot of an ended send; returns whether it was still held."""
        if not self._candidates.release(placement):
            return False
        self._service(job.service).record_hold(
            now - placement.held_since, self.speed(placement.server).gap_s
        )
        self.health(placement.server).ended(job.request_id)
        return True

    def forget(self, alive: set[tuple[str, int]], now: float) -> None:
        """Drops estimates of stopped servers, and old speeds received from peers.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        self._candidates.forget(alive, now)

    def _service(self, name: str) -> ServiceState:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceState(
                RequestQueue(self._valuation),
                AdmissionControl(self._rng),
                Hedging(self._hedging),
            )
        return service

    def _snapshot(self, name: str, service: ServiceState, now: float) -> _Snapshot:
        """Returns servers and load of a service and sets its ``free_share``.

        ``dispatch`` sets the share again after granting slots.
        """
        candidates = self._candidates.of_service(name, now)
        peer_scores = self._peers.queue_scores(name)
        healthy = [c for c in candidates if not c.health.is_ejected(now)] or candidates
        running = [c for c in healthy if not c.paused]
        slots = sum(c.server.slots for c in running)
        permits = self._candidates.permits
        free = sum(c.free or may_get_permit(c, permits, now) for c in healthy)
        limited = [c for c in running if c.limited]
        service.free_share = free / max(1, slots)
        load = ServiceLoad(
            slots=slots,
            free=free,
            hold_s=service.hold_s,
            limited_slots=sum(c.server.slots for c in limited),
            limited_per_s=sum(
                min(c.limit_per_s or 0.0, c.server.slots / service.hold_s)
                for c in limited
            ),
            queued=len(service.queue) + len(peer_scores),
        )
        return _Snapshot(candidates, load, peer_scores)
