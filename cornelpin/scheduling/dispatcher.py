"""Assigns slots of backend servers to the requests queued at one entry.

Combines queueing and server selection. Time and the state of peers are passed in, so
that a replay runs the same code as the gateway.
"""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING, Protocol

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
from cornelpin.scheduling.fleet_speeds import FleetSpeeds
from cornelpin.scheduling.jobs import Review
from cornelpin.scheduling.permit_demand import (
    NoPermits,
    PermitSource,
    after_peers,
    held_back,
    may_get_permit,
    permits_wanted,
)
from cornelpin.scheduling.request_queue import RequestQueue
from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.server_selection import (
    Candidate,
    can_finish,
    expected_response_s,
    finish_probability,
    rank_candidates,
    should_wait,
    success_probability,
)
from cornelpin.scheduling.slowdowns import Slowdowns
from cornelpin.scheduling.speed import PRIOR_GAP_S, SpeedEstimate
from cornelpin.scheduling.valuation import Valuation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.servers import BackendServer

PRIOR_HOLD_S = 0.5
"""Initial mean time for which a request of a service holds a slot."""
DECAY = 0.95
"""Weight of the old value in the moving averages of hold times, response times and
output tokens."""
PRIOR_OUTPUT_TOKENS = 200.0
"""Initial mean output of a route's requests, in tokens."""
PRIOR_FIRST_S = 0.03
"""Initial mean response time of a service: the time from the send to the first event
of a stream, or to the whole response if it is not streamed."""
PRIOR_COLD_SLOWDOWN = 2.0
"""Initial factor on the times of a service's cold servers."""
MAX_COLD_SLOWDOWN = 10.0
"""Upper bound of that factor."""
SLOT_TURNOVER_S = 1.0
"""Slots of a server in another data centre count as taken by other entries at a rate of
all its slots per this time since its last report, but at most half of them do."""
SCARCE_SHARE = 0.5
"""Share of free slots at or below which an entry sends updates to its peers at shorter
intervals (``Dispatcher.slots_scarce``)."""
MAX_COMPARED_JOBS = 8
"""Queued requests considered for a free slot: the servers of one service differ, and
the request with the highest score may be too late on a slow one."""
MAX_SCORES = 8
"""Queued requests of a service whose scores are sent to peers."""


class PeerView(Protocol):
    """State of the other entries as last received."""

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns their requests in flight and pending prompt tokens at a server."""

    def queue_scores(self, service: str) -> list[float]:
        """Returns the scores of their queued requests, ascending.

        An entry sends at most its ``MAX_SCORES`` highest ones per service.
        """

    def remote_age_s(self) -> float:
        """Returns the expected age of a report from another data centre, seconds."""


@attrs.define
class _Service:
    """State of one service at this entry.

    Attributes:
        queue: Its queued requests.
        admission: Decides which requests may queue.
        hold_s: Mean time for which a request holds a slot, seconds.
        first_s: Mean response time, seconds.
        gap_s: Mean gap between two events of a stream, seconds.
        mean_output: Mean output tokens by route name.
        free_share: Share of its slots that were free after the last grant.
        cold_slowdown: Mean factor on the response times of its cold servers.
    """

    queue: RequestQueue
    admission: AdmissionControl
    hold_s: float = PRIOR_HOLD_S
    first_s: float = PRIOR_FIRST_S
    gap_s: float = PRIOR_GAP_S
    mean_output: dict[str, float] = attrs.field(factory=dict)
    free_share: float = 1.0
    cold_slowdown: float = PRIOR_COLD_SLOWDOWN


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
        rng: Callable[[], float] = random.random,
    ) -> None:
        self._valuation = valuation or Valuation()
        self._permits = permits or NoPermits()
        self._servers = servers
        self._peers = peers
        self._connected = connected
        self._needs_traffic = needs_traffic
        self._evacuated = evacuated
        self._data_centre = data_centre
        self._rng = rng
        self.speeds = FleetSpeeds()
        self.slowdowns = Slowdowns()
        self._services: dict[str, _Service] = {}
        self._health: dict[tuple[str, int], ServerHealth] = {}
        self._placements: dict[str, set[Placement]] = {}

    def speed(self, server: BackendServer) -> SpeedEstimate:
        """Returns the speed of a server as estimated at this entry."""
        return self.speeds.own(server)

    def health(self, server: BackendServer) -> ServerHealth:
        """Returns the health of a server as observed at this entry."""
        return self._health.setdefault(server.incarnation, ServerHealth())

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
        return {
            server_id: (len(placements), sum(p.pending_tokens for p in placements))
            for server_id, placements in self._placements.items()
            if placements
        }

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
        """Merges the class counts and rank sizes of another entry, by service."""
        for name, exported in figures.items():
            self._service(name).queue.classes.merge_from(entry, exported, now)

    def offer(self, job: Job, now: float) -> Refused | None:
        """Queues a job, or returns a refusal if it could not be served in time.

        One whose run has failed is queued until its client is about to leave.
        """
        service = self._service(job.service)
        job.queued_since = now
        job.typical_tokens = service.mean_output.get(
            job.route.name, PRIOR_OUTPUT_TOKENS
        )
        service.queue.count_request(job, now)
        snapshot = self._snapshot(job.service, service, now)
        outcome: Forecast | Refused
        closed = self._closed(job, snapshot, now)
        if job.run_failed and not closed:
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
        service: _Service,
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
        closed = self._closed(job, snapshot, now)
        if closed:
            forecast = self._forecast(service, job, snapshot, now, score_at=now)
            return self._refuse(service, job, snapshot, now, closed, forecast)
        for at, until in prospects(job, now, service.first_s):
            forecast = self._forecast(service, job, snapshot, now, score_at=at)
            if service.admission.admits(forecast, until, now, strictness=strictness):
                if not snapshot.load.contested or can_finish(
                    job, snapshot.candidates, now
                ):
                    return forecast
                reason = TOO_LONG
        return self._refuse(service, job, snapshot, now, reason, forecast)

    def _closed(self, job: Job, snapshot: _Snapshot, now: float) -> str:
        """Returns why no server is open to a job, however long it waits; else empty."""
        if snapshot.candidates:
            if any(job.may_run_at(c.server) for c in snapshot.candidates):
                return ""
            return OUTSIDE_REGIONS
        return EVACUATED if self._evacuated(job.service, now) else ""

    def _forecast(
        self,
        service: _Service,
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
        service: _Service,
        job: Job,
        snapshot: _Snapshot,
        now: float,
        reason: str,
        forecast: Forecast,
    ) -> Refused:
        load = snapshot.load
        retry_after_s = service.admission.retry_after_s(
            job, self._run_s(service, job), now
        )
        if load.limited_slots:
            # Limits allow no earlier start, however soon slots are free.
            retry_after_s = max(retry_after_s, min(forecast.wait_s, MAX_RETRY_S))
        return Refused(
            reason,
            retry_after_s,
            held_back=held_back(snapshot.candidates, self._permits, now),
            slots=load.slots,
            free=load.free,
            ahead=forecast.ahead,
            forecast_wait_s=forecast.wait_s,
        )

    def _run_s(self, service: _Service, job: Job) -> float:
        """Returns the expected duration of a run of a job, seconds."""
        if not job.stream:
            return service.first_s
        return service.first_s + job.output_tokens / job.event_tokens * service.gap_s

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
            compared = jobs[:MAX_COMPARED_JOBS]
            pair = self._pick(
                service,
                compared,
                candidates,
                snapshot.peer_scores,
                free - granted,
                now,
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
                self._candidate(c.server, now) if c is chosen else c for c in candidates
            ]
        service.free_share = (free - granted) / max(1, snapshot.load.slots)
        score = service.queue.score(jobs[0], now, service.first_s) if jobs else 0.0
        for chosen, count in permits_wanted(
            jobs[:MAX_COMPARED_JOBS], last, candidates, self._permits, now
        ):
            self._permits.ask(chosen.server, count, score, now)
        if review:
            decisions += self._review_queue(service, snapshot, now)
        return decisions

    def _pick(
        self,
        service: _Service,
        jobs: list[Job],
        candidates: list[Candidate],
        peer_scores: list[float],
        free: int,
        now: float,
    ) -> tuple[Job, Candidate] | None:
        """Returns the job of highest expected value for a free slot, and its server.

        Args:
            service: State of the service.
            jobs: Queued jobs to compare, by descending score.
            candidates: Servers of the service.
            peer_scores: Scores of the jobs queued at other entries, ascending.
            free: Number of free slots.
            now: Monotonic time in seconds.
        """
        best, best_value = None, 0.0
        contested = len(jobs) + len(peer_scores) > 1
        limited = [c for c in candidates if c.limited]
        for job in jobs:
            score = service.queue.score(job, now, service.first_s)
            # Each request of a peer with a higher score is assumed to take one free
            # slot first, at the best server left.
            ahead = len(peer_scores) - bisect.bisect_right(peer_scores, score)
            # The expected value of a job is at most its score, and scores descend.
            if score <= best_value:
                break
            # Permits are for this entry alone, whatever waits at others.
            open_to_job = candidates if ahead < free else limited
            if not open_to_job:
                break
            ranked = rank_candidates(job, open_to_job, now, contested=contested)
            if not ranked:
                continue
            chosen = after_peers(ranked, ahead)
            if should_wait(job, chosen, candidates, now):
                continue
            # The score contains the factor for lateness from ``first_s`` before the
            # objective on. Until the objective, the probability applies as well.
            value = score
            if now <= job.objective:
                probability = success_probability(job, chosen, now)
                value *= probability + self._valuation.late * (1.0 - probability)
            value *= finish_probability(job, chosen, now)
            if value > best_value:
                best, best_value = (job, chosen), value
        return best

    def _grant(
        self,
        service: _Service,
        job: Job,
        chosen: Candidate,
        candidates: list[Candidate],
        now: float,
    ) -> Placement:
        service.queue.pop(job, now, service.first_s)
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
            held_back=held_back(candidates, self._permits, now),
        )
        if chosen.limited:
            self._permits.take(chosen.server, now)
        self._placements.setdefault(chosen.server.id, set()).add(placement)
        chosen.health.sent(job.request_id, now, placement.expected_s)
        return placement

    def _review_queue(
        self, service: _Service, snapshot: _Snapshot, now: float
    ) -> list[Decision]:
        """Refuses queued jobs that are no longer expected to be served in time."""
        refused: list[Decision] = []
        for job in service.queue:
            review = due_review(job, now, service.first_s)
            if review is None and self._closed(job, snapshot, now):
                review = Review.LATE
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
            factor = placement.slowdown * took_s / placement.expected_s
            service.cold_slowdown = DECAY * service.cold_slowdown + (1 - DECAY) * min(
                MAX_COLD_SLOWDOWN, max(1.0, factor)
            )
            return
        usual_s = took_s / placement.stated_slowdown
        if job.stream:
            self.speed(placement.server).record_first_event(
                placement.tokens_ahead, usual_s, now
            )
        else:
            self.speed(placement.server).record_response(usual_s, now)
        service.first_s = DECAY * service.first_s + (1 - DECAY) * took_s

    def record_output(self, job: Job, events: int) -> None:
        """Updates the mean output of a route, given the events of a complete stream."""
        mean_output = self._service(job.service).mean_output
        tokens = float(events * job.event_tokens)
        old = mean_output.get(job.route.name, tokens)
        mean_output[job.route.name] = DECAY * old + (1 - DECAY) * tokens

    def release(self, job: Job, placement: Placement, now: float) -> bool:
        """Releases the slot of an ended send; returns whether it was still held."""
        placements = self._placements.get(placement.server.id)
        if placements is None or placement not in placements:
            return False
        placements.discard(placement)
        service = self._service(job.service)
        held_s = now - placement.held_since
        service.hold_s = DECAY * service.hold_s + (1 - DECAY) * held_s
        gap_s = self.speed(placement.server).gap_s
        service.gap_s = DECAY * service.gap_s + (1 - DECAY) * gap_s
        self.health(placement.server).ended(job.request_id)
        return True

    def forget(self, alive: set[tuple[str, int]], now: float) -> None:
        """Drops estimates of stopped servers, and old speeds received from peers.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        self.speeds.forget(alive, now)
        self.slowdowns.forget(alive)
        for incarnation in self._health.keys() - alive:
            del self._health[incarnation]

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(
                RequestQueue(self._valuation), AdmissionControl(self._rng)
            )
        return service

    def _candidates(self, service: str, now: float) -> list[Candidate]:
        return [
            self._candidate(server, now)
            for server in self._servers(service, now)
            if not server.leaving
        ]

    def _slowdown(self, server: BackendServer, now: float, *, cold: bool) -> float:
        """Returns the factor on a server's times at the moment.

        Of a server that states it, a response that is overdue says so before the next
        statement does.
        """
        if cold:
            return self._service(server.service).cold_slowdown
        if self.slowdowns.age_s(server, now) is None:
            return 1.0
        overdue = self.health(server).overdue_factor(now)
        return max(self.slowdowns.expected(server, now), overdue)

    def _candidate(self, server: BackendServer, now: float) -> Candidate:
        running, pending_tokens = self._peers.in_flight(server.id)
        placements = self._placements.get(server.id, ())
        remote = server.data_centre != self._data_centre
        age_s = self._peers.remote_age_s() if remote else 0.0
        limit_per_s = self._permits.limit_per_s(server)
        cold = (
            limit_per_s is not None
            and self._permits.cold_rate_per_s(server) is not None
        )
        return Candidate(
            server=server,
            speed=self.speeds.merged(server, now),
            health=self.health(server),
            running=running + len(placements),
            pending_tokens=pending_tokens
            + sum(placement.pending_tokens for placement in placements),
            remote=remote,
            margin=min(
                server.slots // 2, round(server.slots * age_s / SLOT_TURNOVER_S)
            ),
            connected=self._connected(server),
            needs_traffic=self._needs_traffic(server),
            paused=self.health(server).is_paused(now),
            limit_per_s=limit_per_s,
            permits=0 if limit_per_s is None else self._permits.permits(server, now),
            cold=cold,
            slowdown=self._slowdown(server, now, cold=cold),
        )

    def _snapshot(self, name: str, service: _Service, now: float) -> _Snapshot:
        """Returns servers and load of a service and sets its ``free_share``.

        ``dispatch`` sets the share again after granting slots.
        """
        candidates = self._candidates(name, now)
        peer_scores = self._peers.queue_scores(name)
        healthy = [c for c in candidates if not c.health.is_ejected(now)] or candidates
        running = [c for c in healthy if not c.paused]
        slots = sum(c.server.slots for c in running)
        free = sum(c.free or may_get_permit(c, self._permits, now) for c in healthy)
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
