"""Assigns slots of backend servers to the requests queued at one entry.

Combines queueing and server selection. Time and the state of peers are passed in, so
that a replay runs the same code as the gateway.
"""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING, Protocol

import attrs

from cornelpin.scheduling.jobs import LATE_VALUE
from cornelpin.scheduling.request_queue import RequestQueue, ServiceLoad
from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.server_selection import (
    Candidate,
    expected_response_s,
    finish_probability,
    rank_candidates,
    should_wait,
    success_probability,
)
from cornelpin.scheduling.speed import SAMPLE_HALF_LIFE_S, SpeedEstimate

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
SLOT_TURNOVER_S = 1.0
"""Slots of a server in another data centre count as taken by other entries at a rate of
all its slots per this time since its last report, but at most half of them do."""
SCARCE_SHARE = 0.5
"""Share of free slots at or below which an entry sends updates to its peers at shorter
intervals (``Dispatcher.slots_scarce``)."""
MAX_COMPARED_JOBS = 8
"""Queued requests considered for a free slot: the servers of one service differ, and
the request with the highest score may be too late on a slow one."""
MERGED_SPEED_TTL_S = 0.05
"""TTL of a merged speed estimate, so that it is not computed for each request."""
PEER_SPEEDS_EXPIRY_S = 30.0
"""Time after which the speeds received from an entry are dropped: their weight has
decayed to less than a hundredth."""
MIN_EXPORT_WEIGHT = 0.01
"""Weight below which an estimate is not exported."""
MAX_SCORES = 8
"""Queued requests of a service whose scores are sent to peers."""


@attrs.frozen
class Refused:
    """Refusal of a request, with the load that it was based on.

    Attributes:
        reason: Reason in the response to the client.
        retry_after_s: Seconds after which the client should retry.
        slots: Slots of all usable servers.
        free: Free slots among them.
        ahead: Requests ahead of it at all entries; None if it was refused after it had
            waited in the queue.
    """

    reason: str
    retry_after_s: float
    slots: int = 0
    free: int = 0
    ahead: int | None = None


@attrs.define(eq=False)
class Placement:
    """A slot of a server, held for one send.

    Attributes:
        server: The server.
        pending_tokens: Prompt tokens of the request that await prefill; zero after the
            first event of the response.
        tokens_ahead: Prompt tokens that the server prefills before the request's first
            event, those of the request included.
        running: Requests already in flight there, from all entries.
        held_since: Monotonic time at which it was granted.
        expected_s: Expected response time, seconds: from the send to the first event of
            a stream, or to the whole response if it is not streamed.
        free_local: Free slots in the own data centre when it was granted.
    """

    server: BackendServer
    pending_tokens: int
    tokens_ahead: int
    running: int
    held_since: float
    expected_s: float
    free_local: int = 0


Decision = tuple["Job", Placement | Refused]


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
        hold_s: Mean time for which a request holds a slot, seconds.
        first_s: Mean response time, seconds.
        mean_output: Mean output tokens by route name.
        free_share: Share of its slots that were free after the last grant.
    """

    queue: RequestQueue
    hold_s: float = PRIOR_HOLD_S
    first_s: float = PRIOR_FIRST_S
    mean_output: dict[str, float] = attrs.field(factory=dict)
    free_share: float = 1.0


class Dispatcher:
    """Decides when and to which server each request is sent.

    Args:
        servers: Returns a service's servers believed to be running at a given time.
        peers: State of the other entries.
        connected: Returns whether an idle connection to a server exists.
        needs_traffic: Returns whether a server's version is below its traffic share.
        data_centre: Data centre of this entry.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        servers: Callable[[str, float], Iterable[BackendServer]],
        peers: PeerView,
        connected: Callable[[BackendServer], bool],
        data_centre: str,
        needs_traffic: Callable[[BackendServer], bool] = lambda server: False,
        rng: Callable[[], float] = random.random,
    ) -> None:
        self._servers = servers
        self._peers = peers
        self._connected = connected
        self._needs_traffic = needs_traffic
        self._data_centre = data_centre
        self._rng = rng
        self._services: dict[str, _Service] = {}
        self._speeds: dict[tuple[str, int], SpeedEstimate] = {}
        self._health: dict[tuple[str, int], ServerHealth] = {}
        self._placements: dict[str, set[Placement]] = {}
        self._peer_speeds: dict[str, tuple[float, dict[str, list[float]]]] = {}
        self._merged_speeds: dict[tuple[str, int], tuple[float, SpeedEstimate]] = {}

    def speed(self, server: BackendServer) -> SpeedEstimate:
        """Returns the speed of a server as estimated at this entry."""
        return self._speeds.setdefault(server.incarnation, SpeedEstimate())

    def export_speeds(self, now: float) -> dict[str, list[float]]:
        """Returns weighted speed estimates of servers used recently, by server id."""
        return {
            server_id: speed.export(now)
            for (server_id, _), speed in self._speeds.items()
            if speed.weight(now) > MIN_EXPORT_WEIGHT
        }

    def merge_speeds(
        self, source: str, speeds: dict[str, list[float]], now: float
    ) -> None:
        """Stores the speed estimates of another entry or of a whole data centre.

        They are by server id, so those of a restarted server's previous incarnation
        count until they are replaced by the next report or have decayed.
        """
        self._peer_speeds[source] = (now, speeds)

    def _merged_speed(self, server: BackendServer, now: float) -> SpeedEstimate:
        """Returns the speed of a server, merged over all entries."""
        at, speed = self._merged_speeds.get(server.incarnation, (float("-inf"), None))
        if speed is not None and now - at < MERGED_SPEED_TTL_S:
            return speed
        received = []
        for received_at, speeds in self._peer_speeds.values():
            sums = speeds.get(server.id)
            if sums is not None:
                decay = 0.5 ** ((now - received_at) / SAMPLE_HALF_LIFE_S)
                received.append([decay * figure for figure in sums])
        speed = self.speed(server).merged_with(received, now)
        self._merged_speeds[server.incarnation] = (now, speed)
        return speed

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
        """Queues a job, or returns a refusal if it could not be served in time."""
        service = self._service(job.service)
        job.queued_since = now
        job.typical_tokens = service.mean_output.get(
            job.route.name, PRIOR_OUTPUT_TOKENS
        )
        service.queue.count_request(job, now)
        load = self._load(service, self._candidates(job.service, now), now)
        peer_scores = self._peers.queue_scores(job.service)
        ahead = service.queue.ahead(job, load, peer_scores, now)
        retry_after_s = service.queue.retry_after_if_refused(job, load, ahead, now)
        if retry_after_s is not None:
            reason = "no slot in time worth having"
            return Refused(reason, retry_after_s, load.slots, load.free, ahead)
        service.queue.add(job, now)
        return None

    def withdraw(self, job: Job) -> None:
        """Removes a queued job whose client has disconnected."""
        self._service(job.service).queue.remove(job)

    def dispatch(self, name: str, now: float) -> list[Decision]:
        """Grants a service's free slots; refuses jobs past their queue deadline."""
        service = self._services.get(name)
        if service is None or not len(service.queue):
            return []
        candidates = self._candidates(name, now)
        load = self._load(service, candidates, now)
        decisions = self._refuse_unservable(service, load, now)
        peer_scores = self._peers.queue_scores(name)
        free, granted = load.free, 0
        jobs = service.queue.ordered(now, service.first_s)
        while granted < free:
            compared = jobs[:MAX_COMPARED_JOBS]
            pair = self._pick(
                service, compared, candidates, peer_scores, free - granted, now
            )
            if pair is None:
                break
            job, chosen = pair
            jobs.remove(job)
            free_local = sum(c.free for c in candidates if not c.remote)
            placement = self._grant(service, job, chosen, free_local, now)
            decisions.append((job, placement))
            granted += 1
            candidates = [
                self._candidate(c.server, now) if c is chosen else c for c in candidates
            ]
        service.free_share = (free - granted) / max(1, load.slots)
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
        for job in jobs:
            score = service.queue.score(job, now, service.first_s)
            # Each request of a peer with a higher score is assumed to take one free
            # slot first, at the best server left.
            ahead = len(peer_scores) - bisect.bisect_right(peer_scores, score)
            # The expected value of a job is at most its score, and scores descend.
            if ahead >= free or score <= best_value:
                break
            ranked = rank_candidates(job, candidates, now)
            if not ranked:
                break
            chosen = ranked[min(ahead, len(ranked) - 1)]
            if should_wait(job, chosen, candidates, now):
                continue
            # The score contains the factor for lateness from ``first_s`` before the
            # objective on. Until the objective, the probability applies as well.
            value = score
            if now <= job.objective:
                probability = success_probability(job, chosen, now)
                value *= probability + LATE_VALUE * (1.0 - probability)
            value *= finish_probability(job, chosen, now)
            if value > best_value:
                best, best_value = (job, chosen), value
        return best

    def _grant(
        self,
        service: _Service,
        job: Job,
        chosen: Candidate,
        free_local: int,
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
            free_local=free_local,
        )
        self._placements.setdefault(chosen.server.id, set()).add(placement)
        chosen.health.sent(job.request_id, now, placement.expected_s)
        return placement

    def _refuse_unservable(
        self, service: _Service, load: ServiceLoad, now: float
    ) -> list[Decision]:
        refused: list[Decision] = []
        for job in service.queue.unservable(now, service.first_s):
            service.queue.remove(job)
            retry_after_s = service.queue.retry_after(job, now)
            refusal = Refused("waited in vain", retry_after_s, load.slots, load.free)
            refused.append((job, refusal))
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
        if job.stream:
            self.speed(placement.server).record_first_event(
                placement.tokens_ahead, took_s, now
            )
        else:
            self.speed(placement.server).record_response(took_s, now)
        service.first_s = DECAY * service.first_s + (1 - DECAY) * took_s
        self.health(placement.server).received(job.request_id, now)

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
        self.health(placement.server).ended(job.request_id)
        return True

    def forget(self, alive: set[tuple[str, int]], now: float) -> None:
        """Drops estimates of stopped servers, and old speeds received from peers.

        Args:
            alive: Incarnations of the servers that are believed to be running.
            now: Monotonic time in seconds.
        """
        self._peer_speeds = {
            source: received
            for source, received in self._peer_speeds.items()
            if now - received[0] < PEER_SPEEDS_EXPIRY_S
        }
        for table in (self._speeds, self._health, self._merged_speeds):
            for incarnation in table.keys() - alive:
                del table[incarnation]

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(RequestQueue(self._rng))
        return service

    def _candidates(self, service: str, now: float) -> list[Candidate]:
        return [
            self._candidate(server, now)
            for server in self._servers(service, now)
            if not server.leaving
        ]

    def _candidate(self, server: BackendServer, now: float) -> Candidate:
        running, pending_tokens = self._peers.in_flight(server.id)
        placements = self._placements.get(server.id, ())
        remote = server.data_centre != self._data_centre
        age_s = self._peers.remote_age_s() if remote else 0.0
        return Candidate(
            server=server,
            speed=self._merged_speed(server, now),
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
        )

    def _load(
        self, service: _Service, candidates: list[Candidate], now: float
    ) -> ServiceLoad:
        """Returns the load of a service and sets its ``free_share``.

        ``dispatch`` sets the share again after granting slots.
        """
        healthy = [c for c in candidates if not c.health.is_ejected(now)] or candidates
        slots = sum(c.server.slots for c in healthy)
        free = sum(c.free for c in healthy)
        service.free_share = free / max(1, slots)
        return ServiceLoad(
            slots=slots,
            free=free,
            hold_s=service.hold_s,
            first_s=service.first_s,
        )
