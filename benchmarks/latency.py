"""Measures the latency that entry and side add to a request to the engine.

Run it with ``python -m benchmarks.latency``. Probes alternate between the engine and
an entry, at three background loads sent through cornelpin. The results are written
to ``build/latency.json``; processor time is read from the processes' metrics.
"""

from __future__ import annotations

import http.client
import json
import statistics
import threading
import time
from pathlib import Path
from typing import Any

import attrs

from benchmarks.cluster_settings import workspace_token
from benchmarks.deployment import Deployment
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.testbed import Testbed

SEED = 41
PROBES = 300
STEP_MS = 5
MAX_BATCH = 32
OUTPUT_TOKENS = 40
# Callers of the background load, each with one request in flight at a time.
LOADS = (0, 4, 12)
TARGET_ADDED_MS = 3.0
BUILD_FOLDER = Path(__file__).resolve().parent.parent / "build"
CPU_METRIC = "cornelpin_process_cpu_seconds_total"


@attrs.frozen
class Row:
    """Results at one load.

    Attributes:
        callers: Callers of the background load.
        requests_per_s: Answered requests per second, probes included.
        tokens_per_s: Relayed tokens per second.
        direct_ms: Median time to the first token from the engine, in milliseconds.
        through_ms: Median time to the first token through entry and side, in
            milliseconds.
        added_ms: Difference of the medians in milliseconds.
        added_p95_ms: Difference of the 95th percentiles in milliseconds.
        entry_cpu_share: Processor seconds of all entries per second.
        side_cpu_share: Processor seconds of all sides per second.
    """

    callers: int
    requests_per_s: float
    tokens_per_s: float
    direct_ms: float
    through_ms: float
    added_ms: float
    added_p95_ms: float
    entry_cpu_share: float
    side_cpu_share: float


def fast_deployment() -> Deployment:
    """Returns the small deployment with engines much faster than the load needs."""
    small = DEPLOYMENTS["small"]()
    engines = tuple(
        attrs.evolve(e, step_ms=STEP_MS, max_batch=MAX_BATCH) for e in small.engines
    )
    return attrs.evolve(small, engines=engines)


def stream_completion(port: int, body: dict[str, Any], token: str) -> tuple[float, int]:
    """Streams one completion.

    Returns:
        Seconds to the first event, and the number of further events.
    """
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    started = time.perf_counter()
    conn.request("POST", "/v1/completions", json.dumps(body), headers)
    resp = conn.getresponse()
    if resp.status != 200:
        raise RuntimeError(f"status {resp.status}: {resp.read()!r}")
    resp.readline()
    first = time.perf_counter() - started
    events = sum(line.startswith(b"data:") for line in resp)
    conn.close()
    return first, events


class BackgroundLoad:
    """Callers that send requests through cornelpin until stopped."""

    def __init__(self, testbed: Testbed, callers: int, token: str) -> None:
        self._testbed = testbed
        self._token = token
        self._stop = threading.Event()
        self.answered = 0
        self.tokens = 0
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._call, args=(index,), daemon=True)
            for index in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops all callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _call(self, index: int) -> None:
        entries = self._testbed.entries
        port = entries[index % len(entries)].http_port
        serial = 0
        while not self._stop.is_set():
            serial += 1
            prompt = f"load {index} {serial} #out={OUTPUT_TOKENS}"
            body = completion_request(self._testbed, prompt)
            _, events = stream_completion(port, body, self._token)
            with self._lock:
                self.answered += 1
                self.tokens += events


def completion_request(testbed: Testbed, prompt: str) -> dict[str, Any]:
    """Returns the body of a request for a streamed completion."""
    return {"model": testbed.deployment.model_route, "prompt": prompt, "stream": True}


def cpu_s(testbed: Testbed, names: list[str]) -> float:
    """Returns the processor time used by the named processes."""
    return sum(_cpu_metric(testbed.ports[name]) for name in names)


def _cpu_metric(port: int) -> float:
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    conn.request("GET", "/metrics")
    lines = conn.getresponse().read().decode().splitlines()
    conn.close()
    return next(float(x.split()[-1]) for x in lines if x.startswith(CPU_METRIC))


def measure(testbed: Testbed, callers: int, token: str) -> Row:
    """Measures the latency of both paths at one background load."""
    entries = [entry.name for entry in testbed.entries]
    sides = [side.name for side in testbed.sides.values()]
    background = BackgroundLoad(testbed, callers, token)
    direct: list[float] = []
    through: list[float] = []
    started = time.perf_counter()
    entry_cpu, side_cpu = cpu_s(testbed, entries), cpu_s(testbed, sides)
    for probe in range(PROBES):
        body = completion_request(testbed, f"probe {callers} {probe} #out=1")
        direct.append(stream_completion(testbed.ports["f1"], body, token)[0])
        through.append(stream_completion(testbed.ports["e1"], body, token)[0])
    elapsed = time.perf_counter() - started
    entry_cpu = cpu_s(testbed, entries) - entry_cpu
    side_cpu = cpu_s(testbed, sides) - side_cpu
    background.stop()
    return Row(
        callers=callers,
        requests_per_s=(background.answered + PROBES) / elapsed,
        tokens_per_s=(background.tokens + 2 * PROBES) / elapsed,
        direct_ms=1000 * statistics.median(direct),
        through_ms=1000 * statistics.median(through),
        added_ms=1000 * (statistics.median(through) - statistics.median(direct)),
        added_p95_ms=1000 * (_p95(through) - _p95(direct)),
        entry_cpu_share=entry_cpu / elapsed,
        side_cpu_share=side_cpu / elapsed,
    )


def _p95(values: list[float]) -> float:
    return statistics.quantiles(values, n=20)[-1]


def main() -> None:
    """Measures all loads and writes the results."""
    with Testbed(fast_deployment(), seed=SEED) as testbed:
        token = workspace_token(sorted(testbed.deployment.workspaces)[0])
        rows = [measure(testbed, callers, token) for callers in LOADS]
    for row in rows:
        print({k: round(v, 2) for k, v in attrs.asdict(row).items()})
    print(f"target: {TARGET_ADDED_MS} ms added at the median")
    BUILD_FOLDER.mkdir(exist_ok=True)
    document = [attrs.asdict(row) for row in rows]
    (BUILD_FOLDER / "latency.json").write_text(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
