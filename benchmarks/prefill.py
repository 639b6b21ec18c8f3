"""Wasted prefill, replayed from the run logs.

Wasted are the prompt tokens that a server computed though the cache of some server
held them, and all of a run that failed, was cancelled, ran again, or whose answer
reached no caller.
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
    """Prompt tokens computed and, of these, wasted."""

    computed: int = 0
    wasted: int = 0

    @property
    def wasted_share(self) -> float:
        """Share of the computed tokens that was wasted."""
        return self.wasted / self.computed if self.computed else 0.0


@define
class _Replay:
    """The caches of all engines as the start events fill them."""

    caches: Mapping[str, PrefixCache]
    model: str
    done: set[tuple[str, str]] = field(factory=set)
    seen: set[str] = field(factory=set)

    def wasted(self, run: RunEvent, prompt: str) -> int:
        """Returns the wasted tokens of one run and puts its blocks in the cache."""
        blocks = prompt_blocks(f"{self.model}@{run.version}", prompt)
        held = max(_held_tokens(cache, blocks) for cache in self.caches.values())
        self.caches[run.server].use(blocks)
        is_first = run.digest not in self.seen
        self.seen.add(run.digest)
        if is_first and (run.server, run.request_id) in self.done:
            return max(0, held - run.cached_tokens)
        return run.prompt_tokens - run.cached_tokens


def _held_tokens(cache: PrefixCache, blocks: Iterable[Block]) -> int:
    held = 0
    for block in blocks:
        if cache.get(block.block) is None:
            break
        held += BLOCK_WORDS
    return held


def prefill_by_tier(
    deployment: Deployment,
    planned: Iterable[PlannedRequest],
    events: list[RunEvent],
    delivered: Container[str],
) -> dict[str, Prefill]:
    """Returns the prefill of the model runs by tier.

    Args:
        deployment: The deployment that ran.
        planned: All requests of the workload.
        events: The run logs of the engines.
        delivered: Digests of the prompts whose answers reached their callers.
    """
    by_digest = {request.digest: request for request in planned}
    replay = _Replay(
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
