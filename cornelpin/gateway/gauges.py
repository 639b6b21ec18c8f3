"""Gauges of an entry, which are read at each scrape."""

from __future__ import annotations

import functools
import time
from typing import TYPE_CHECKING

from cornelpin.gateway.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornelpin.gateway.app import Entry
    from cornelpin.gateway.logs import LineWriter
    from cornelpin.gateway.store_view import StoreView

    AddGauge = Callable[[str, str, Callable[[], float]], None]

MEMORY_USES = (
    "connections",
    "received",
    "head",
    "body",
    "unsent",
    "responses",
    "unlisted_senders",
)
"""Uses of the memory budget that have a metric."""


def make_metrics(entry: Entry, *, view: StoreView, lines: LineWriter) -> Metrics:
    """Returns the metrics of an entry, with its gauges.

    Args:
        entry: The entry.
        view: Its copies of the store's objects.
        lines: Writes its log lines.
    """
    metrics = Metrics()
    _add_entry_gauges(metrics.gauge, entry, lines)
    _add_store_gauges(metrics.gauge, entry, view)
    _add_server_gauges(metrics.gauge, entry)
    _add_resource_gauges(metrics.gauge, entry)
    return metrics


def _add_entry_gauges(gauge: AddGauge, entry: Entry, lines: LineWriter) -> None:
    gauge("waiting", "Requests waiting", entry.scheduler.dispatcher.queued)
    gauge("peers", "Entries heard", lambda: entry.peers.count)
    gauge("log_lines_dropped", "Log lines dropped", lambda: lines.dropped)
    gauge(
        "connections_opened",
        "Connections to servers",
        lambda: entry.state.pool.opened,
    )
    gauge(
        "quarantined_parts",
        "Quarantined parts of prompts",
        lambda: len(entry.state.poison_parts.quarantined),
    )
    gauge(
        "task_failures",
        "Failures of background tasks, which are started again",
        lambda: entry.tasks.failures,
    )


def _add_store_gauges(gauge: AddGauge, entry: Entry, view: StoreView) -> None:
    gauge("store_calls", "Calls to the store", lambda: entry.store.calls)
    gauge(
        "config_version",
        "Version of the configuration in force, -1 without one",
        lambda: entry.state.config.version if entry.state.config else -1,
    )
    gauge(
        "config_age_seconds",
        "Seconds since the configuration in force was known to be current",
        lambda: view.config_age_s,
    )
    gauge(
        "behind_kinds",
        "Kinds of the store's objects of which others have later changes",
        lambda: len(view.behind),
    )
    gauge(
        "odd_objects",
        "Objects in the store that can't be used, since the start",
        lambda: view.odd_objects,
    )
    gauge(
        "outdated_responses",
        "Responses of the store older than what other entries have",
        lambda: view.outdated,
    )
    gauge(
        "copied_bytes",
        "Bytes of snapshots copied from other entries",
        lambda: view.copied_bytes,
    )
    gauge(
        "evacuated_data_centres",
        "Data centres whose servers get no requests",
        lambda: len(entry.state.evacuations),
    )


def _add_server_gauges(gauge: AddGauge, entry: Entry) -> None:
    slowdowns = entry.scheduler.dispatcher.slowdowns
    gauge(
        "limited_servers",
        "Servers that name a limit",
        lambda: entry.server_limits.limits.limited,
    )
    gauge(
        "bad_limits",
        "Responses with an invalid limit",
        lambda: entry.server_limits.invalid,
    )
    gauge(
        "slow_servers",
        "Servers that state that work takes half as long again as usual, or more",
        lambda: slowdowns.slow(1.5, time.monotonic()),
    )
    gauge(
        "bad_slowdowns",
        "Responses with an invalid slowdown",
        lambda: slowdowns.invalid,
    )
    gauge(
        "cold_servers",
        "Servers that count as cold",
        lambda: len(entry.server_limits.cold),
    )
    gauge(
        "bad_cold_times",
        "Warm-up times over the bound",
        lambda: entry.server_limits.cold.invalid,
    )


def _add_resource_gauges(gauge: AddGauge, entry: Entry) -> None:
    memory, callers = entry.resources.memory, entry.resources.callers.connections
    for use in MEMORY_USES:
        gauge(
            f"memory_{use}_bytes",
            f"Memory of {use} of requests and their connections",
            functools.partial(memory.by_use.__getitem__, use),
        )
    gauge(
        "memory_refusals",
        "Requests refused since there was no memory in time",
        lambda: memory.refused,
    )
    gauge(
        "share_refusals",
        "Requests refused since their service and workspace held their share",
        lambda: entry.resources.requests.refused,
    )
    gauge(
        "datagrams_dropped",
        "Datagrams of unlisted senders dropped for want of memory",
        lambda: entry.resources.senders.dropped,
    )
    gauge("caller_connections", "Connections of callers", callers.__len__)
    gauge(
        "connections_closed",
        "Connections of callers closed since there were too many",
        lambda: callers.closed,
    )
    gauge(
        "connections_evicted",
        "Connections of callers ended since they held memory without progress",
        lambda: callers.evicted,
    )
