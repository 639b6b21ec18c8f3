"""Wasted prefill with full knowledge of the workload.

Each shared prefix is kept at one server as far as its work fits there. The first
computation of a prefix is no waste; each further server that has to take a part of
its requests computes it once more.
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
    """Returns the prefill of all tiers where every prefix is kept together.

    Each engine decodes no longer than the workload lasts; what exceeds all engines is
    left out, as the bound drops it, too.
    """
    requests = [r for r in planned if r.tier.kind is Kind.MODEL]
    paths = [prompt_blocks(deployment.model_route, r.text) for r in requests]
    uses = Counter(block.block for path in paths for block in path)
    prefill = Prefill()
    work: Counter[str] = Counter()
    length: dict[str, int] = {}
    seen: set[str] = set()
    for request, path in zip(requests, paths, strict=True):
        shared = _shared(path, uses)
        known = sum(block.block in seen for block in path)
        seen.update(block.block for block in path)
        prefill.computed += len(request.text.split()) - known * BLOCK_WORDS
        if shared:
            work[shared[-1]] += request.output_tokens
            length[shared[-1]] = len(shared) * BLOCK_WORDS
    copies = _copies(work, _room(deployment, planned))
    prefill.wasted = sum(count * length[name] for name, count in copies.items())
    prefill.computed += prefill.wasted
    return prefill


def _shared(path: Sequence[Block], uses: Mapping[str, int]) -> list[str]:
    return [block.block for block in path if uses[block.block] > 1]


def _room(
    deployment: Deployment, planned: Sequence[PlannedRequest]
) -> dict[str, float]:
    """Returns the tokens that each engine can decode during the workload."""
    lasts_s = max((request.at_s for request in planned), default=0.0)
    return {e.name: engine_tokens_per_s(e) * lasts_s for e in deployment.engines}


def _copies(work: Mapping[str, int], room: dict[str, float]) -> Counter[str]:
    """Returns how often each prefix is computed again, the largest placed first."""
    copies: Counter[str] = Counter()
    for name, tokens in sorted(work.items(), key=lambda item: -item[1]):
        left = float(tokens)
        servers = 0
        while left > 0 and (server := max(room, key=room.__getitem__)):
            taken = min(left, room[server])
            if taken <= 0:
                break
            room[server] -= taken
            left -= taken
            servers += 1
        copies[name] = max(0, servers - 1)
    return copies
