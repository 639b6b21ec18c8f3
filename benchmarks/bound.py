"""An upper bound on goodput, computed with full knowledge.

A fluid model: the engines of a pool are one server whose tokens go, in every step
of time, to the requests that must start first to meet their deadlines. True lengths
are known, work may be preempted without cost and prefill is free. Where the waiting
requests cannot all meet their deadlines, the lowest shed order is dropped first, and
of that the longest.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from attrs import define, frozen

from benchmarks.deployment import Deployment, Engine
from benchmarks.records import Kind
from benchmarks.workload import PlannedRequest

STEP_S = 0.05
# The batch of an engine steps more slowly by this share for each further sequence.
BATCH_SLOWDOWN = 0.03
MS_PER_S = 1000.0


@frozen
class Pool:
    """Tokens a second of a pool and of a single request at its fastest server."""

    tokens_per_s: float
    request_tokens_per_s: float


@define
class Job:
    """A request and the tokens that it still needs."""

    call_id: str
    arrival_s: float
    deadline_s: float
    shed_order: int
    tokens: float

    def latest_start_s(self, pool: Pool) -> float:
        """Returns when the request must start at the latest, without any queueing."""
        return self.deadline_s - self.tokens / pool.request_tokens_per_s


def engine_tokens_per_s(engine: Engine) -> float:
    """Returns the rate of an engine with a full batch."""
    growth = 1 + BATCH_SLOWDOWN * (engine.max_batch - 1)
    return engine.max_batch * MS_PER_S / (engine.step_ms * growth)


def pools(deployment: Deployment) -> dict[Kind, Pool]:
    """Returns the pools of a deployment; a service call counts as one token."""
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
    latency_bounds_s: Mapping[str, float],
) -> set[str]:
    """Returns the ids of the calls that the bound answers in time."""
    listed = list(planned)
    good: set[str] = set()
    for kind, pool in pools(deployment).items():
        jobs = [
            Job(
                request.call_id,
                request.at_s,
                request.at_s + latency_bounds_s[request.tier.name],
                request.tier.shed_order,
                float(max(1, request.output_tokens)),
            )
            for request in listed
            if request.tier.kind is kind
        ]
        good |= _finished(jobs, pool)
    return good


def _finished(jobs: Sequence[Job], pool: Pool) -> set[str]:
    """Runs the fluid model until every job has finished or cannot any more."""
    finished: set[str] = set()
    coming = sorted(jobs, key=lambda job: job.arrival_s, reverse=True)
    active: list[Job] = []
    now_s = 0.0
    while coming or active:
        while coming and coming[-1].arrival_s <= now_s:
            active.append(coming.pop())
        active = _feasible(active, now_s, pool)
        _serve(active, pool)
        finished |= {job.call_id for job in active if job.tokens <= 0}
        active = [job for job in active if job.tokens > 0]
        now_s += STEP_S
    return finished


def _feasible(active: list[Job], now_s: float, pool: Pool) -> list[Job]:
    """Returns the jobs that can all meet their deadlines, least slack first."""
    jobs = [job for job in active if job.latest_start_s(pool) >= now_s]
    jobs.sort(key=lambda job: job.deadline_s)
    kept: list[Job] = []
    tokens = 0.0
    for job in jobs:
        kept.append(job)
        tokens += job.tokens
        while tokens > pool.tokens_per_s * (job.deadline_s - now_s):
            dropped = min(kept, key=lambda job: (job.shed_order, -job.tokens))
            kept.remove(dropped)
            tokens -= dropped.tokens
    kept.sort(key=lambda job: job.latest_start_s(pool))
    return kept


def _serve(active: list[Job], pool: Pool) -> None:
    """Hands out the tokens of one step of time."""
    left = pool.tokens_per_s * STEP_S
    most = pool.request_tokens_per_s * STEP_S
    for job in active:
        given = min(job.tokens, most, left)
        job.tokens -= given
        left -= given
        if left <= 0:
            return
