"""Choice of a backend server for one request.

Load pattern: servers unlike in speed, most of their slots taken, prompts of 60 to
50,000 tokens. What counts is the first event and the pauses of those that run beside.
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
"""Power of the expected first event's part of the time left that is the risk of its
coming late: at a quarter of the time next to nothing, near all of it nearly sure."""
MIN_TIME_SHARE = 0.25
"""Least time left, as a part of the objective, that a first event is compared with: a
late request is served where it is served soonest."""
REMOTE_COST = 0.04
"""Cost of another data centre as a part of a request's worth: bytes between them are
dear, and its news is older."""
NEW_CONN_COST = 0.02
"""Cost of a connection that is not open yet: it takes a part of a slot's time."""
WANTED_BONUS = 1.0
"""Worth of trying a new version that has had less than its part: a whole request."""
CROWD_COST = 0.02
"""Weight of a full batch: how much a first event and its neighbours slow down."""
WAIT_FOR_BETTER_S = 0.1
"""Time after which a slot of another server is taken to be free: some of them end every
tenth of a second while all are taken."""
MIN_GAIN = 0.5
"""Fall of the risk of a late first event for which a job waits so long."""
LENGTH_POWER = 3.4
"""Steepness of the odds of longer outputs: a normal distribution of the logarithm with
a deviation of 0.5 has about these odds."""
FAILURE_TOLERANCE = 0.15
"""Failure rate that says nothing of a server: some routes fail a seventh of their
requests everywhere, and a single failure counts as much."""
PAUSE_COST_PER_S = 2.0
"""Risk for the streams beside a prompt for each second by which it stretches their
pauses."""


@attrs.frozen
class Candidate:
    """A server with what is known of its load.

    Attributes:
        server: The server.
        pace: Its learned speed.
        standing: What is held against it.
        running: Requests in flight there, of all entries.
        reading: Prompt tokens that it still has to read, of all entries.
        remote: Whether it is in another data centre.
        margin: Slots left free there, as others may have taken them unheard.
        connected: Whether an idle connection to it is open.
        wanted: Whether its version is to be tried more.
    """

    server: BackendServer
    speed: SpeedEstimate
    health: ServerHealth
    running: int = 0
    unread_tokens: int = 0
    remote: bool = False
    margin: int = 0
    connected: bool = True
    needs_traffic: bool = False

    @property
    def free(self) -> int:
        """Free slots."""
        return max(0, self.server.slots - self.running - self.margin)


def expected_s(job: Job, candidate: Candidate) -> float:
    """Returns the expected time to the first bytes of an answer."""
    pace = candidate.speed
    if not job.prompt_tokens:
        return pace.answer_s
    ahead = candidate.unread_tokens + job.prompt_tokens
    return pace.expected_first_s(ahead) + pace.gap_s


def finish_probability(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the chance that an output ends before its deadline.

    The client's estimate is right at the median; the odds of an output that is so many
    times longer fall with a power of that.
    """
    writing_s = job.output_tokens / job.event_tokens * candidate.speed.gap_s
    if not job.stream or writing_s <= 0:
        return 1.0
    left_s = job.deadline - now - expected_s(job, candidate)
    if left_s <= 0:
        return 0.0
    odds = (left_s / writing_s) ** LENGTH_POWER
    return odds / (1.0 + odds)


def late_risk(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the risk that the first event comes late, 0 to 1."""
    left_s = max(job.objective - now, MIN_TIME_SHARE * job.route.objective_s)
    return min(1.0, expected_s(job, candidate) / left_s) ** LATE_EXPONENT


def success_probability(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the chance that a job sent now is answered without delay or failure."""
    events = job.output_tokens / job.event_tokens if job.stream else 0.0
    in_time = 1.0 - late_risk(job, candidate, now)
    in_time *= 1.0 - candidate.speed.pause_risk(events)
    failing = max(0.0, candidate.health.failure_rate - FAILURE_TOLERANCE)
    return in_time * (1.0 - failing)


def penalty(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the cost of a placement as a part of the job's worth; least is best."""
    cost = 1.0 - success_probability(job, candidate, now) * finish_probability(
        job, candidate, now
    )
    cost += CROWD_COST * candidate.running / max(1, candidate.server.slots)
    cost += REMOTE_COST * candidate.remote
    cost += NEW_CONN_COST * (not candidate.connected)
    cost -= WANTED_BONUS * candidate.needs_traffic
    if job.route.pause_s is not None and candidate.running:
        stall_s = expected_s(job, candidate) + candidate.speed.gap_s
        cost += PAUSE_COST_PER_S * max(0.0, stall_s - job.route.pause_s)
    return cost


def should_wait(
    job: Job, chosen: Candidate, candidates: Sequence[Candidate], now: float
) -> bool:
    """Returns whether a job should rather wait for a better server to be free.

    Args:
        job: A job that waits.
        chosen: The best server that is free.
        candidates: All servers.
        now: Monotonic time in seconds.
    """
    risk = late_risk(job, chosen, now)
    if risk < MIN_GAIN or now > job.objective:
        return False
    later = now + WAIT_FOR_BETTER_S
    sound = [c for c in candidates if not c.health.is_ejected(now)]
    best = min((late_risk(job, c, later) for c in sound), default=1.0)
    return risk - best > MIN_GAIN


def rank(job: Job, candidates: Sequence[Candidate], now: float) -> list[Candidate]:
    """Returns the servers that may take a job now, the best first.

    Servers that are set aside come in only if there is no other, so that the last one
    is always tried.
    """
    usable = [c for c in candidates if not c.server.leaving]
    fresh = [c for c in usable if c.server.id not in job.avoid] or usable
    sound = [c for c in fresh if not c.health.is_ejected(now)] or fresh
    free = [c for c in sound if c.free > 0]
    return sorted(
        free, key=lambda c: (penalty(job, c, now), expected_s(job, c), c.server.id)
    )
