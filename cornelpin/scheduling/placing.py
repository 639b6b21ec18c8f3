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
    from cornelpin.scheduling.pace import Pace
    from cornelpin.scheduling.servers import BackendServer
    from cornelpin.scheduling.standing import Standing

FAILURE_PENALTY_S = 1.0
"""Expected loss of a failed send, in seconds of first-event time."""
REMOTE_PENALTY_S = 0.03
"""Cost of another data centre: a few round trips, and bytes that are priced."""
NEW_CONN_PENALTY_S = 0.004
"""Cost of a connection that is not open yet."""
WANTED_BONUS_S = 1.0
"""Worth of trying a new version that has had less than its part: more than servers of
one service differ by in calm."""
CROWD_S = 0.02
"""Weight of a full batch: how much a first event and its neighbours slow down."""
TAIL_FACTOR = 3.0
"""Multiple of the expected output that one request in ten or so exceeds."""
DEADLINE_WEIGHT = 0.2
"""Weight of the time by which a long output may miss its deadline."""
PAUSE_WEIGHT = 2.0
"""Weight of the time by which a prompt may stretch the pauses beside it."""


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
    pace: Pace
    standing: Standing
    running: int = 0
    reading: int = 0
    remote: bool = False
    margin: int = 0
    connected: bool = True
    wanted: bool = False

    @property
    def free(self) -> int:
        """Free slots."""
        return max(0, self.server.slots - self.running - self.margin)


def expected_s(job: Job, candidate: Candidate) -> float:
    """Returns the expected time to the first bytes of an answer."""
    pace = candidate.pace
    if not job.prompt_tokens:
        return pace.answer_s
    ahead = candidate.reading + job.prompt_tokens
    return pace.expected_first_s(ahead) + pace.gap_s


def overrun_s(job: Job, candidate: Candidate, now: float) -> float:
    """Returns by how much a long output would miss the deadline."""
    events = TAIL_FACTOR * job.output_tokens / job.event_tokens
    ends = now + expected_s(job, candidate) + events * candidate.pace.gap_s
    return max(0.0, ends - job.deadline)


def penalty_s(job: Job, candidate: Candidate, now: float) -> float:
    """Returns the cost of a placement in seconds; the least is the best."""
    cost = expected_s(job, candidate)
    cost += DEADLINE_WEIGHT * overrun_s(job, candidate, now)
    cost += candidate.standing.failure_rate * FAILURE_PENALTY_S
    cost += CROWD_S * candidate.running / max(1, candidate.server.slots)
    cost += REMOTE_PENALTY_S * candidate.remote
    cost += NEW_CONN_PENALTY_S * (not candidate.connected)
    cost -= WANTED_BONUS_S * candidate.wanted
    if job.route.pause_s is not None and candidate.running:
        stall_s = expected_s(job, candidate) + candidate.pace.gap_s
        cost += PAUSE_WEIGHT * max(0.0, stall_s - job.route.pause_s)
    return cost


def rank(job: Job, candidates: Sequence[Candidate], now: float) -> list[Candidate]:
    """Returns the servers that may take a job now, the best first.

    Servers that are set aside come in only if there is no other, so that the last one
    is always tried.
    """
    usable = [c for c in candidates if not c.server.leaving]
    fresh = [c for c in usable if c.server.id not in job.avoid] or usable
    sound = [c for c in fresh if not c.standing.aside(now)] or fresh
    free = [c for c in sound if c.free > 0]
    return sorted(free, key=lambda c: (penalty_s(job, c, now), c.server.id))
