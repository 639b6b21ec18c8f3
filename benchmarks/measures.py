"""Goodput and prefill work, computed from run logs and the sender's records."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from benchmarks.checker import is_shed
from benchmarks.records import Answer, RunEvent, SentRecord


@frozen
class TierGoodput:
    """Goodput of one tier; the latencies are those of complete responses."""

    tier: str
    sent: int
    complete: int
    shed: int
    median_latency_s: float
    p99_latency_s: float

    @property
    def share(self) -> float:
        """Share of the requests with a complete response."""
        return self.complete / self.sent if self.sent else 0.0


@frozen
class PrefillWork:
    """Prompt tokens of all ended model runs.

    ``benchmarks.prefill`` defines wasted prefill more widely: it also counts repeated
    runs, undelivered responses and tokens that another server had in its cache.

    Attributes:
        computed: Tokens that were not in the prefix cache.
        cached: Tokens that the prefix cache supplied.
        wasted: Computed tokens of runs that failed or were cancelled.
    """

    computed: int
    cached: int
    wasted: int

    @property
    def wasted_share(self) -> float:
        """Share of the computed tokens that was wasted."""
        return self.wasted / self.computed if self.computed else 0.0


def goodput_by_tier(records: Iterable[SentRecord]) -> list[TierGoodput]:
    """Returns the goodput of each tier, ordered by name."""
    by_tier: dict[str, list[SentRecord]] = {}
    for record in records:
        by_tier.setdefault(record.tier, []).append(record)
    return [_goodput(tier, by_tier[tier]) for tier in sorted(by_tier)]


def _goodput(tier: str, records: list[SentRecord]) -> TierGoodput:
    complete = [record for record in records if record.answer is Answer.COMPLETE]
    latencies = sorted(record.latency_s for record in complete)
    return TierGoodput(
        tier=tier,
        sent=len(records),
        complete=len(complete),
        shed=sum(is_shed(record) for record in records),
        median_latency_s=quantile(latencies, 0.5),
        p99_latency_s=quantile(latencies, 0.99),
    )


def quantile(ordered: list[float], share: float) -> float:
    """Returns a quantile of sorted values, 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def prefill_work(events: Iterable[RunEvent]) -> PrefillWork:
    """Sums the prefill of all ended model runs."""
    ended = [event for event in events if event.event == "end"]
    computed = [event.prompt_tokens - event.cached_tokens for event in ended]
    wasted = [
        tokens
        for event, tokens in zip(ended, computed, strict=True)
        if event.outcome != "done"
    ]
    cached = sum(event.cached_tokens for event in ended)
    return PrefillWork(sum(computed), cached, sum(wasted))
