"""Measures how the cost of a streamed request grows with its tokens."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from benchmarks import target
from benchmarks.cluster_settings import workspace_token
from benchmarks.fleet import ROUTE, Fleet
from benchmarks.http_json import JsonClient
from benchmarks.slope_rows import Row, fit_row, slope_benchmark

TOKEN_SIZES = (1, 64, 256)
REQUESTS = 200
CALLERS = 8


@slope_benchmark("requests")
def requests() -> Iterator[Row]:
    """Processor time of a streamed request against its number of tokens."""
    with Fleet(1, 1) as fleet:
        measured = {tokens: _measure_requests(fleet, tokens) for tokens in TOKEN_SIZES}
    tokens = target.TOKENS_PER_S / target.REQUESTS_PER_S
    for role in ("entry", "side"):
        points = [(size, m[role]) for size, m in measured.items()]
        rate = target.REQUESTS_PER_S / target.COUNTS[role]
        yield fit_row(
            role,
            "processor time of a streamed request",
            "s",
            "token",
            points,
            target_size=round(tokens, 1),
            limit=None,
        )
        # Of one process, at its part of the target's request rate.
        yield fit_row(
            role,
            "processor time of all requests",
            "share of a core",
            "token",
            [(size, value * rate) for size, value in points],
            target_size=round(tokens, 1),
            limit=None,
        )


def _measure_requests(fleet: Fleet, tokens: int) -> dict[str, float]:
    names = {"entry": "e0", "side": "side-f0"}
    _send(fleet, CALLERS, tokens)
    before = fleet.usage(list(names.values()))
    _send(fleet, REQUESTS, tokens)
    after = fleet.usage(list(names.values()))
    return {
        role: (after[name].cpu_s - before[name].cpu_s) / REQUESTS
        for role, name in names.items()
    }


def _send(fleet: Fleet, count: int, tokens: int) -> None:
    port = fleet.ports["e0-http"]
    client = JsonClient("127.0.0.1", port, workspace_token("workspace-0"), 60.0)
    body = {
        "model": ROUTE,
        "prompt": f"hello #out={tokens}",
        "max_tokens": tokens,
        "stream": True,
    }

    def call(_: int) -> int:
        return client.call("POST", "/v1/completions", body).status

    with ThreadPoolExecutor(CALLERS) as pool:
        statuses = set(pool.map(call, range(count)))
    if statuses != {200}:
        raise RuntimeError(f"requests failed: statuses {statuses}")
