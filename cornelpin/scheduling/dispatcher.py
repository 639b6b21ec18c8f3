"""Hands the slots of all backend servers to the requests that wait at one entry.

Joins waiting and placing; time and the view of the other entries come from outside, so
that a replay runs the same code as the gateway.
"""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING, Protocol

import attrs

from cornelpin.scheduling.jobs import LATE_WORTH
from cornelpin.scheduling.request_queue import RequestQueue, ServiceLoad
from cornelpin.scheduling.server_health import ServerHealth
from cornelpin.scheduling.server_selection import (
    Candidate,
    expected_s,
    finish_probability,
    rank,
    should_wait,
    success_probability,
)
from cornelpin.scheduling.speed import RECENT_S, SpeedEstimate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.servers import BackendServer

PRIOR_HOLD_S = 0.5
"""Time for which a request holds a slot before any has ended."""
MEMORY = 0.95
"""Part of an old mean that one request leaves."""
PRIOR_OUTPUT_TOKENS = 200.0
"""Output of a request before anything is learned of its route."""
PRIOR_FIRST_S = 0.03
"""Expected first event before anything is learned of a service."""
SLOT_TURNOVER_S = 1.0
"""Time in which a slot is usually taken anew, by which slots that entries of another
data centre may have taken meanwhile are reckoned."""
PRESSED_SHARE = 0.5
"""Share of free slots from which down entries tell each other at once."""
CHOICE = 8
"""Waiting requests among which the one for a free slot is chosen: the servers of one
service are unlike, and what a slow one can't serve in time is not worth most there."""
PACES_FRESH_S = 0.05
"""Time for which joined estimates of speeds are used again."""
PACES_KEPT_S = 30.0
"""Time after which what a silent entry told of speeds has faded away."""
MIN_TOLD_WEIGHT = 0.01
"""Weight below which an estimate is not told."""
MAX_KEYS = 8
"""Waiting requests of a service that the other entries are told of."""


@attrs.frozen
class Refused:
    """A request that is not to be served now, with what decided it.

    Attributes:
        reason: Why.
        retry_after_s: When its client should come back.
        slots: Slots of all usable servers.
        free: Free ones among them.
        ahead: Requests that go before it, of all entries; None if it had waited.
    """

    reason: str
    retry_after_s: float
    slots: int = 0
    free: int = 0
    ahead: int | None = None


@attrs.define(eq=False)
class Placement:
    """A slot of a server, taken for one send.

    Attributes:
        server: The server.
        reading: Prompt tokens that the server still has to read for it.
        ahead: Prompt tokens that it had to read before, its own included.
        running: Requests in flight there before it, of all entries.
        since: Monotonic time from which it is held.
        expected_s: Expected time to the first bytes.
        free_local: Free slots in the own data centre before it.
    """

    server: BackendServer
    unread_tokens: int
    tokens_ahead: int
    running: int
    held_since: float
    expected_s: float
    free_local: int = 0


Decision = tuple["Job", Placement | Refused]


class PeerView(Protocol):
    """What the other entries have told."""

    def in_flight(self, server_id: str) -> tuple[int, int]:
        """Returns their requests and unread prompt tokens at a server."""

    def queue_scores(self, service: str) -> list[float]:
        """Returns the keys of what waits there, ascending."""

    def remote_age_s(self) -> float:
        """Returns how old the word of other data centres may be."""


@attrs.define
class _Service:
    room: RequestQueue
    hold_s: float = PRIOR_HOLD_S
    first_s: float = PRIOR_FIRST_S
    written: dict[str, float] = attrs.field(factory=dict)
    free_share: float = 1.0


class Dispatcher:
    """Decides which request goes where and when.

    Args:
        servers: Returns the believed servers of a service at a time.
        others: The view of the other entries.
        connected: Returns whether an idle connection to a server is open.
        wanted: Returns whether a server's version is to be tried more.
        data_centre: Where this entry is.
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
        self._paces: dict[tuple[str, int], SpeedEstimate] = {}
        self._standings: dict[tuple[str, int], ServerHealth] = {}
        self._places: dict[str, set[Placement]] = {}
        self._heard_paces: dict[str, tuple[float, dict[str, list[float]]]] = {}
        self._common_paces: dict[tuple[str, int], tuple[float, SpeedEstimate]] = {}

    def speed(self, server: BackendServer) -> SpeedEstimate:
        """Returns the learned speed of a server."""
        return self._paces.setdefault(server.incarnation, SpeedEstimate())

    def export_speeds(self, now: float) -> dict[str, list[float]]:
        """Returns what was learned of late of each server's speed, weighted."""
        return {
            server_id: pace.export(now)
            for (server_id, _), pace in self._paces.items()
            if pace.weight(now) > MIN_TOLD_WEIGHT
        }

    def merge_speeds(
        self, source: str, paces: dict[str, list[float]], now: float
    ) -> None:
        """Takes what another entry, or a whole data centre, has learned of speeds."""
        self._heard_paces[source] = (now, paces)

    def _common_pace(self, server: BackendServer, now: float) -> SpeedEstimate:
        """Returns a server's speed as all entries know it."""
        at, pace = self._common_paces.get(server.incarnation, (float("-inf"), None))
        if pace is not None and now - at < PACES_FRESH_S:
            return pace
        others = []
        for heard_at, paces in self._heard_paces.values():
            sums = paces.get(server.id)
            if sums is not None:
                faded = 0.5 ** ((now - heard_at) / RECENT_S)
                others.append([faded * figure for figure in sums])
        pace = self.speed(server).merged_with(others, now)
        self._common_paces[server.incarnation] = (now, pace)
        return pace

    def health(self, server: BackendServer) -> ServerHealth:
        """Returns what is held against a server."""
        return self._standings.setdefault(server.incarnation, ServerHealth())

    def services(self) -> list[str]:
        """Returns the services that requests have asked for."""
        return list(self._services)

    def queued(self) -> int:
        """Returns how many requests wait here."""
        return sum(len(service.room) for service in self._services.values())

    @property
    def slots_scarce(self) -> bool:
        """Whether slots are so scarce that entries may take the same ones."""
        return any(
            service.free_share <= PRESSED_SHARE or len(service.room)
            for service in self._services.values()
        )

    def in_flight(self) -> dict[str, tuple[int, int]]:
        """Returns requests and unread prompt tokens of this entry by server."""
        return {
            server_id: (len(places), sum(p.unread_tokens for p in places))
            for server_id, places in self._places.items()
            if places
        }

    def queue_scores(self) -> dict[str, list[float]]:
        """Returns the highest keys of what waits here, by service."""
        return {
            name: [round(key, 5) for key in service.room.keys()[:MAX_KEYS]]
            for name, service in self._services.items()
            if len(service.room)
        }

    def export_shares(self, now: float) -> dict[str, dict[str, list[float]]]:
        """Returns how well each kind was served here, by service."""
        return {n: s.room.kinds.export(now) for n, s in self._services.items()}

    def merge_shares(
        self, entry: str, shares: dict[str, dict[str, list[float]]], now: float
    ) -> None:
        """Takes how well another entry served each kind."""
        for name, counts in shares.items():
            self._service(name).room.kinds.merge_from(entry, counts, now)

    def offer(self, job: Job, now: float) -> Refused | None:
        """Takes a job in to wait for its slot, or refuses it at once."""
        service = self._service(job.service)
        job.queued_since = now
        job.typical_tokens = service.written.get(job.route.name, PRIOR_OUTPUT_TOKENS)
        service.room.offer(job, now)
        load = self._load(service, self._candidates(job.service, now), now)
        peer_keys = self._peers.queue_scores(job.service)
        ahead = service.room.ahead(job, load, peer_keys, now)
        wait_s = service.room.verdict(job, load, ahead, now)
        if wait_s is not None:
            reason = "no slot in time worth having"
            return Refused(reason, wait_s, load.slots, load.free, ahead)
        service.room.add(job, now)
        return None

    def withdraw(self, job: Job) -> None:
        """Takes a waiting job out whose client has left."""
        self._service(job.service).room.remove(job)

    def dispatch(self, name: str, now: float) -> list[Decision]:
        """Hands out free slots of a service, and refuses what waited in vain."""
        service = self._services.get(name)
        if service is None or not len(service.room):
            return []
        candidates = self._candidates(name, now)
        load = self._load(service, candidates, now)
        decisions = self._refuse_hopeless(service, load, now)
        peer_keys = self._peers.queue_scores(name)
        free, granted = load.free, 0
        waiting = service.room.ordered(now, service.first_s)
        while granted < free:
            some = waiting[:CHOICE]
            pair = self._pick(service, some, candidates, peer_keys, free - granted, now)
            if pair is None:
                break
            job, chosen = pair
            waiting.remove(job)
            free_local = sum(c.free for c in candidates if not c.remote)
            place = self._grant(service, job, chosen, free_local, now)
            decisions.append((job, place))
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
        peer_keys: list[float],
        free: int,
        now: float,
    ) -> tuple[Job, Candidate] | None:
        """Returns the job that a free slot serves best, and the server."""
        best, best_worth = None, 0.0
        for job in jobs:
            key = service.room.key(job, now, service.first_s)
            ahead = len(peer_keys) - bisect.bisect_right(peer_keys, key)
            if ahead >= free or key <= best_worth:
                break
            ranked = rank(job, candidates, now)
            if not ranked:
                break
            chosen = ranked[min(ahead, len(ranked) - 1)]
            if should_wait(job, chosen, candidates, now):
                continue
            worth = key
            if now <= job.objective:
                in_time = success_probability(job, chosen, now)
                worth *= in_time + LATE_WORTH * (1.0 - in_time)
            worth *= finish_probability(job, chosen, now)
            if worth > best_worth:
                best, best_worth = (job, chosen), worth
        return best

    def _grant(
        self,
        service: _Service,
        job: Job,
        chosen: Candidate,
        free_local: int,
        now: float,
    ) -> Placement:
        service.room.take(job, now, service.first_s)
        place = Placement(
            server=chosen.server,
            unread_tokens=job.prompt_tokens,
            tokens_ahead=chosen.unread_tokens + job.prompt_tokens,
            running=chosen.running,
            held_since=now,
            expected_s=expected_s(job, chosen),
            free_local=free_local,
        )
        self._places.setdefault(chosen.server.id, set()).add(place)
        chosen.health.sent(job.request_id, now, place.expected_s)
        return place

    def _refuse_hopeless(
        self, service: _Service, load: ServiceLoad, now: float
    ) -> list[Decision]:
        refused: list[Decision] = []
        for job in service.room.unservable(now, service.first_s):
            service.room.remove(job)
            retry_after_s = service.room.retry_after(job, now)
            verdict = Refused("waited in vain", retry_after_s, load.slots, load.free)
            refused.append((job, verdict))
        return refused

    def first_bytes(
        self, job: Job, place: Placement, took_s: float, now: float
    ) -> None:
        """Takes the first bytes of an answer."""
        place.unread_tokens = 0
        service = self._service(job.service)
        if job.stream:
            self.speed(place.server).record_first_event(place.tokens_ahead, took_s, now)
        else:
            self.speed(place.server).record_response(took_s, now)
        service.first_s = MEMORY * service.first_s + (1 - MEMORY) * took_s
        self.health(place.server).received(job.request_id, now)

    def record_output(self, job: Job, events: int) -> None:
        """Learns how much a request of a route writes."""
        written = self._service(job.service).written
        tokens = float(events * job.event_tokens)
        old = written.get(job.route.name, tokens)
        written[job.route.name] = MEMORY * old + (1 - MEMORY) * tokens

    def release(self, job: Job, place: Placement, now: float) -> bool:
        """Gives a slot back; returns whether it was still held."""
        places = self._places.get(place.server.id)
        if places is None or place not in places:
            return False
        places.discard(place)
        service = self._service(job.service)
        held_s = now - place.held_since
        service.hold_s = MEMORY * service.hold_s + (1 - MEMORY) * held_s
        self.health(place.server).ended(job.request_id)
        return True

    def forget(self, alive: set[tuple[str, int]], now: float) -> None:
        """Drops what was learned of servers that are gone."""
        self._heard_paces = {
            source: heard
            for source, heard in self._heard_paces.items()
            if now - heard[0] < PACES_KEPT_S
        }
        for table in (self._paces, self._standings, self._common_paces):
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
        running, unread_tokens = self._peers.in_flight(server.id)
        places = self._places.get(server.id, ())
        remote = server.data_centre != self._data_centre
        age_s = self._peers.remote_age_s() if remote else 0.0
        return Candidate(
            server=server,
            speed=self._common_pace(server, now),
            health=self.health(server),
            running=running + len(places),
            unread_tokens=unread_tokens + sum(place.unread_tokens for place in places),
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
        sound = [c for c in candidates if not c.health.is_ejected(now)] or candidates
        slots = sum(c.server.slots for c in sound)
        free = sum(c.free for c in sound)
        service.free_share = free / max(1, slots)
        return ServiceLoad(
            slots=slots,
            free=free,
            hold_s=service.hold_s,
            first_s=service.first_s,
        )
