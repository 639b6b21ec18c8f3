"""Computes the wasted prefill by replaying the run logs.

Prefill is wasted on prompt tokens that the prefix cache of some server already held,
and on all computed tokens of a run that failed, was cancelled, was a repeat, or whose
answer reached no caller.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from attrs import define, field

from benchmarks.deployment import Deployment
from benchmarks.records import RunEvent, starts
from benchmarks.workload import PlannedRequest
from standins.engine.cache import BLOCK_WORDS, Block, PrefixCache, prompt_blocks

DONE = "done"


@define
class Prefill:
    """Counts of computed prompt tokens and of those wasted."""

    computed: int = 0
    wasted: int = 0

    @property
    def wasted_share(self) -> float:
        """Share of the computed tokens that was wasted."""
        return self.wasted / self.computed if self.computed else 0.0


@define
class _CacheReplay:
    """Rebuilds the prefix caches of all engines from their start events.

    Attributes:
        caches: Prefix cache by engine.
        model: Name of the model route.
        done: Server and request id of the runs that ended with a delivered answer.
        seen: Digests of the prompts that have run.
    """

    caches: Mapping[str, PrefixCache]
    model: str
    done: set[tuple[str, str]] = field(factory=set)
    seen: set[str] = field(factory=set)

    def wasted(self, run: RunEvent, prompt: str) -> int:
        """Returns the wasted tokens of one run and caches its blocks on its server."""
        blocks = prompt_blocks(f"{self.model}@{run.version}", prompt)
        cached = max(_cached_tokens(cache, blocks) for cache in self.caches.values())
        self.caches[run.server].match_and_insert(blocks)
        is_first = run.digest not in self.seen
        self.seen.add(run.digest)
        if is_first and (run.server, run.request_id) in self.done:
            return max(0, cached - run.cached_tokens)
        return run.prompt_tokens - run.cached_tokens


def _cached_tokens(cache: PrefixCache, blocks: Iterable[Block]) -> int:
    cached = 0
    for block in blocks:
        if cache.get(block.block) is None:
            break
        cached += BLOCK_WORDS
    return cached


def prefill_by_tier(
    deployment: Deployment,
    planned: Iterable[PlannedRequest],
    events: list[RunEvent],
    delivered: Container[str],
) -> dict[str, Prefill]:
    """Returns the prefill counts of the model runs by tier.

    Args:
        deployment: The deployment that ran.
        planned: All requests of the workload.
        events: The run logs of the engines.
        delivered: Digests of the prompts whose answers reached their callers.
    """
    by_digest = {request.digest: request for request in planned}
    replay = _CacheReplay(
        {
            engine.name: PrefixCache(engine.cache_tokens)
            for engine in deployment.engines
        },
        deployment.model_route,
        {
            (event.server, event.request_id)
            for event in events
            if event.outcome == DONE and event.digest in delivered
        },
    )
    result = {tier.name: Prefill() for tier in deployment.tiers}
    for run in starts(events):
        request = by_digest.get(run.digest)
        if request is None or run.server not in replay.caches:
            continue
        prefill = result[request.tier.name]
        prefill.computed += run.prompt_tokens - run.cached_tokens
        prefill.wasted += replay.wasted(run, request.text)
    return result
