"""Upper bound on goodput with perfect knowledge of the workload.

A fluid model: the engines of a pool form one server whose tokens go, in every time
step, to the requests with the least slack, that is the time by which the start could
still be delayed without missing the deadline. True output lengths are known;
preemption and prefill cost nothing. Where the active requests cannot all meet their
deadlines, the lowest shed order is dropped first, and within it the longest.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from attrs import define, frozen

from benchmarks.deployment import Deployment, Engine
from benchmarks.records import Kind
from benchmarks.workload import PlannedRequest

STEP_S = 0.05
# Relative growth of an engine's step time with each further sequence in the batch.
STEP_GROWTH_PER_SEQUENCE = 0.03
MS_PER_S = 1000.0


@frozen
class Pool:
    """The backend servers of one kind, taken as one.

    Attributes:
        tokens_per_s: Rate of all servers together.
        request_tokens_per_s: Rate of a single request at the fastest server.
    """

    tokens_per_s: float
    request_tokens_per_s: float


@define
class Job:
    """A request and its remaining tokens."""

    call_id: str
    arrival_s: float
    deadline_s: float
    shed_order: int
    remaining_tokens: float

    def latest_start_s(self, pool: Pool) -> float:
        """Returns the latest start time that still meets the deadline."""
        return self.deadline_s - self.remaining_tokens / pool.request_tokens_per_s


def engine_tokens_per_s(engine: Engine) -> float:
    """Returns the token rate of an engine with a full batch."""
    growth = 1 + STEP_GROWTH_PER_SEQUENCE * (engine.max_batch - 1)
    return engine.max_batch * MS_PER_S / (engine.step_ms * growth)


def pools(deployment: Deployment) -> dict[Kind, Pool]:
    """Returns the pools of a deployment by kind; a service call counts as one token."""
    rates = [MS_PER_S / service.latency_ms for service in deployment.services]
    slots = [service.slots for service in deployment.services]
    return {
        Kind.MODEL: Pool(
            sum(map(engine_tokens_per_s, deployment.engines)),
            max(MS_PER_S / engine.step_ms for engine in deployment.engines),
        ),
        Kind.SERVICE: Pool(
            sum(r * s for r, s in zip(rates, slots, strict=True)), max(rates)
        ),
    }


def good_calls(
    deployment: Deployment,
    planned: Iterable[PlannedRequest],
    latency_limits_s: Mapping[str, float],
) -> set[str]:
    """Returns the ids of the calls that the fluid model completes in time."""
    requests = list(planned)
    good: set[str] = set()
    for kind, pool in pools(deployment).items():
        jobs = [
            Job(
                request.call_id,
                request.at_s,
                request.at_s + latency_limits_s[request.tier.name],
                request.tier.shed_order,
                float(max(1, request.output_tokens)),
            )
            for request in requests
            if request.tier.kind is kind
        ]
        good |= _run_fluid_model(jobs, pool)
    return good


def _run_fluid_model(jobs: Sequence[Job], pool: Pool) -> set[str]:
    """Runs the fluid model until each job has finished or missed its deadline.

    Returns the call ids of the finished jobs.
    """
    finished: set[str] = set()
    arrivals = sorted(jobs, key=lambda job: job.arrival_s, reverse=True)
    active: list[Job] = []
    now_s = 0.0
    while arrivals or active:
        while arrivals and arrivals[-1].arrival_s <= now_s:
            active.append(arrivals.pop())
        active = _feasible(active, now_s, pool)
        _grant_tokens(active, pool)
        finished |= {job.call_id for job in active if job.remaining_tokens <= 0}
        active = [job for job in active if job.remaining_tokens > 0]
        now_s += STEP_S
    return finished


def _feasible(active: list[Job], now_s: float, pool: Pool) -> list[Job]:
    """Returns jobs that can all meet their deadlines, by their latest start time."""
    jobs = [job for job in active if job.latest_start_s(pool) >= now_s]
    jobs.sort(key=lambda job: job.deadline_s)
    feasible: list[Job] = []
    required_tokens = 0.0
    for job in jobs:
        feasible.append(job)
        required_tokens += job.remaining_tokens
        while required_tokens > pool.tokens_per_s * (job.deadline_s - now_s):
            dropped = min(
                feasible, key=lambda job: (job.shed_order, -job.remaining_tokens)
            )
            feasible.remove(dropped)
            required_tokens -= dropped.remaining_tokens
    feasible.sort(key=lambda job: job.latest_start_s(pool))
    return feasible


def _grant_tokens(active: list[Job], pool: Pool) -> None:
    """Distributes the tokens of one time step."""
    budget = pool.tokens_per_s * STEP_S
    request_limit = pool.request_tokens_per_s * STEP_S
    for job in active:
        granted = min(job.remaining_tokens, request_limit, budget)
        job.remaining_tokens -= granted
        budget -= granted
        if budget <= 0:
            return
