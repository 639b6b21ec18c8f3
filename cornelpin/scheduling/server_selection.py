"""Selection of a backend server for one request.

Servers differ in speed, most of their slots are taken, and prompts have 60 to 50,000
tokens. A server is rated by the expected response time, from the send to the first
event of a stream or to the whole response, and by the gaps that the request would cause
between events of other streams there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornelpin.scheduling.jobs import Job
    from cornelpin.scheduling.server_health import ServerHealth
    from cornelpin.scheduling.servers import BackendServer
    from cornelpin.scheduling.speed import SpeedEstimate

LATE_EXPONENT = 3
"""Exponent that turns the ratio of the expected response time to the time left into the
risk of a late response: near 0 at a quarter, 1 when all the time is needed."""
MIN_TIME_SHARE = 0.25
"""Lower bound of the time left, as a part of the objective, so that a late request
still goes to a fast server."""
REMOTE_COST = 0.04
"""Cost of a server in another data centre as a part of a request's value: traffic
between data centres is expensive, and load reports from there are older."""
NEW_CONN_COST = 0.02
"""Cost of opening a connection, as a part of a request's value: it takes a part of the
slot's time."""
NEEDS_TRAFFIC_BONUS = 1.0
"""Bonus, as a part of a request's value, for a server whose version is below its
traffic share."""
FULL_BATCH_COST = 0.02
"""Cost of a full batch, as a part of a request's value: it slows down the first event
and the other streams."""
NEXT_FREE_SLOT_S = 0.1
"""Time within which a slot of another server is assumed to become free: while all slots
are taken, some requests end every tenth of a second."""
MIN_RISK_DECREASE = 0.5
"""Decrease of the risk of a late response above which a job keeps waiting for a better
server."""
LENGTH_POWER = 3.4
"""Exponent of a log-logistic distribution of the output length, which approximates a
log-normal one with a sigma of 0.5."""
FAILURE_TOLERANCE = 0.15
"""Failure rate that is not attributed to a server: some routes fail a seventh of their
requests everywhere, and a single failure has this weight in the moving average."""
MIN_FINISH_PROBABILITY = 0.25
"""Probability of an end before the deadline below which a stream is not started while
others wait for the slot: its caller would probably get a broken answer after a long
wait."""
STREAM_DELAY_COST_PER_S = 2.0
"""Cost, as a part of a request's value, per second by which its prefill delays other
streams on the server beyond the event gap objective. The objective of the request's own
route stands in for those of the other streams."""


@attrs.frozen
class Candidate:
    """A server with its current load and estimates.

    Attributes:
        server: The server.
        speed: Its speed estimate, merged over all entries.
        health: Its failure record at this entry.
        running: Requests in flight there from all entries.
        pending_tokens: Prompt tokens that await prefill there, from all entries.
        remote: Whether it is in another data centre.
        margin: Slots of a remote server that count as taken, because other entries may
            have taken them since their last report.
        connected: Whether an idle connection to it is open.
        needs_traffic: Whether its version is below its traffic share.
        paused: Whether it has asked this host for no requests.
        unproven: Whether it has failed and not responded since, or its data centre may
            be lost.
        limit_per_s: Requests per second that it takes from all entries together; None
            if it names no limit.
        permits: Requests that this entry may send to it now if it has a limit.
        cold: Whether it is slow and restricted because it is cold.
        slowdown: Factor on its times at the moment.
    """

    server: BackendServer
    speed: SpeedEstimate
    health: ServerHealth
    running: int = 0
    pending_tokens: int = 0
    remote: bool = False
    margin: int = 0
    connected: bool = True
    needs_traffic: bool = False
    paused: bool = False
    unproven: bool = False
    limit_per_s: float | None = None
    permits: int = 0
    cold: bool = False
    slowdown: float = 1.0

    @property
    def limited(self) -> bool:
        """Whether the server has a limit."""
        return self.limit_per_s is not None

    @property
    def free_slots(self) -> int:
        """Free slots, whether or not a limit allows to use them."""
        if self.paused:
            return 0
        return max(0, self.server.slots - self.running - self.margin)

    @property
    def free(self) -> int:
        """Free slots that may be used."""
        return min(self.free_slots, self.permits) if self.limited else self.free_slots


def expected_response_s(job: Job, candidate: Candidate) -> float:
    """Returns the expected response time of a job at a server, seconds.

    If the client gave no token counts, it is the server's mean time of responses not
    streamed, also for a stream. Else it is the estimated time to a first event plus one
    event gap as a margin, also for a response that is not streamed.
    """
    speed = candidate.speed
    if not job.prompt_tokens:
        return candidate.slowdown * speed.response_s
    ahead = candidate.pending_tokens + job.prompt_tokens
    return candidate.slowdown * (speed.expected_first_s(ahead) + speed.gap_s)


def finish_probability(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the probability that a stream ends before the job's deadline.

    The output length has a log-logistic distribution with the expected output as its
    median: the odds to end in time grow with a power of the time left.
    """
    gap_s = candidate.slowdown * candidate.speed.gap_s
    output_s = job.output_tokens / job.event_tokens * gap_s
    if not job.stream or output_s <= 0:
        return 1.0
    left_s = job.deadline - now - expected_response_s(job, candidate)
    if left_s <= 0:
        return 0.0
    odds = (left_s / output_s) ** LENGTH_POWER
    return odds / (1.0 + odds)


def late_risk(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the risk that the response misses the job's objective, 0 to 1."""
    left_s = max(job.objective - now, MIN_TIME_SHARE * job.route.objective_s)
    return min(1.0, expected_response_s(job, candidate) / left_s) ** LATE_EXPONENT


def success_probability(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the probability that a job sent now succeeds without a late event."""
    events = job.output_tokens / job.event_tokens if job.stream else 0.0
    probability = 1.0 - late_risk(job, candidate, now)
    probability *= 1.0 - candidate.speed.late_event_risk(events)
    failure_risk = max(0.0, candidate.health.failure_rate - FAILURE_TOLERANCE)
    return probability * (1.0 - failure_risk)


def penalty(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the cost of a placement as a part of the job's value; lower is better."""
    cost = 1.0 - success_probability(job, candidate, now) * finish_probability(
        job, candidate, now
    )
    cost += FULL_BATCH_COST * candidate.running / max(1, candidate.server.slots)
    cost += REMOTE_COST * candidate.remote
    cost += NEW_CONN_COST * (not candidate.connected)
    cost -= NEEDS_TRAFFIC_BONUS * candidate.needs_traffic
    if job.route.max_event_gap_s is not None and candidate.running:
        # If token counts are given, the first summand already contains one gap.
        delay_s = expected_response_s(job, candidate) + candidate.speed.gap_s
        cost += STREAM_DELAY_COST_PER_S * max(0.0, delay_s - job.route.max_event_gap_s)
    return cost


def should_wait(
    job: Job, chosen: Candidate, candidates: Sequence[Candidate], now: float
) -> bool:
    """Returns whether a job should wait until a better server has a free slot.

    Args:
        job: A queued job.
        chosen: The best server with a free slot.
        candidates: All servers.
        now: Monotonic time in seconds.
    """
    risk = late_risk(job, chosen, now)
    if risk < MIN_RISK_DECREASE or now > job.objective:
        return False
    later = now + NEXT_FREE_SLOT_S
    # The next permit of a server with a limit may go to another entry.
    healthy = [
        c
        for c in candidates
        if not (c.paused or c.limited or c.health.is_ejected(now))
        and job.may_run_at(c.server)
    ]
    best = min((late_risk(job, c, later) for c in healthy), default=1.0)
    return risk - best > MIN_RISK_DECREASE


def can_finish(job: Job, candidates: Sequence[Candidate], now: float) -> bool:
    """Returns whether a stream would probably end in time on one of some servers.

    Also true without any server, because one may become usable at any moment, and of a
    job that renews the estimates.
    """
    return (
        job.renews_estimates
        or not candidates
        or any(
            finish_probability(job, c, now) >= MIN_FINISH_PROBABILITY
            for c in candidates
        )
    )


def rank_candidates(
    job: Job, candidates: Sequence[Candidate], now: float, *, contested: bool = False
) -> list[Candidate]:
    """Returns the servers that may receive a job now, the best first.

    Ejected servers and servers already tried are included only if there are no others,
    so that the last remaining server is still used. A job that may not run again, or
    has failed once, is not for trying out a server: it gets an unproven one only if
    there is no other, or in the first case if it is late.

    Args:
        job: The job.
        candidates: The servers.
        now: Monotonic time in seconds.
        contested: Whether other jobs wait for the slots. Servers on which the job would
            not end in time are then left to them.
    """
    usable = [
        c for c in candidates if not c.server.leaving and job.may_run_at(c.server)
    ]
    untried = [c for c in usable if c.server.id not in job.avoid] or usable
    healthy = [c for c in untried if not c.health.is_ejected(now)] or untried
    careful = job.run_failed or not job.route.idempotent
    if job.run_failed or (careful and now <= job.objective):
        healthy = [c for c in healthy if not c.unproven] or healthy
    free = [c for c in healthy if c.free > 0]
    if contested:
        free = [c for c in free if can_finish(job, [c], now)]
    return sorted(
        free,
        key=lambda c: (
            careful and c.unproven,
            penalty(job, c, now),
            expected_response_s(job, c),
            c.server.id,
        ),
    )
