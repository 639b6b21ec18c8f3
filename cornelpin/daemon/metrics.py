"""OpenTelemetry metrics, scraped in Prometheus format or pushed over OTLP.

docs/operators/metrics.md lists each metric with its unit.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from opentelemetry.metrics import CallbackOptions
    from opentelemetry.sdk.metrics.export import MetricReader

    from cornelpin.daemon.control_cost import ControlCost
    from cornelpin.daemon.settings import Settings
    from cornelpin.http1.connections import Resources

PUSH_INTERVAL_MS = 10_000


class Meters:
    """The metric instruments of one process."""

    def __init__(self, settings: Settings) -> None:
        resource = Resource.create(
            {
                "service.name": f"cornelpin-{settings.role}",
                "service.instance.id": settings.name,
                "host.name": settings.host,
            }
        )
        self._provider = MeterProvider(
            metric_readers=_readers(settings), resource=resource
        )
        meter = self._provider.get_meter("cornelpin")
        self._meter = meter
        self._requests = meter.create_counter(
            "cornelpin_requests", unit="1", description="Requests by tier and outcome"
        )
        self._sheds = meter.create_counter(
            "cornelpin_sheds", unit="1", description="Requests shed, by tier"
        )
        self._wait = meter.create_histogram(
            "cornelpin_wait", unit="s", description="Acceptance to head of the answer"
        )
        self._between_parts = meter.create_histogram(
            "cornelpin_between_parts", unit="s", description="Time between parts"
        )
        self._duration = meter.create_histogram(
            "cornelpin_duration", unit="s", description="Acceptance to last part"
        )
        self._queue = meter.create_histogram(
            "cornelpin_queue", unit="s", description="Acceptance to grant or refusal"
        )
        self._prefill = meter.create_counter(
            "cornelpin_prefill_tokens", unit="1", description="Prompt tokens computed"
        )
        self._wasted_prefill = meter.create_counter(
            "cornelpin_wasted_prefill_tokens",
            unit="1",
            description="Prompt tokens computed in vain",
        )
        meter.create_observable_counter(
            "cornelpin_process_cpu",
            callbacks=[_as_callback(lambda: [Observation(time.process_time())])],
            unit="s",
            description="Processor time of this process",
        )

    def add_gauge(self, name: str, read: Callable[[], Iterable[Observation]]) -> None:
        """Adds a gauge without a unit that is read when metrics are collected."""
        self._meter.create_observable_gauge(name, callbacks=[_as_callback(read)])

    def add_control_counters(self, cost: ControlCost) -> None:
        """Adds the counters of bytes and CPU time spent on control traffic."""
        self._meter.create_observable_counter(
            "cornelpin_control",
            callbacks=[_as_callback(lambda: _control_bytes(cost))],
            unit="By",
            description="Bytes of control messages on peer streams",
        )
        self._meter.create_observable_counter(
            "cornelpin_control_cpu",
            callbacks=[_as_callback(lambda: [Observation(cost.cpu_s)])],
            unit="s",
            description="Processor time of control tasks and control messages",
        )

    def add_http_gauges(self, resources: Resources) -> None:
        """Adds gauges of what the clients of an HTTP server use and were refused."""
        memory, conns = resources.memory, resources.connections
        self.add_gauge(
            "cornelpin_http_memory",
            lambda: [
                Observation(size, {"use": use})
                for use, size in list(memory.by_use.items())
            ],
        )
        self.add_gauge("cornelpin_http_connections", lambda: [Observation(len(conns))])
        self.add_gauge(
            "cornelpin_http_shortages",
            lambda: [
                Observation(memory.refused, {"kind": "refused"}),
                Observation(conns.closed, {"kind": "closed"}),
                Observation(conns.evicted, {"kind": "evicted"}),
            ],
        )

    def count_outcome(self, tier: str, outcome: str) -> None:
        """Counts a request by its final outcome.

        Args:
            tier: Name of the tier, or an empty string if none was chosen.
            outcome: ``answered`` or the value of the refusal's ``Reason``.
        """
        self._requests.add(1, {"tier": tier, "outcome": outcome})
        if outcome == "shed":
            self._sheds.add(1, {"tier": tier})

    def record_response(
        self, tier: str, *, wait_s: float, duration_s: float, parts: int
    ) -> None:
        """Records the times of a completed response.

        Args:
            tier: Name of the tier.
            wait_s: Seconds from acceptance to the head of the response.
            duration_s: Seconds from acceptance to the last part.
            parts: Number of parts.
        """
        labels = {"tier": tier}
        self._wait.record(wait_s, labels)
        self._duration.record(duration_s, labels)
        if parts > 1:
            self._between_parts.record((duration_s - wait_s) / (parts - 1), labels)

    def record_queue_time(self, tier: str, queue_s: float) -> None:
        """Records the seconds from acceptance to a grant or refusal."""
        self._queue.record(queue_s, {"tier": tier})

    def count_prefill(self, tier: str, *, computed: int, wasted: int) -> None:
        """Counts the prompt tokens that a backend server computed.

        Args:
            tier: Name of the tier.
            computed: Tokens computed.
            wasted: Those among them that another server should have had in its cache.
        """
        self._prefill.add(computed, {"tier": tier})
        self._wasted_prefill.add(wasted, {"tier": tier})

    def exposition(self) -> tuple[str, bytes]:
        """Returns content type and body of all metrics in Prometheus format."""
        return CONTENT_TYPE_LATEST, generate_latest(REGISTRY)

    def stop(self) -> None:
        """Pushes the remaining values and shuts down."""
        self._provider.shutdown()


def _readers(settings: Settings) -> list[MetricReader]:
    readers: list[MetricReader] = [PrometheusMetricReader()]
    if settings.otlp_url is not None:
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
            OTLPMetricExporter,
        )
        from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

        exporter = OTLPMetricExporter(endpoint=settings.otlp_url)
        readers.append(
            PeriodicExportingMetricReader(
                exporter, export_interval_millis=PUSH_INTERVAL_MS
            )
        )
    return readers


def _as_callback(
    read: Callable[[], Iterable[Observation]],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def callback(options: CallbackOptions) -> Iterable[Observation]:
        return read()

    return callback


def _control_bytes(cost: ControlCost) -> list[Observation]:
    return [
        Observation(cost.sent_bytes, {"direction": "sent"}),
        Observation(cost.received_bytes, {"direction": "received"}),
    ]
