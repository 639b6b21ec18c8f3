"""Lower bound on wasted prefill with perfect knowledge of the workload.

The requests of a shared prefix go to one server as far as its capacity allows. The
first computation of a prefix is not wasted; each further server that serves some of
its requests computes the prefix once more. A prefix is named by the last block of a
request that occurs in other requests as well.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

from benchmarks.bound import engine_tokens_per_s
from benchmarks.deployment import Deployment
from benchmarks.prefill import Prefill
from benchmarks.records import Kind
from benchmarks.workload import PlannedRequest
from standins.engine.cache import BLOCK_WORDS, Block, prompt_blocks


def prefill_bound(deployment: Deployment, planned: Sequence[PlannedRequest]) -> Prefill:
    """Returns the prefill of all tiers if each prefix uses the fewest servers.

    Each engine decodes for the duration of the workload; work beyond the capacity of
    all engines is left out, as the bound on goodput drops it, too.
    """
    requests = [r for r in planned if r.tier.kind is Kind.MODEL]
    blocks_of_requests = [
        prompt_blocks(deployment.model_route, r.text) for r in requests
    ]
    uses = Counter(block.block for blocks in blocks_of_requests for block in blocks)
    prefill = Prefill()
    tokens_by_prefix: Counter[str] = Counter()
    length_by_prefix: dict[str, int] = {}
    seen: set[str] = set()
    for request, blocks in zip(requests, blocks_of_requests, strict=True):
        shared = _shared_blocks(blocks, uses)
        cached = sum(block.block in seen for block in blocks)
        seen.update(block.block for block in blocks)
        prefill.computed += len(request.text.split()) - cached * BLOCK_WORDS
        if shared:
            tokens_by_prefix[shared[-1]] += request.output_tokens
            length_by_prefix[shared[-1]] = len(shared) * BLOCK_WORDS
    copies = _count_copies(tokens_by_prefix, _decode_capacity(deployment, planned))
    prefill.wasted = sum(
        count * length_by_prefix[name] for name, count in copies.items()
    )
    prefill.computed += prefill.wasted
    return prefill


def _shared_blocks(blocks: Sequence[Block], uses: Mapping[str, int]) -> list[str]:
    return [block.block for block in blocks if uses[block.block] > 1]


def _decode_capacity(
    deployment: Deployment, planned: Sequence[PlannedRequest]
) -> dict[str, float]:
    """Returns the output tokens that each engine can decode during the workload."""
    duration_s = max((request.at_s for request in planned), default=0.0)
    return {e.name: engine_tokens_per_s(e) * duration_s for e in deployment.engines}


def _count_copies(
    tokens_by_prefix: Mapping[str, int], capacity: dict[str, float]
) -> Counter[str]:
    """Returns how often each prefix is recomputed; the largest is placed first."""
    copies: Counter[str] = Counter()
    for name, tokens in sorted(tokens_by_prefix.items(), key=lambda item: -item[1]):
        remaining = float(tokens)
        servers = 0
        while remaining > 0 and (server := max(capacity, key=capacity.__getitem__)):
            assigned = min(remaining, capacity[server])
            if assigned <= 0:
                break
            capacity[server] -= assigned
            remaining -= assigned
            servers += 1
        copies[name] = max(0, servers - 1)
    return copies
