"""Prometheus metrics of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
ERROR_BUCKETS_S = (-3.0, -1.0, -0.4, -0.1, -0.02, 0.02, 0.1, 0.4, 1.0, 3.0)


class Metrics:
    """The metrics of one process.

    Attributes:
        registry: Registry of all metrics.
        requests: Ended requests. Their kind is that of the route: safe, unsafe, stream.
        latency: Seconds from a request's arrival to its end.
        response_time: Seconds from a send to the response: the first event of a stream
            or the end of another response.
        queue_wait: Seconds from a request's arrival in the queue to its slot, as
            forecast and as measured. Requests refused from the queue have no slot and
            are left out.
        forecast_error: The measured wait of the same requests minus the forecast one.
        rejections: Responses made by the entry itself instead of a server.
        held_back: Requests placed elsewhere or refused while servers with free slots
            were kept from them by their limits.
        hedges: Requests that were slow and might be hedged: ``won`` and ``lost`` by the
            second send, or the reason for which there was none.
        hedge_wasted: Seconds for which sends ran that were cancelled for another one.
        store_calls: Calls of the store by kind of objects, operation and outcome:
            ``answered`` or ``failed``.
        sends: Requests sent to servers; the outcome is a class name of
            cornelpin.gateway.exchange.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "cornelpin_requests",
            "Requests ended",
            ["kind", "priority", "outcome", "status"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "cornelpin_request_seconds",
            "Time from a request's first byte to its end",
            ["kind", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.response_time = Histogram(
            "cornelpin_first_bytes_seconds",
            "Time from a send to the first bytes, by server",
            ["server"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.queue_wait = Histogram(
            "cornelpin_queue_wait_seconds",
            "Time in the queue until a slot was granted",
            ["value"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.forecast_error = Histogram(
            "cornelpin_queue_forecast_error_seconds",
            "Measured minus forecast time in the queue",
            buckets=ERROR_BUCKETS_S,
            registry=self.registry,
        )
        self.rejections = Counter(
            "cornelpin_rejections",
            "Answers of our own, by reason",
            ["status", "reason"],
            registry=self.registry,
        )
        self.held_back = Counter(
            "cornelpin_held_back",
            "Requests that servers' limits kept from servers with free slots",
            ["outcome"],
            registry=self.registry,
        )
        self.hedges = Counter(
            "cornelpin_hedges",
            "Slow requests that might be hedged, by what came of it",
            ["outcome"],
            registry=self.registry,
        )
        self.hedge_wasted = Counter(
            "cornelpin_hedge_wasted_seconds",
            "Time of sends cancelled because a second one, or the first, was faster",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "cornelpin_store_calls_by_kind",
            "Calls of the store, by kind of objects",
            ["kind", "operation", "outcome"],
            registry=self.registry,
        )
        self.sends = Counter(
            "cornelpin_sends",
            "Sends to servers, by what came of them",
            ["server", "outcome"],
            registry=self.registry,
        )

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Adds a gauge whose value is read at each scrape."""
        Gauge(f"cornelpin_{name}", text, registry=self.registry).set_function(read)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
